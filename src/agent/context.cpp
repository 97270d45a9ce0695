#include "daisydoor/agent/context.hpp"

#include <algorithm>

namespace daisydoor::agent
{

const config::preset_policy& agent_context::policy() const
{
    static const config::preset_policy built_in;
    return service != nullptr ? snapshot->policy_of(*service) : built_in;
}

bool agent_context::is_peer_alive(const peer_status& peer, core::time_point now) const
{
    return peer.link_up && now - peer.reported_at < peer_timeout;
}

bool agent_context::is_isolated(core::time_point now) const
{
    if (service == nullptr || service->hosts.size() < 2) {
        return false;
    }
    std::size_t alive = 0;
    for (const auto& [id, peer] : peers) {
        alive += is_peer_alive(peer, now) ? 1 : 0;
    }
    const std::size_t configured = service->hosts.size() - 1;
    return (configured - std::min(alive, configured)) * 2 > configured;
}

const peer_status* agent_context::least_loaded_peer(core::time_point now) const
{
    const peer_status* best = nullptr;
    for (const auto& [id, peer] : peers) {
        if (!is_peer_alive(peer, now) || peer.report.state == wire::agent_state::draining ||
            peer.report.state == wire::agent_state::ejected) {
            continue;
        }
        if (best == nullptr || peer.report.held_flows < best->report.held_flows) {
            best = &peer;
        }
    }
    return best;
}

void agent_context::send_to_peer(core::host_id host, wire::peer_messageT message, action_list& actions) const
{
    message.config_version = core::raw(version());
    actions.push_back(send_peer{host, std::move(message)});
}

} // namespace daisydoor::agent
