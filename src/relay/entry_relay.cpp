#include "daisydoor/relay/entry_relay.hpp"

#include "daisydoor/relay/placement.hpp"

#include <algorithm>

namespace daisydoor::relay
{

namespace
{

/// Interval at which idle flows are removed; a flow that stays a little longer costs only its memory.
constexpr core::milliseconds sweep_interval{1000};

} // namespace

entry_relay::entry_relay(ipv4 self, const fleet_view& view) : m_self(self), m_view(view) {}

void entry_relay::on_packet(const packet& value, wire::bytes_view bytes, core::time_point now, actions& out)
{
    m_resent_openings.clear();
    if (!m_view.is_ready()) {
        m_early.add(value, bytes, {}, now);
        return;
    }
    handle_packet(value, bytes, now, out);
}

void entry_relay::on_view_ready(core::time_point now, actions& out)
{
    m_resent_openings.clear();
    for (const auto& it : m_early.take(now)) {
        handle_packet(it.value, {it.bytes.data(), it.bytes.size()}, now, out);
    }
}

void entry_relay::handle_packet(const packet& value, wire::bytes_view bytes, core::time_point now, actions& out)
{
    const auto* route = m_view.find_route(value.flow.service, value.flow.service_port);
    if (route == nullptr) {
        // Flows of a route that this process does not know yet may be open; only a dropped route ends its flows.
        if (value.syn || m_view.is_dropped_route(value.flow.service, value.flow.service_port)) {
            m_flows.erase(value.flow);
            out.push_back(reset_client{value.flow, value.syn ? 0 : value.acknowledgement});
            out.push_back(
                decision_record{decision::route_unknown, value.flow, {}, 0, {}, value.syn ? "open" : "dropped"});
        }
        return;
    }
    if (value.syn) {
        open(value, bytes, *route, now, out);
        return;
    }
    if (const auto it = m_flows.find(value.flow); it != m_flows.end()) {
        forward(it->second, bytes, now, out);
        if (m_view.may_have_host(it->second.agent, now)) {
            return;
        }
        // The host is no longer in the view: another agent gets the packet too, since the flow may have been found
        // elsewhere.
        m_flows.erase(it);
    }
    forward_unknown(value, bytes, *route, now, out);
}

void entry_relay::forward(flow_record& record, wire::bytes_view bytes, core::time_point now, actions& out)
{
    record.last_activity_at = now;
    out.push_back(send_to_agent{record.agent, bytes, m_self, 0, packet_path::direct});
}

void entry_relay::open(const packet& value, wire::bytes_view bytes, const known_route& route, core::time_point now,
                       actions& out)
{
    if (const auto it = m_flows.find(value.flow); it != m_flows.end() && it->second.confirmed) {
        // A copy: the agent has the flow already.
        forward(it->second, bytes, now, out);
        return;
    }
    if (bytes.size != opening_packet_size) {
        return;
    }
    const auto is_same = [&value](const pending_placement& it) { return it.flow == value.flow; };
    if (std::any_of(m_pending.begin(), m_pending.end(), is_same)) {
        return;
    }
    pending_placement placement;
    placement.flow = value.flow;
    std::copy_n(bytes.data, opening_packet_size, placement.bytes.begin());
    place(std::move(placement), route, now, out);
}

const known_host* entry_relay::choose(const pending_placement& placement, const known_route& route,
                                      core::time_point now)
{
    const auto hash = hash_of(placement.flow);
    const auto avoided = [this, hash, now](ipv4 agent) { return is_avoided(agent, hash, now); };
    if (const auto zone = placement.tried.empty() ? m_zones.try_start_probe(now) : std::nullopt) {
        const auto is_elsewhere = [this, &zone](ipv4 agent) {
            const auto* host = m_view.find_host(agent);
            return host == nullptr || host->value.availability_zone != *zone;
        };
        if (const auto* probed = choose_host(m_view, route, hash, is_elsewhere, avoided)) {
            return probed;
        }
    }
    const auto is_tried = [&placement](ipv4 agent) {
        return std::find(placement.tried.begin(), placement.tried.end(), agent) != placement.tried.end();
    };
    return choose_host(m_view, route, hash, is_tried, avoided);
}

void entry_relay::place(pending_placement placement, const known_route& route, core::time_point now, actions& out)
{
    const auto* chosen = choose(placement, route, now);
    if (chosen == nullptr) {
        m_flows.erase(placement.flow);
        if (!placement.tried.empty()) {
            // The agents may only be slow: the client's next copy of the packet starts a new placement.
            out.push_back(
                decision_record{decision::unanswered, placement.flow, placement.tried.back(), 0, {}, "no_agent_left"});
            return;
        }
        out.push_back(reset_client{placement.flow, 0});
        out.push_back(decision_record{decision::refused, placement.flow, {}, 0, {}, "no_host"});
        return;
    }
    const auto agent = chosen->value.address;
    m_flows.insert_or_assign(placement.flow, flow_record{agent, now, false});
    m_resent_openings.push_back(placement.bytes);
    out.push_back(
        send_to_agent{agent, {m_resent_openings.back().data(), opening_packet_size}, m_self, 0, packet_path::direct});
    out.push_back(decision_record{placement.tried.empty() ? decision::placed : decision::placed_again,
                                  placement.flow,
                                  agent,
                                  0,
                                  {},
                                  chosen->in_own_zone ? "own_zone" : "other_zone"});
    placement.tried.push_back(agent);
    placement.deadline = now + placement_timeout;
    m_pending.push_back(std::move(placement));
}

void entry_relay::forward_unknown(const packet& value, wire::bytes_view bytes, const known_route& route,
                                  core::time_point now, actions& out)
{
    const auto hash = hash_of(value.flow);
    const auto* likely_owner = choose_likely_owner(
        m_view, route, hash, [this, hash, now](ipv4 agent) { return is_avoided(agent, hash, now); });
    if (likely_owner == nullptr) {
        return;
    }
    out.push_back(send_to_agent{likely_owner->value.address, bytes, m_self, 0, packet_path::direct});
}

void entry_relay::on_message(ipv4 from, const message& value, core::time_point now, actions& out)
{
    if (const auto* found = std::get_if<flow_found>(&value)) {
        record_answer(from, found->flow, now, out);
        confirm(from, found->flow, now);
    } else if (const auto* unknown = std::get_if<flow_unknown>(&value)) {
        record_answer(from, unknown->flow, now, out);
        end_placement(unknown->flow);
    }
}

void entry_relay::record_answer(ipv4 agent, const flow_key& flow, core::time_point now, actions& out)
{
    m_agents.erase(static_cast<std::uint32_t>(agent));
    const auto* host = m_view.find_host(agent);
    if (host != nullptr && m_zones.on_answer(host->value.availability_zone, now)) {
        out.push_back(decision_record{decision::zone_answers, flow, agent, 0, {}, "agent_answers"});
    }
}

void entry_relay::confirm(ipv4 agent, const flow_key& flow, core::time_point now)
{
    m_flows.insert_or_assign(flow, flow_record{agent, now, true});
    remove_pending(flow);
}

void entry_relay::end_placement(const flow_key& flow)
{
    if (const auto it = m_flows.find(flow); it != m_flows.end() && !it->second.confirmed) {
        m_flows.erase(it);
        remove_pending(flow);
    }
}

void entry_relay::remove_pending(const flow_key& flow)
{
    const auto it = std::find_if(m_pending.begin(), m_pending.end(),
                                 [&flow](const auto& placement) { return placement.flow == flow; });
    if (it != m_pending.end()) {
        m_pending.erase(it);
    }
}

void entry_relay::on_tick(core::time_point now, actions& out)
{
    m_resent_openings.clear();
    m_zones.on_tick(now);
    while (!m_pending.empty() && m_pending.front().deadline <= now) {
        auto placement = std::move(m_pending.front());
        m_pending.pop_front();
        record_unconfirmed_placement(placement, now, out);
        if (const auto* route = m_view.find_route(placement.flow.service, placement.flow.service_port)) {
            place(std::move(placement), *route, now, out);
        }
    }
    if (now >= m_next_sweep) {
        m_next_sweep = now + sweep_interval;
        remove_idle_flows(now);
    }
}

void entry_relay::record_unconfirmed_placement(const pending_placement& placement, core::time_point now, actions& out)
{
    const auto agent = placement.tried.back();
    auto& record = m_agents[static_cast<std::uint32_t>(agent)];
    if (++record.unconfirmed_placements >= max_unconfirmed_placements && now >= record.avoid_until) {
        record.avoid_until = now + record.avoid_time;
        record.avoid_time = std::min(record.avoid_time * 2, max_agent_avoid_time);
        out.push_back(
            decision_record{decision::agent_suspected, placement.flow, agent, 0, {}, "placements_unconfirmed"});
    }
    // An agent that redirected the flow learns that its peer is silent.
    out.push_back(send_message{agent, flow_unknown{placement.flow}});
    record_silent_zone(placement, out);
}

void entry_relay::record_silent_zone(const pending_placement& placement, actions& out)
{
    const auto agent = placement.tried.back();
    const auto* host = m_view.find_host(agent);
    const auto* route = m_view.find_route(placement.flow.service, placement.flow.service_port);
    if (host == nullptr || route == nullptr) {
        return;
    }
    const auto& zone = host->value.availability_zone;
    if (m_zones.on_silence(zone, agent, placement.deadline - placement_timeout, extent_of(m_view, *route, zone))) {
        out.push_back(decision_record{decision::zone_suspected, placement.flow, agent, 0, {}, "agents_silent"});
    }
}

bool entry_relay::is_avoided(ipv4 agent, std::uint64_t flow_hash, core::time_point now) const
{
    const auto it = m_agents.find(static_cast<std::uint32_t>(agent));
    if (it != m_agents.end() && now < it->second.avoid_until) {
        return true;
    }
    if (m_zones.is_idle()) {
        return false;
    }
    const auto* host = m_view.find_host(agent);
    return host != nullptr && m_zones.is_avoided(host->value.availability_zone, flow_hash, now);
}

void entry_relay::remove_idle_flows(core::time_point now)
{
    const auto limit = m_view.idle_timeout();
    for (auto it = m_flows.begin(); it != m_flows.end();) {
        it = now - it->second.last_activity_at > limit ? m_flows.erase(it) : std::next(it);
    }
}

} // namespace daisydoor::relay
