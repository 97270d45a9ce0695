#include "daisydoor/agent/detail/concurrency_limiter.hpp"
#include "daisydoor/agent/detail/fair_queue.hpp"
#include "support/work_harness.hpp"

#include <gtest/gtest.h>

namespace daisydoor::agent
{
namespace
{

using detail::fair_queue;
using detail::queued_work;
using support::work_agent;
using wire::refusal_kind;
using wire::refusal_reason;
using wire::request_kind;

class fair_queue_test : public ::testing::Test
{
  protected:
    static queued_work entry(std::uint32_t workspace, std::uint64_t number,
                             request_kind kind = request_kind::idempotent)
    {
        return {{{}, {}, core::flow_id{workspace}, core::request_number{number}}, core::workspace_id{workspace}, kind};
    }

    void fill(std::uint32_t workspace, std::uint64_t count, request_kind kind = request_kind::idempotent)
    {
        for (std::uint64_t i = 1; i <= count; ++i) {
            queue.push(entry(workspace, i, kind));
        }
    }

    fair_queue queue;
};

// Guards against a workspace with ten times the requests of the others that delays them.
TEST_F(fair_queue_test, pop_busy_workspace_others_alternate)
{
    fill(1, 10);
    fill(2, 1);
    fill(3, 1);
    std::vector<std::uint32_t> order;
    while (const auto next = queue.pop()) {
        order.push_back(core::raw(next->workspace));
    }
    EXPECT_EQ(order, (std::vector<std::uint32_t>{1, 2, 3, 1, 1, 1, 1, 1, 1, 1, 1, 1}));
    EXPECT_TRUE(queue.empty());
}

// Guards against an estimated wait that counts another workspace's whole queue, so that requests of a quiet workspace
// are refused.
TEST_F(fair_queue_test, ahead_of_quiet_workspace_counts_turns_only)
{
    fill(1, 30);
    fill(2, 1);
    EXPECT_EQ(queue.ahead_of(core::workspace_id{3}), 2U);
    EXPECT_EQ(queue.ahead_of(core::workspace_id{2}), 3U);
    EXPECT_EQ(queue.ahead_of(core::workspace_id{1}), 31U);
}

// Guards against shedding requests of a workspace that is within its share of the queue.
TEST_F(fair_queue_test, choose_victim_newest_of_longest_workspace)
{
    fill(1, 5);
    fill(2, 2);
    const auto victim = queue.choose_victim(entry(2, 9), config::shed_order::newest);
    ASSERT_TRUE(victim);
    EXPECT_EQ(core::raw(victim->workspace), 1U);
    EXPECT_EQ(core::raw(victim->key.number), 5U);
    EXPECT_FALSE(queue.choose_victim(entry(1, 9), config::shed_order::newest));
}

// Guards against a peak preset that sheds a non-idempotent request while idempotent ones of the same workspace are
// queued.
TEST_F(fair_queue_test, choose_victim_idempotent_first)
{
    fill(1, 2);
    queue.push(entry(1, 3, request_kind::non_idempotent));
    const auto victim = queue.choose_victim(entry(1, 9, request_kind::non_idempotent), config::shed_order::idempotent);
    ASSERT_TRUE(victim);
    EXPECT_EQ(core::raw(victim->key.number), 2U);
    EXPECT_FALSE(queue.choose_victim(entry(1, 9), config::shed_order::idempotent));
    fair_queue postings;
    postings.push(entry(1, 1, request_kind::non_idempotent));
    EXPECT_FALSE(postings.choose_victim(entry(1, 9, request_kind::non_idempotent), config::shed_order::idempotent));
}

// Guards against full concurrency at a target that is cold or has just shed work.
TEST(concurrency_limiter_test, limit_slow_start_halved_when_shed)
{
    detail::concurrency_limiter limiter;
    limiter.set_slots(5);
    EXPECT_EQ(limiter.limit(), 1U);
    std::vector<std::size_t> limits;
    for (int i = 0; i < 12; ++i) {
        limiter.on_success(core::milliseconds{20});
        limits.push_back(limiter.limit());
    }
    EXPECT_EQ(limits, (std::vector<std::size_t>{2, 2, 3, 3, 3, 4, 4, 4, 4, 5, 5, 5}));
    EXPECT_TRUE(limiter.is_warm());
    EXPECT_EQ(limiter.estimated_wait(10), core::milliseconds{40});
    limiter.on_shed();
    EXPECT_EQ(limiter.limit(), 2U);
    limiter.on_timeout();
    limiter.on_timeout();
    EXPECT_EQ(limiter.limit(), 1U);
    limiter.set_slots(3);
    EXPECT_EQ(limiter.limit(), 1U);
}

// Guards against retries that multiply the load of a failing target.
TEST(retry_budget_test, try_spend_tenth_of_first_tries)
{
    detail::retry_budget budget;
    EXPECT_TRUE(budget.try_spend());
    std::size_t retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.on_first_try();
        retries += budget.try_spend() ? 1 : 0;
    }
    EXPECT_EQ(retries, 100U);
}

class work_queue_test : public ::testing::Test
{
  protected:
    static constexpr std::size_t bound = 16;

