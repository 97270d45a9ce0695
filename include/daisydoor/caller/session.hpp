#pragma once

#include "daisydoor/core/ids.hpp"
#include "daisydoor/core/random.hpp"
#include "daisydoor/core/time.hpp"
#include "daisydoor/wire/datagram.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

/// @brief Caller side: decision core of a session, and the client library over sockets.
namespace daisydoor::caller
{

/// @brief Sends header and packet (without envelope) to the service address.
struct send_packet
{
    wire::buffer bytes;
};

/// @brief Replaces the socket by a fresh one, so that a path that lost track of the flow is left behind.
struct replace_socket
{
};

struct opened
{
};

/// @brief The session could not be opened within the open timeout.
struct open_failed
{
    wire::refusal_reason reason = wire::refusal_reason::none;
    core::milliseconds retry_after{0};
};

struct answered
{
    core::request_number number{};
    std::uint16_t status = 0;
    std::vector<std::uint8_t> payload;
};

/// @brief Truthful refusal: `not_run` is proved, `unknown` means that the request may have run.
struct refused
{
    core::request_number number{};
    wire::refusal_kind kind = wire::refusal_kind::unknown;
    wire::refusal_reason reason = wire::refusal_reason::none;
    core::milliseconds retry_after{0};
};

/// @brief Next event of the feed: no gap, no repeat.
struct feed_event
{
    core::event_id id{};
    std::vector<std::uint8_t> data;
};

using session_action = std::variant<send_packet, replace_socket, opened, open_failed, answered, refused, feed_event>;
using session_actions = std::vector<session_action>;

struct session_options
{
    core::tenant_id tenant{};
    core::milliseconds open_timeout{5000};
};

/// @brief State of one caller's use of one service: open, requests, feed, keepalive, resume and moves.
class session
{
  public:
    session(session_options options, core::random_source random);
    ~session();
    session(const session&) = delete;
    session& operator=(const session&) = delete;

    void open(core::time_point now, session_actions& actions);
    /// @brief Starts an idempotent request; it is repeated within its deadline and a retry budget of 10%.
    core::request_number request(core::time_point now, std::string path, core::milliseconds deadline,
                                 session_actions& actions);
    /// @brief Starts a posting. It is never repeated under another number or at another agent.
    core::request_number post(core::time_point now, std::string path, std::vector<std::uint8_t> payload,
                              core::milliseconds deadline, session_actions& actions);
    /// @brief Asks for cancellation. The outcome arrives as `answered` or `refused`, whichever is true.
    void cancel(core::time_point now, core::request_number number, session_actions& actions);
    void subscribe(core::time_point now, std::string path, core::event_id last_event, session_actions& actions);
    void close(core::time_point now, session_actions& actions);

    void on_packet(core::time_point now, wire::bytes_view header_and_packet, session_actions& actions);
    void on_tick(core::time_point now, session_actions& actions);

    [[nodiscard]] bool is_open() const noexcept;
    [[nodiscard]] core::event_id last_event() const noexcept;
    /// @brief Token of the current flow; all zero before the first one.
    [[nodiscard]] const wire::flow_token& token() const noexcept;

  private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace daisydoor::caller
