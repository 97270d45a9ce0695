#pragma once

#include "daisydoor/agent/context.hpp"
#include "daisydoor/agent/work.hpp"

#include <memory>
#include <optional>

namespace daisydoor::agent
{

/// @brief Manages flows: opens, keepalives, feed subscriptions, and moves of flows between agents.
class flows
{
  public:
    struct counters
    {
        std::uint64_t opens_answered = 0;
        std::uint64_t opens_forwarded = 0;
        std::uint64_t flow_gone_replies = 0;
        std::uint64_t flows_moved = 0;
        std::uint64_t events_sent = 0;
    };

    /// @param requests asked whether a moved flow still has records; drops the records of closed flows
    flows(agent_context& context, work& requests);
    ~flows();
    flows(const flows&) = delete;
    flows& operator=(const flows&) = delete;

    /// @brief Answers an open, or forwards it to a peer if this agent drains, is ejected or has too many flows.
    /// @param datagram the complete datagram with its envelope, which is forwarded
    void on_open(core::time_point now, const wire::envelope& env, const wire::packet_header& header,
                 const wire::openT& body, wire::bytes_view datagram, action_list& actions);

    /// @brief Looks up the flow of a verified token and refreshes its caller address. Answers `flow_gone` (and, for a
    /// request, also a refusal `unknown`) and returns nullopt if this incarnation does not have the flow.
    std::optional<flow_address> find(core::time_point now, const wire::envelope& env, const wire::packet_header& header,
                                     const wire::packet_bodyUnion& body, action_list& actions);

    /// @brief Handles subscribe, feed_ack, keepalive, move_confirm and close; ignores other kinds.
    void on_packet(core::time_point now, const flow_address& from, const wire::packet_bodyUnion& body,
                   action_list& actions);
    /// @brief Handles open_forward, adopt_flow and adopt_reply; ignores other kinds.
    void on_peer_message(core::time_point now, core::host_id host, const wire::peer_messageT& message,
                         action_list& actions);
    void on_peer_down(core::time_point now, core::host_id host, action_list& actions);
    void on_feed_event(core::time_point now, feed_connection_id id, core::event_id event,
                       std::vector<std::uint8_t> data, action_list& actions);
    void on_feed_activity(core::time_point now, feed_connection_id id);
    void on_feed_closed(core::time_point now, feed_connection_id id, action_list& actions);
    /// @brief Resends events, replaces silent feed connections, expires idle flows, starts moves.
    void on_tick(core::time_point now, action_list& actions);

    [[nodiscard]] std::size_t size() const noexcept;
    [[nodiscard]] std::size_t subscribers() const noexcept;
    [[nodiscard]] const counters& count() const noexcept;

  private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace daisydoor::agent
