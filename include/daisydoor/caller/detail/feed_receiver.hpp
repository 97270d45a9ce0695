#pragma once

#include "daisydoor/caller/detail/segment_assembly.hpp"
#include "daisydoor/caller/detail/session_flow.hpp"

#include <map>
#include <string>

namespace daisydoor::caller::detail
{

/// @brief Receives the feed: reorders events, drops duplicates and requests missing ones.
///
/// During a move, events arrive on two flows.
class feed_receiver
{
  public:
    void subscribe(core::time_point now, std::string path, core::event_id last_event);
    [[nodiscard]] bool is_subscribed() const noexcept { return !m_path.empty(); }
    [[nodiscard]] core::event_id last_event() const noexcept { return m_last_delivered; }
    /// @brief Subscribes on a new flow from the last delivered event.
    void restart(core::time_point now);
    /// @brief Retransmits the subscription on the current flow until it is confirmed there.
    void resubscribe(core::time_point now)
    {
        m_is_subscription_confirmed = false;
        m_subscribe_timer.start(now);
    }
    /// @brief Handles the confirmation of the subscription; a subscription without a last event starts after
    /// `position`.
    void on_subscribed(core::event_id position, session_actions& actions);
    void send_subscribe(const wire::flow_token& token, session_actions& actions) const;
    void on_event(core::time_point now, const session_flow& flow, const wire::eventT& body, session_actions& actions);
    /// @brief Acknowledges received events and retransmits the subscription while it is unconfirmed or events are
    /// missing.
    void on_tick(core::time_point now, const session_flow* current, session_actions& actions);
    /// @brief Cancels the acknowledgement that is due on `flow`; called before the flow is destroyed.
    void remove_flow(const session_flow& flow) { m_flows_to_acknowledge.erase(&flow); }

  private:
    struct buffered_event
    {
        std::uint64_t previous = 0;
        segment_assembly data;
    };

    [[nodiscard]] bool is_next(std::uint64_t previous) const noexcept;
    void deliver(std::uint64_t id, std::vector<std::uint8_t> data, session_actions& actions);
    void deliver_buffered(session_actions& actions);

    std::string m_path;
    core::event_id m_last_delivered{};
    bool m_is_subscription_confirmed = false;
    retransmit_timer m_subscribe_timer;
    /// Events that wait for an earlier event or for one of their own segments, by id.
    std::map<std::uint64_t, buffered_event> m_buffered;
    bool m_has_gap = false;
    core::time_point m_gap_since{};
    retransmit_timer m_gap_timer;
    std::map<const session_flow*, wire::flow_token> m_flows_to_acknowledge;
};

} // namespace daisydoor::caller::detail
