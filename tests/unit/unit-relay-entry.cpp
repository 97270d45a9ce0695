#include "daisydoor/relay/codec.hpp"
#include "daisydoor/relay/entry_relay.hpp"

#include "relay_fixture.hpp"
#include "support/allocation_counter.hpp"

namespace daisydoor::relay
{
namespace
{

class entry_relay_test : public relay_fixture
{
  protected:
    entry_relay_test()
    {
        set_routes(m_view, {make_route({{"svc", 1}})});
        for (std::uint32_t n = 1; n <= 3; ++n) {
            add_host(m_view, make_host(n));
        }
    }

    void on_packet(const packet& value)
    {
        m_actions.clear();
        m_entry.on_packet(value, bytes(), m_now, m_actions);
    }

    void tick(core::milliseconds time)
    {
        advance(time);
        m_actions.clear();
        m_entry.on_tick(m_now, m_actions);
    }

    void confirm(ipv4 agent, const flow_key& flow)
    {
        m_entry.on_message(agent, flow_found{flow, {}}, m_now, m_actions);
    }

    /// Places a flow and returns the agent.
    ipv4 place(const flow_key& flow)
    {
        on_packet(make_syn(flow));
        const auto sent = emitted<send_to_agent>();
        EXPECT_EQ(sent.size(), 1U);
        return sent.empty() ? ipv4{} : sent[0].agent;
    }

