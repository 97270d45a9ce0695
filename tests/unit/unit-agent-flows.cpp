#include "unit/flow_world.hpp"

#include "daisydoor/agent/flows.hpp"

#include <gtest/gtest.h>
#include <malloc.h>

namespace daisydoor::agent
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

class flows_test : public ::testing::Test
{
  protected:
    static void expect_whole(const flow_world& world, const char* when)
    {
        for (const auto& it : world.clients) {
            EXPECT_EQ(it->gaps_or_repeats, 0U) << when;
            for (const auto& [number, n] : it->outcomes) {
                EXPECT_EQ(n, 1U) << when << ", number " << core::raw(number);
            }
        }
    }

    static void expect_feeds_go_on(flow_world& world)
    {
        std::vector<std::uint64_t> before;
        for (const auto& it : world.clients) {
            before.push_back(it->last_event);
        }
        world.run(seconds{3});
        for (std::size_t i = 0; i < before.size(); ++i) {
            EXPECT_GE(world.clients[i]->last_event, before[i] + 10) << "caller " << i;
        }
    }

    static void add_subscribers(flow_world& world, std::size_t n)
    {
        for (std::size_t i = 0; i < n; ++i) {
            world.add_client(true);
        }
        world.run(seconds{2});
    }

    template <typename Body>
    static bool holds(const wire::peer_messageT& message)
    {
        return message.body.type == wire::peer_bodyUnionTraits<Body>::enum_value;
    }
    template <typename Body>
    static bool holds(const wire::packetT& packet)
    {
        return packet.body.type == wire::packet_bodyUnionTraits<Body>::enum_value;
    }
};

// Guards against feed gaps, duplicate events and second outcomes on a network that loses, duplicates and reorders
// datagrams.
TEST_F(flows_test, network_lossy_feed_whole_one_outcome_each)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        flow_world world(3, seed);
        world.loss = 0.1;
        world.duplication = 0.1;
        world.max_delay = milliseconds{30};
        world.event_size = seed % 2 == 0 ? 10 : 2200;
        add_subscribers(world, 4);
        for (int i = 0; i < 50; ++i) {
            world.post(*world.clients[static_cast<std::size_t>(i) % 4]);
            world.request(*world.clients[static_cast<std::size_t>(i) % 4]);
            world.run(milliseconds{40});
        }
        world.run(seconds{4});
        expect_whole(world, "lossy");
        for (const auto& it : world.clients) {
            EXPECT_GE(it->outcomes.size(), 24U);
            EXPECT_EQ(it->answered, it->outcomes.size()) << "seed " << seed;
        }
        expect_feeds_go_on(world);
    }
}

// Guards against a caller that stays on a path without replies, and against events that are skipped meanwhile.
TEST_F(flows_test, path_silent_resumes_on_new_socket)
{
    flow_world world(3);
    add_subscribers(world, 2);
    auto& caller = *world.clients[0];
    const auto token = caller.session->token();
    world.dead_ports.insert(caller.port);
    world.run(seconds{13});
    EXPECT_EQ(caller.session->token().flow(), token.flow());
    EXPECT_EQ(caller.opens, 1U);
    expect_feeds_go_on(world);
    expect_whole(world, "silent path");
}

// Guards against keeping a feed connection to the target that no longer delivers, although new ones work.
TEST_F(flows_test, target_feed_silent_is_replaced)
{
    flow_world world(1);
    add_subscribers(world, 3);
    auto& node = *world.nodes[0];
    ASSERT_EQ(node.feeds.size(), 1U) << "feeds of one path share a connection";
    node.silent_feeds.insert(node.feeds.begin()->first);
    world.run(seconds{16});
    EXPECT_EQ(node.feeds_opened, 2U);
    expect_feeds_go_on(world);
    expect_whole(world, "silent feed");
}

// Guards against a subscriber that loses events when it falls behind the shared buffer.
TEST_F(flows_test, subscriber_behind_buffer_gets_own_feed_then_joins)
{
    flow_world world(1);
    world.event_size = 900;
    add_subscribers(world, 2);
    const auto& caller = *world.clients[0];
    const auto port = caller.port;
    // Keepalives arrive, so the flow stays; events are lost until the buffer of 1,024 has dropped the first of them.
    world.drops_packet = [](const wire::packetT& packet) { return holds<wire::eventT>(packet); };
    world.run(seconds{110});
    EXPECT_EQ(caller.port, port);
    world.drops_packet = [](const wire::packetT&) { return false; };
    world.run(seconds{20});
    EXPECT_GE(world.nodes[0]->feeds_opened, 2U);
    EXPECT_EQ(world.nodes[0]->feeds.size(), 1U);
    expect_feeds_go_on(world);
    for (const auto& it : world.clients) {
        EXPECT_EQ(it->gaps_or_repeats, 0U);
    }
}

