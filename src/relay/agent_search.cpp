#include "daisydoor/relay/agent_relay.hpp"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace daisydoor::relay
{

namespace
{

/// Maximum distance in bytes between a client's acknowledgement and the end of its host's data, about three times the
/// client's window. The sequence numbers of two hosts are random and rarely this close.
constexpr std::uint32_t max_acknowledgement_distance = 1U << 18U;

} // namespace

void agent_relay::on_unknown_flow(const packet& value, wire::bytes_view bytes, core::time_point now, actions& out)
{
    auto& record = m_flows[value.flow];
    record.entry = value.entry;
    record.last_activity_at = now;
    if (host_may_have_unknown_flow(now)) {
        set_phase(record, flow_phase::probing, now);
        out.push_back(send_to_host{bytes, value.entry});
        return;
    }
    search(record, value, bytes, now, out);
}

void agent_relay::search(flow_record& record, const packet& value, wire::bytes_view bytes, core::time_point now,
                         actions& out)
{
    set_phase(record, flow_phase::searching, now);
    out.push_back(decision_record{decision::search_started, value.flow, {}, 0, {}, ""});
    record.entry = value.entry;
    record.reset_sequence = value.acknowledgement;
    record.search_packet.assign(bytes.data, bytes.data + bytes.size);
    record.search_repeats = 0;
    record.repeat_at = now;
    record.search_started_at = now;
    record.view_confirmed = false;
    record.unanswered_peers.clear();
    record.asked_peers.clear();
    m_unconfirmed.push_back(value.flow);
    if (!ask_possible_owners(record, value.flow, true, now, out)) {
        end_search(record, value.flow, now, out);
    }
}

bool agent_relay::ask_possible_owners(flow_record& record, const flow_key& flow, bool repeats, core::time_point now,
                                      actions& out)
{
    const auto round = m_search_scope.plan(flow, record.asked_peers, now);
    auto& unanswered_peers = record.unanswered_peers;
    const auto is_gone = [&round](ipv4 it) {
        return !std::binary_search(round.owners.begin(), round.owners.end(), it);
    };
    unanswered_peers.erase(std::remove_if(unanswered_peers.begin(), unanswered_peers.end(), is_gone),
                           unanswered_peers.end());
    unanswered_peers.insert(unanswered_peers.end(), round.next.begin(), round.next.end());
    record.asked_peers.insert(record.asked_peers.end(), round.next.begin(), round.next.end());
    std::sort(record.asked_peers.begin(), record.asked_peers.end());
    record.all_peers_asked = round.is_whole;
    if (unanswered_peers.empty() && round.is_whole) {
        return false;
    }
    const wire::bytes_view bytes{record.search_packet.data(), record.search_packet.size()};
    for (const auto peer : repeats ? unanswered_peers : round.next) {
        out.push_back(send_to_agent{peer, bytes, record.entry, 1, packet_path::search});
    }
    if (record.repeat_at <= now) {
        record.repeat_at = now + search_repeat_interval;
        m_search_repeats.push_back({flow, record.repeat_at});
    }
    return true;
}

void agent_relay::repeat_searches(core::time_point now, actions& out)
{
    while (!m_search_repeats.empty() && m_search_repeats.front().due <= now) {
        const auto next = m_search_repeats.front();
        m_search_repeats.pop_front();
        const auto it = m_flows.find(next.flow);
        const bool is_current =
            it != m_flows.end() && it->second.phase == flow_phase::searching && it->second.repeat_at == next.due;
        if (!is_current || ++it->second.search_repeats >= search_repeat_limit) {
            continue;
        }
        if (!ask_possible_owners(it->second, next.flow, true, now, out)) {
            end_search(it->second, next.flow, now, out);
        }
    }
}

void agent_relay::on_flow_unknown(ipv4 from, const flow_key& flow, core::time_point now, actions& out)
{
    const auto it = m_flows.find(flow);
    if (it != m_flows.end() && it->second.phase == flow_phase::at_peer) {
        m_load.on_silence(it->second.peer);
    }
    if (it == m_flows.end() || it->second.phase != flow_phase::searching) {
        return;
    }
    auto& unanswered_peers = it->second.unanswered_peers;
    unanswered_peers.erase(std::remove(unanswered_peers.begin(), unanswered_peers.end(), from), unanswered_peers.end());
    if (unanswered_peers.empty() && it->second.all_peers_asked) {
        end_search(it->second, flow, now, out);
    }
}

void agent_relay::end_search(flow_record& record, const flow_key& flow, core::time_point now, actions& out)
{
    if (record.view_confirmed) {
        declare_lost(record, flow, record.reset_sequence, "held_nowhere", now, out);
    } else {
        set_phase(record, flow_phase::unconfirmed, now);
    }
}

bool agent_relay::is_searched(const flow_record& record) noexcept
{
    return record.phase == flow_phase::searching || record.phase == flow_phase::unconfirmed;
}

bool agent_relay::needs_confirmation(core::time_point now)
{
    for (; !m_unconfirmed.empty(); m_unconfirmed.pop_front()) {
        const auto it = m_flows.find(m_unconfirmed.front());
        if (it != m_flows.end() && is_searched(it->second) && !it->second.view_confirmed) {
            return now - it->second.search_started_at >= confirmation_delay;
        }
    }
    return false;
}

void agent_relay::on_view_confirmed(core::time_point since, core::time_point now, actions& out)
{
    std::deque<flow_key> later;
    for (const auto& flow : std::exchange(m_unconfirmed, {})) {
        const auto it = m_flows.find(flow);
        if (it == m_flows.end() || !is_searched(it->second) || it->second.view_confirmed) {
            continue;
        }
        auto& record = it->second;
        if (record.search_started_at > since) {
            later.push_back(flow);
            continue;
        }
        // The host of the flow was published before the search began. Hosts that the view lacked are asked now.
        record.view_confirmed = true;
        set_phase(record, flow_phase::searching, now);
        if (!ask_possible_owners(record, flow, false, now, out)) {
            end_search(record, flow, now, out);
        }
    }
    m_unconfirmed = std::move(later);
}

void agent_relay::on_search(const packet& value, wire::bytes_view bytes, ipv4 from, core::time_point now, actions& out)
{
    const auto it = m_flows.find(value.flow);
    if (it != m_flows.end() &&
        (it->second.phase == flow_phase::established || it->second.phase == flow_phase::opening) &&
        !acknowledges_other_host(it->second, value)) {
        it->second.entry = value.entry;
        deliver(it->second, value, bytes, now, out);
        send_flow_found(value.flow, value.entry, out);
        send_flow_found(value.flow, from, out);
        return;
    }
    const bool may_probe_host =
        host_may_have_unknown_flow(now) && (it == m_flows.end() || it->second.phase == flow_phase::probing);
    if (!may_probe_host) {
        out.push_back(send_message{from, flow_unknown{value.flow}});
        return;
    }
    auto& record = m_flows[value.flow];
    set_phase(record, flow_phase::probing, now);
    record.entry = value.entry;
    record.peer = from;
    record.last_activity_at = now;
    out.push_back(send_to_host{bytes, value.entry});
}

bool agent_relay::acknowledges_other_host(const flow_record& record, const packet& value) noexcept
{
    if (!value.ack || !record.host_sequence) {
        return false;
    }
    const auto distance =
        static_cast<std::int64_t>(static_cast<std::int32_t>(value.acknowledgement - *record.host_sequence));
    return std::abs(distance) > max_acknowledgement_distance;
}

void agent_relay::declare_lost(flow_record& record, const flow_key& flow, std::uint32_t sequence,
                               std::string_view reason, core::time_point now, actions& out)
{
    set_request_pending(flow, record, false, now);
    set_phase(record, flow_phase::lost, now);
    record.last_activity_at = now;
    out.push_back(reset_client{flow, sequence});
    out.push_back(decision_record{decision::flow_lost, flow, {}, 0, load(), reason});
}

bool agent_relay::host_may_have_unknown_flow(core::time_point now) const noexcept
{
    return m_options.host_may_have_earlier_flows && now - m_options.started_at < m_options.flow_ttl;
}

} // namespace daisydoor::relay
