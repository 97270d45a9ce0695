#include "daisydoor/relay/agent_relay.hpp"

#include <utility>

namespace daisydoor::relay
{

void agent_relay::deliver(flow_record& record, const packet& value, wire::bytes_view bytes, core::time_point now,
                          actions& out)
{
    record.last_activity_at = now;
    set_fin_seen(record, record.client_fin || value.fin || value.rst, record.host_fin);
    const bool ends_waiting_request =
        (value.rst || is_repeated_end(record, value)) && m_admission.is_waiting(value.flow);
    if (record.request_dropped && value.fin) {
        record.client_gave_up = true;
    }
    if (ends_waiting_request) {
        set_request_pending(value.flow, record, false, now);
        record.client_gave_up = true;
        out.push_back(decision_record{decision::request_dropped, value.flow, {}, 0, load(), "client_left"});
    }
    if (record.client_gave_up && !value.rst) {
        // The client still retransmits the request, which must not run any more.
        return;
    }
    if (may_deliver(record, value, bytes, now, out)) {
        out.push_back(send_to_host{bytes, value.entry});
    }
    if (value.hops > 0 && record.phase == flow_phase::established) {
        send_flow_found(value.flow, value.entry, out);
    }
}

bool agent_relay::is_repeated_end(const flow_record& record, const packet& value) noexcept
{
    const std::uint32_t end = value.sequence + value.payload_size;
    return value.fin && record.client_sequence != 0 && !is_after(end, record.client_sequence);
}

bool agent_relay::may_deliver(flow_record& record, const packet& value, wire::bytes_view bytes, core::time_point now,
                              actions& out)
{
    const std::uint32_t end = value.sequence + value.payload_size;
    const bool is_first = record.client_sequence == 0;
    const bool is_new = value.payload_size > 0 && (is_first || is_after(end, record.client_sequence));
    if (is_new) {
        record.client_sequence = end;
    } else if (value.payload_size > 0 && record.request_pending && !record.client_fin) {
        record_client_waits(value.flow, record, now);
    }
    if (m_admission.is_waiting(value.flow)) {
        // An acknowledgement alone may overtake the request.
        const bool is_part = value.payload_size > 0 || value.fin;
        return !is_part || m_admission.on_further_packet(value.flow, value.sequence, bytes, now);
    }
    if (!is_new) {
        return true;
    }
    const bool is_further_packet = record.request_pending && !is_first;
    set_request_pending(value.flow, record, true, now);
    if (record.in_service) {
        return true;
    }
    if (!is_further_packet && !std::exchange(record.request_dropped, false)) {
        record.request_sent_at = is_first && record.opened_at != core::time_point{} ? record.opened_at : now;
    }
    request_urgency urgency;
    urgency.sent_at = record.request_sent_at;
    if (const auto* route = m_view.find_route(value.flow.service, value.flow.service_port)) {
        urgency.target_latency = route->value.target_latency;
        urgency.patience = patience_of(value.flow);
        urgency.priority = route->value.priority;
    }
    record.in_service = m_admission.on_request(value.flow, urgency, value.sequence, bytes, slots(), now);
    record.delivered_at = now;
    record.is_further_request = !is_first;
    if (record.in_service) {
        m_load.on_delivered(value.flow, record.is_further_request, now);
    } else {
        out.push_back(decision_record{decision::request_waits, value.flow, {}, 0, load(), "slots_busy"});
    }
    return record.in_service;
}

void agent_relay::release_requests(core::time_point now, actions& out)
{
    for (auto& request : m_admission.release(slots(), now)) {
        const auto it = m_flows.find(request.flow);
        if (it == m_flows.end()) {
            m_admission.on_request_ended(request.flow);
            continue;
        }
        it->second.in_service = true;
        it->second.delivered_at = now;
        m_load.on_delivered(request.flow, it->second.is_further_request, now);
        for (auto& bytes : request.packets) {
            out.push_back(send_to_host{{}, it->second.entry, std::move(bytes)});
        }
        out.push_back(
            decision_record{decision::request_released, request.flow, {}, 0, load(), "slot_free", request.waited});
    }
    for (const auto& request : m_admission.take_dropped()) {
        if (const auto it = m_flows.find(request.flow); it != m_flows.end()) {
            set_request_pending(request.flow, it->second, false, now);
            // A retransmission, which may have been delayed, is a request again.
            it->second.client_sequence = request.sequence;
            it->second.request_dropped = true;
        }
        out.push_back(
            decision_record{decision::request_dropped, request.flow, {}, 0, load(), "client_left", request.waited});
    }
}

} // namespace daisydoor::relay