// Guards against moves that break a feed or a request when any of their messages is lost, and against a drain that
// never ends.
TEST_F(flows_test, drain_with_lost_messages_moves_all_flows)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        flow_world world(3, seed);
        add_subscribers(world, 9);
        world.loss = 0.1;
        core::random_source random(seed);
        world.drops_peer_message = [&random](const wire::peer_messageT& message) {
            return (holds<wire::adopt_flowT>(message) || holds<wire::adopt_replyT>(message)) && random() % 3 == 0;
        };
        world.drops_packet = [&random](const wire::packetT& packet) {
            return (holds<wire::moveT>(packet) || holds<wire::move_confirmT>(packet)) && random() % 2 == 0;
        };
        action_list actions;
        world.nodes[0]->core->on_drain(world.now, actions);
        for (int i = 0; i < 90; ++i) {
            world.post(*world.clients[static_cast<std::size_t>(i) % 9]);
            world.run(milliseconds{100});
        }
        world.run(seconds{31});
        EXPECT_EQ(world.flows_at(0), 0U) << "seed " << seed;
        EXPECT_TRUE(world.nodes[0]->drained) << "seed " << seed;
        expect_whole(world, "drain");
        for (const auto& it : world.clients) {
            EXPECT_EQ(it->unknown, 0U) << "seed " << seed;
            EXPECT_EQ(it->flow_gone_replies, 0U) << "seed " << seed;
            EXPECT_EQ(it->opens, 1U) << "seed " << seed;
        }
        expect_feeds_go_on(world);
    }
}

// Guards against flows that break when a drain and a key rotation happen at the same time.
TEST_F(flows_test, drain_and_key_rotation_no_flow_breaks)
{
    flow_world world(3);
    add_subscribers(world, 6);
    wire::token_key next{core::key_id{2}, {}, false};
    next.secret.fill(9);
    auto& keys = world.configuration.keys;
    keys.push_back(next);
    world.configuration.services[0].hosts[1].draining = true;
    world.publish();
    world.run(seconds{2});
    keys[0].signing = false;
    keys[1].signing = true;
    world.publish();
    world.run(seconds{15});
    keys.erase(keys.begin());
    world.publish();
    world.run(seconds{12});
    EXPECT_EQ(world.flows_at(1), 0U);
    expect_feeds_go_on(world);
    expect_whole(world, "drain and rotation");
    for (const auto& it : world.clients) {
        EXPECT_EQ(it->opens, 1U);
        EXPECT_EQ(it->session->token().key(), 2U);
    }
}

// Guards against a restarted agent that accepts tokens of its earlier incarnation, and against a non-idempotent request
// without an outcome.
TEST_F(flows_test, agent_restarted_flow_gone_feed_resumed)
{
    flow_world world(2);
    add_subscribers(world, 4);
    for (const auto& it : world.clients) {
        world.post(*it);
    }
    world.run(milliseconds{8});
    world.start(0);
    world.run(seconds{4});
    unsigned reopened = 0;
    for (const auto& it : world.clients) {
        EXPECT_EQ(it->outcomes.size(), 1U);
        // The record is lost with the flow. On a flow of another agent, the request may have run at the restarted peer.
        EXPECT_TRUE(it->opens == 1 || it->unknown == 1);
        reopened += it->opens - 1;
    }
    EXPECT_GT(reopened, 0U);
    world.run(seconds{12});
    expect_feeds_go_on(world);
    expect_whole(world, "restart");
}

// Guards against feeds that stay unbalanced after a host joins, and against flows that move back and forth.
TEST_F(flows_test, host_joins_feeds_balanced_then_stable)
{
    flow_world world(4);
    world.nodes[3]->alive = false;
    world.run(seconds{3});
    add_subscribers(world, 120);
    world.run(seconds{10});
    const auto moved_before = world.total().flows_moved;
    world.start(3);
    world.run(seconds{20});
    std::size_t most = 0;
    for (std::size_t i = 0; i < 4; ++i) {
        most = std::max(most, world.feeds_at(i));
    }
    EXPECT_LE(static_cast<double>(most), 120.0 / 4 * 1.05);
    const auto moved = world.total().flows_moved;
    EXPECT_LE(moved - moved_before, 40U) << "30 are enough";
    world.run(seconds{20});
    EXPECT_EQ(world.total().flows_moved, moved);
    expect_whole(world, "rebalancing");
    for (const auto& it : world.clients) {
        EXPECT_EQ(it->opens, 1U);
    }
}

