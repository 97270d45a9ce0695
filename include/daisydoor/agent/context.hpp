#pragma once

#include "daisydoor/agent/actions.hpp"
#include "daisydoor/config/snapshot.hpp"
#include "daisydoor/core/limits.hpp"
#include "daisydoor/core/random.hpp"
#include "daisydoor/wire/key_ring.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace daisydoor::agent
{

struct agent_options
{
    core::host_id host{};
    core::service_id service{};
    std::string zone;
    core::incarnation_id incarnation{};
    /// Time after which a drain ends even if flows remain.
    core::seconds drain_timeout{300};
};

/// @brief Link state and last load report of a peer agent of the same service.
struct peer_status
{
    core::host_id host{};
    std::string zone;
    bool link_up = false;
    core::incarnation_id incarnation{};
    wire::load_reportT report;
    core::time_point reported_at{};
};

/// @brief Lifecycle state of this agent; `state` is reported to peers.
struct own_status
{
    wire::agent_state state = wire::agent_state::cold;
    core::time_point drain_started{};
    /// Set after a pause of the process: no requests or opens are accepted until the configuration is confirmed.
    bool awaiting_confirmation = false;
};

/// @brief State shared by the components of agent_core, which owns it.
struct agent_context
{
    agent_options options;
    core::random_source random;
    core::time_point started_at{};
    config::snapshot_ptr snapshot;
    /// This agent's service in `snapshot`; nullptr without a configuration that names it.
    const config::service* service = nullptr;
    /// This agent's host entry in `service`.
    const config::host* self = nullptr;
    wire::key_ring keys;
    std::unique_ptr<wire::token_signer> signer;
    std::map<core::host_id, peer_status> peers;
    own_status own;

    [[nodiscard]] core::config_version version() const noexcept
    {
        return snapshot ? snapshot->version : core::config_version{};
    }
    [[nodiscard]] const config::preset_policy& policy() const;
    /// @brief Whether the peer's link is up and its last report is younger than peer_timeout.
    [[nodiscard]] bool is_peer_alive(const peer_status& peer, core::time_point now) const;
    /// @brief Whether more than half of the configured peers are unreachable, so that this agent may be the isolated
    /// one.
    [[nodiscard]] bool is_isolated(core::time_point now) const;
    /// @brief The alive peer with the fewest flows that is neither draining nor ejected, or nullptr. Cold peers count
    /// too.
    [[nodiscard]] const peer_status* least_loaded_peer(core::time_point now) const;
    void send_to_peer(core::host_id host, wire::peer_messageT message, action_list& actions) const;
};

constexpr core::milliseconds report_interval{500};
constexpr core::milliseconds report_min_gap{20};
constexpr core::milliseconds peer_timeout{2000};

} // namespace daisydoor::agent
