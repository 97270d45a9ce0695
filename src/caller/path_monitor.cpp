#include "daisydoor/caller/detail/path_monitor.hpp"

#include <algorithm>

namespace daisydoor::caller::detail
{

void path_monitor::restart(core::time_point now) noexcept
{
    m_next_keepalive = now + m_interval;
    m_is_awaiting_ack = false;
    m_socket_was_replaced = false;
    m_missed_acks = 0;
}

void path_monitor::set_interval(core::milliseconds value) noexcept
{
    constexpr core::milliseconds shortest{1000};
    m_interval =
        value.count() > 0 ? std::clamp(value, shortest, core::milliseconds(default_interval)) : default_interval;
}

void path_monitor::probe(core::time_point now) noexcept
{
    if (!m_is_awaiting_ack) {
        m_next_keepalive = std::min(m_next_keepalive, std::max(now, m_last_keepalive_sent + min_probe_interval));
    }
}

void path_monitor::send(core::time_point now, const session_flow& flow, core::event_id last_event,
                        session_actions& actions)
{
    wire::keepaliveT body;
    body.sequence = ++m_sequence;
    body.last_event = core::raw(last_event);
    body.acknowledged = flow.acknowledged();
    m_last_keepalive_sent = now;
    m_is_awaiting_ack = true;
    send_on(flow.token, body, actions);
}

path_monitor::path_status path_monitor::on_tick(core::time_point now, const session_flow& flow,
                                                core::event_id last_event, session_actions& actions)
{
    if (!m_is_awaiting_ack) {
        if (now >= m_next_keepalive) {
            m_missed_acks = 0;
            send(now, flow, last_event, actions);
        }
        return path_status::usable;
    }
    if (now - m_last_keepalive_sent < ack_timeout) {
        return path_status::usable;
    }
    if (++m_missed_acks < max_missed_acks) {
        send(now, flow, last_event, actions);
        return path_status::usable;
    }
    if (m_socket_was_replaced) {
        return path_status::unreachable;
    }
    m_socket_was_replaced = true;
    m_missed_acks = 0;
    actions.push_back(replace_socket{});
    send(now, flow, last_event, actions);
    return path_status::replace_socket;
}

void path_monitor::on_ack(core::time_point now, std::uint32_t sequence) noexcept
{
    // The confirmation of a subscription, which has a reserved sequence number, shows as well that the path works.
    if (sequence <= m_sequence) {
        restart(now);
    }
}

} // namespace daisydoor::caller::detail
