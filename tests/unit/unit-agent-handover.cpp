#include "support/work_harness.hpp"

#include <gtest/gtest.h>

namespace daisydoor::agent
{
namespace
{

using support::work_agent;
using wire::refusal_kind;
using wire::refusal_reason;
using wire::request_kind;

constexpr std::uint32_t home = 1;
constexpr std::uint32_t peer = 2;
constexpr std::uint64_t home_run = 7;
constexpr std::uint64_t peer_run = 8;

class handover_test : public ::testing::Test
{
  protected:
    handover_test()
    {
        agent.peer_up(now, peer, peer_run);
        agent.report_from(now, peer, 0);
    }

    /// Fills the only slot and queues the numbers 2 to `last`.
    exchange_id fill(std::uint64_t last, request_kind kind = request_kind::non_idempotent)
    {
        for (std::uint64_t number = 1; number <= last; ++number) {
            agent.request(now, from, number, kind);
        }
        const auto ids = agent.take_started_exchanges();
        EXPECT_EQ(ids.size(), 1U);
        return ids.at(0);
    }

    /// Hands number 2 over to the peer.
    wire::work_id hand_over(request_kind kind = request_kind::non_idempotent)
    {
        running = fill(2, kind);
        agent.report_from(now, peer, 1);
        for (const auto& item : agent.take_peer_messages()) {
            if (const auto* body = item.message.body.Ashandover()) {
                return *body->id;
            }
        }
        ADD_FAILURE() << "nothing was handed over";
        return {};
    }

    void result(const wire::work_id& id, wire::work_outcome outcome, refusal_reason reason = refusal_reason::none)
    {
        wire::handover_resultT body;
        body.id = std::make_unique<wire::work_id>(id);
        body.outcome = outcome;
        body.reason = reason;
        body.status = 200;
        agent.message(now, peer, wire::make_peer_message(core::config_version{1}, std::move(body)));
    }

    std::size_t sent_queries()
    {
        std::size_t n = 0;
        for (const auto& item : agent.take_peer_messages()) {
            n += item.message.body.Asoutcome_query() != nullptr ? 1 : 0;
        }
        return n;
    }

