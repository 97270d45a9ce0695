#pragma once

#include "caller/client_socket.hpp"
#include "daisydoor/caller/client.hpp"

#include <deque>
#include <event2/event.h>
#include <map>

namespace daisydoor::caller
{

/// @brief Connects a session to a socket and a timer, and calls the user's handlers from the event loop.
class client::impl : public std::enable_shared_from_this<client::impl>
{
  public:
    /// @param loop the user's event loop, or nullptr to create one
    impl(const client_options& options, event_base* loop);
    ~impl();
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    void open(open_handler handler);
    core::request_number start(wire::request_kind kind, const std::string& path, std::vector<std::uint8_t> payload,
                               core::milliseconds deadline, outcome_handler handler);
    void cancel(core::request_number number);
    void subscribe(const std::string& path, core::event_id last_event, event_handler handler);
    void close();
    /// @brief Closes the session and removes all events from the loop, since the user destroyed the client. No handler
    /// is called afterwards.
    void detach();
    void run_for(core::milliseconds time);
    void stop();
    /// @brief Starts a request with `start_request` and runs the loop until its outcome.
    outcome start_and_wait(core::milliseconds deadline,
                           const std::function<core::request_number(outcome_handler)>& start_request);
    /// @brief Runs the loop until `is_done` returns true or `time` has passed.
    void run_until(core::milliseconds time, const std::function<bool()>& is_done);
    /// @throws caller_error with errc::foreign_loop
    void require_own_loop() const;

    [[nodiscard]] const session& state() const noexcept { return m_session; }
    [[nodiscard]] std::uint64_t broken_flows() const noexcept { return m_broken_flows; }
    [[nodiscard]] core::milliseconds open_timeout() const noexcept { return m_open_timeout; }

  private:
    using handler_call = std::function<void()>;

    void require_open() const;
    void on_packet(wire::bytes_view packet);
    void on_tick();
    /// @brief Executes the session's actions: sends packets and queues calls of handlers.
    void apply(session_actions& actions);
    void apply(const session_action& action);
    void finish_request(const outcome& value);
    void queue_handler_call(handler_call fn);
    void run_handler_calls();

    using loop_ptr = std::unique_ptr<event_base, void (*)(event_base*)>;

    /// Declared first, so that it is destroyed after the socket, whose event is registered on it.
    loop_ptr m_own_loop;
    event_base* m_loop;
    core::milliseconds m_open_timeout;
    session m_session;
    client_socket m_socket;
    event* m_tick_event = nullptr;
    event* m_handler_call_event = nullptr;
    bool m_was_opened = false;
    /// Whether open() has been called and close() has not.
    bool m_is_in_use = false;
    bool m_had_flow = false;
    std::uint64_t m_broken_flows = 0;
    /// End of the ticks after close(); until then the session retransmits its close.
    core::time_point m_ticks_until{};
    std::deque<handler_call> m_handler_calls;
    open_handler m_open_handler;
    event_handler m_event_handler;
    std::map<core::request_number, outcome_handler> m_requests;
};

} // namespace daisydoor::caller
