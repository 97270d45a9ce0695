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

class work_test : public ::testing::Test
{
  protected:
    work_agent agent{1, 7, support::make_work_snapshot(1, 2)};
    flow_address from = work_agent::flow(5);
    core::time_point now = support::work_epoch;
};

// Guards against answers whose segments are lost or out of place.
TEST_F(work_test, answer_large_sent_in_segments)
{
    agent.request(now, from, 1, request_kind::non_idempotent);
    const auto ids = agent.take_started_exchanges();
    ASSERT_EQ(ids.size(), 1U);
    std::vector<std::uint8_t> payload(2 * wire::max_segment_payload_size + 5);
    for (std::size_t i = 0; i < payload.size(); ++i) {
        payload[i] = static_cast<std::uint8_t>(i >> 3);
    }
    agent.finish(now, ids[0], exchange_status::answered, 200, payload);
    const auto segments = agent.take_replies();
    ASSERT_EQ(segments.size(), 3U);
    std::vector<std::uint8_t> joined;
    for (const auto& segment : segments) {
        EXPECT_EQ(segment.segment_count, 3U);
        joined.insert(joined.end(), segment.payload.begin(), segment.payload.end());
    }
    EXPECT_EQ(joined, payload);

    wire::fetchT fetch;
    fetch.number = 1;
    fetch.segments = {2, 9};
    agent.requests.on_fetch(now, from, fetch, agent.actions);
    const auto again = agent.take_replies();
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(again[0].segment, 2U);
    EXPECT_EQ(again[0].payload.size(), 5U);
}

// Guards against a second run of a retransmitted non-idempotent request, in any state of its record.
TEST_F(work_test, request_repeated_answered_from_record)
{
    agent.request(now, from, 1, request_kind::non_idempotent);
    const auto ids = agent.take_started_exchanges();
    agent.request(now, from, 1, request_kind::non_idempotent);
    EXPECT_TRUE(agent.take_started_exchanges().empty());
    agent.finish(now, ids.at(0), exchange_status::answered, 200, {1, 2});
    agent.take_replies();
    agent.request(now, from, 1, request_kind::non_idempotent);
    EXPECT_TRUE(agent.take_started_exchanges().empty());
    const auto repeated = agent.take_replies();
    ASSERT_EQ(repeated.size(), 1U);
    EXPECT_EQ(repeated[0].payload.size(), 2U);
    agent.requests.acknowledge(from.flow, core::request_number{1});
    EXPECT_FALSE(agent.requests.has_records(from.flow));
    agent.request(now, from, 1, request_kind::non_idempotent);
    EXPECT_TRUE(agent.take_started_exchanges().empty());
    EXPECT_EQ(agent.take_replies().at(0).kind, refusal_kind::unknown);
}

// Guards against running requests whose number is outside the window, also when the window has reached the number
// before a delayed copy arrives.
TEST_F(work_test, request_outside_window_never_runs)
{
    agent.request(now, from, 65, request_kind::non_idempotent);
    EXPECT_EQ(agent.take_replies().at(0).kind, refusal_kind::not_run);
    agent.request(now, from, 1000, request_kind::non_idempotent);
    EXPECT_EQ(agent.take_replies().at(0).kind, refusal_kind::unknown);
    agent.requests.acknowledge(from.flow, core::request_number{40});
    agent.request(now, from, 65, request_kind::non_idempotent);
    agent.request(now, from, 0, request_kind::non_idempotent);
    agent.request(now, from, 40, request_kind::non_idempotent);
    EXPECT_TRUE(agent.take_started_exchanges().empty());
    EXPECT_EQ(agent.take_replies().size(), 3U);
    agent.request(now, from, 104, request_kind::non_idempotent);
    EXPECT_EQ(agent.take_started_exchanges().size(), 1U);
}

// Guards against `not_run` for work that the target may have run, and against `unknown` for work that it shed.
TEST_F(work_test, result_of_posting_refusal_truthful)
{
    struct test_case
    {
        exchange_status status;
        std::uint16_t http_status;
        refusal_kind kind;
        refusal_reason reason;
    };
    const std::vector<test_case> cases{
        {exchange_status::connect_failed, 0, refusal_kind::not_run, refusal_reason::target_failed},
        {exchange_status::answered, 503, refusal_kind::not_run, refusal_reason::target_shed},
        {exchange_status::broken, 0, refusal_kind::unknown, refusal_reason::target_failed},
        {exchange_status::timed_out, 0, refusal_kind::unknown, refusal_reason::deadline}};
    std::uint64_t number = 0;
    for (const auto& item : cases) {
        agent.request(now, from, ++number, request_kind::non_idempotent);
        agent.finish(now, agent.take_started_exchanges().at(0), item.status, item.http_status);
        const auto replies = agent.take_replies();
        ASSERT_EQ(replies.size(), 1U);
        EXPECT_EQ(replies[0].kind, item.kind) << number;
        EXPECT_EQ(replies[0].reason, item.reason) << number;
        EXPECT_TRUE(agent.take_started_exchanges().empty());
    }
}

// Guards against `not_run` for a retried request whose first try may have run.
TEST_F(work_test, result_broken_idempotent_repeated_then_unknown)
{
    agent.request(now, from, 1, request_kind::idempotent, 100);
    agent.finish(now, agent.take_started_exchanges().at(0), exchange_status::broken);
    const auto again = agent.take_started_exchanges();
    ASSERT_EQ(again.size(), 1U);
    agent.finish(now, again[0], exchange_status::connect_failed);
    EXPECT_EQ(agent.take_replies().at(0).kind, refusal_kind::unknown);
}