    work_agent agent{home, home_run, support::make_work_snapshot(3, 1)};
    flow_address from = work_agent::flow(5);
    core::time_point now = support::work_epoch;
    exchange_id running{};
};

// Guards against handing over more requests than the peer has free slots, and against ignoring a peer's work request.
TEST_F(handover_test, report_free_slots_used_once)
{
    fill(6);
    agent.report_from(now, peer, 2);
    EXPECT_EQ(agent.take_peer_messages().size(), 2U);
    EXPECT_EQ(agent.requests.queued(), 3U);
    wire::work_requestT request;
    request.count = 1;
    agent.message(now, peer, wire::make_peer_message(core::config_version{1}, request));
    EXPECT_EQ(agent.take_peer_messages().size(), 1U);
    now += peer_timeout;
    agent.message(now, peer, wire::make_peer_message(core::config_version{1}, request));
    EXPECT_TRUE(agent.take_peer_messages().empty());
}

// Guards against work that crosses availability zones before the queue exceeds the preset's limit.
TEST_F(handover_test, report_other_zone_spills_above_preset_queue)
{
    agent.m_snapshot->policies.at(static_cast<std::size_t>(config::preset::ordinary)).zone_spill_queue = 2;
    agent.ctx.peers[core::host_id{peer}].zone = "zone-b";
    fill(3);
    agent.report_from(now, peer, 5);
    EXPECT_TRUE(agent.take_peer_messages().empty());
    agent.request(now, from, 4, request_kind::non_idempotent);
    EXPECT_EQ(agent.take_peer_messages().size(), 1U);
}

// Guards against an idle agent that does not request the queued work of a busy peer, and against too many work
// requests: more are sent only when an earlier one has been unanswered for 20 ms (work_request_timeout).
TEST_F(handover_test, report_queued_work_requested_with_pause)
{
    const auto requested = [this] {
        std::uint32_t n = 0;
        for (const auto& item : agent.take_peer_messages()) {
            const auto* body = item.message.body.Aswork_request();
            n += body != nullptr ? body->count : 0;
        }
        return n;
    };
    // One free slot and two requests to prefetch (max_prefetched_work).
    agent.report_from(now, peer, 0, 4);
    EXPECT_EQ(requested(), 3U);
    agent.requests.on_tick(now, agent.actions);
    EXPECT_EQ(requested(), 0U);
    now += core::milliseconds{20};
    agent.requests.on_tick(now, agent.actions);
    EXPECT_EQ(requested(), 1U);
    now += core::milliseconds{20};
    agent.requests.on_tick(now, agent.actions);
    EXPECT_EQ(requested(), 0U);
}

// Guards against work that is handed over although its own agent would start it sooner.
TEST_F(handover_test, report_short_queue_not_requested_when_busy)
{
    fill(1);
    agent.report_from(now, peer, 0, 1);
    EXPECT_TRUE(agent.take_peer_messages().empty());
    agent.report_from(now, peer, 0, 2);
    EXPECT_EQ(agent.take_peer_messages().size(), 1U);
}

// Guards against a non-idempotent request that runs at its home agent while the peer may run it, and against a request
// that is lost when the peer rejects it.
TEST_F(handover_test, result_rejected_runs_at_home)
{
    const auto id = hand_over();
    agent.finish(now, running, exchange_status::answered);
    agent.take_replies();
    EXPECT_TRUE(agent.take_started_exchanges().empty());
    result(id, wire::work_outcome::not_run, refusal_reason::queue_full);
    EXPECT_EQ(agent.take_started_exchanges().size(), 1U);
    EXPECT_NE(agent.take_peer_messages().at(0).message.body.Asresult_ack(), nullptr);
}

// Guards against any other outcome than `unknown` for a non-idempotent request whose record was lost when the peer
// restarted.
TEST_F(handover_test, peer_restarted_posting_unknown)
{
    hand_over();
    agent.peer_down(now, peer);
    EXPECT_TRUE(agent.take_replies().empty());
    agent.peer_up(now, peer, peer_run + 1);
    const auto replies = agent.take_replies();
    ASSERT_EQ(replies.size(), 1U);
    EXPECT_EQ(replies[0].kind, refusal_kind::unknown);
    EXPECT_EQ(replies[0].reason, refusal_reason::peer_lost);
}

// Guards against a non-idempotent request that waits forever for a partitioned peer, or that is refused as `not_run`.
TEST_F(handover_test, deadline_peer_unreachable_posting_unknown)
{
    hand_over();
    agent.peer_down(now, peer);
    now += core::milliseconds{999};
    agent.requests.on_tick(now, agent.actions);
    agent.take_replies();
    now += core::milliseconds{1};
    agent.requests.on_tick(now, agent.actions);
    const auto replies = agent.take_replies();
    ASSERT_EQ(replies.size(), 1U);
    EXPECT_EQ(replies[0].number, 2U);
    EXPECT_EQ(replies[0].kind, refusal_kind::unknown);
}

// Guards against an outcome that stays unknown after a link loss although the peer still has it.
TEST_F(handover_test, link_back_outcome_queried)
{
    const auto id = hand_over();
    agent.peer_down(now, peer);
    agent.peer_up(now, peer, peer_run);
    EXPECT_EQ(sent_queries(), 1U);
    result(id, wire::work_outcome::running);
    EXPECT_TRUE(agent.take_replies().empty());
    result(id, wire::work_outcome::answered);
    EXPECT_TRUE(agent.take_replies().at(0).answered);
    result(id, wire::work_outcome::answered);
    EXPECT_TRUE(agent.take_replies().empty());
}

// Guards against shed idempotent requests that are handed from peer to peer through the whole service.
TEST_F(handover_test, shed_idempotent_offered_to_one_peer)
{
    agent.peer_up(now, 3, 9);
    agent.report_from(now, 3, 0);
    agent.request(now, from, 1, request_kind::idempotent);
    agent.finish(now, agent.take_started_exchanges().at(0), exchange_status::answered, 503);
    const auto sent = agent.take_peer_messages();
    ASSERT_EQ(sent.size(), 1U);
    ASSERT_NE(sent[0].message.body.Ashandover(), nullptr);
    result(*sent[0].message.body.Ashandover()->id, wire::work_outcome::not_run, refusal_reason::target_shed);
    const auto replies = agent.take_replies();
    ASSERT_EQ(replies.size(), 1U);
    EXPECT_EQ(replies[0].kind, refusal_kind::not_run);
    EXPECT_EQ(replies[0].reason, refusal_reason::target_shed);
}

// Guards against work that a drained or ejected agent does not hand over although a peer could run it.
TEST_F(handover_test, request_at_drained_agent_handed_over)
{
    agent.ctx.own.state = wire::agent_state::draining;
    agent.ctx.own.drain_started = now - core::seconds{3};
    agent.request(now, from, 1, request_kind::non_idempotent);
    EXPECT_TRUE(agent.take_started_exchanges().empty());
    const auto sent = agent.take_peer_messages();
    ASSERT_EQ(sent.size(), 1U);
    ASSERT_NE(sent[0].message.body.Ashandover(), nullptr);
    result(*sent[0].message.body.Ashandover()->id, wire::work_outcome::not_run, refusal_reason::queue_full);
    const auto replies = agent.take_replies();
    ASSERT_EQ(replies.size(), 1U);
    EXPECT_EQ(replies[0].reason, refusal_reason::draining);
}

// Guards against queued work that waits for a failing target, and against work that is refused while it waits.
TEST_F(handover_test, ejected_queued_handed_over)
{
    fill(3);
    agent.report_from(now, peer, 0, 5, wire::agent_state::draining);
    agent.ctx.own.state = wire::agent_state::ejected;
    agent.requests.on_tick(now, agent.actions);
    EXPECT_TRUE(agent.take_peer_messages().empty());
    EXPECT_EQ(agent.requests.queued(), 2U);
    agent.report_from(now, peer, 0);
    EXPECT_EQ(agent.take_peer_messages().size(), 2U);
    EXPECT_EQ(agent.requests.queued(), 0U);
    EXPECT_TRUE(agent.take_replies().empty());
}

class executor_test : public ::testing::Test
{
  protected:
    executor_test() { agent.peer_up(now, home, home_run); }

