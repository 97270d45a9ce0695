#include "unit/caller_fixture.hpp"

namespace daisydoor::caller
{
namespace
{

using std::chrono::milliseconds;
using caller_test = session_fixture;

// Guards against retransmissions of an open that all go to the same agent, which may be down.
TEST_F(caller_test, open_without_answer_tries_next_rank)
{
    subject.open(now, actions);
    run(milliseconds{400});
    const auto sent = extract_sent_packets();
    ASSERT_EQ(sent.size(), 3U);
    for (std::size_t i = 0; i < sent.size(); ++i) {
        EXPECT_EQ(sent[i].header.packet_class(), wire::packet_class::open);
        EXPECT_EQ(sent[i].header.attempt(), i);
        EXPECT_EQ(sent[i].header.flow_hash(), sent[0].header.flow_hash());
    }
    run(milliseconds{6000});
    EXPECT_EQ(extract_actions<open_failed>().size(), 1U);
    EXPECT_FALSE(subject.is_open());
}

// Guards against an unused flow that stays open at an agent when a retransmitted open is answered twice.
TEST_F(caller_test, open_answered_twice_closes_second_flow)
{
    subject.open(now, actions);
    const auto hash = extract_sent_packets().back().header.flow_hash();
    for (const auto& flow : {make_token(11, 1), make_token(12, 1)}) {
        wire::open_replyT body;
        body.token = std::make_unique<wire::flow_token>(flow);
        receive(flow, std::move(body), hash);
    }
    const auto sent = extract_sent_packets();
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent[0].packet.body.type, wire::packet_body::close);
    EXPECT_EQ(sent[0].header.token().host(), 12U);
    EXPECT_EQ(subject.token().host(), 11U);
}

// Guards against a request that is retransmitted under another number, and against a second outcome.
TEST_F(caller_test, request_without_answer_retransmitted_under_same_number)
{
    open();
    const auto number = subject.request(now, "/a", milliseconds{2000}, actions);
    run(milliseconds{400});
    const auto sent = sent_bodies<wire::requestT>();
    ASSERT_EQ(sent.size(), 3U);
    for (const auto& it : sent) {
        EXPECT_EQ(it.number, 1U);
    }
    EXPECT_LT(sent.back().deadline_ms, sent.front().deadline_ms);
    answer(make_token(12, 1), 1, {'w'});
    answer(token, 2, {'w'});
    EXPECT_TRUE(extract_actions<answered>().empty());
    answer(token, 1, {'x'});
    answer(token, 1, {'x'});
    const auto outcomes = extract_actions<answered>();
    ASSERT_EQ(outcomes.size(), 1U);
    EXPECT_EQ(outcomes[0].number, number);
    EXPECT_EQ(outcomes[0].payload, std::vector<std::uint8_t>{'x'});
}

// Guards against an answer that is truncated or never completed when one of its datagrams is lost.
TEST_F(caller_test, answer_with_missing_segment_fetches_it)
{
    open();
    subject.request(now, "/a", milliseconds{2000}, actions);
    segment(token, 1, 2, 3, 3, {'c'});
    segment(token, 1, 0, 3, 3, {'a'});
    extract_sent_packets();
    run(milliseconds{110});
    const auto fetches = sent_bodies<wire::fetchT>();
    ASSERT_EQ(fetches.size(), 1U);
    EXPECT_EQ(fetches[0].segments, std::vector<std::uint16_t>{1});
    EXPECT_TRUE(extract_actions<answered>().empty());
    segment(token, 1, 1, 3, 3, {'b'});
    const auto outcomes = extract_actions<answered>();
    ASSERT_EQ(outcomes.size(), 1U);
    EXPECT_EQ(outcomes[0].payload, (std::vector<std::uint8_t>{'a', 'b', 'c'}));
}

// Guards against request numbers beyond the agent's window, which it refuses, and against `not_run` for requests that
// were sent.
TEST_F(caller_test, window_full_requests_wait_until_acknowledged)
{
    open();
    for (int i = 0; i < 66; ++i) {
        subject.post(now, "/a", {}, milliseconds{500}, actions);
    }
    EXPECT_EQ(sent_bodies<wire::requestT>().size(), 64U);
    answer(token, 2, {});
    run(milliseconds{10});
    EXPECT_TRUE(sent_bodies<wire::requestT>().empty());
    answer(token, 1, {});
    run(milliseconds{10});
    const auto sent = sent_bodies<wire::requestT>();
    ASSERT_EQ(sent.size(), 2U);
    EXPECT_EQ(sent[0].number, 65U);
    EXPECT_EQ(sent[0].acknowledged, 2U);
}

// Guards against `not_run` for a posting that the agent may have received.
TEST_F(caller_test, deadline_passed_sent_unknown_unsent_not_run)
{
    subject.post(now, "/a", {}, milliseconds{500}, actions);
    run(milliseconds{600});
    auto outcomes = extract_actions<refused>();
    ASSERT_EQ(outcomes.size(), 1U);
    EXPECT_EQ(outcomes[0].kind, wire::refusal_kind::not_run);
    open();
    subject.post(now, "/a", {}, milliseconds{500}, actions);
    run(milliseconds{600});
    outcomes = extract_actions<refused>();
    ASSERT_EQ(outcomes.size(), 1U);
    EXPECT_EQ(outcomes[0].kind, wire::refusal_kind::unknown);
    EXPECT_EQ(outcomes[0].reason, wire::refusal_reason::deadline);
}

// Guards against a posting that cannot be sent in one datagram and then waits for its deadline.
TEST_F(caller_test, post_too_large_not_run_at_once)
{
    open();
    subject.post(now, "/a", std::vector<std::uint8_t>(1200), milliseconds{500}, actions);
    const auto outcomes = extract_actions<refused>();
    ASSERT_EQ(outcomes.size(), 1U);
    EXPECT_EQ(outcomes[0].reason, wire::refusal_reason::too_large);
    EXPECT_TRUE(sent_bodies<wire::requestT>().empty());
}

// Guards against a cancellation that is reported before the agent has sent the actual outcome.
TEST_F(caller_test, cancel_sent_retransmitted_until_outcome)
{
    open();
    const auto number = subject.request(now, "/a", milliseconds{2000}, actions);
    subject.cancel(now, number, actions);
    run(milliseconds{250});
    EXPECT_TRUE(extract_actions<refused>().empty());
    EXPECT_EQ(sent_bodies<wire::cancelT>().size(), 2U);
    answer(token, 1, {});
    EXPECT_EQ(extract_actions<answered>().size(), 1U);
}

// Guards against a posting that is retried at another agent, and against an unlimited number of retries.
TEST_F(caller_test, flow_gone_posting_unknown_idempotent_within_budget)
{
    open();
    subject.post(now, "/p", {}, milliseconds{2000}, actions);
    for (int i = 0; i < 20; ++i) {
        subject.request(now, "/r" + std::to_string(i), milliseconds{2000}, actions);
    }
    extract_sent_packets();
    receive(token, wire::flow_goneT{});
    const auto lost = extract_actions<refused>();
    for (const auto& it : lost) {
        EXPECT_EQ(it.kind, wire::refusal_kind::unknown);
    }
    EXPECT_EQ(lost.front().number, core::request_number{1});
    const auto next = make_token(12, 1);
    answer_open(next);
    const auto repeated = sent_bodies<wire::requestT>();
    // The guaranteed credit of three, and 10% of 21 requests.
    EXPECT_EQ(repeated.size(), 5U);
    EXPECT_EQ(lost.size() + repeated.size(), 21U);
    for (const auto& it : repeated) {
        EXPECT_EQ(it.kind, wire::request_kind::idempotent);
    }
    // A `not_run` of the new flow says nothing about the execution on the earlier one.
    wire::refusalT refusal;
    refusal.number = 1;
    receive(next, refusal);
    EXPECT_EQ(extract_actions<refused>().front().kind, wire::refusal_kind::unknown);
}

// Guards against a session that stays on a path without replies: it must replace the socket first, and then open a new
// flow and subscribe from the last event.
TEST_F(caller_test, path_without_replies_replaces_socket_then_flow)
{
    open();
    subject.subscribe(now, "/feed", core::event_id{7}, actions);
    acknowledge(token, wire::subscribe_ack_sequence);
    run(milliseconds{11400});
    EXPECT_TRUE(extract_actions<replace_socket>().empty());
    run(milliseconds{200});
    EXPECT_EQ(extract_actions<replace_socket>().size(), 1U);
    EXPECT_EQ(subject.token().host(), 11U);
    extract_sent_packets();
    run(milliseconds{1500});
    answer_open(make_token(12, 1));
    run(milliseconds{10});
    const auto sent = sent_bodies<wire::subscribeT>();
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent[0].last_event, 7U);
    EXPECT_TRUE(subject.is_open());
}