    fleet_view m_view{"a"};
    entry_relay m_entry{entry_address, m_view};
};

// Guards against packets of one flow that go to different agents.
TEST_F(entry_relay_test, packets_go_to_agent_of_opening_packet)
{
    const auto agent = place(make_flow());
    confirm(agent, make_flow());
    on_packet(make_packet(make_flow()));
    EXPECT_EQ(emitted<send_to_agent>().at(0).agent, agent);
    EXPECT_EQ(emitted<send_to_agent>().at(0).entry, entry_address);
}

// Guards against packets that are still sent to the agent which redirected the flow.
TEST_F(entry_relay_test, packets_go_to_agent_that_confirms)
{
    const auto first = place(make_flow());
    const auto other = first == agent_address(1) ? agent_address(2) : agent_address(1);
    confirm(other, make_flow());
    on_packet(make_packet(make_flow()));
    EXPECT_EQ(emitted<send_to_agent>().at(0).agent, other);
}

// Guards against clients that wait 200 ms for a dead agent.
TEST_F(entry_relay_test, unconfirmed_flow_is_placed_at_another_agent)
{
    const auto first = place(make_flow());
    tick(placement_timeout);
    const auto again = emitted<send_to_agent>();
    ASSERT_EQ(again.size(), 1U);
    EXPECT_NE(again[0].agent, first);
    EXPECT_EQ(again[0].bytes.size, opening_packet_size);
}

// Guards against flows that are sent to a dead agent again and again.
TEST_F(entry_relay_test, agent_with_two_unconfirmed_placements_is_tried_last)
{
    const auto first = place(make_flow(40000));
    std::uint16_t port = 40001;
    std::uint32_t misses = 1;
    tick(placement_timeout);
    confirm(emitted<send_to_agent>().at(0).agent, make_flow(40000));
    for (; misses < max_unconfirmed_placements; ++port) {
        const auto agent = place(make_flow(port));
        if (agent == first) {
            ++misses;
            tick(placement_timeout);
            confirm(emitted<send_to_agent>().at(0).agent, make_flow(port));
        } else {
            confirm(agent, make_flow(port));
        }
    }
    for (std::uint16_t i = 0; i < 30; ++i) {
        const auto agent = place(make_flow(static_cast<std::uint16_t>(50000 + i)));
        EXPECT_NE(agent, first);
        confirm(agent, make_flow(static_cast<std::uint16_t>(50000 + i)));
    }
}

// Guards against a flow that is served at another host although its client was refused, and against live agents that
// get no flows since they declined one: after an outage up to eight agents got the same opening packet.
TEST_F(entry_relay_test, declined_placement_is_not_repeated)
{
    for (std::uint16_t i = 0; i < 10; ++i) {
        const auto flow = make_flow(static_cast<std::uint16_t>(40000 + i));
        const auto agent = place(flow);
        m_entry.on_message(agent, flow_unknown{flow}, m_now, m_actions);
        tick(placement_timeout);
        EXPECT_TRUE(m_actions.empty());
        on_packet(make_syn(flow, 1));
        ASSERT_EQ(emitted<send_to_agent>().size(), 1U) << "the next copy is placed anew";
        EXPECT_EQ(emitted<send_to_agent>()[0].agent, agent);
        m_entry.on_message(agent, flow_unknown{flow}, m_now, m_actions);
    }
}

// Guards against the end of an open flow's record by an answer to an earlier search.
TEST_F(entry_relay_test, flow_unknown_leaves_confirmed_flow)
{
    // At most one of the agents is the one that gets the packets of an unknown flow.
    for (std::uint32_t n = 1; n <= 3; ++n) {
        place(make_flow());
        confirm(agent_address(n), make_flow());
        m_entry.on_message(agent_address(n % 3 + 1), flow_unknown{make_flow()}, m_now, m_actions);
        on_packet(make_packet(make_flow()));
        EXPECT_EQ(emitted<send_to_agent>().at(0).agent, agent_address(n));
    }
}

// Guards against agents that are avoided for a second after a common start: they are ready within 100 ms.
TEST_F(entry_relay_test, agent_that_was_starting_gets_flows_again_soon)
{
    std::uint16_t port = 40000;
    const auto flows_to_first = [&] {
        std::size_t n = 0;
        for (int i = 0; i < 30; ++i) {
            const auto flow = make_flow(port++);
            const auto agent = place(flow);
            n += agent == agent_address(1) ? 1 : 0;
            if (agent != agent_address(1)) {
                confirm(agent, flow);
            }
        }
        return n;
    };
    EXPECT_GE(flows_to_first(), max_unconfirmed_placements);
    tick(placement_timeout);
    for (const auto& it : emitted<decision_record>()) {
        if (it.decision == decision::placed_again) {
            confirm(it.agent, it.flow);
        }
    }
    EXPECT_EQ(flows_to_first(), 0U);
    advance(agent_avoid_time);
    EXPECT_GT(flows_to_first(), 0U);
}

// Guards against copies of one opening packet that occupy several hosts.
TEST_F(entry_relay_test, copy_of_opening_packet_goes_to_same_agent)
{
    const auto first = place(make_flow());
    confirm(first, make_flow());
    on_packet(make_syn(make_flow(), 1));
    EXPECT_EQ(emitted<send_to_agent>().at(0).agent, first);
}

// Guards against clients that wait although no host can serve them.
TEST_F(entry_relay_test, open_without_usable_host_is_refused_at_once)
{
    for (std::uint32_t n = 1; n <= 3; ++n) {
        remove_host(m_view, "i-" + std::to_string(n));
    }
    on_packet(make_syn(make_flow()));
    EXPECT_EQ(emitted<reset_client>().size(), 1U);
}

// Guards against packets that no agent searches for since another program's entry has the address of a host that left.
TEST_F(entry_relay_test, packet_of_host_that_left_reaches_another_agent_despite_foreign_entry)
{
    advance(default_flow_ttl + late_view_time);
    set_routes(m_view, {make_route({{"svc", 1}})}, {"svc"});
    const auto agent = place(make_flow());
    confirm(agent, make_flow());
    const auto left = m_view.find_host(agent)->value.id;
    auto foreign = make_host(9, "product");
    foreign.address = agent;
    add_host(m_view, foreign);
    remove_host(m_view, left);
    on_packet(make_packet(make_flow()));
    const auto sent = emitted<send_to_agent>();
    ASSERT_EQ(sent.size(), 2U);
    EXPECT_NE(sent[1].agent, agent);
}

// Guards against flows that stay open after their route was dropped, and against resets of flows whose route is not
// known yet.
TEST_F(entry_relay_test, packet_without_route_is_reset_only_if_route_was_dropped)
{
    auto unknown = make_flow();
    unknown.service_port = 9;
    on_packet(make_packet(unknown));
    EXPECT_TRUE(emitted<reset_client>().empty());
    set_routes(m_view, {});
    on_packet(make_packet(make_flow()));
    ASSERT_EQ(emitted<reset_client>().size(), 1U);
    EXPECT_EQ(emitted<reset_client>()[0].sequence, make_packet(make_flow()).acknowledgement);
}

// Guards against entries that send packets of the same unknown flow to different agents.
TEST_F(entry_relay_test, unknown_flow_goes_to_same_agent_from_every_entry)
{
    on_packet(make_packet(make_flow()));
    const auto first = emitted<send_to_agent>().at(0).agent;
    fleet_view other_view{"b"};
    other_view.apply(m_view.snapshot(m_now), m_now);
    entry_relay other{ipv4{1}, other_view};
    m_actions.clear();
    other.on_packet(make_packet(make_flow()), bytes(), m_now, m_actions);
    EXPECT_EQ(emitted<send_to_agent>().at(0).agent, first);
}

// Guards against memory allocation for each packet of a known flow: an entry has a twentieth of a core.
TEST_F(entry_relay_test, packet_of_known_flow_allocates_nothing)
{
    confirm(place(make_flow()), make_flow());
    on_packet(make_packet(make_flow()));
    const auto before = test::allocation_count();
    on_packet(make_packet(make_flow()));
    EXPECT_EQ(test::allocation_count(), before);
}

// Guards against placements and resets before a configuration is known, and against clients that lose 200 ms because
// their opening packet arrived some milliseconds before it.
TEST_F(entry_relay_test, opening_before_configuration_is_placed_when_it_is_known)
{
    fleet_view view{"a"};
    entry_relay entry{entry_address, view};
    m_actions.clear();
    entry.on_packet(make_packet(make_flow(40000)), bytes(), m_now, m_actions);
    entry.on_packet(make_syn(make_flow(40001)), bytes(), m_now, m_actions);
    advance(entry_opening_age);
    entry.on_packet(make_syn(make_flow(40002)), bytes(), m_now, m_actions);
    advance(core::milliseconds(1));
    EXPECT_TRUE(m_actions.empty());
    view.apply(m_view.snapshot(m_now), m_now);
    entry.on_view_ready(m_now, m_actions);
    const auto sent = emitted<decision_record>();
    ASSERT_EQ(sent.size(), 1U) << "the first opening packet is too old";
    EXPECT_EQ(sent[0].flow, make_flow(40002));
}

// Guards against memory that grows without bound while there is no configuration.
TEST(early_openings_test, number_of_kept_packets_is_bounded)
{
    early_openings kept{entry_opening_age};
    std::array<std::uint8_t, opening_packet_size> bytes{};
    packet value;
    value.syn = true;
    for (std::size_t i = 0; i < max_early_openings + 10; ++i) {
        kept.add(value, {bytes.data(), bytes.size()}, {}, core::time_point(core::seconds(1)));
    }
    EXPECT_EQ(kept.take(core::time_point(core::seconds(1))).size(), max_early_openings);
    EXPECT_TRUE(kept.take(core::time_point(core::seconds(1))).empty());
}

// Guards against memory that grows with the number of flows since the start.
TEST_F(entry_relay_test, idle_flow_is_removed)
{
    confirm(place(make_flow()), make_flow());
    EXPECT_EQ(m_entry.flow_count(), 1U);
    tick(core::milliseconds(60'000));
    EXPECT_EQ(m_entry.flow_count(), 0U);
}

// Guards against messages that the codec changes, and against reads beyond the end of a truncated one.
TEST(relay_codec_test, message_round_trips_and_truncated_message_is_rejected)
{
    const flow_key flow{ipv4{1}, ipv4{2}, 3, 4};
    const auto encoded = encode_message(flow_found{flow, {5, 6, 7, true}});
    const auto decoded = decode_message({encoded.data(), encoded.size()});
    ASSERT_TRUE(decoded);
    const auto& found = std::get<flow_found>(*decoded);
    EXPECT_TRUE(found.flow == flow);
    EXPECT_EQ(found.load.open_flows, 6U);
    EXPECT_TRUE(found.load.accepts);
    for (std::size_t n = 0; n < encoded.size() / 2; ++n) {
        EXPECT_FALSE(decode_message({encoded.data(), n})) << n;
    }
}

// Guards against views that are fetched from another address than that of their source.
TEST_F(entry_relay_test, endpoint_of_is_inverse_of_ipv4_of)
{
    const auto value = endpoint_of(agent_address(1), 80);
    EXPECT_EQ(core::to_string(value), "10.2.0.1:80");
    EXPECT_EQ(ipv4_of(value), agent_address(1));
}

} // namespace
} // namespace daisydoor::relay
