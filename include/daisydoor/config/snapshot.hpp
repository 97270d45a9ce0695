#pragma once

#include "daisydoor/core/endpoint.hpp"
#include "daisydoor/core/ids.hpp"
#include "daisydoor/wire/token.hpp"

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// @brief Published configuration: validation, immutable snapshots with increasing versions, and distribution.
namespace daisydoor::config
{

enum class preset
{
    ordinary,
    peak,
    maintenance,
};
constexpr std::array<std::string_view, 3> preset_names{"ordinary", "peak", "maintenance"};

/// @brief Which queued request is refused first when a queue is full.
enum class shed_order
{
    newest,
    idempotent,
};
constexpr std::array<std::string_view, 2> shed_order_names{"newest", "idempotent"};

/// @brief Limits and switches of one preset.
struct preset_policy
{
    /// Highest number of queued requests per slot.
    std::uint32_t queue_per_slot = 8;
    shed_order shed_first = shed_order::newest;
    /// Work is handed to another availability zone only while more requests per slot than this are queued.
    std::uint32_t zone_spill_queue = 0;
    bool accept_postings = true;
    /// Highest number of flows that one agent moves to peers in a second.
    std::uint32_t feed_moves_per_second = 20;
};

/// @brief Position in snapshot::zones.
using zone_index = std::uint8_t;

struct zone
{
    std::string name;
    /// Fraction (0 to 1) of the fleet's datagrams that arrive at the entries of this availability zone; the shares of
    /// all zones sum to 1.
    double entry_share = 0;
};

struct host
{
    core::host_id id{};
    std::string name;
    zone_index zone = 0;
    /// UDP and TCP endpoint of the agent on this host.
    core::endpoint agent;
    std::uint16_t slots = 1;
    bool draining = false;
};

struct service
{
    core::service_id id{};
    std::string name;
    core::endpoint address;
    config::preset preset = preset::ordinary;
    std::vector<host> hosts;
};

/// @brief One accepted version of the configuration. Not modified after it is shared.
struct snapshot
{
    core::config_version version{};
    std::vector<zone> zones;
    std::vector<wire::token_key> keys;
    std::array<preset_policy, 3> policies{};
    std::vector<service> services;

    [[nodiscard]] const preset_policy& policy_of(const service& value) const
    {
        return policies.at(static_cast<std::size_t>(value.preset));
    }
};

using snapshot_ptr = std::shared_ptr<const snapshot>;

enum class instance_state
{
    live,
    leaving,
};
constexpr std::array<std::string_view, 2> instance_state_names{"live", "leaving"};

struct fleet_instance
{
    bool is_entry = false;
    /// Host id of an agent; 0 for an entry.
    core::host_id host{};
    std::string zone;
    core::endpoint address;
    instance_state state = instance_state::live;
};

/// @brief The platform's list of instances. It may be outdated, so it is only used as a hint.
struct fleet_view
{
    std::uint64_t version = 0;
    std::vector<fleet_instance> instances;
};

using fleet_view_ptr = std::shared_ptr<const fleet_view>;

} // namespace daisydoor::config
