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
    /// Requests in progress at the host or about to be delivered to it.
    std::uint32_t in_flight = 0;
    std::uint32_t open_flows = 0;
    std::uint32_t slots = 1;
    /// Whether new flows may be placed on the host.
    bool accepts = true;
    /// Expected work left of the requests in progress, in microseconds.
    std::uint32_t work_us = 0;
    /// Mean work of a request, in microseconds; 0 if the work isn't known.
    std::uint32_t mean_work_us = 0;
    /// Slots that the further requests of open flows keep busy in the mean, in thousandths.
    std::uint32_t flow_work = 0;
};

/// @brief Reports that the flow is open at the sender's host.
struct flow_found
{
    flow_key flow;
    host_load load;
};

/// @brief Reports that the sender's host does not have the flow. To an entry that has just placed the flow: the
/// client's next copy of the opening packet is to be placed anew.
struct flow_unknown
{
    flow_key flow;
};

/// @brief Requests all changes after a position; repeated for as long as the sender wants updates.
struct fleet_subscribe
{
    relay::revision revision{};
    /// Number of the sender's question, its request for a confirmation that its view is complete; 0 if it has none.
    std::uint32_t question = 0;
    /// Era of the revision; 0 also from a process of a build without eras.
    store_era era{};
    /// Time for which the sender knows all former services of the routes; 0 if it cannot be told any.
    core::milliseconds past{0};

    [[nodiscard]] store_position position() const noexcept { return {era, revision}; }
};

/// @brief Reply to a subscription; sent at once and again on every change.
struct fleet_news
{
    /// Time since the platform last confirmed the sender's state.
    core::milliseconds age{0};
    /// Time since the platform became reachable again after an outage; the maximum (2^32 - 1 ms) if there was no
    /// outage.
    core::milliseconds regained{0};
    /// Revision on which the changes build; a receiver with an older revision cannot apply the update.
    relay::revision after{};
    /// Whether the changes are too large for datagrams and must be fetched over HTTP.
    bool fetch = false;
    fleet_update update;
    /// Number of the receiver's question that was answered by a call to the platform which began after the question
    /// arrived; 0 if none.
    std::uint32_t answered = 0;
    /// Era of `after`.
    store_era after_era{};
    /// Version of the sender's routes; 0 if the message does not tell.
    route_version version{};

    [[nodiscard]] store_position after_position() const noexcept { return {after_era, after}; }
};

using message = std::variant<host_load, flow_found, flow_unknown, fleet_subscribe, fleet_news>;

/// @brief Forwards a packet to the agent at an address. The bytes stay valid until the next call of the core that
/// returned the action.
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

/// @brief Forwards a packet of the host to its client; lifetime of the bytes as in send_to_agent.
struct send_to_client
{
    ipv4 client{};
    wire::bytes_view bytes;
};

/// @brief Resets the client's flow. If the flow was not open yet, none of its requests has run.
struct reset_client
{
    flow_key flow;
    /// Sequence number of the reset: what the client last acknowledged; 0 in answer to an opening packet.
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

/// @brief Decision about a flow, or changed assessment of a host or an agent, for the log.
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
    zone_suspected,
    zone_answers,
};
constexpr std::array<std::string_view, 17> decision_names{
    "placed",         "placed_again",     "redirected",      "refused",        "opened",       "unanswered",
    "search_started", "flow_lost",        "route_unknown",   "host_suspected", "host_answers", "agent_suspected",
    "request_waits",  "request_released", "request_dropped", "zone_suspected", "zone_answers"};

/// @brief Log record of one decision with its inputs.
struct decision_record
{
    relay::decision decision = decision::placed;
    flow_key flow;
    /// Agent that the decision concerns; 0 if none.
    ipv4 agent{};
    std::uint8_t hops = 0;
    /// Load of the agent's host, or of the chosen peer as last reported.
    host_load load;
    std::string_view reason;
    /// Time that a request waited inside the agent.
    core::milliseconds waited{0};
};

using action =
    std::variant<send_to_agent, send_to_host, send_to_client, reset_client, send_message, fetch_view, decision_record>;
using actions = std::vector<action>;

} // namespace daisydoor::relay
