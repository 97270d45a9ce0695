#pragma once

#include "daisydoor/relay/fleet.hpp"
#include "daisydoor/wire/datagram.hpp"

#include <array>
#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

namespace daisydoor::relay
{

/// @brief Load of one host as its agent sees it.
struct host_load
{
    /// Requests that the host works on or is about to get.
    std::uint32_t in_flight = 0;
    std::uint32_t open_flows = 0;
    std::uint32_t slots = 1;
    /// Whether new flows may be placed on the host.
    bool accepts = true;
};

/// @brief The sender's host holds the flow.
struct flow_found
{
    flow_key flow;
    host_load load;
};

/// @brief The sender's host does not hold the flow.
struct flow_unknown
{
    flow_key flow;
};

/// @brief Asks for what changed after a revision; repeated while the sender wants to be told of changes.
struct fleet_subscribe
{
    relay::revision revision{};
    /// Number of the sender's question whether the platform confirms the view; 0 if it has none.
    std::uint32_t question = 0;
};

/// @brief Answers a subscription, at once and on every change.
struct fleet_news
{
    /// Time since the platform last confirmed the sender's state.
    core::milliseconds age{0};
    /// Time since the platform came back after it could not be reached; the maximum if it never was away.
    core::milliseconds regained{0};
    /// Revision that the changes follow; the update is useless to a receiver that is behind it.
    relay::revision after{};
    /// Whether the changes are too large for a datagram and must be fetched.
    bool fetch = false;
    fleet_update update;
    /// The receiver's question that a call of the platform, begun after the question arrived, has answered; 0 if none.
    std::uint32_t answered = 0;
};

using message = std::variant<host_load, flow_found, flow_unknown, fleet_subscribe, fleet_news>;

/// @brief Passes a packet to the agent at an address.
/// The bytes stay valid until the next call of the core that returned the action.
struct send_to_agent
{
    ipv4 agent{};
    wire::bytes_view bytes;
    ipv4 entry{};
    std::uint8_t hops = 0;
    packet_path path = packet_path::direct;
};

/// @brief Delivers a packet to the agent's own host; lifetime of the bytes as in send_to_agent.
struct send_to_host
{
    wire::bytes_view bytes;
    ipv4 entry{};
    /// Sent in place of `bytes` if not empty.
    wire::buffer owned = {};
};

/// @brief Passes a packet of the host to its client; lifetime of the bytes as in send_to_agent.
struct send_to_client
{
    ipv4 client{};
    wire::bytes_view bytes;
};

/// @brief Tells the client that its flow is not served. Nothing has run if the flow was not open.
struct reset_client
{
    flow_key flow;
    std::uint32_t sequence = 0;
};

struct send_message
{
    ipv4 to{};
    relay::message value;
};

/// @brief Fetches the whole fleet view of another process.
struct fetch_view
{
    ipv4 from{};
};

/// @brief What a core decided about a flow or believes of a peer, for the log.
enum class decision : std::uint8_t
{
    placed,
    placed_again,
    redirected,
    refused,
    opened,
    unanswered,
    search_started,
    flow_lost,
    route_unknown,
    host_suspected,
    host_answers,
    agent_suspected,
    request_waits,
    request_released,
    request_dropped,
};
constexpr std::array<std::string_view, 15> decision_names{
    "placed",       "placed_again",    "redirected",    "refused",          "opened",
    "unanswered",   "search_started",  "flow_lost",     "route_unknown",    "host_suspected",
    "host_answers", "agent_suspected", "request_waits", "request_released", "request_dropped"};

/// @brief Log record of one decision with the inputs that decided it.
struct decision_record
{
    relay::decision decision = decision::placed;
    flow_key flow;
    /// Agent that the decision names; 0 if none.
    ipv4 agent{};
    std::uint8_t hops = 0;
    /// Load of the own host, or of the chosen peer as last reported.
    host_load load;
    std::string_view reason;
    /// Time that a request waited inside the agent.
    core::milliseconds waited{0};
};

using action =
    std::variant<send_to_agent, send_to_host, send_to_client, reset_client, send_message, fetch_view, decision_record>;
using actions = std::vector<action>;

} // namespace daisydoor::relay