// Guards against a flow that breaks when its token's key is removed, and against acknowledged keepalives that count
// as missed.
TEST_F(caller_test, keepalive_ack_renews_token)
{
    open();
    run(milliseconds{10010});
    const auto sent = sent_bodies<wire::keepaliveT>();
    ASSERT_EQ(sent.size(), 1U);
    const wire::flow_token renewed(1, 11, 7, 1, 2, 10, 55);
    acknowledge(token, sent[0].sequence, &renewed);
    EXPECT_EQ(subject.token().key(), 2U);
    run(milliseconds{5000});
    EXPECT_TRUE(extract_actions<replace_socket>().empty());
}

// Guards against a move that leaves the old flow before the new one works, and against requests that change flows.
TEST_F(caller_test, move_new_flow_answers_first_then_confirmed)
{
    open();
    subject.post(now, "/p", {}, milliseconds{5000}, actions);
    extract_sent_packets();
    const auto next = make_token(12, 4);
    wire::moveT move;
    move.token = std::make_unique<wire::flow_token>(next);
    receive(token, move);
    EXPECT_EQ(subject.token().host(), 11U);
    auto sent = extract_sent_packets();
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent[0].header.token().host(), 12U);
    acknowledge(next, wire::subscribe_ack_sequence);
    EXPECT_EQ(subject.token().host(), 12U);
    EXPECT_EQ(sent_bodies<wire::move_confirmT>(&token).size(), 1U);
    // The agent repeats `move` when the confirmation is lost.
    receive(token, move);
    EXPECT_EQ(sent_bodies<wire::move_confirmT>(&token).size(), 1U);
    run(milliseconds{200});
    const auto repeated = sent_bodies<wire::requestT>(&token);
    ASSERT_FALSE(repeated.empty());
    EXPECT_EQ(repeated[0].number, 1U);
    subject.request(now, "/r", milliseconds{5000}, actions);
    EXPECT_EQ(sent_bodies<wire::requestT>(&next).size(), 1U);
    answer(token, 1, {});
    EXPECT_EQ(extract_actions<answered>().size(), 1U);
    run(milliseconds{200});
    EXPECT_FALSE(sent_bodies<wire::closeT>(&token).empty());
    acknowledge(token, wire::close_ack_sequence);
    run(milliseconds{5000});
    EXPECT_TRUE(sent_bodies<wire::closeT>(&token).empty());
}

