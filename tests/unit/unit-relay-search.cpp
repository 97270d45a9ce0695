#include "agent_relay_fixture.hpp"

namespace daisydoor::relay
{
namespace
{

class agent_search_test : public agent_relay_test
{
  protected:
    /// Handles a packet of a flow that no peer has.
    void search_without_owner()
    {
        on_packet(make_packet(make_flow()));
        on_message(agent_address(2), flow_unknown{make_flow()});
        on_message(agent_address(3), flow_unknown{make_flow()});
    }
};

// Guards against a reset of a flow that is open at another host: the client acknowledged the other host's answer to a
// copy of its opening packet.
TEST_F(agent_search_test, returned_packet_of_flow_opened_elsewhere_starts_search)
{
    open(make_flow());
    auto value = make_packet(make_flow());
    value.acknowledgement = 0x70000000;
    on_packet(value);
    on_host_packet(returned(value));
    EXPECT_TRUE(emitted<reset_client>().empty());
    on_packet(value);
    EXPECT_TRUE(emitted<reset_client>().empty());
}

// Guards against clients that wait for a restarted host, which has lost its flows.
TEST_F(agent_search_test, returned_packet_of_established_flow_resets_client)
{
    open(make_flow());
    const auto value = make_packet(make_flow());
    on_packet(value);
    on_host_packet(returned(value));
    const auto resets = emitted<reset_client>();
    ASSERT_EQ(resets.size(), 1U);
    EXPECT_EQ(resets[0].sequence, value.acknowledgement);
}

// Guards against lost flows after a restart of their agent but not of the host.
TEST_F(agent_search_test, unknown_packet_after_restart_is_delivered_to_host)
{
    restart(true);
    on_packet(make_packet(make_flow()));
    EXPECT_EQ(emitted<send_to_host>().size(), 1U);
    on_host_packet(make_packet(make_flow()));
    EXPECT_EQ(sent_messages<flow_found>().size(), 1U);
}

// Guards against a request that counts as load for good although its host does not have the flow: the client's packet
// arrived while a peer searched for the flow here.
TEST_F(agent_search_test, probed_flow_that_host_returns_leaves_no_load)
{
    restart(true);
    auto value = make_packet(make_flow());
    value.payload_size = 10;
    value.path = packet_path::search;
    on_packet(value, agent_address(2));
    value.path = packet_path::direct;
    on_packet(value);
    ASSERT_EQ(m_agent->load().in_flight, 1U);
    on_host_packet(returned(value));
    EXPECT_EQ(m_agent->load().in_flight, 0U);
}

// Guards against flows that are in no table although they are open at a peer's host.
TEST_F(agent_search_test, unknown_packet_asks_all_peers)
{
    on_packet(make_packet(make_flow()));
    const auto sent = emitted<send_to_agent>();
    ASSERT_EQ(sent.size(), 2U);
    EXPECT_EQ(sent[0].path, packet_path::search);
    on_message(agent_address(2), flow_unknown{make_flow()});
    EXPECT_TRUE(emitted<reset_client>().empty());
    on_message(agent_address(3), flow_found{make_flow(), {}});
    on_packet(make_packet(make_flow()));
    ASSERT_EQ(emitted<send_to_agent>().size(), 1U);
    EXPECT_EQ(emitted<send_to_agent>()[0].agent, agent_address(3));
}

// Guards against clients that wait for their deadline although no host has their flow.
TEST_F(agent_search_test, flow_unknown_to_all_peers_resets_client_once_view_is_confirmed)
{
    search_without_owner();
    EXPECT_TRUE(emitted<reset_client>().empty());
    advance(confirmation_delay);
    EXPECT_TRUE(m_agent->needs_confirmation(m_now));
    confirm_view();
    EXPECT_EQ(emitted<reset_client>().size(), 1U);
    EXPECT_FALSE(m_agent->needs_confirmation(m_now));
}

// Guards against a reset of an open flow by an agent that does not know the flow's host yet: it had started a moment
// before.
TEST_F(agent_search_test, flow_of_host_missing_in_view_is_searched_again_after_confirmation)
{
    search_without_owner();
    add_host(m_view, make_host(4));
    confirm_view();
    EXPECT_TRUE(emitted<reset_client>().empty());
    const auto sent = emitted<send_to_agent>();
    ASSERT_EQ(sent.size(), 1U) << "the others have answered";
    EXPECT_EQ(sent[0].agent, agent_address(4));
    on_message(agent_address(4), flow_unknown{make_flow()});
    EXPECT_EQ(emitted<reset_client>().size(), 1U) << "its host was published before the search began";
}

// Guards against clients that wait for a confirmation which begins only when the last host has answered.
TEST_F(agent_search_test, confirmation_during_search_resets_client_with_last_answer)
{
    on_packet(make_packet(make_flow()));
    on_message(agent_address(2), flow_unknown{make_flow()});
    advance(confirmation_delay);
    EXPECT_TRUE(m_agent->needs_confirmation(m_now));
    confirm_view();
    EXPECT_TRUE(emitted<reset_client>().empty());
    EXPECT_TRUE(emitted<send_to_agent>().empty()) << "the view has gained no host";
    on_message(agent_address(3), flow_unknown{make_flow()});
    EXPECT_EQ(emitted<reset_client>().size(), 1U);
}

// Guards against calls of the platform for flows that are found at once.
TEST_F(agent_search_test, search_that_finds_flow_needs_no_confirmation)
{
    on_packet(make_packet(make_flow()));
    EXPECT_FALSE(m_agent->needs_confirmation(m_now));
    on_message(agent_address(3), flow_found{make_flow(), {}});
    advance(confirmation_delay);
    EXPECT_FALSE(m_agent->needs_confirmation(m_now));
}

// Guards against a call of the platform for each lost flow.
TEST_F(agent_search_test, one_confirmation_serves_all_searches_that_began_before)
{
    constexpr std::uint16_t flows = 100;
    for (std::uint16_t i = 0; i < flows; ++i) {
        on_packet(make_packet(make_flow(i)));
        on_message(agent_address(2), flow_unknown{make_flow(i)});
        on_message(agent_address(3), flow_unknown{make_flow(i)});
    }
    confirm_view();
    EXPECT_EQ(emitted<reset_client>().size(), flows);
}

// Guards against clients that wait for their own retransmission, up to 1.6 s, because one peer was still starting when
// all others had answered that they do not have the flow.
TEST_F(agent_search_test, search_is_repeated_to_silent_peers)
{
    on_packet(make_packet(make_flow()));
    on_message(agent_address(2), flow_unknown{make_flow()});
    tick(search_repeat_interval);
    const auto sent = emitted<send_to_agent>();
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent[0].agent, agent_address(3));
    EXPECT_EQ(sent[0].path, packet_path::search);
    EXPECT_EQ(sent[0].bytes.size, bytes().size);
    on_message(agent_address(3), flow_unknown{make_flow()});
    confirm_view();
    EXPECT_EQ(emitted<reset_client>().size(), 1U);
}

// Guards against a search that waits for a host which the platform has removed meanwhile.
TEST_F(agent_search_test, search_ends_without_removed_peer)
{
    on_packet(make_packet(make_flow()));
    on_message(agent_address(2), flow_unknown{make_flow()});
    remove_host(m_view, "i-3");
    tick(search_repeat_interval);
    EXPECT_TRUE(m_agent->needs_confirmation(m_now));
    confirm_view();
    EXPECT_EQ(emitted<reset_client>().size(), 1U);
}

// Guards against endless repetitions to a dead peer: the client's next packet starts a new search.
TEST_F(agent_search_test, search_without_answer_waits_for_client)
{
    on_packet(make_packet(make_flow()));
    for (std::uint32_t i = 0; i < search_repeat_limit; ++i) {
        tick(search_repeat_interval);
    }
    tick(search_repeat_interval);
    EXPECT_TRUE(emitted<send_to_agent>().empty());
    on_packet(make_packet(make_flow()));
    EXPECT_EQ(emitted<send_to_agent>().size(), 2U);
}

// Guards against a reset after a platform call that began before the flow was searched.
TEST_F(agent_search_test, confirmation_from_before_search_resets_nothing)
{
    const auto earlier = m_now;
    advance(core::milliseconds(10));
    search_without_owner();
    m_actions.clear();
    m_agent->on_view_confirmed(earlier, m_now, m_actions);
    EXPECT_TRUE(emitted<reset_client>().empty());
}

// Guards against a reset of a flow that is open at a host of a former service: a process that has just started knows
// none of them.
TEST_F(agent_search_test, search_of_started_process_asks_hosts_of_all_services)
{
    add_host(m_view, make_host(9, "other"));
    search_without_owner();
    confirm_view();
    EXPECT_TRUE(emitted<reset_client>().empty()) << "the host of the other service has not answered";
    on_message(agent_address(9), flow_found{make_flow(), {}});
    on_packet(make_packet(make_flow()));
    ASSERT_EQ(emitted<send_to_agent>().size(), 1U);
    EXPECT_EQ(emitted<send_to_agent>()[0].agent, agent_address(9));
}

// Guards against a reset of a flow that a process without news opened at a former service long after the change.
TEST_F(agent_search_test, flow_opened_late_at_former_service_is_found)
{
    add_host(m_view, make_host(9, "former"));
    set_routes(m_view, {make_route({{"former", 1}})});
    advance(default_flow_ttl + late_view_time);
    set_routes(m_view, {make_route({{"svc", 1}})});
    advance(default_flow_ttl + late_view_time + core::milliseconds(1000));
    m_view.expire(m_now);
    search_without_owner();
    confirm_view();
    EXPECT_TRUE(emitted<reset_client>().empty()) << "the host of the former service has not answered";
    on_message(agent_address(9), flow_found{make_flow(), {}});
    on_packet(make_packet(make_flow()));
    ASSERT_EQ(emitted<send_to_agent>().size(), 1U);
    EXPECT_EQ(emitted<send_to_agent>()[0].agent, agent_address(9));
}

// Guards against messages to the whole fleet for each flow that is searched.
TEST_F(agent_search_test, search_with_known_history_asks_present_and_former_services)
{
    add_host(m_view, make_host(8, "former"));
    add_host(m_view, make_host(9, "other"));
    advance(default_flow_ttl + late_view_time);
    set_routes(m_view, {make_route({{"former", 1}, {"svc", 1}})});
    set_routes(m_view, {make_route({{"svc", 1}})});
    on_packet(make_packet(make_flow()));
    const auto sent = emitted<send_to_agent>();
    ASSERT_EQ(sent.size(), 3U);
    EXPECT_EQ(sent[2].agent, agent_address(8));
}

// Guards against a flood of questions after all processes of a large fleet were killed, and against a reset before the
// last host was asked.
TEST_F(agent_search_test, questions_outside_route_are_bounded)
{
    constexpr std::uint32_t others = 700;
    for (std::uint32_t n = 10; n < 10 + others; ++n) {
        add_host(m_view, make_host(n, "other"));
    }
    on_packet(make_packet(make_flow()));
    EXPECT_EQ(emitted<send_to_agent>().size(), 2U + max_wide_questions);
    on_packet(make_packet(make_flow(40002)));
    EXPECT_EQ(emitted<send_to_agent>().size(), 2U);
    for (std::uint32_t n = 2; n < 10 + others; ++n) {
        on_message(agent_address(n), flow_unknown{make_flow()});
    }
    confirm_view();
    EXPECT_TRUE(emitted<reset_client>().empty());
    tick(search_repeat_interval);
    // The rest of the first flow, then as many for the second.
    EXPECT_EQ(emitted<send_to_agent>().size(), 2U + max_wide_questions);
    std::size_t resets = 0;
    for (std::uint32_t n = 2; n < 10 + others; ++n) {
        EXPECT_EQ(resets, 0U);
        on_message(agent_address(n), flow_unknown{make_flow()});
        resets += emitted<reset_client>().size();
    }
    EXPECT_EQ(resets, 1U) << "with the answer of the last host";
}

} // namespace
} // namespace daisydoor::relay
