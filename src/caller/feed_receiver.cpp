#include "daisydoor/caller/detail/feed_receiver.hpp"

#include "daisydoor/core/fault.hpp"

#include <algorithm>

namespace daisydoor::caller::detail
{

namespace
{

/// Maximum number of events that are buffered until missing ones arrive.
constexpr std::size_t max_buffered_events = 64;
/// Per-packet load balancing reorders datagrams by a few milliseconds; a gap counts as loss only after this time.
constexpr core::milliseconds reorder_tolerance{30};

} // namespace

void feed_receiver::subscribe(core::time_point now, std::string path, core::event_id last_event)
{
    m_path = std::move(path);
    m_last_delivered = last_event;
    m_flows_to_acknowledge.clear();
    restart(now);
}

void feed_receiver::restart(core::time_point now)
{
    m_buffered.clear();
    m_has_gap = false;
    resubscribe(now);
}

void feed_receiver::on_subscribed(core::event_id position, session_actions& actions)
{
    m_is_subscription_confirmed = true;
    if (m_last_delivered == core::event_id{0}) {
        m_last_delivered = position;
        deliver_buffered(actions);
    }
}

void feed_receiver::send_subscribe(const wire::flow_token& token, session_actions& actions) const
{
    wire::subscribeT body;
    body.path = m_path;
    body.last_event = core::raw(m_last_delivered);
    send_on(token, std::move(body), actions);
}

bool feed_receiver::is_next(std::uint64_t previous) const noexcept
{
    // `previous` is 0 for the first event that the target ever sent to the agent. For any other event there is none
    // between `previous` and the event itself, so there is no gap if `previous` is at or before the last delivered one.
    const auto last = core::raw(m_last_delivered);
    return previous == last || (previous != 0 && previous < last) || core::is_active(core::fault::skip_gap_check);
}

void feed_receiver::deliver(std::uint64_t id, std::vector<std::uint8_t> data, session_actions& actions)
{
    m_last_delivered = core::event_id{id};
    actions.push_back(feed_event{m_last_delivered, std::move(data)});
}

void feed_receiver::deliver_buffered(session_actions& actions)
{
    while (!m_buffered.empty()) {
        const auto it = m_buffered.begin();
        if (it->first > core::raw(m_last_delivered)) {
            if (!is_next(it->second.previous) || !it->second.data.is_complete()) {
                return;
            }
            deliver(it->first, it->second.data.join_and_reset(), actions);
        }
        m_buffered.erase(it);
    }
}

void feed_receiver::on_event(core::time_point now, const session_flow& flow, const wire::eventT& body,
                             session_actions& actions)
{
    if (!is_subscribed() || body.id == 0) {
        return;
    }
    m_flows_to_acknowledge[&flow] = flow.token;
    if (body.id <= core::raw(m_last_delivered)) {
        if (core::is_active(core::fault::deliver_repeated_event)) {
            actions.push_back(feed_event{core::event_id{body.id}, body.data});
        }
        return;
    }
    if (m_buffered.size() >= max_buffered_events && m_buffered.count(body.id) == 0) {
        // The next event in order is accepted even if the buffer is full; otherwise the feed could never continue.
        if (!is_next(body.previous)) {
            return;
        }
        m_buffered.erase(std::prev(m_buffered.end()));
    }
    const auto last = m_last_delivered;
    auto& buffered = m_buffered[body.id];
    // Segments carry the same data on every flow, but `previous` depends on the flow's position in the feed.
    if (is_next(body.previous) || body.previous > buffered.previous) {
        buffered.previous = body.previous;
    }
    buffered.data.add(body.segment, std::max<std::size_t>(body.segment_count, 1), body.data);
    deliver_buffered(actions);
    if (m_buffered.empty()) {
        m_has_gap = false;
    } else if (!m_has_gap || m_last_delivered != last) {
        m_has_gap = true;
        m_gap_since = now;
        m_gap_timer.start(now);
    }
}

void feed_receiver::on_tick(core::time_point now, const session_flow* current, session_actions& actions)
{
    for (const auto& [flow, token] : m_flows_to_acknowledge) {
        wire::feed_ackT body;
        body.last_event = core::raw(m_last_delivered);
        send_on(token, body, actions);
    }
    m_flows_to_acknowledge.clear();
    if (current == nullptr || !is_subscribed()) {
        return;
    }
    if (!m_is_subscription_confirmed && m_subscribe_timer.is_due(now)) {
        m_subscribe_timer.advance(now);
        send_subscribe(current->token, actions);
    } else if (m_has_gap && now - m_gap_since >= reorder_tolerance && m_gap_timer.is_due(now)) {
        m_gap_timer.advance(now);
        send_subscribe(current->token, actions);
    }
}

} // namespace daisydoor::caller::detail