// Guards against a move to an agent that does not reply: the old flow must stay in use.
TEST_F(caller_test, move_new_flow_without_reply_old_flow_stays_current)
{
    open();
    wire::moveT move;
    move.token = std::make_unique<wire::flow_token>(make_token(12, 4));
    receive(token, move);
    run(milliseconds{4000});
    EXPECT_EQ(subject.token().host(), 11U);
    subject.request(now, "/r", milliseconds{1000}, actions);
    EXPECT_EQ(sent_bodies<wire::requestT>(&token).size(), 1U);
}

// Guards against gaps and duplicates in the feed when its events arrive out of order, twice or from two positions.
TEST_F(caller_test, feed_reordered_and_repeated_delivered_once_in_order)
{
    open();
    subject.subscribe(now, "/feed", core::event_id{0}, actions);
    acknowledge(token, wire::subscribe_ack_sequence);
    event(token, 5, 6);
    EXPECT_TRUE(extract_actions<feed_event>().empty());
    extract_sent_packets();
    run(milliseconds{50});
    EXPECT_EQ(sent_bodies<wire::subscribeT>().size(), 1U);
    event(token, 0, 5);
    event(token, 5, 6);
    event(token, 4, 6);
    event(token, 8, 9);
    event(token, 6, 8);
    const auto events = extract_actions<feed_event>();
    ASSERT_EQ(events.size(), 4U);
    EXPECT_EQ(events[0].id, core::event_id{5});
    EXPECT_EQ(events[1].id, core::event_id{6});
    EXPECT_EQ(events[2].id, core::event_id{8});
    EXPECT_EQ(events[3].id, core::event_id{9});
    run(milliseconds{10});
    EXPECT_EQ(sent_bodies<wire::feed_ackT>().back().last_event, 9U);
}

// Guards against crashes, second outcomes and unbounded state caused by corrupted packets.
TEST_F(caller_test, mutated_packets_one_outcome_each)
{
    core::random_source random(5);
    std::map<core::request_number, int> outcomes;
    const auto count = [&] {
        for (const auto& it : extract_actions<answered>()) {
            ++outcomes[it.number];
        }
        for (const auto& it : extract_actions<refused>()) {
            ++outcomes[it.number];
        }
    };
    open();
    subject.subscribe(now, "/feed", core::event_id{0}, actions);
    for (int i = 0; i < 3000; ++i) {
        subject.post(now, "/p", {}, milliseconds{300}, actions);
        const auto number = static_cast<std::uint64_t>(random() % 70);
        switch (random() % 5) {
        case 0:
            mutation_source = &random;
            answer(subject.token(), number, {'x', 'y'});
            break;
        case 1:
            mutation_source = &random;
            event(subject.token(), number, number + 1);
            break;
        case 2:
            mutation_source = &random;
            acknowledge(subject.token(), 1);
            break;
        case 3:
            mutation_source = &random;
            receive(subject.token(), wire::refusalT{});
            break;
        default:
            mutation_source = &random;
            receive(subject.token(), wire::moveT{});
        }
        run(milliseconds{10});
        count();
        extract_sent_packets();
    }
    run(milliseconds{1000});
    count();
    EXPECT_EQ(outcomes.size(), 3000U);
    for (const auto& [number, n] : outcomes) {
        EXPECT_EQ(n, 1) << core::raw(number);
    }
}

} // namespace
} // namespace daisydoor::caller
