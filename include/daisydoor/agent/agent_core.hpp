#pragma once

#include "daisydoor/agent/actions.hpp"
#include "daisydoor/agent/context.hpp"

#include <array>
#include <memory>
#include <string_view>

namespace daisydoor::agent
{

enum class agent_drop_reason
{
    malformed,
    stale,
    wrong_service,
    unknown_key,
    bad_mac,
    no_configuration,
    unexpected_kind,
};
constexpr std::array<std::string_view, 7> agent_drop_reason_names{
    "malformed", "stale", "wrong_service", "unknown_key", "bad_mac", "no_configuration", "unexpected_kind"};

struct agent_counters
{
    std::array<std::uint64_t, agent_drop_reason_names.size()> dropped{};
    std::uint64_t opens_answered = 0;
    std::uint64_t opens_forwarded = 0;
    std::uint64_t requests_accepted = 0;
    std::uint64_t requests_refused_not_run = 0;
    std::uint64_t requests_unknown = 0;
    std::uint64_t handed_to_peers = 0;
    std::uint64_t accepted_from_peers = 0;
    std::uint64_t flow_gone_replies = 0;
    std::uint64_t flows_moved = 0;
    std::uint64_t events_sent = 0;
};

/// @brief Sizes of the agent's state, for reports, metrics and the state dump.
struct agent_gauges
{
    std::size_t flows = 0;
    std::size_t subscribers = 0;
    std::size_t queued = 0;
    std::size_t in_flight = 0;
    std::size_t limit = 0;
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
