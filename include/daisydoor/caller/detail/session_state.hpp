#pragma once

#include "daisydoor/caller/detail/feed_receiver.hpp"
#include "daisydoor/caller/detail/flow_opener.hpp"
#include "daisydoor/caller/detail/path_monitor.hpp"
#include "daisydoor/caller/detail/request_tracker.hpp"

#include <list>
#include <memory>

namespace daisydoor::caller::detail
{

/// @brief Implementation of `session`: its current flow, the flow that it moves to, and earlier flows that still have
/// requests without an outcome.
class session_state
{
  public:
    session_state(const session_options& options, core::random_source random) : m_options(options), m_random(random) {}

    void open(core::time_point now, session_actions& actions);
    core::request_number add(core::time_point now, wire::request_kind kind, std::string path,
                             std::vector<std::uint8_t> payload, core::milliseconds deadline, session_actions& actions);
    void cancel(core::time_point now, core::request_number number, session_actions& actions);
    void subscribe(core::time_point now, std::string path, core::event_id last_event, session_actions& actions);
    void close(core::time_point now, session_actions& actions);
    void on_packet(core::time_point now, wire::bytes_view bytes, session_actions& actions);
    void on_tick(core::time_point now, session_actions& actions);

    [[nodiscard]] bool is_open() const noexcept { return m_current != nullptr; }
    [[nodiscard]] core::event_id last_event() const noexcept { return m_feed.last_event(); }
    [[nodiscard]] const wire::flow_token& token() const noexcept { return m_token; }

  private:
    /// @brief An earlier flow, closed once all its requests have outcomes.
    struct retired_flow
    {
        std::unique_ptr<session_flow> flow;
        /// Whether the session left the flow because its agent sent `move`, which it repeats until confirmed.
        bool is_moved = false;
        retransmit_timer close_timer;
        unsigned close_count = 0;
    };

    void on_open_answer(core::time_point now, const wire::packet_bodyUnion& body, session_actions& actions);
    void on_flow_packet(core::time_point now, session_flow& flow, const wire::packet_bodyUnion& body,
                        session_actions& actions);
    void on_keepalive_ack(core::time_point now, session_flow& flow, const wire::keepalive_ackT& body,
                          session_actions& actions);
    void on_move(core::time_point now, session_flow& flow, const wire::moveT& body, session_actions& actions);
    void on_flow_gone(core::time_point now, session_flow& flow, session_actions& actions);
    void make_candidate_current(core::time_point now, session_actions& actions);
    void confirm_move(const session_flow& old, session_actions& actions) const;
    void reopen(core::time_point now, session_actions& actions);
    void retire_current(core::time_point now, bool is_moved);
    void on_tick_candidate(core::time_point now, session_actions& actions);
    void on_tick_path(core::time_point now, session_actions& actions);
    void on_tick_retired(core::time_point now, session_actions& actions);
    /// @brief Removes a retired flow, unless it still has requests without an outcome.
    void drop_retired(const session_flow& flow);
    void set_current(core::time_point now, std::unique_ptr<session_flow> flow);
    session_flow* find(const wire::flow_token& token);

    session_options m_options;
    core::random_source m_random;
    flow_opener m_opener;
    path_monitor m_path;
    request_tracker m_requests;
    feed_receiver m_feed;
    std::unique_ptr<session_flow> m_current;
    /// Flow offered by a `move`; it becomes the current one when its agent has answered on it.
    std::unique_ptr<session_flow> m_candidate;
    core::time_point m_candidate_since{};
    retransmit_timer m_candidate_timer;
    std::list<retired_flow> m_retired;
    wire::flow_token m_token;
    bool m_closed = false;
};

} // namespace daisydoor::caller::detail