    wire::handoverT work(std::uint64_t number) const
    {
        wire::handoverT body;
        body.id = std::make_unique<wire::work_id>(home_run, 5, number, home);
        body.kind = request_kind::non_idempotent;
        body.path = "/p";
        body.deadline_ms = 1000;
        return body;
    }

    template <typename Body>
    void deliver(Body body)
    {
        agent.message(now, home, wire::make_peer_message(core::config_version{1}, std::move(body)));
    }

    void query(std::uint64_t number, bool cancel_work = false)
    {
        wire::outcome_queryT body;
        body.id = std::make_unique<wire::work_id>(home_run, 5, number, home);
        body.cancel_work = cancel_work;
        deliver(std::move(body));
    }

    void acknowledge(std::uint64_t number)
    {
        wire::result_ackT body;
        body.id = std::make_unique<wire::work_id>(home_run, 5, number, home);
        deliver(std::move(body));
    }

    std::vector<wire::handover_resultT> results()
    {
        std::vector<wire::handover_resultT> list;
        for (const auto& item : agent.take_peer_messages()) {
            if (const auto* body = item.message.body.Ashandover_result()) {
                list.push_back(*body);
            }
        }
        return list;
    }

    work_agent agent{peer, peer_run, support::make_work_snapshot(2, 1)};
    core::time_point now = support::work_epoch;
};

// Guards against a hand-over that arrives after its outcome query was answered `not_run` (fenced) and still runs: the
// home agent has run the request itself by then.
TEST_F(executor_test, handover_after_fence_never_starts)
{
    query(1);
    ASSERT_EQ(results().at(0).outcome, wire::work_outcome::not_run);
    acknowledge(1);
    deliver(work(1));
    EXPECT_TRUE(agent.take_started_exchanges().empty());
    EXPECT_EQ(results().at(0).outcome, wire::work_outcome::not_run);
    now += core::seconds{599};
    agent.requests.on_tick(now, agent.actions);
    EXPECT_EQ(agent.requests.records(), 1U);
    now += core::seconds{1};
    agent.requests.on_tick(now, agent.actions);
    EXPECT_EQ(agent.requests.records(), 0U);
}

// Guards against a fence that answers `not_run` for queued work and lets it start later.
TEST_F(executor_test, query_by_state_outcome_truthful)
{
    deliver(work(1));
    deliver(work(2));
    const auto ids = agent.take_started_exchanges();
    ASSERT_EQ(ids.size(), 1U);
    query(2);
    EXPECT_EQ(results().at(0).outcome, wire::work_outcome::not_run);
    query(1);
    EXPECT_EQ(results().at(0).outcome, wire::work_outcome::running);
    EXPECT_TRUE(agent.actions.empty());
    query(1, true);
    EXPECT_EQ(std::get<cancel_exchange>(agent.actions.at(0)).id, ids[0]);
    EXPECT_EQ(results().at(0).outcome, wire::work_outcome::running);
    agent.finish(now, ids[0], exchange_status::broken);
    EXPECT_EQ(results().at(0).outcome, wire::work_outcome::unknown);
    EXPECT_TRUE(agent.take_started_exchanges().empty());
    acknowledge(1);
    acknowledge(2);
    EXPECT_EQ(agent.requests.records(), 0U);
}

// Guards against results that are lost because the link breaks before they are sent.
TEST_F(executor_test, result_without_link_kept_for_query)
{
    deliver(work(1));
    const auto ids = agent.take_started_exchanges();
    agent.peer_down(now, home);
    agent.finish(now, ids.at(0), exchange_status::answered, 200, {1, 2, 3});
    EXPECT_TRUE(agent.take_peer_messages().empty());
    agent.peer_up(now, home, home_run);
    query(1);
    const auto list = results();
    ASSERT_EQ(list.size(), 1U);
    EXPECT_EQ(list[0].outcome, wire::work_outcome::answered);
    EXPECT_EQ(list[0].payload.size(), 3U);
}

// Guards against requests of an ejected or draining home agent that every busy peer rejects until their deadline.
TEST_F(executor_test, handover_from_home_that_cannot_run_waits_in_queue)
{
    deliver(work(1));
    deliver(work(2));
    deliver(work(3));
    const auto list = results();
    ASSERT_EQ(list.size(), 1U);
    EXPECT_EQ(list[0].reason, refusal_reason::queue_full);
    for (const auto state : {wire::agent_state::ejected, wire::agent_state::draining}) {
        agent.ctx.peers.at(core::host_id{home}).report.state = state;
        deliver(work(4 + static_cast<std::uint64_t>(state)));
        EXPECT_TRUE(results().empty());
    }
    EXPECT_EQ(agent.requests.queued(), 3U);
    for (std::uint64_t number = 10; number < 60; ++number) {
        deliver(work(number));
    }
    EXPECT_EQ(agent.requests.queued(), agent.ctx.policy().queue_per_slot * agent.ctx.self->slots);
}

// Guards against work that is accepted by an agent that must not start any, or for a home agent that no longer exists.
TEST_F(executor_test, handover_not_runnable_rejected)
{
    const auto expect_rejected = [this](std::uint64_t number, refusal_reason reason) {
        deliver(work(number));
        const auto list = results();
        ASSERT_EQ(list.size(), 1U);
        EXPECT_EQ(list[0].outcome, wire::work_outcome::not_run);
        EXPECT_EQ(list[0].reason, reason);
    };
    agent.ctx.own.state = wire::agent_state::draining;
    agent.ctx.own.drain_started = now;
    expect_rejected(1, refusal_reason::draining);
    agent.ctx.own.state = wire::agent_state::ejected;
    expect_rejected(2, refusal_reason::no_target);
    agent.ctx.own.state = wire::agent_state::active;
    agent.ctx.own.awaiting_confirmation = true;
    expect_rejected(3, refusal_reason::no_configuration);
    agent.ctx.own.awaiting_confirmation = false;
    agent.peer_up(now, home, home_run + 1);
    expect_rejected(4, refusal_reason::peer_lost);
    EXPECT_TRUE(agent.take_started_exchanges().empty());
}

} // namespace
} // namespace daisydoor::agent
