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

/// @brief Caller side: the protocol state machine of a session, without I/O, and the client library over sockets.
namespace daisydoor::caller
{

/// @brief Send `bytes`, a packet header and packet without envelope, to the service address.
struct send_packet
{
    wire::buffer bytes;
};

/// @brief Replace the socket by one with another local port, since a middlebox may have dropped its state for the
/// old port.
struct replace_socket
{
};

/// @brief A flow was opened: the first one, or another one after the session lost its flow.
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

/// @brief Outcome of a request without an answer. `not_run`: no target has run it and none will; `unknown`: it may have
/// run.
struct refused
{
    core::request_number number{};
    wire::refusal_kind kind = wire::refusal_kind::unknown;
    wire::refusal_reason reason = wire::refusal_reason::none;
    core::milliseconds retry_after{0};
};

/// @brief Next event of the feed; events are reported in order, without gaps and duplicates.
struct feed_event
{
    core::event_id id{};
    std::vector<std::uint8_t> data;
};

using session_action = std::variant<send_packet, replace_socket, opened, open_failed, answered, refused, feed_event>;
using session_actions = std::vector<session_action>;

struct session_options
{
    core::workspace_id workspace{};
    core::milliseconds open_timeout{5000};
};

/// @brief Protocol state machine of one caller's session with one service.
///
/// It opens a flow, runs requests and a feed on it, sends keepalives, opens another flow when one is lost, and follows
/// planned moves to another agent. It does no I/O: each call appends to `actions` what the owner has to do.
class session
{
  public:
    session(session_options options, core::random_source random);
    ~session();
    session(const session&) = delete;
    session& operator=(const session&) = delete;

    void open(core::time_point now, session_actions& actions);
    /// @brief Starts an idempotent request. It is retried on another flow within its deadline and a retry budget of
    /// 10% of the requests.
    core::request_number request(core::time_point now, std::string path, core::milliseconds deadline,
                                 session_actions& actions);
    /// @brief Starts a posting (non-idempotent request). It is retransmitted only on its first flow and under its
    /// first number there, so that it runs at most once.
    core::request_number post(core::time_point now, std::string path, std::vector<std::uint8_t> payload,
                              core::milliseconds deadline, session_actions& actions);
    /// @brief Asks for cancellation. The actual outcome is still reported, as `answered` or `refused`.
    void cancel(core::time_point now, core::request_number number, session_actions& actions);
    /// @brief Subscribes to the feed at `path` from the event after `last_event`; 0 starts with the next new event.
    /// It replaces an earlier subscription.
    void subscribe(core::time_point now, std::string path, core::event_id last_event, session_actions& actions);
    void close(core::time_point now, session_actions& actions);

    /// @brief Handles a received packet header and packet; malformed and unexpected packets are ignored.
    void on_packet(core::time_point now, wire::bytes_view header_and_packet, session_actions& actions);
    /// @brief Runs the timers. The shortest one takes 30 ms, so it is called every 10 to 20 ms.
    void on_tick(core::time_point now, session_actions& actions);

    [[nodiscard]] bool is_open() const noexcept;
    /// @brief Id of the last reported event; before the first one, the position at which the subscription starts, or
    /// 0 while that is not known.
    [[nodiscard]] core::event_id last_event() const noexcept;
    /// @brief Token of the latest flow, also after the session lost it; all zero before the first one.
    [[nodiscard]] const wire::flow_token& token() const noexcept;

  private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace daisydoor::caller
