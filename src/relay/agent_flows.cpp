#include "daisydoor/relay/agent_relay.hpp"

#include <algorithm>

namespace daisydoor::relay
{

namespace
{

/// Time for which a closed flow stays in the table: both ends retransmit their last packets for up to 1.6 s.
constexpr core::milliseconds closed_flow_time{3000};
/// A pending request no longer counts as load when its client's patience and this time are over: the client gave up
/// without closing the flow.
constexpr core::milliseconds abandoned_request_slack{300};
/// Patience of the clients of a route without a timeout.
constexpr core::milliseconds default_patience{5000};
/// A host returns a packet of an unknown flow at once; if it has not done so within this time, it has the flow.
constexpr core::milliseconds probing_time{200};

} // namespace

void agent_relay::clear_host_suspicion(core::time_point now, actions& out)
{
    m_unanswered_openings = 0;
    if (m_suspected) {
        m_suspected = false;
        m_load.report_soon(now);
        out.push_back(decision_record{decision::host_answers, {}, m_options.self, 0, load(), ""});
    }
}

void agent_relay::sweep(core::time_point now)
{
    for (auto it = m_flows.begin(); it != m_flows.end();) {
        auto& record = it->second;
        const auto age = now - record.last_activity_at;
        if (is_abandoned(it->first, record, now)) {
            set_request_pending(it->first, record, false, now);
        }
        if (record.phase == flow_phase::probing && now - record.phase_started_at > probing_time && !m_suspected) {
            set_phase(record, flow_phase::established, now);
        }
        const bool is_closed = record.client_fin && record.host_fin && age > closed_flow_time;
        const bool is_lost = record.phase == flow_phase::lost && age > lost_flow_time;
        const bool is_stuck = record.phase == flow_phase::opening && age > closed_flow_time;
        const bool is_idle = is_idle_too_long(record, now);
        if (is_closed || is_lost || is_stuck || is_idle) {
            m_idle_flows_discarded += is_idle && is_open(record) ? 1 : 0;
            set_request_pending(it->first, record, false, now);
            set_phase(record, flow_phase::lost, now);
            it = m_flows.erase(it);
        } else {
            ++it;
        }
    }
}

bool agent_relay::may_be_at_host(const flow_record& record) noexcept
{
    return record.phase == flow_phase::opening || record.phase == flow_phase::established ||
           record.phase == flow_phase::probing;
}

bool agent_relay::is_idle_too_long(const flow_record& record, core::time_point now) const
{
    const auto timeout = m_view.idle_timeout();
    if (!may_be_at_host(record)) {
        // A search finds the flow again.
        return now - record.last_activity_at > timeout;
    }
    // Only this agent knows that its host has the flow, and the view may lack a longer timeout. An idle flow is not
    // younger than its idle time.
    const bool is_expired = now - record.last_activity_at > std::max(timeout, m_options.flow_ttl) + idle_flow_slack;
    return is_expired ||
           (m_view_confirmed_at && *m_view_confirmed_at - record.last_activity_at > timeout + idle_flow_slack);
}

bool agent_relay::is_abandoned(const flow_key& flow, const flow_record& record, core::time_point now) const
{
    if (!record.request_pending || m_admission.is_waiting(flow)) {
        return false;
    }
    const auto known = patience_of(flow);
    const auto patience = known.count() > 0 ? known : default_patience;
    return now - record.request_pending_since > patience + abandoned_request_slack;
}

void agent_relay::send_flow_found(const flow_key& flow, ipv4 entry, actions& out)
{
    if (entry != ipv4{}) {
        out.push_back(send_message{entry, flow_found{flow, load()}});
    }
}

void agent_relay::set_request_pending(const flow_key& flow, flow_record& record, bool request_pending,
                                      core::time_point now)
{
    if (record.request_pending != request_pending) {
        record.request_pending = request_pending;
        request_pending ? m_load.add_request(flow, now) : m_load.end_request(flow, now);
    }
    if (request_pending) {
        record.request_pending_since = now;
        return;
    }
    record.in_service = false;
    m_admission.on_request_ended(flow);
}

void agent_relay::record_client_waits(const flow_key& flow, const flow_record& record, core::time_point now)
{
    const auto age = std::chrono::duration_cast<core::milliseconds>(now - record.request_sent_at);
    m_profile.on_client_waits(flow, age, now);
}

core::milliseconds agent_relay::patience_of(const flow_key& flow) const
{
    const auto* route = m_view.find_route(flow.service, flow.service_port);
    return route != nullptr ? m_profile.patience(flow, route->value.timeout) : core::milliseconds(0);
}

void agent_relay::set_phase(flow_record& record, flow_phase phase, core::time_point now) noexcept
{
    const bool was_open = is_open(record);
    record.phase = phase;
    record.phase_started_at = now;
    if (phase != flow_phase::searching && phase != flow_phase::unconfirmed) {
        record.search_packet = {};
    }
    m_load.count_open_flows((is_open(record) ? 1 : 0) - (was_open ? 1 : 0));
}

void agent_relay::set_fin_seen(flow_record& record, bool client_fin, bool host_fin) noexcept
{
    const bool was_open = is_open(record);
    record.client_fin = client_fin;
    record.host_fin = host_fin;
    m_load.count_open_flows((is_open(record) ? 1 : 0) - (was_open ? 1 : 0));
}

bool agent_relay::is_open(const flow_record& record) noexcept
{
    return record.phase == flow_phase::established && !record.client_fin && !record.host_fin;
}

bool agent_relay::accepts() const noexcept
{
    const auto* own = m_view.find_host(m_options.self);
    return !m_draining && !m_suspected && own != nullptr && own->accepts_new_flows() && !is_avoided() &&
           m_cold.may_open(m_admission.waiting());
}

bool agent_relay::is_avoided() const noexcept
{
    if (!m_health.is_failing()) {
        return false;
    }
    return may_avoid(m_load.closed_peer_count(), m_load.peer_count() + 1);
}

void agent_relay::record_request_outcome(bool answered, std::string_view failure, const flow_key& flow,
                                         core::time_point now, actions& out)
{
    const bool was_failing = m_health.is_failing();
    m_health.on_outcome(answered, now);
    if (m_health.is_failing() != was_failing) {
        out.push_back(decision_record{was_failing ? decision::host_answers : decision::host_suspected, flow,
                                      m_options.self, 0, load(), was_failing ? "recovered" : failure});
    }
}

} // namespace daisydoor::relay
