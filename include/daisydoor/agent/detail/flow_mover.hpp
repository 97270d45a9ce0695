#pragma once

#include "daisydoor/agent/detail/feed_hub.hpp"
#include "daisydoor/agent/work.hpp"

#include <map>
#include <tuple>

namespace daisydoor::agent::detail
{

/// @brief Moves flows to peers make-before-break, for a drain or to rebalance feeds, and adopts flows of peers.
///
/// The old agent asks a peer to adopt the flow, then sends the new token to the caller. After the caller's confirmation
/// it keeps the old flow until the caller has acknowledged its records. If a message of a step is lost, the step
/// repeats or the move starts over.
class flow_mover
{
  public:
    flow_mover(agent_context& context, flow_table& table, feed_hub& feeds, const work& requests)
        : m_context(context), m_table(table), m_feeds(feeds), m_requests(requests)
    {
    }

    void on_adopt_flow(core::time_point now, core::host_id host, const wire::adopt_flowT& body, action_list& actions);
    void on_adopt_reply(core::time_point now, core::host_id host, const wire::adopt_replyT& body, action_list& actions);
    void on_confirm(core::time_point now, core::flow_id flow, action_list& actions);
    void on_peer_down(core::host_id host);
    /// @brief Resends offers and starts moves. Returns flows whose move is complete and that can be removed.
    std::vector<core::flow_id> on_tick(core::time_point now, action_list& actions);
    /// @brief Drops the move of a flow that is about to be removed. A move at stage `offered` counts as completed.
    void forget(core::flow_id flow);

    /// @brief Whether the caller has confirmed that it uses the flow's successor at the peer.
    [[nodiscard]] bool is_move_confirmed(core::flow_id flow) const
    {
        const auto it = m_outgoing_moves.find(flow);
        return it != m_outgoing_moves.end() && it->second.current_stage == stage::confirmed;
    }
    /// @brief Subscribers that a peer has adopted but that are still in this agent's feed_hub.
    [[nodiscard]] std::size_t adopted_feeds() const noexcept { return m_adopted_feeds; }
    [[nodiscard]] std::size_t adopted_flows() const noexcept { return m_adopted_flows; }
    [[nodiscard]] std::uint64_t moved() const noexcept { return m_moved; }

  private:
    enum class stage
    {
        adoption_requested,
        /// The peer has the new flow; its token is sent to the caller until the caller confirms.
        offered,
        confirmed,
    };

    struct outgoing_move
    {
        core::host_id peer{};
        stage current_stage = stage::adoption_requested;
        wire::flow_token token;
        bool has_feed = false;
        core::time_point since{};
        core::time_point next_send{};
        core::milliseconds interval{0};
    };
    using outgoing_move_map = std::map<core::flow_id, outgoing_move>;

    struct adoption
    {
        core::flow_id flow{};
        core::time_point last_request_at{};
    };
    /// Host, incarnation and flow id at the old agent.
    using adoption_key = std::tuple<core::host_id, core::incarnation_id, std::uint64_t>;

    void set_stage(core::time_point now, outgoing_move& outgoing, stage next_stage);
    outgoing_move_map::iterator erase(outgoing_move_map::iterator it);
    bool tick_move(core::time_point now, core::flow_id flow, outgoing_move& outgoing, action_list& actions);
    void start_moves(core::time_point now, action_list& actions);
    void refill_credit(core::time_point now);
    bool start_move(core::time_point now, core::flow_id flow, bool for_drain, action_list& actions);
    [[nodiscard]] peer_status* peer_with_fewest_feeds(core::time_point now);
    [[nodiscard]] std::size_t surplus_feeds(core::time_point now);
    [[nodiscard]] bool can_adopt() const noexcept;

    agent_context& m_context;
    flow_table& m_table;
    feed_hub& m_feeds;
    const work& m_requests;
    outgoing_move_map m_outgoing_moves;
    std::map<adoption_key, adoption> m_adoptions;
    std::size_t m_adopted_feeds = 0;
    std::size_t m_adopted_flows = 0;
    std::uint64_t m_moved = 0;
    /// Number of moves that may start now (token bucket, refilled at feed_moves_per_second).
    double m_credit = 0;
    core::time_point m_credit_at{};
};

} // namespace daisydoor::agent::detail
