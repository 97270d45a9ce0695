#include "support/work_harness.hpp"

#include <gtest/gtest.h>

namespace daisydoor::agent
{
namespace
{

using support::work_agent;
using wire::refusal_kind;
using wire::request_kind;

class work_test : public ::testing::Test
{
  protected:
    work_agent agent{1, 7, support::make_work_snapshot(1, 2)};
    flow_address from = work_agent::flow(5);
    core::time_point now = support::work_epoch;
};

// Guards against answers that lose or cross segments.
TEST_F(work_test, answer_large_sent_in_segments)
{
    agent.request(now, from, 1, request_kind::non_idempotent);
    const auto ids = agent.started();
    ASSERT_EQ(ids.size(), 1U);
    std::vector<std::uint8_t> payload(2 * wire::max_segment_payload + 5);
    for (std::size_t i = 0; i < payload.size(); ++i) {
        payload[i] = static_cast<std::uint8_t>(i >> 3);
    }
    agent.finish(now, ids[0], exchange_status::answered, 200, payload);
    const auto segments = agent.tell();
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
    const auto again = agent.tell();
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(again[0].segment, 2U);
    EXPECT_EQ(again[0].payload.size(), 5U);
}

// Guards against a second run of a retransmitted posting, in any state of its record.
TEST_F(work_test, request_repeated_answered_from_record)
{
    agent.request(now, from, 1, request_kind::non_idempotent);
    const auto ids = agent.started();
    agent.request(now, from, 1, request_kind::non_idempotent);
    EXPECT_TRUE(agent.started().empty());
    agent.finish(now, ids.at(0), exchange_status::answered, 200, {1, 2});
    agent.tell();
    agent.request(now, from, 1, request_kind::non_idempotent);
    EXPECT_TRUE(agent.started().empty());
    const auto repeated = agent.tell();
    ASSERT_EQ(repeated.size(), 1U);
    EXPECT_EQ(repeated[0].payload.size(), 2U);
    agent.requests.acknowledge(from.flow, core::request_number{1});
    EXPECT_FALSE(agent.requests.has_records(from.flow));
    agent.request(now, from, 1, request_kind::non_idempotent);
    EXPECT_TRUE(agent.started().empty());
    EXPECT_EQ(agent.tell().at(0).kind, refusal_kind::unknown);
}

} // namespace
} // namespace daisydoor::agent
