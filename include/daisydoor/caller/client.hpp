#pragma once

#include "daisydoor/caller/error.hpp"
#include "daisydoor/caller/session.hpp"
#include "daisydoor/core/endpoint.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

struct event_base;

namespace daisydoor::caller
{

/// Maximum size of a request's path plus payload, in bytes; both are sent in one datagram.
constexpr std::size_t max_request_size = wire::max_segment_payload_size;

struct client_options
{
    /// Published address of the service.
    core::endpoint service;
    core::workspace_id workspace{};
    core::milliseconds open_timeout{5000};
    /// Seed of the session's random number generator; 0 seeds it from the operating system.
    std::uint64_t seed = 0;
};

/// @brief Kind of a request's outcome.
enum class outcome_kind
{
    answered,
    /// It is certain that no target has run the request and that none will.
    not_run,
    /// The request may have run.
    unknown,
};
constexpr std::array<std::string_view, 3> outcome_kind_names{"answered", "not_run", "unknown"};

/// @brief The single outcome of one request.
struct outcome
{
    core::request_number number{};
    outcome_kind kind = outcome_kind::unknown;
    /// HTTP status code and complete response body of the target; set only for `answered`.
    std::uint16_t status = 0;
    std::vector<std::uint8_t> payload;
    /// Reason of the refusal, and the time to wait before a retry; not set for `answered`.
    wire::refusal_reason reason = wire::refusal_reason::none;
    core::milliseconds retry_after{0};
};

struct open_result
{
    bool is_open = false;
    /// Reason of the last refusal, and the time to wait before a retry; set only if the open failed after a refusal.
    wire::refusal_reason reason = wire::refusal_reason::none;
    core::milliseconds retry_after{0};
};

/// @brief Client of one service over UDP, with one session.
///
/// A session carries idempotent requests, postings (non-idempotent requests) and at most one event feed.
///
/// Handlers run from the event loop, never from within the call that registers them; a handler may use or destroy the
/// client. Every accepted request gets exactly one outcome, unless the client is destroyed first. Not thread-safe: all
/// calls must be made on the thread that runs the loop.
class client
{
  public:
    using open_handler = std::function<void(const open_result&)>;
    using outcome_handler = std::function<void(const outcome&)>;
    using event_handler = std::function<void(const feed_event&)>;

    /// @brief Creates a client with an event loop of its own, which runs only during run_for() and the blocking calls.
    /// @throws caller_error with errc::socket_failed
    explicit client(const client_options& options);
    /// @brief Creates a client on the user's event loop, which must outlive the client.
    /// @throws caller_error with errc::socket_failed
    client(const client_options& options, event_base* loop);
    /// @brief Closes the session; outstanding handlers are not called.
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    /// @brief Opens the session; `handler` gets the result once. Requests may be started before it arrives.
    /// @throws caller_error with errc::already_opened
    void open(open_handler handler);
    /// @brief Starts an idempotent request, which may be retried until its deadline.
    /// @param path starts with '/' and contains printable ASCII characters without spaces
    /// @param deadline time from this call to the deadline, at least 1 ms
    /// @throws caller_error with errc::not_open or errc::bad_argument
    core::request_number request(const std::string& path, core::milliseconds deadline, outcome_handler handler);
    /// @brief Starts a posting, which runs at most once. `path` and `deadline` are those of request().
    /// @throws caller_error with errc::not_open or errc::bad_argument
    core::request_number post(const std::string& path, std::vector<std::uint8_t> payload, core::milliseconds deadline,
                              outcome_handler handler);
    /// @brief Asks for cancellation; the request's handler still gets the actual outcome.
    /// @throws caller_error with errc::not_open
    void cancel(core::request_number number);
    /// @brief Subscribes to the feed at `path` from the event after `last_event`; 0 starts with the next new event.
    /// A second call replaces the subscription. @throws caller_error with errc::not_open or errc::bad_argument
    void subscribe(const std::string& path, core::event_id last_event, event_handler handler);
    /// @brief Closes the session. Outstanding requests get `unknown`, or `not_run` if they were never sent.
    void close();

    /// @brief Blocking open(). @throws caller_error with errc::open_failed, errc::already_opened or errc::foreign_loop
    void open_and_wait();
    /// @brief Blocking request(). @throws caller_error as request(), or with errc::foreign_loop
    outcome request_and_wait(const std::string& path, core::milliseconds deadline);
    /// @brief Blocking post(). @throws caller_error as post(), or with errc::foreign_loop
    outcome post_and_wait(const std::string& path, std::vector<std::uint8_t> payload, core::milliseconds deadline);
    /// @brief Runs the client's own event loop for `time` or until stop(). @throws caller_error with errc::foreign_loop
    void run_for(core::milliseconds time);
    /// @brief Makes run_for() return early; does nothing on the user's loop.
    void stop();

    [[nodiscard]] bool is_open() const noexcept;
    /// @brief Id of the last event that was queued for the handler; before the first one, the position at which the
    /// subscription starts, or 0 while that is not known.
    [[nodiscard]] core::event_id last_event() const noexcept;
    /// @brief Token of the latest flow; all zero before the first one. It changes when the session moves to another
    /// agent and when the agent renews it.
    [[nodiscard]] const wire::flow_token& token() const noexcept;

    /// @brief Number of times that the session lost its flow and had to open another; excludes planned moves.
    [[nodiscard]] std::uint64_t broken_flows() const noexcept;

  private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace daisydoor::caller
