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

/// @brief Decision core of the agent role.
namespace daisydoor::agent
{

/// @brief Sends a whole datagram (with envelope) to the fabric's return path.
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

/// @brief Number of one exchange with the target, unique within the incarnation.
enum class exchange_id : std::uint64_t
{
};

/// @brief Starts an HTTP exchange with the target. From here on the request counts as handed over.
struct start_exchange
{
    exchange_id id{};
    wire::request_kind kind = wire::request_kind::idempotent;
    std::string path;
    std::vector<std::uint8_t> payload;
    /// Value of the X-Request-Id header: names host, incarnation, flow and number of the home agent.
    std::string request_id;
    core::milliseconds timeout{0};
};

/// @brief Closes the exchange's connection, which cancels the request at the target.
struct cancel_exchange
{
    exchange_id id{};
};

/// @brief Number of one feed connection to the target.
enum class feed_connection_id : std::uint64_t
{
};

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

/// @brief All flows have left a draining agent; the process can exit.
struct drain_finished
{
};

/// @brief Asks for a confirmation that the held configuration is current.
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
    /// The connection broke or timed out after bytes may have been sent.
    broken,
    timed_out,
};

/// @brief Result of an exchange with the target.
struct exchange_result
{
    exchange_status status = exchange_status::answered;
    std::uint16_t http_status = 0;
    std::vector<std::uint8_t> payload;
};

} // namespace daisydoor::agent
