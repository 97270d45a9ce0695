#pragma once

#include "daisydoor/config/snapshot.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace daisydoor::entry::detail
{

/// @brief Groups of a service's hosts, in the order in which select() ranks them.
enum class rank_group : std::uint8_t
{
    weighted,
    /// The zone weights give the host no opens; only later attempts of an open select it.
    zero_weight,
    /// Draining, or leaving or missing according to the fleet view.
    last_resort,
};

struct target
{
    core::host_id id{};
    core::endpoint agent;
    config::zone_index zone = 0;
    rank_group group = rank_group::weighted;
    std::uint16_t slots = 1;
    /// Reciprocal of the rendezvous weight within the group.
    double inverse_weight = 1;
};

struct routed_service
{
    core::service_id id{};
    /// Index of the service's first target and number of its targets; they are adjacent and sorted by host id.
    std::uint32_t first = 0;
    std::uint32_t count = 0;
};

/// @brief Compact lookup tables of one configuration and fleet view, for an entry in one zone.
class routing_table
{
  public:
    /// Complexity: n log n in the number of hosts.
    routing_table(const config::snapshot& configuration, const std::string& zone);

    /// @brief Ranks leaving and missing hosts last and computes the weights of the others.
    ///
    /// The view is ignored for services with too many hosts leaving or missing
    /// (core::max_unavailable_hosts_percent).
    /// Complexity: n log n in the number of instances.
    /// @param view may be null
    void apply_fleet_view(const config::fleet_view* view);

    /// @return nullptr if no service has this address. Complexity: constant; no allocation.
    [[nodiscard]] const routed_service* find_service(const core::endpoint& address) const;

    /// @return nullptr if the service has no such host. Complexity: logarithmic in the service's hosts; no allocation.
    [[nodiscard]] const target* find_target(const routed_service& service, core::host_id host) const;

    /// @brief Selects the target of rank `attempt` (modulo the number of hosts) for a flow hash.
    /// @return nullptr if the service has no hosts. Complexity: linear in the service's hosts; no allocation.
    [[nodiscard]] const target* select(const routed_service& service, std::uint64_t flow_hash, std::uint8_t attempt);

  private:
    struct endpoint_hash
    {
        std::size_t operator()(const core::endpoint& value) const noexcept;
    };

    struct ranked_target
    {
        rank_group group = rank_group::weighted;
        double distance = 0;
        const target* value = nullptr;

        friend bool operator<(const ranked_target& a, const ranked_target& b) noexcept
        {
            return a.group != b.group ? a.group < b.group : a.distance < b.distance;
        }
    };

    void update_weights(const routed_service& service);
    void apply_zone_weights(target* first, target* last);

    std::vector<config::zone> m_zones;
    /// Index of the entry's own zone; m_zones.size() if the configuration does not list it.
    std::size_t m_own_zone = 0;
    std::vector<target> m_targets;
    /// Whether the configuration marks the host of the target with the same index as draining.
    std::vector<bool> m_draining;
    std::vector<routed_service> m_services;
    std::unordered_map<core::endpoint, std::uint32_t, endpoint_hash> m_service_index_by_address;
    /// Working memory of select(); reserved for the largest service, so that select() allocates nothing.
    std::vector<ranked_target> m_scratch;
};

} // namespace daisydoor::entry::detail
