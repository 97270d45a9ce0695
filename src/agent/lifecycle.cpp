#include "daisydoor/agent/detail/lifecycle.hpp"

#include "daisydoor/core/fault.hpp"

#include <algorithm>

namespace daisydoor::agent::detail
{

void lifecycle::drain(core::time_point now)
{
    m_drain_requested = true;
    apply_drain(now);
}

void lifecycle::on_configuration(core::time_point now, bool drains)
{
    m_configuration_drains = drains;
    apply_drain(now);
}

void lifecycle::on_fleet_view(core::time_point now, const config::fleet_view& view)
{
    if (m_context.service == nullptr) {
        return;
    }
    const auto state_of = [&view](core::host_id host) {
        const auto it = std::find_if(view.instances.begin(), view.instances.end(), [host](const auto& instance) {
            return !instance.is_entry && instance.host == host;
        });
        return it == view.instances.end() ? std::optional<config::instance_state>{} : it->state;
    };
    const auto& hosts = m_context.service->hosts;
    const auto not_live = static_cast<std::size_t>(std::count_if(hosts.begin(), hosts.end(), [&](const auto& host) {
        return state_of(host.id) != config::instance_state::live;
    }));
    // This instance runs even if the view does not list it; only the state `leaving` starts a drain. A view in which
    // more than max_unavailable_hosts_percent of the hosts are not live is not trusted.
    m_fleet_drains = state_of(m_context.options.host) == config::instance_state::leaving &&
                     not_live * 100 <= hosts.size() * core::max_unavailable_hosts_percent;
    apply_drain(now);
}

void lifecycle::apply_drain(core::time_point now)
{
    auto& own = m_context.own;
    const bool drains = m_drain_requested || m_configuration_drains || m_fleet_drains;
    if (drains && own.state != wire::agent_state::draining) {
        own.state = wire::agent_state::draining;
        own.drain_started = now;
    } else if (!drains && own.state == wire::agent_state::draining) {
        own.state = wire::agent_state::cold;
    }
}

bool lifecycle::detect_pause(core::time_point now)
{
    const bool paused = m_last_event_at != core::time_point{} && now - m_last_event_at > core::pause_threshold;
    m_last_event_at = now;
    if (paused) {
        m_context.own.awaiting_confirmation = true;
        m_pause_ended_at = now;
    }
    return paused;
}

bool lifecycle::should_eject(core::time_point now) const
{
    if (m_context.service == nullptr || m_context.is_isolated(now) || m_context.least_loaded_peer(now) == nullptr) {
        return false;
    }
    const std::size_t ceiling = std::max<std::size_t>(m_context.service->hosts.size() * eject_ceiling_percent / 100, 1);
    std::size_t ejected_peers = 0;
    std::size_t ejected_with_lower_id = 0;
    for (const auto& [host, peer] : m_context.peers) {
        if (m_context.is_peer_alive(peer, now) && peer.report.state == wire::agent_state::ejected) {
            ++ejected_peers;
            ejected_with_lower_id += host < m_context.options.host ? 1 : 0;
        }
    }
    if (core::is_active(core::fault::ignore_eject_ceiling)) {
        return true;
    }
    // Agents that eject themselves at the same time can exceed the ceiling; those with the highest host ids return.
    const bool ejected = m_context.own.state == wire::agent_state::ejected;
    return (ejected ? ejected_with_lower_id : ejected_peers) < ceiling;
}

void lifecycle::update(core::time_point now, const target_health& target)
{
    auto& own = m_context.own;
    if (own.awaiting_confirmation && now - m_pause_ended_at >= core::confirmation_timeout) {
        own.awaiting_confirmation = false;
    }
    if (own.state == wire::agent_state::draining) {
        return;
    }
    if (target.failing && should_eject(now)) {
        own.state = wire::agent_state::ejected;
    } else if (own.state == wire::agent_state::ejected) {
        own.state = wire::agent_state::cold;
    } else if (own.state == wire::agent_state::cold && target.warm) {
        own.state = wire::agent_state::active;
    }
}

} // namespace daisydoor::agent::detail
