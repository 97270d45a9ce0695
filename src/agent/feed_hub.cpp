#include "daisydoor/agent/detail/feed_hub.hpp"

#include <algorithm>

namespace daisydoor::agent::detail
{

namespace
{

constexpr core::milliseconds resend_initial{200};
constexpr core::milliseconds resend_max{2000};
/// Maximum of unacknowledged events in flight to one subscriber; bounds what is sent to an unreachable caller.
constexpr std::size_t send_window = 32;
/// Only the first unacknowledged events are resent; the caller buffers later ones that have arrived.
constexpr std::size_t resend_count = 4;
/// Callers send a keepalive every 10 s; a caller without any datagram for this long is unreachable.
constexpr core::milliseconds caller_silence{30000};
/// Feed connections that receive no byte for this long are closed and reopened.
constexpr core::milliseconds feed_silence{15000};
constexpr core::milliseconds reopen_initial{100};
constexpr core::milliseconds reopen_max{2000};
constexpr core::milliseconds join_interval{1000};

} // namespace

void feed_hub::subscribe(core::time_point now, core::flow_id flow, const std::string& path, core::event_id last_event,
                         action_list& actions)
{
    auto it = m_subscribers.find(flow);
    if (it != m_subscribers.end() && m_feeds.at(it->second.key).path != path) {
        unsubscribe(flow, actions);
        it = m_subscribers.end();
    }
    if (it == m_subscribers.end()) {
        subscriber sub;
        sub.acknowledged = sub.start_position = last_event;
        attach(now, flow, sub, path, actions);
        m_subscribers.emplace(flow, sub);
        return;
    }
    // A subscribe without a position is a delayed copy of the first one if events have been acknowledged since.
    if (last_event != core::event_id{0}) {
        set_position(now, flow, it->second, last_event, actions);
    } else if (it->second.acknowledged == core::event_id{0}) {
        it->second.sent = it->second.start();
        send_new(now, flow, it->second, actions);
    }
}

void feed_hub::set_position(core::time_point now, core::flow_id flow, subscriber& sub, core::event_id position,
                            action_list& actions)
{
    sub.acknowledged = sub.start_position = position;
    const auto& current = m_feeds.at(sub.key);
    if (!current.buffer.covers(position)) {
        // The caller's position is from another flow, and this feed's buffer does not cover it.
        const auto path = current.path;
        detach(flow, sub, actions);
        attach(now, flow, sub, path, actions);
    }
    // The caller may lack any event after its position, so all of them are resent.
    sub.sent = position;
    send_new(now, flow, sub, actions);
}

void feed_hub::attach(core::time_point now, core::flow_id flow, subscriber& sub, const std::string& path,
                      action_list& actions)
{
    const auto position = sub.start();
    const bool starts_anywhere = position == core::event_id{0};
    const auto it = std::find_if(m_feeds.begin(), m_feeds.end(), [&](const auto& item) {
        return item.second.path == path && (starts_anywhere || item.second.buffer.covers(position));
    });
    sub.key = it != m_feeds.end() ? it->first : open_feed_from(now, path, position, actions);
    auto& feed = m_feeds.at(sub.key);
    feed.subscribers.insert(flow);
    if (starts_anywhere) {
        sub.acknowledged = sub.start_position = feed.buffer.last();
    }
    sub.sent = sub.start();
    sub.attached_at = now;
}

void feed_hub::detach(core::flow_id flow, const subscriber& sub, action_list& actions)
{
    const auto it = m_feeds.find(sub.key);
    it->second.subscribers.erase(flow);
    if (!it->second.subscribers.empty()) {
        return;
    }
    if (it->second.is_connected) {
        m_connections.erase(it->second.connection);
        actions.emplace_back(close_feed{it->second.connection});
    }
    m_feeds.erase(it);
}

void feed_hub::unsubscribe(core::flow_id flow, action_list& actions)
{
    const auto it = m_subscribers.find(flow);
    if (it != m_subscribers.end()) {
        detach(flow, it->second, actions);
        m_subscribers.erase(it);
    }
}

feed_hub::feed_key feed_hub::open_feed_from(core::time_point now, const std::string& path, core::event_id position,
                                            action_list& actions)
{
    const auto key = ++m_last_key;
    auto& feed = m_feeds.emplace(key, feed_state{path, feed_buffer(position), {}, false, now, now, reopen_initial, {}})
                     .first->second;
    connect(now, feed, actions);
    m_connections[feed.connection] = key;
    return key;
}

void feed_hub::connect(core::time_point now, feed_state& feed, action_list& actions)
{
    feed.connection = feed_connection_id{++m_last_connection};
    feed.is_connected = true;
    feed.last_activity = now;
    actions.emplace_back(open_feed{feed.connection, feed.path, feed.buffer.last()});
}

feed_hub::feed_state* feed_hub::find_feed(feed_connection_id id)
{
    const auto it = m_connections.find(id);
    return it != m_connections.end() ? &m_feeds.at(it->second) : nullptr;
}

bool feed_hub::is_reachable(core::time_point now, core::flow_id flow, const subscriber& sub) const
{
    const auto* entry = m_table.find(flow);
    return sub.caller_seen && entry != nullptr && now - entry->last_seen < caller_silence;
}

void feed_hub::send_event(core::flow_id flow, const subscriber& sub, const stored_event& event, action_list& actions)
{
    const bool first = event.previous <= sub.start();
    const auto count = std::max<std::size_t>(
        (event.data.size() + wire::max_segment_payload_size - 1) / wire::max_segment_payload_size, 1);
    for (std::size_t i = 0; i < count; ++i) {
        const auto begin = static_cast<std::ptrdiff_t>(i * wire::max_segment_payload_size);
        const auto end =
            static_cast<std::ptrdiff_t>(std::min(event.data.size(), (i + 1) * wire::max_segment_payload_size));
        wire::eventT body;
        body.previous = core::raw(first ? sub.acknowledged : event.previous);
        body.id = core::raw(event.id);
        body.data.assign(event.data.begin() + begin, event.data.begin() + end);
        body.segment = static_cast<std::uint16_t>(i);
        body.segment_count = static_cast<std::uint16_t>(count);
        send_to_flow(m_context, *m_table.find(flow), std::move(body), actions);
    }
    ++m_events_sent;
}

void feed_hub::send_new(core::time_point now, core::flow_id flow, subscriber& sub, action_list& actions)
{
    if (!is_reachable(now, flow, sub)) {
        return;
    }
    const auto& buffer = m_feeds.at(sub.key).buffer;
    if (buffer.has_dropped_after(sub.start())) {
        return;
    }
    const auto first = buffer.index_after(sub.start());
    const auto end = std::min(buffer.size(), first + send_window);
    auto i = buffer.index_after(std::max(sub.sent, sub.start()));
    if (i == first && i < end) {
        sub.resend_interval = resend_initial;
        sub.resend_at = now + resend_initial;
    }
    for (; i < end; ++i) {
        send_event(flow, sub, buffer.at(i), actions);
        sub.sent = buffer.at(i).id;
    }
}

void feed_hub::resend(core::time_point now, core::flow_id flow, subscriber& sub, action_list& actions)
{
    if (sub.sent <= sub.start() || now < sub.resend_at || !is_reachable(now, flow, sub)) {
        return;
    }
    sub.resend_interval = std::min(sub.resend_interval * 2, resend_max);
    sub.resend_at = now + sub.resend_interval;
    const auto& buffer = m_feeds.at(sub.key).buffer;
    const auto first = buffer.index_after(sub.start());
    for (auto i = first; i < std::min(buffer.size(), first + resend_count) && buffer.at(i).id <= sub.sent; ++i) {
        send_event(flow, sub, buffer.at(i), actions);
    }
}

void feed_hub::acknowledge(core::time_point now, core::flow_id flow, core::event_id last_event, action_list& actions)
{
    const auto it = m_subscribers.find(flow);
    if (it == m_subscribers.end() || last_event <= it->second.acknowledged) {
        return;
    }
    auto& sub = it->second;
    if (!m_feeds.at(sub.key).buffer.covers(last_event)) {
        set_position(now, flow, sub, last_event, actions);
        return;
    }
    sub.acknowledged = last_event;
    sub.sent = std::max(sub.sent, last_event);
    sub.resend_interval = resend_initial;
    sub.resend_at = now + resend_initial;
    send_new(now, flow, sub, actions);
}

void feed_hub::on_caller_seen(core::time_point now, core::flow_id flow, action_list& actions)
{
    const auto it = m_subscribers.find(flow);
    if (it != m_subscribers.end() && !it->second.caller_seen) {
        it->second.caller_seen = true;
        send_new(now, flow, it->second, actions);
    }
}

void feed_hub::on_event(core::time_point now, feed_connection_id id, core::event_id event,
                        std::vector<std::uint8_t> data, action_list& actions)
{
    auto* feed = find_feed(id);
    if (feed == nullptr) {
        return;
    }
    feed->last_activity = now;
    feed->reopen_delay = reopen_initial;
    if (!feed->buffer.push(event, std::move(data))) {
        return;
    }
    for (const auto flow : feed->subscribers) {
        send_new(now, flow, m_subscribers.at(flow), actions);
    }
}

void feed_hub::on_activity(core::time_point now, feed_connection_id id)
{
    if (auto* feed = find_feed(id)) {
        feed->last_activity = now;
    }
}

void feed_hub::on_closed(core::time_point now, feed_connection_id id)
{
    if (auto* feed = find_feed(id)) {
        feed->is_connected = false;
        feed->reopen_at = now + feed->reopen_delay;
        feed->reopen_delay = std::min(feed->reopen_delay * 2, reopen_max);
        m_connections.erase(id);
    }
}

void feed_hub::tick_feeds(core::time_point now, action_list& actions)
{
    for (auto& [key, feed] : m_feeds) {
        if (feed.is_connected && now - feed.last_activity >= feed_silence) {
            m_connections.erase(feed.connection);
            actions.emplace_back(close_feed{feed.connection});
            feed.is_connected = false;
            feed.reopen_at = now;
        }
        if (!feed.is_connected && now >= feed.reopen_at) {
            connect(now, feed, actions);
            m_connections[feed.connection] = key;
        }
    }
}

void feed_hub::join_feeds(core::time_point now, action_list& actions)
{
    if (now < m_next_join) {
        return;
    }
    m_next_join = now + join_interval;
    for (auto& [flow, sub] : m_subscribers) {
        const auto path = m_feeds.at(sub.key).path;
        const auto shared = std::find_if(m_feeds.begin(), m_feeds.end(),
                                         [&path](const auto& item) { return item.second.path == path; });
        const bool is_behind = m_feeds.at(sub.key).buffer.has_dropped_after(sub.start());
        const bool can_join = shared->first != sub.key && shared->second.buffer.covers(sub.start());
        // A reachable caller that is behind the buffer gets its own feed, at most once per join_interval. An
        // unreachable one gets none.
        const bool can_reopen = is_behind && is_reachable(now, flow, sub) && now - sub.attached_at >= join_interval;
        if (can_join || can_reopen) {
            detach(flow, sub, actions);
            attach(now, flow, sub, path, actions);
            send_new(now, flow, sub, actions);
        }
    }
}

void feed_hub::on_tick(core::time_point now, action_list& actions)
{
    tick_feeds(now, actions);
    for (auto& [flow, sub] : m_subscribers) {
        resend(now, flow, sub, actions);
    }
    join_feeds(now, actions);
}

std::optional<feed_hub::position> feed_hub::position_of(core::flow_id flow) const
{
    const auto it = m_subscribers.find(flow);
    if (it == m_subscribers.end()) {
        return std::nullopt;
    }
    return position{m_feeds.at(it->second.key).path, it->second.acknowledged};
}

} // namespace daisydoor::agent::detail