// Guards against an open that is forwarded more than once, and against one that a draining agent answers itself.
TEST_F(flows_test, open_at_draining_agent_passed_on_once)
{
    flow_world world(3);
    action_list actions;
    world.nodes[0]->core->on_drain(world.now, actions);
    world.nodes[1]->core->on_drain(world.now, actions);
    std::size_t forwarded = 0;
    world.drops_peer_message = [&forwarded](const wire::peer_messageT& message) {
        if (const auto* open = message.body.Asopen_forward()) {
            const auto* env = wire::envelope_of({open->datagram.data(), open->datagram.size()});
            EXPECT_EQ(env->hop_count(), 1);
            ++forwarded;
        }
        return false;
    };
    for (int i = 0; i < 12; ++i) {
        world.add_client(false);
    }
    world.run(seconds{2});
    EXPECT_GT(forwarded, 0U);
    EXPECT_EQ(world.nodes[0]->core->counters().opens_answered, 0U);
    EXPECT_EQ(world.nodes[1]->core->counters().opens_answered, 0U);
    EXPECT_GE(world.flows_at(2), 12U);
    for (const auto& it : world.clients) {
        EXPECT_TRUE(it->session->is_open());
    }
}

// Guards against an isolated agent that moves feeds.
TEST_F(flows_test, isolated_agent_moves_nothing)
{
    flow_world world(3);
    world.nodes[2]->alive = false;
    world.run(seconds{3});
    add_subscribers(world, 20);
    world.run(seconds{1});
    const auto moved = world.total().flows_moved;
    world.drops_peer_message = [](const wire::peer_messageT& message) { return holds<wire::load_reportT>(message); };
    world.run(seconds{3});
    action_list actions;
    world.nodes[0]->core->on_drain(world.now, actions);
    world.run(seconds{5});
    EXPECT_EQ(world.total().flows_moved, moved);
    expect_feeds_go_on(world);
}

/// @brief The flows of one agent incarnation, without a network.
struct single_agent
{
    explicit single_agent(core::incarnation_id incarnation) : requests(context), subject(context, requests)
    {
        context.options = {core::host_id{1}, core::service_id{1}, "zone-a", incarnation, seconds{300}};
        auto shared = std::make_shared<config::snapshot>();
        shared->services.resize(1);
        context.service = shared->services.data();
        context.snapshot = shared;
        context.signer =
            std::make_unique<wire::token_signer>(std::vector<wire::token_key>{{core::key_id{1}, {}, true}});
    }

    wire::flow_token open()
    {
        action_list actions;
        subject.on_open(now, {}, {}, {}, {}, actions);
        const auto& bytes = std::get<send_datagram>(actions.at(0)).bytes;
        return wire::header_of({bytes.data(), bytes.size()})->token();
    }

    agent_context context;
    work requests;
    flows subject;
    core::time_point now{std::chrono::hours(1)};
};

// Guards against a token of an earlier incarnation that matches another caller's flow, and against `not_run` for a
// non-idempotent request whose record is lost.
TEST_F(flows_test, token_of_earlier_incarnation_refused_unknown)
{
    const auto old = single_agent(core::incarnation_id{5}).open();
    single_agent restarted(core::incarnation_id{6});
    ASSERT_EQ(restarted.open().flow(), old.flow());
    wire::requestT posting;
    posting.number = 3;
    posting.kind = wire::request_kind::non_idempotent;
    const auto packet = wire::make_packet(posting);
    const wire::packet_header header(wire::packet_magic, wire::packet_class::established, 0, 0, old);
    action_list actions;
    EXPECT_FALSE(restarted.subject.find(restarted.now, {}, header, packet.body, actions).has_value());
    ASSERT_EQ(actions.size(), 2U);
    const auto& bytes = std::get<send_datagram>(actions[0]).bytes;
    const auto refusal =
        wire::decode_packet({bytes.data() + sizeof(wire::envelope), bytes.size() - sizeof(wire::envelope)});
    ASSERT_NE(refusal->packet.body.Asrefusal(), nullptr);
    EXPECT_EQ(refusal->packet.body.Asrefusal()->number, 3U);
    EXPECT_EQ(refusal->packet.body.Asrefusal()->kind, wire::refusal_kind::unknown);
}

// Guards against idle flows that are never removed, and against growth of the memory per flow.
TEST_F(flows_test, idle_flow_small_and_dropped_after_timeout)
{
    constexpr std::size_t n = 20000;
    single_agent agent(core::incarnation_id{5});
    const auto before = mallinfo2().uordblks;
    for (std::size_t i = 0; i < n; ++i) {
        agent.open();
    }
    const auto each = (mallinfo2().uordblks - before) / n;
    RecordProperty("bytes_per_idle_flow", static_cast<int>(each));
    EXPECT_EQ(agent.subject.size(), n);
    EXPECT_LT(each, 400U);
    action_list actions;
    agent.subject.on_tick(agent.now + seconds{599}, actions);
    EXPECT_EQ(agent.subject.size(), n);
    agent.subject.on_tick(agent.now + seconds{601}, actions);
    EXPECT_EQ(agent.subject.size(), 0U);
}

} // namespace
} // namespace daisydoor::agent