    work_agent agent{1, 7, support::make_work_snapshot(1, 2)};
    core::time_point now = support::work_epoch;

    void fill(std::uint32_t workspace, std::uint64_t count)
    {
        for (std::uint64_t i = 1; i <= count; ++i) {
            agent.request(now, work_agent::flow(workspace, workspace), i, request_kind::idempotent);
        }
    }
};

// Guards against a queue that grows without limit, and against a refusal that is not recorded.
TEST_F(work_queue_test, request_full_queue_refused_not_run)
{
    agent.warm_up(now);
    fill(1, bound + 2);
    EXPECT_EQ(agent.requests.queued(), bound);
    EXPECT_EQ(agent.take_started_exchanges().size(), 2U);
    EXPECT_TRUE(agent.take_replies().empty());
    agent.request(now, work_agent::flow(1), 30, request_kind::idempotent);
    const auto refused = agent.take_replies();
    ASSERT_EQ(refused.size(), 1U);
    EXPECT_EQ(refused[0].kind, refusal_kind::not_run);
    EXPECT_EQ(refused[0].reason, refusal_reason::queue_full);
    EXPECT_EQ(agent.requests.queued(), bound);
    agent.request(now, work_agent::flow(1), 30, request_kind::idempotent);
    EXPECT_EQ(agent.take_replies().at(0).kind, refusal_kind::not_run);
}

// Guards against one workspace that fills the queue, so that all requests of the others are refused.
TEST_F(work_queue_test, request_full_queue_other_workspace_displaces)
{
    agent.warm_up(now);
    fill(1, bound + 2);
    agent.take_started_exchanges();
    fill(2, 3);
    const auto refused = agent.take_replies();
    ASSERT_EQ(refused.size(), 3U);
    for (const auto& refusal : refused) {
        EXPECT_EQ(refusal.flow, 1U);
        EXPECT_EQ(refusal.reason, refusal_reason::queue_full);
    }
    EXPECT_EQ(agent.requests.queued(), bound);
}

// Guards against queueing requests that cannot be answered before their deadline.
TEST_F(work_queue_test, request_wait_past_deadline_refused_at_once)
{
    agent.request(now, work_agent::flow(1), 1, request_kind::idempotent);
    now += core::milliseconds{50};
    agent.finish(now, agent.take_started_exchanges().at(0), exchange_status::answered);
    fill(2, 6);
    agent.take_replies();
    agent.request(now, work_agent::flow(2, 2), 60, request_kind::idempotent, 60);
    const auto refused = agent.take_replies();
    ASSERT_EQ(refused.size(), 1U);
    EXPECT_EQ(refused[0].kind, refusal_kind::not_run);
    EXPECT_EQ(refused[0].reason, refusal_reason::deadline);
    agent.request(now, work_agent::flow(2, 2), 61, request_kind::idempotent, 1000);
    EXPECT_TRUE(agent.take_replies().empty());
}

// Guards against starting a request whose deadline has passed.
TEST_F(work_queue_test, tick_queued_past_deadline_refused_not_run)
{
    agent.request(now, work_agent::flow(1), 1, request_kind::idempotent);
    agent.request(now, work_agent::flow(1), 2, request_kind::non_idempotent, 100);
    const auto ids = agent.take_started_exchanges();
    ASSERT_EQ(ids.size(), 1U);
    now += core::milliseconds{100};
    agent.finish(now, ids[0], exchange_status::answered);
    EXPECT_TRUE(agent.take_started_exchanges().empty());
    const auto replies = agent.take_replies();
    ASSERT_EQ(replies.size(), 2U);
    EXPECT_EQ(replies[1].kind, refusal_kind::not_run);
    EXPECT_EQ(replies[1].reason, refusal_reason::deadline);
}

} // namespace
} // namespace daisydoor::agent
