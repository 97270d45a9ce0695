#include "daisydoor/caller/session.hpp"
#include "unit/caller_fixture.hpp"

#include <gtest/gtest.h>

namespace daisydoor::caller
{
namespace
{

using caller_test = session_fixture;

// Guards against a lost open that reaches the same agent again and again.
TEST_F(caller_test, open_without_answer_tries_next_rank)
{
    subject.open(now, actions);
    run(core::milliseconds{400});
    const auto sent = take_sent();
    ASSERT_EQ(sent.size(), 3U);
    for (std::size_t i = 0; i < sent.size(); ++i) {
        EXPECT_EQ(sent[i].header.packet_class(), wire::packet_class::open);
        EXPECT_EQ(sent[i].header.attempt(), i);
        EXPECT_EQ(sent[i].header.flow_hash(), sent[0].header.flow_hash());
    }
    run(core::milliseconds{6000});
    EXPECT_EQ(take<open_failed>().size(), 1U);
    EXPECT_FALSE(subject.is_open());
}

// Guards against a request that is repeated under another number, and against a second outcome.
TEST_F(caller_test, request_without_answer_repeats_same_number)
{
    open();
    const auto number = subject.request(now, "/a", core::milliseconds{2000}, actions);
    run(core::milliseconds{400});
    const auto sent = sent_bodies<wire::requestT>();
    ASSERT_EQ(sent.size(), 3U);
    for (const auto& it : sent) {
        EXPECT_EQ(it.number, 1U);
    }
    EXPECT_LT(sent.back().deadline_ms, sent.front().deadline_ms);
    answer(token, 1, {'x'});
    answer(token, 1, {'x'});
    const auto outcomes = take<answered>();
    ASSERT_EQ(outcomes.size(), 1U);
    EXPECT_EQ(outcomes[0].number, number);
    EXPECT_EQ(outcomes[0].payload, std::vector<std::uint8_t>{'x'});
}

// Guards against an answer that is cut off when one of its datagrams is lost.
TEST_F(caller_test, answer_with_missing_segment_fetches_it)
{
    open();
    subject.request(now, "/a", core::milliseconds{2000}, actions);
    run(core::milliseconds{10});
    segment(token, 1, 2, 3, 3, {'c'});
    segment(token, 1, 0, 3, 3, {'a'});
    take_sent();
    run(core::milliseconds{110});
    const auto fetches = sent_bodies<wire::fetchT>();
    ASSERT_EQ(fetches.size(), 1U);
    EXPECT_EQ(fetches[0].segments, std::vector<std::uint16_t>{1});
    EXPECT_TRUE(take<answered>().empty());
    segment(token, 1, 1, 3, 3, {'b'});
    const auto outcomes = take<answered>();
    ASSERT_EQ(outcomes.size(), 1U);
    EXPECT_EQ(outcomes[0].payload, (std::vector<std::uint8_t>{'a', 'b', 'c'}));
}

// Guards against `not_run` for a posting that the agent may have received.
TEST_F(caller_test, deadline_sent_unknown_unsent_not_run)
{
    const auto unsent = subject.post(now, "/a", {}, core::milliseconds{500}, actions);
    run(core::milliseconds{600});
    auto outcomes = take<refused>();
    ASSERT_EQ(outcomes.size(), 1U);
    EXPECT_EQ(outcomes[0].number, unsent);
    EXPECT_EQ(outcomes[0].kind, wire::refusal_kind::not_run);
    open();
    subject.post(now, "/a", {}, core::milliseconds{500}, actions);
    run(core::milliseconds{600});
    outcomes = take<refused>();
    ASSERT_EQ(outcomes.size(), 1U);
    EXPECT_EQ(outcomes[0].kind, wire::refusal_kind::unknown);
    EXPECT_EQ(outcomes[0].reason, wire::refusal_reason::deadline);
}

} // namespace
} // namespace daisydoor::caller