// Guards against cancelled work that runs, and against `not_run` for work that was already sent to the target.
TEST_F(work_test, cancel_by_state_outcome_truthful)
{
    const auto cancel = [this](std::uint64_t number) {
        wire::cancelT body;
        body.number = number;
        agent.requests.on_cancel(now, from, body, agent.actions);
    };
    agent.request(now, from, 1, request_kind::non_idempotent);
    agent.request(now, from, 2, request_kind::non_idempotent);
    const auto ids = agent.take_started_exchanges();
    ASSERT_EQ(ids.size(), 1U);
    cancel(2);
    EXPECT_EQ(agent.take_replies().at(0).kind, refusal_kind::not_run);
    cancel(3);
    EXPECT_EQ(agent.take_replies().at(0).kind, refusal_kind::not_run);
    agent.request(now, from, 3, request_kind::non_idempotent);
    cancel(1);
    ASSERT_EQ(agent.actions.size(), 2U);
    EXPECT_EQ(agent.take_replies().size(), 1U);
    EXPECT_EQ(std::get<cancel_exchange>(agent.actions.at(0)).id, ids[0]);
    agent.finish(now, ids[0], exchange_status::broken);
    EXPECT_EQ(agent.take_replies().at(0).kind, refusal_kind::unknown);
    EXPECT_TRUE(agent.take_started_exchanges().empty());
}

// Guards against a slot that is never freed when the driver reports no result of a cancelled exchange.
TEST_F(work_test, tick_cancelled_without_result_slot_freed)
{
    agent.request(now, from, 1, request_kind::non_idempotent);
    ASSERT_EQ(agent.take_started_exchanges().size(), 1U);
    wire::cancelT body;
    body.number = 1;
    agent.requests.on_cancel(now, from, body, agent.actions);
    EXPECT_EQ(agent.requests.in_flight(), 1U);
    now += core::milliseconds{100};
    agent.requests.on_tick(now, agent.actions);
    EXPECT_EQ(agent.requests.in_flight(), 0U);
    EXPECT_EQ(agent.take_replies().at(0).kind, refusal_kind::unknown);
}

// Guards against non-idempotent requests that run during maintenance.
TEST_F(work_test, request_maintenance_posting_refused)
{
    agent.m_snapshot->policies.at(static_cast<std::size_t>(config::preset::ordinary)).accept_postings = false;
    agent.request(now, from, 1, request_kind::non_idempotent);
    agent.request(now, from, 2, request_kind::idempotent);
    EXPECT_EQ(agent.take_started_exchanges().size(), 1U);
    const auto replies = agent.take_replies();
    ASSERT_EQ(replies.size(), 1U);
    EXPECT_EQ(replies[0].kind, refusal_kind::not_run);
    EXPECT_EQ(replies[0].reason, refusal_reason::maintenance);
}

// Guards against new work at a draining target, and against a drain that interrupts a request in flight.
TEST_F(work_test, request_while_draining_accepted_for_window_only)
{
    agent.ctx.own.state = wire::agent_state::draining;
    agent.ctx.own.drain_started = now;
    now += core::milliseconds{1999};
    agent.request(now, from, 1, request_kind::non_idempotent);
    agent.request(now, from, 2, request_kind::non_idempotent);
    const auto ids = agent.take_started_exchanges();
    ASSERT_EQ(ids.size(), 1U);
    now += core::milliseconds{1};
    agent.requests.on_tick(now, agent.actions);
    agent.request(now, from, 3, request_kind::non_idempotent);
    const auto replies = agent.take_replies();
    ASSERT_EQ(replies.size(), 2U);
    for (const auto& refusal : replies) {
        EXPECT_EQ(refusal.kind, refusal_kind::not_run);
        EXPECT_EQ(refusal.reason, refusal_reason::draining);
    }
    EXPECT_TRUE(agent.actions.empty());
    agent.finish(now, ids[0], exchange_status::answered);
    EXPECT_TRUE(agent.take_replies().at(0).answered);
    EXPECT_TRUE(agent.actions.empty());
}

// Guards against a failing target that is never probed, and against probes without an interval between them.
TEST_F(work_test, tick_ejected_probes_once_a_second)
{
    for (std::uint64_t number = 1; number <= 3; ++number) {
        EXPECT_FALSE(agent.requests.is_target_failing());
        agent.request(now, from, number, request_kind::non_idempotent);
        agent.finish(now, agent.take_started_exchanges().at(0), exchange_status::connect_failed);
    }
    EXPECT_TRUE(agent.requests.is_target_failing());
    agent.ctx.own.state = wire::agent_state::ejected;
    std::size_t probes = 0;
    for (int i = 0; i < 30; ++i) {
        agent.requests.on_tick(now, agent.actions);
        for (const auto id : agent.take_started_exchanges()) {
            ++probes;
            agent.finish(now, id, probes < 3 ? exchange_status::connect_failed : exchange_status::answered);
        }
        now += core::milliseconds{100};
    }
    EXPECT_EQ(probes, 3U);
    EXPECT_FALSE(agent.requests.is_target_failing());
    EXPECT_EQ(agent.requests.limit(), 1U);
}

} // namespace
} // namespace daisydoor::agent
