#include "daisydoor/relay/agent_relay.hpp"

#include <algorithm>
#include <utility>

namespace daisydoor::relay
{

namespace
{

/// Interval at which closed and idle flows are removed; a flow that stays a little longer costs only its memory.
constexpr core::milliseconds sweep_interval{500};

} // namespace

agent_relay::agent_relay(agent_relay_options options, const fleet_view& view)
    : m_options(std::move(options)), m_view(view), m_search_scope(view, m_options.self),
      m_load(m_options.self, m_options.service, view),
      m_cold(m_options.cold, m_options.host_may_have_earlier_flows
                                 ? m_options.started_at + cold_window + cold_window_slack
                                 : core::time_point{})
{
    m_admission.set_condition([this](core::time_point now) { return m_cold.try_request(now); });
}

void agent_relay::on_packet(const packet& value, wire::bytes_view bytes, ipv4 from, core::time_point now, actions& out)
{
    m_resent_openings.clear();
    if (!m_view.is_ready()) {
        m_early.add(value, bytes, from, now);
        return;
    }
    handle_packet(value, bytes, from, now, out);
}

void agent_relay::on_view_ready(core::time_point now, actions& out)
{
    m_resent_openings.clear();
    for (const auto& it : m_early.take(now)) {
        handle_packet(it.value, {it.bytes.data(), it.bytes.size()}, it.from, now, out);
    }
}

void agent_relay::handle_packet(const packet& value, wire::bytes_view bytes, ipv4 from, core::time_point now,
                                actions& out)
{
    if (value.path == packet_path::search) {
        on_search(value, bytes, from, now, out);
        return;
    }
    auto it = m_flows.find(value.flow);
    if (value.syn) {
        if (it != m_flows.end() && begins_new_flow(it->second, value)) {
            forget_flow(it, now);
            it = m_flows.end();
        }
        const bool returned_by_peer =
            it != m_flows.end() && it->second.phase == flow_phase::at_peer && it->second.peer == from;
        if (it != m_flows.end() && it->second.phase != flow_phase::lost && !returned_by_peer) {
            on_repeated_opening(it->second, value, bytes, now, out);
        } else {
            open(value, bytes, now, out);
        }
        return;
    }
    if (it == m_flows.end()) {
        on_unknown_flow(value, bytes, now, out);
        return;
    }
    auto& record = it->second;
    switch (record.phase) {
    case flow_phase::opening:
    case flow_phase::established:
    case flow_phase::probing:
        record.entry = value.entry;
        if (acknowledges_other_host(record, value)) {
            search(record, value, bytes, now, out);
            break;
        }
        deliver(record, value, bytes, now, out);
        break;
    case flow_phase::at_peer:
        record.last_activity_at = now;
        if (value.hops < max_hops) {
            out.push_back(send_to_agent{record.peer, bytes, value.entry, static_cast<std::uint8_t>(value.hops + 1),
                                        packet_path::direct});
        }
        break;
    case flow_phase::unconfirmed:
        record.reset_sequence = value.acknowledgement;
        break;
    case flow_phase::searching:
        if (record.search_repeats >= search_repeat_limit) {
            search(record, value, bytes, now, out);
        }
        break;
    case flow_phase::lost:
        out.push_back(reset_client{value.flow, value.acknowledgement});
        break;
    }
}

bool agent_relay::begins_new_flow(const flow_record& record, const packet& value) noexcept
{
    if (record.opening_sequence) {
        return *record.opening_sequence != value.sequence;
    }
    return record.client_gave_up || (record.client_fin && record.host_fin);
}

void agent_relay::forget_flow(flow_map::iterator it, core::time_point now)
{
    set_request_pending(it->first, it->second, false, now);
    set_phase(it->second, flow_phase::lost, now);
    m_flows.erase(it);
}

void agent_relay::open(const packet& value, wire::bytes_view bytes, core::time_point now, actions& out)
{
    const auto* route = m_view.find_route(value.flow.service, value.flow.service_port);
    const auto own = m_view.find_service(m_options.service);
    if (route == nullptr || bytes.size != opening_packet_size) {
        // The entry may have a newer version of the routes; it tries another agent if this one does not confirm.
        return;
    }
    m_load.update_peers(now);
    m_cold.update(m_view, m_options.self, m_options.service, now);
    const bool is_allowed =
        own && route->allows(*own) && !m_view.is_evacuated(m_options.self) && m_cold.may_open(m_admission.waiting());
    auto load = this->load();
    load.accepts = load.accepts && is_allowed;
    const auto peers = m_load.usable_peers(*route, value.flow, load.accepts, now);
    if (is_allowed && is_avoided() && !m_draining && !m_suspected && m_health.try_start_probe(now)) {
        open_at_host(value, bytes, now, out);
        return;
    }
    // A flow is redirected for load only once: the load report by which the sender chose this host was newer than the
    // reports that this agent has of other hosts.
    const bool may_redirect = load.accepts ? value.hops == 0 : value.hops < max_hops;
    const auto* peer = may_redirect ? choose_less_busy(load, peers, hash_of(value.flow)) : nullptr;
    if (peer != nullptr) {
        redirect_flow(value.flow, bytes, value.entry, value.hops, peer, load.accepts ? "less_busy" : "own_host_closed",
                      now, out);
        m_flows[value.flow].opening_sequence = value.sequence;
        if (!is_allowed || m_draining || !m_suspected || now < m_next_probe) {
            return;
        }
        // A copy of a real opening packet probes a host that did not answer; the client uses the first answer.
        m_next_probe = now + probe_interval;
        m_cold.on_opening(now);
        out.push_back(send_to_host{bytes, value.entry});
        return;
    }
    const auto service_time = m_profile.service_time();
    const auto patience = patience_of(value.flow);
    if (should_defer(load, peers, value.acknowledgement, service_time, patience, route->value.target_latency)) {
        decline(value, load, "peers_missing", out);
        return;
    }
    if (is_allowed && outlasts_patience(load, value.acknowledgement, service_time, patience)) {
        refuse(value.flow, value.entry, value.hops, "queue_exceeds_timeout", out);
        return;
    }
    const bool is_last_resort = is_allowed && (m_suspected || m_health.is_failing()) && !m_draining;
    if (load.accepts || is_last_resort) {
        open_at_host(value, bytes, now, out);
        return;
    }
    refuse(value.flow, value.entry, value.hops, "no_host_accepts", out);
}

void agent_relay::refuse(const flow_key& flow, ipv4 entry, std::uint8_t hops, std::string_view reason, actions& out)
{
    out.push_back(reset_client{flow, 0});
    // The entry must not place the flow at another agent: the host there would serve a client that was told otherwise.
    if (entry != ipv4{}) {
        out.push_back(send_message{entry, flow_unknown{flow}});
    }
    out.push_back(decision_record{decision::refused, flow, {}, hops, load(), reason});
}

void agent_relay::decline(const packet& value, const host_load& load, std::string_view reason, actions& out)
{
    // Tells the entry that this agent is alive, so that it neither avoids the agent nor places this copy again.
    out.push_back(send_message{value.entry, flow_unknown{value.flow}});
    out.push_back(decision_record{decision::unanswered, value.flow, {}, value.hops, load, reason});
}

void agent_relay::on_repeated_opening(flow_record& record, const packet& value, wire::bytes_view bytes,
                                      core::time_point now, actions& out)
{
    record.last_activity_at = now;
    if (record.phase == flow_phase::at_peer) {
        if (value.hops < max_hops) {
            out.push_back(send_to_agent{record.peer, bytes, value.entry, static_cast<std::uint8_t>(value.hops + 1),
                                        packet_path::direct});
        }
        return;
    }
    const bool is_accepted = record.phase == flow_phase::established;
    if ((is_accepted && record.opening_sequence) || !m_view.is_evacuated(m_options.self)) {
        out.push_back(send_to_host{bytes, value.entry});
    }
    if (is_accepted) {
        send_flow_found(value.flow, value.entry, out);
    }
}

void agent_relay::open_at_host(const packet& value, wire::bytes_view bytes, core::time_point now, actions& out)
{
    auto& record = m_flows[value.flow];
    set_phase(record, flow_phase::opening, now);
    record.entry = value.entry;
    record.last_activity_at = now;
    record.opened_at = now - age_of_copy(value.acknowledgement);
    record.request_sent_at = record.opened_at;
    record.opening_sequence = value.sequence;
    // The client sends its request as soon as the flow is open.
    set_request_pending(value.flow, record, true, now);
    opening_record opening;
    opening.flow = value.flow;
    std::copy_n(bytes.data, opening_packet_size, opening.bytes.begin());
    opening.entry = value.entry;
    opening.hops = value.hops;
    opening.deadline = now + opening_timeout;
    m_openings.push_back(opening);
    m_cold.on_opening(now);
    out.push_back(send_to_host{bytes, value.entry});
}

bool agent_relay::redirect_flow(const flow_key& flow, wire::bytes_view bytes, ipv4 entry, std::uint8_t hops,
                                const peer_load* peer, std::string_view reason, core::time_point now, actions& out)
{
    if (peer == nullptr) {
        return false;
    }
    auto& record = m_flows[flow];
    set_request_pending(flow, record, false, now);
    set_phase(record, flow_phase::at_peer, now);
    record.peer = peer->agent;
    record.entry = entry;
    record.last_activity_at = now;
    m_load.on_redirected(peer->agent);
    const auto next_hops = static_cast<std::uint8_t>(hops + 1);
    out.push_back(send_to_agent{peer->agent, bytes, entry, next_hops, packet_path::direct});
    out.push_back(decision_record{decision::redirected, flow, peer->agent, next_hops, peer->load, reason});
    return true;
}

bool agent_relay::redirect_opening(const opening_record& opening, wire::bytes_view bytes, std::string_view reason,
                                   core::time_point now, actions& out)
{
    const auto* route = m_view.find_route(opening.flow.service, opening.flow.service_port);
    if (route == nullptr || opening.hops >= max_hops) {
        return false;
    }
    host_load closed = load();
    closed.accepts = false;
    const auto peers = m_load.usable_peers(*route, opening.flow, false, now);
    const auto* peer = choose_less_busy(closed, peers, hash_of(opening.flow));
    return redirect_flow(opening.flow, bytes, opening.entry, opening.hops, peer, reason, now, out);
}

void agent_relay::on_host_packet(const packet& value, wire::bytes_view bytes, core::time_point now, actions& out)
{
    m_resent_openings.clear();
    clear_host_suspicion(now, out);
    if (value.bounced) {
        on_returned_packet(value, bytes, now, out);
        return;
    }
    out.push_back(send_to_client{value.flow.client, bytes});
    const auto [it, added] = m_flows.try_emplace(value.flow);
    auto& record = it->second;
    record.last_activity_at = now;
    const bool was_established = !added && record.phase == flow_phase::established;
    if (!was_established) {
        if (value.syn) {
            m_unclaimed.push_back({value.flow, now + unclaimed_flow_timeout});
        }
        const ipv4 searcher = !added && record.phase == flow_phase::probing ? record.peer : ipv4{};
        set_phase(record, flow_phase::established, now);
        if (record.entry != ipv4{}) {
            send_flow_found(value.flow, record.entry, out);
        }
        if (searcher != ipv4{}) {
            send_flow_found(value.flow, searcher, out);
        }
        out.push_back(decision_record{decision::opened, value.flow, {}, 0, load(), value.syn ? "accepted" : "known"});
    }
    // Packets may be reordered: a FIN after a gap in the sequence follows an answer that has not arrived yet.
    const bool has_answer = value.payload_size > 0 ||
                            (value.fin && record.host_sequence && is_after(value.sequence, *record.host_sequence));
    const std::uint32_t end = value.sequence + value.payload_size + (value.syn ? 1 : 0);
    if (!value.rst && (!record.host_sequence || is_after(end, *record.host_sequence))) {
        record.host_sequence = end;
    }
    if (value.payload_size > 0 || value.fin || value.rst) {
        if (record.in_service && (has_answer || !record.client_fin)) {
            record_request_outcome(has_answer, value.rst ? "host_resets" : "host_closes", value.flow, now, out);
        }
        if (record.in_service && value.payload_size > 0) {
            m_load.on_answered(value.flow, now);
            m_profile.on_answer(std::chrono::duration_cast<core::milliseconds>(now - record.delivered_at));
            m_admission.set_service_time(m_profile.service_time());
        }
        set_request_pending(value.flow, record, false, now);
    }
    set_fin_seen(record, record.client_fin || value.rst, record.host_fin || value.fin || value.rst);
    release_requests(now, out);
}

void agent_relay::on_returned_packet(const packet& value, wire::bytes_view bytes, core::time_point now, actions& out)
{
    if (value.syn) {
        on_returned_opening(value, bytes, now, out);
        return;
    }
    const auto it = m_flows.find(value.flow);
    if (it == m_flows.end()) {
        return;
    }
    auto& record = it->second;
    if (value.rst || record.client_gave_up) {
        // The client has ended the flow, so that there is nothing to reset.
        forget_flow(it, now);
    } else if (record.phase == flow_phase::probing && record.peer != ipv4{}) {
        out.push_back(send_message{record.peer, flow_unknown{value.flow}});
        forget_flow(it, now);
    } else if (record.phase == flow_phase::probing) {
        search(record, value, bytes, now, out);
    } else if (record.phase == flow_phase::established || record.phase == flow_phase::opening) {
        if (!record.host_sequence || acknowledges_other_host(record, value)) {
            search(record, value, bytes, now, out);
            return;
        }
        // The flow was open at this host; a host returns a packet of such a flow only if it has restarted.
        declare_lost(record, value.flow, value.acknowledgement, "host_restarted", now, out);
    }
}

void agent_relay::on_returned_opening(const packet& value, wire::bytes_view bytes, core::time_point now, actions& out)
{
    const auto it =
        std::find_if(m_openings.begin(), m_openings.end(), [&](const auto& entry) { return entry.flow == value.flow; });
    if (it == m_openings.end()) {
        return;
    }
    const auto opening = *it;
    m_openings.erase(it);
    const auto record = m_flows.find(value.flow);
    if (record == m_flows.end() || record->second.phase != flow_phase::opening) {
        // A late copy: the host has accepted the flow before.
        return;
    }
    if (!redirect_opening(opening, bytes, "host_returned", now, out)) {
        forget_flow(record, now);
        refuse(value.flow, opening.entry, opening.hops, "host_returned", out);
    }
}

void agent_relay::on_message(ipv4 from, const message& value, core::time_point now, actions& out)
{
    if (const auto* load = std::get_if<host_load>(&value)) {
        m_load.on_report(from, *load, now);
    } else if (const auto* found = std::get_if<flow_found>(&value)) {
        auto& record = m_flows[found->flow];
        if (record.phase != flow_phase::established) {
            set_request_pending(found->flow, record, false, now);
            set_phase(record, flow_phase::at_peer, now);
            record.peer = from;
            record.last_activity_at = now;
        }
    } else if (const auto* unknown = std::get_if<flow_unknown>(&value)) {
        on_flow_unknown(from, unknown->flow, now, out);
    }
}

void agent_relay::on_tick(core::time_point now, actions& out)
{
    m_resent_openings.clear();
    m_cold.update(m_view, m_options.self, m_options.service, now);
    check_openings(now, out);
    check_unclaimed_flows(now);
    repeat_searches(now, out);
    release_requests(now, out);
    m_load.report(load(), now, out);
    if (now >= m_next_sweep) {
        m_next_sweep = now + sweep_interval;
        sweep(now);
    }
}

void agent_relay::check_unclaimed_flows(core::time_point now)
{
    for (; !m_unclaimed.empty() && m_unclaimed.front().due <= now; m_unclaimed.pop_front()) {
        const auto it = m_flows.find(m_unclaimed.front().flow);
        if (it != m_flows.end() && it->second.phase == flow_phase::established && it->second.client_sequence == 0) {
            set_request_pending(it->first, it->second, false, now);
        }
    }
}

void agent_relay::check_openings(core::time_point now, actions& out)
{
    while (!m_openings.empty() && m_openings.front().deadline <= now) {
        const auto opening = m_openings.front();
        m_openings.pop_front();
        const auto it = m_flows.find(opening.flow);
        if (it == m_flows.end() || it->second.phase != flow_phase::opening) {
            continue;
        }
        if (++m_unanswered_openings >= max_unanswered_openings && !m_suspected) {
            m_suspected = true;
            m_next_probe = now + probe_interval;
            out.push_back(decision_record{decision::host_suspected, opening.flow, m_options.self, 0, load(),
                                          "openings_unanswered"});
        }
        m_resent_openings.push_back(opening.bytes);
        const wire::bytes_view bytes{m_resent_openings.back().data(), opening_packet_size};
        if (!redirect_opening(opening, bytes, "host_unanswered", now, out)) {
            forget_flow(it, now);
            out.push_back(
                decision_record{decision::unanswered, opening.flow, {}, opening.hops, load(), "no_peer_accepts"});
        }
    }
}

} // namespace daisydoor::relay
