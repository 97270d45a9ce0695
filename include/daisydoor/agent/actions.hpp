#pragma once

#include "daisydoor/core/endpoint.hpp"
#include "daisydoor/core/ids.hpp"
#include "daisydoor/core/time.hpp"
#include "daisydoor/wire/datagram.hpp"
#include "daisydoor/wire/peer.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// @brief The agent's protocol logic. It does no I/O: it returns these actions, which the caller executes.
namespace daisydoor::agent
{

/// @brief Sends a complete datagram, envelope included, on the fabric's return path to the caller.
struct send_datagram
{
    wire::buffer bytes;
};

/// @brief Sends a message to a peer agent of the same service.
struct send_peer
{
    core::host_id host{};
    wire::peer_messageT message;
};

/// @brief Identifies one HTTP exchange with the target; unique within the agent's incarnation.
enum class exchange_id : std::uint64_t
{
};

/// @brief Starts an HTTP exchange with the target. From then on the target may have run the request.
struct start_exchange
{
    exchange_id id{};
    wire::request_kind kind = wire::request_kind::idempotent;
    std::string path;
    std::vector<std::uint8_t> payload;
    /// Value of the X-Request-Id header: host and incarnation of the home agent, flow and request number, joined by
    /// '-'. Empty for a health probe.
    std::string request_id;
    core::milliseconds timeout{0};
};

/// @brief Closes the connection of an exchange, which cancels the request at the target.
struct cancel_exchange
{
    exchange_id id{};
};

/// @brief Identifies one feed connection to the target; unique within the agent's incarnation.
enum class feed_connection_id : std::uint64_t
{
};

/// @brief Opens a feed connection to the target that starts after `last_event` (0: with the next event).
struct open_feed
{
    feed_connection_id id{};
    std::string path;
    core::event_id last_event{};
};

struct close_feed
{
    feed_connection_id id{};
};

/// @brief A draining agent has no flows or work left, or its drain timeout has passed; the process can exit.
struct drain_finished
{
};

/// @brief Asks for confirmation that the configuration in use is the current one.
struct refresh_configuration
{
};

using action = std::variant<send_datagram, send_peer, start_exchange, cancel_exchange, open_feed, close_feed,
                            drain_finished, refresh_configuration>;
using action_list = std::vector<action>;

enum class exchange_status
{
    answered,
    /// The connection could not be opened: no byte was sent.
    connect_failed,
    /// The connection broke after bytes may have been sent.
    broken,
    /// No response within the timeout; the request may have run.
    timed_out,
};

/// @brief Result of an exchange with the target. `http_status` and `payload` are set only if `status` is `answered`.
struct exchange_result
{
    exchange_status status = exchange_status::answered;
    std::uint16_t http_status = 0;
    std::vector<std::uint8_t> payload;
};

} // namespace daisydoor::agent
