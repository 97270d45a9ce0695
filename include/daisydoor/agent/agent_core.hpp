#pragma once

#include "daisydoor/agent/actions.hpp"
#include "daisydoor/agent/context.hpp"

#include <array>
#include <memory>
#include <string_view>

namespace daisydoor::agent
{

/// @brief Why a datagram was dropped.
enum class agent_drop_reason
{
    malformed,
    /// Older than core::max_datagram_age, including the wait in the receive queue.
    stale,
    /// The service address is not that of this service, or the token names another service or host. The latter is still
    /// handled as a packet of an unknown flow, so that the caller gets `flow_gone`.
    wrong_service,
    /// The token was signed with a key that this agent does not have.
    unknown_key,
    bad_mac,
    /// The configuration or this agent's service in it is missing, or an open arrived while the configuration awaits
    /// confirmation after a pause.
    no_configuration,
    /// The packet class is not one that agents receive, or the body does not fit the class.
    unexpected_kind,
};
constexpr std::array<std::string_view, 7> agent_drop_reason_names{
    "malformed", "stale", "wrong_service", "unknown_key", "bad_mac", "no_configuration", "unexpected_kind"};

/// @brief Totals since the start of the process.
struct agent_counters
{
    /// Dropped datagrams by agent_drop_reason.
    std::array<std::uint64_t, agent_drop_reason_names.size()> dropped{};
    /// Flows that were opened at this agent, including opens that a peer forwarded.
    std::uint64_t opens_answered = 0;
    /// Opens sent on to a peer, because this agent drains, is ejected or has too many flows.
    std::uint64_t opens_forwarded = 0;
    /// Requests of own flows that passed the checks on arrival, without repeats; a full queue may still refuse them.
    std::uint64_t requests_accepted = 0;
    /// Requests of own flows whose record ended with a refusal of kind `not_run`.
    std::uint64_t requests_refused_not_run = 0;
    /// Requests of own flows whose record ended with a refusal of kind `unknown`: they may have run.
    std::uint64_t requests_unknown = 0;
    /// Hand-overs sent; a request that several peers were sent counts once for each.
    std::uint64_t handed_to_peers = 0;
    /// Requests accepted for execution on behalf of peers.
    std::uint64_t accepted_from_peers = 0;
    std::uint64_t flow_gone_replies = 0;
    /// Flows that moved from this agent to a peer.
    std::uint64_t flows_moved = 0;
    /// Feed events sent, counted for each subscribed flow and including repeats.
    std::uint64_t events_sent = 0;
};

/// @brief Sizes of the agent's state, for reports, metrics and the state dump.
struct agent_gauges
{
    std::size_t flows = 0;
    /// Flows that are subscribed to a feed, without those counted by flow_mover::adopted_feeds().
    std::size_t subscribers = 0;
    /// Requests in the queue, including those of peers.
    std::size_t queued = 0;
    /// Exchanges with the target that have not ended, including probes.
    std::size_t in_flight = 0;
    /// Current limit of concurrent exchanges.
    std::size_t limit = 0;
    /// Request records, including finished requests and those of peers.
    std::size_t records = 0;
};

/// @brief Decodes and verifies datagrams and dispatches all events to request handling (work) and to flows.
///
/// Each event handler appends the actions that the caller must execute to `actions`.
class agent_core
{
  public:
    agent_core(agent_options options, core::random_source random, core::time_point now);
    ~agent_core();
    agent_core(const agent_core&) = delete;
    agent_core& operator=(const agent_core&) = delete;

    /// @param age time for which the datagram waited in the socket's receive queue
    void on_datagram(core::time_point now, wire::bytes_view datagram, core::milliseconds age, action_list& actions);
    void on_peer_up(core::time_point now, core::host_id host, core::incarnation_id incarnation, action_list& actions);
    void on_peer_down(core::time_point now, core::host_id host, action_list& actions);
    void on_peer_message(core::time_point now, core::host_id host, const wire::peer_messageT& message,
                         action_list& actions);
    void on_exchange_result(core::time_point now, exchange_id id, exchange_result result, action_list& actions);
    void on_feed_event(core::time_point now, feed_connection_id id, core::event_id event,
                       std::vector<std::uint8_t> data, action_list& actions);
    /// @brief Records that bytes arrived on a feed connection, for example a comment line sent as a heartbeat.
    void on_feed_activity(core::time_point now, feed_connection_id id);
    void on_feed_closed(core::time_point now, feed_connection_id id, action_list& actions);
    /// @brief Makes the configuration the current one. A version older than the current one is ignored, and so is
    /// nullptr.
    void on_configuration(core::time_point now, config::snapshot_ptr snapshot, action_list& actions);
    void on_fleet_view(core::time_point now, const config::fleet_view_ptr& view, action_list& actions);
    void on_configuration_confirmed(core::time_point now, action_list& actions);
    /// @brief Starts a drain that cannot be reversed: on SIGTERM, or when the target's health endpoint reports a drain.
    void on_drain(core::time_point now, action_list& actions);
    void on_tick(core::time_point now, action_list& actions);

    [[nodiscard]] const agent_counters& counters() const noexcept;
    [[nodiscard]] agent_gauges gauges() const;
    [[nodiscard]] const agent_context& context() const noexcept;

  private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace daisydoor::agent
