#pragma once

#include "daisydoor/agent/detail/feed_buffer.hpp"
#include "daisydoor/agent/detail/flow_table.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace daisydoor::agent::detail
{

/// @brief Feeds of this agent: connections to the target, shared by path, and the positions of their subscribers.
///
/// A subscriber whose position has left the shared buffer gets a feed connection of its own until the shared buffer
/// covers its position again.
class feed_hub
{
  public:
    feed_hub(agent_context& context, flow_table& table) : m_context(context), m_table(table) {}

    /// @brief Subscribes a flow, or sets the position of a subscribed one. Events are sent only after the first
    /// datagram of the caller on this flow.
    /// @param last_event last event that the caller has; 0 to start with the next event
    void subscribe(core::time_point now, core::flow_id flow, const std::string& path, core::event_id last_event,
                   action_list& actions);
    void unsubscribe(core::flow_id flow, action_list& actions);
    void acknowledge(core::time_point now, core::flow_id flow, core::event_id last_event, action_list& actions);
    /// @brief Called for each datagram of the flow's caller. The first one starts the delivery of events.
    void on_caller_seen(core::time_point now, core::flow_id flow, action_list& actions);
    void on_event(core::time_point now, feed_connection_id id, core::event_id event, std::vector<std::uint8_t> data,
                  action_list& actions);
    void on_activity(core::time_point now, feed_connection_id id);
    void on_closed(core::time_point now, feed_connection_id id);
    /// @brief Resends events, reopens silent and closed connections, and moves subscribers to the shared feed of their
    /// path.
    void on_tick(core::time_point now, action_list& actions);

    struct position
    {
        std::string path;
        core::event_id last_event{};
    };
    /// @brief Path and acknowledged position of a subscriber.
    [[nodiscard]] std::optional<position> position_of(core::flow_id flow) const;
    [[nodiscard]] std::size_t subscribers() const noexcept { return m_subscribers.size(); }
    [[nodiscard]] std::uint64_t events_sent() const noexcept { return m_events_sent; }

  private:
    using feed_key = std::uint64_t;

    struct feed_state
    {
        std::string path;
        feed_buffer buffer;
        feed_connection_id connection{};
        bool is_connected = false;
        core::time_point last_activity{};
        core::time_point reopen_at{};
        core::milliseconds reopen_delay{0};
        std::set<core::flow_id> subscribers;
    };

    struct subscriber
    {
        feed_key key = 0;
        /// Last event that the caller has acknowledged; 0 if it has none.
        core::event_id acknowledged{};
        /// Position at which the subscription started in its feed.
        core::event_id start_position{};
        core::event_id sent{};
        /// Whether the caller has sent a datagram on the flow. The caller of an adopted flow does not have its token
        /// yet.
        bool caller_seen = false;
        core::time_point resend_at{};
        core::milliseconds resend_interval{0};
        core::time_point attached_at{};

        [[nodiscard]] core::event_id start() const noexcept { return std::max(acknowledged, start_position); }
    };
    using subscriber_map = std::map<core::flow_id, subscriber>;

    void attach(core::time_point now, core::flow_id flow, subscriber& sub, const std::string& path,
                action_list& actions);
    void set_position(core::time_point now, core::flow_id flow, subscriber& sub, core::event_id position,
                      action_list& actions);
    void detach(core::flow_id flow, const subscriber& sub, action_list& actions);
    feed_key open_feed_from(core::time_point now, const std::string& path, core::event_id position,
                            action_list& actions);
    void connect(core::time_point now, feed_state& feed, action_list& actions);
    feed_state* find_feed(feed_connection_id id);
    [[nodiscard]] bool is_reachable(core::time_point now, core::flow_id flow, const subscriber& sub) const;
    void send_event(core::flow_id flow, const subscriber& sub, const stored_event& event, action_list& actions);
    void send_new(core::time_point now, core::flow_id flow, subscriber& sub, action_list& actions);
    void resend(core::time_point now, core::flow_id flow, subscriber& sub, action_list& actions);
    void tick_feeds(core::time_point now, action_list& actions);
    void join_feeds(core::time_point now, action_list& actions);

    agent_context& m_context;
    flow_table& m_table;
    std::map<feed_key, feed_state> m_feeds;
    feed_key m_last_key = 0;
    std::uint64_t m_last_connection = 0;
    std::map<feed_connection_id, feed_key> m_connections;
    subscriber_map m_subscribers;
    std::uint64_t m_events_sent = 0;
    core::time_point m_next_join{};
};

} // namespace daisydoor::agent::detail
