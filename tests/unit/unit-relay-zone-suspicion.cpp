#include "daisydoor/relay/entry_relay.hpp"
#include "daisydoor/relay/zone_suspicion.hpp"

#include "relay_fixture.hpp"

namespace daisydoor::relay
{
namespace
{

class zone_suspicion_test : public ::testing::Test
{
  protected:
    static ipv4 agent(std::uint32_t n) { return ipv4{0x0a020000 + n}; }

    /// Lets `n` different agents of the zone be silent, one each 10 ms; returns whether the last one made it suspected.
    bool silence(std::size_t n, const std::string& zone = "b")
    {
        bool result = false;
        for (std::uint32_t i = 1; i <= n; ++i) {
            m_now += core::milliseconds(10);
            result = m_zones.on_silence(zone, agent(i), m_now, m_extent);
        }
        return result;
    }

    /// Number of 1,000 flows that avoid the zone.
    [[nodiscard]] std::size_t avoiding(const std::string& zone = "b") const
    {
        std::size_t result = 0;
        for (std::uint16_t i = 0; i < 1000; ++i) {
            result += m_zones.is_avoided(zone, hash_of({ipv4{1}, ipv4{2}, i, 443}), m_now) ? 1 : 0;
        }
        return result;
    }

    zone_suspicion m_zones;
    zone_extent m_extent{5, 3};
    core::time_point m_now{core::seconds(1000)};
};

// Guards against a zone that is avoided since one rack of it is lost.
TEST_F(zone_suspicion_test, two_silent_agents_of_five_leave_zone_in_use)
{
    EXPECT_FALSE(silence(2));
    EXPECT_TRUE(m_zones.is_idle());
    EXPECT_EQ(avoiding(), 0U);
}

// Guards against new flows that find the lost agents of a zone one by one.
TEST_F(zone_suspicion_test, three_silent_agents_make_all_flows_avoid_zone)
{
    EXPECT_TRUE(silence(3));
    EXPECT_EQ(avoiding(), 1000U);
    EXPECT_EQ(avoiding("c"), 0U);
    EXPECT_EQ(m_zones.suspected_zones(), std::vector<std::string>{"b"});
}

// Guards against one lost agent that counts several times.
TEST_F(zone_suspicion_test, agent_that_is_silent_three_times_counts_once)
{
    for (int i = 0; i < 3; ++i) {
        EXPECT_FALSE(m_zones.on_silence("b", agent(1), m_now += core::milliseconds(10), m_extent));
    }
}

// Guards against a zone that is given up since datagrams are lost now and then.
TEST_F(zone_suspicion_test, answer_between_silent_agents_ends_the_count)
{
    silence(2);
    EXPECT_FALSE(m_zones.on_answer("b", m_now += core::milliseconds(10)));
    EXPECT_FALSE(m_zones.on_silence("b", agent(3), m_now, m_extent)) << "placed before the answer";
    EXPECT_FALSE(silence(2));
}

// Guards against single agents that restart, which add up over seconds.
TEST_F(zone_suspicion_test, silence_of_agents_at_different_times_does_not_add_up)
{
    for (std::uint32_t i = 1; i <= 6; ++i) {
        EXPECT_FALSE(m_zones.on_silence("b", agent(i), m_now, m_extent));
        m_now += silence_window / 2 + core::milliseconds(1);
    }
}

// Guards against a process that is cut off and avoids every zone, and against placements that an evacuation and a loss
// together leave no zone.
TEST_F(zone_suspicion_test, last_zone_is_never_suspected)
{
    m_extent.zones = 2;
    EXPECT_TRUE(silence(3, "b"));
    EXPECT_FALSE(silence(5, "c"));
    EXPECT_EQ(avoiding("c"), 0U);
}

// Guards against a zone of two agents whose loss is never learned.
TEST_F(zone_suspicion_test, both_agents_of_a_small_zone_suffice)
{
    m_extent.agents_in_zone = 2;
    EXPECT_TRUE(silence(2));
}

// Guards against a single agent that counts as a zone.
TEST_F(zone_suspicion_test, only_agent_of_a_zone_does_not_suffice)
{
    m_extent.agents_in_zone = 1;
    EXPECT_FALSE(silence(1));
}

// Guards against many flows that are lost on a suspected zone.
TEST_F(zone_suspicion_test, probes_are_spaced)
{
    silence(3);
    EXPECT_FALSE(m_zones.try_start_probe(m_now));
    m_now += zone_probe_interval;
    EXPECT_EQ(m_zones.try_start_probe(m_now), std::optional<std::string>("b"));
    EXPECT_FALSE(m_zones.try_start_probe(m_now));
}

// Guards against all flows that go to a zone with its first answer.
TEST_F(zone_suspicion_test, zone_that_answers_is_taken_back_gradually)
{
    silence(3);
    EXPECT_TRUE(m_zones.on_answer("b", m_now));
    EXPECT_TRUE(m_zones.suspected_zones().empty());
    EXPECT_EQ(avoiding(), 1000U);
    m_now += zone_return_time / 2;
    EXPECT_NEAR(static_cast<double>(avoiding()), 500, 80);
    m_now += zone_return_time / 2;
    EXPECT_EQ(avoiding(), 0U);
    m_zones.on_tick(m_now);
    EXPECT_TRUE(m_zones.is_idle());
}

// Guards against a zone that is lost again while it is taken back.
TEST_F(zone_suspicion_test, returning_zone_can_be_suspected_again)
{
    silence(3);
    m_zones.on_answer("b", m_now);
    EXPECT_TRUE(silence(3));
    EXPECT_EQ(avoiding(), 1000U);
    m_zones.on_answer("b", m_now);
    m_zones.on_tick(m_now + zone_return_time);
    EXPECT_TRUE(m_zones.is_idle());
}

/// An entry whose own zone is evacuated, and two zones of five hosts.
class entry_zone_test : public relay_fixture
{
  protected:
    entry_zone_test()
    {
        set_routes(m_view, {make_route({{"svc", 1}})});
        for (std::uint32_t n = 1; n <= 15; ++n) {
            auto added = make_host(n, "svc", zone_of(n));
            added.state = zone_of(n) == "a" ? host_state::draining : host_state::ready;
            add_host(m_view, added);
        }
    }

    static std::string zone_of(std::uint32_t n) { return n <= 5 ? "a" : n <= 10 ? "b" : "c"; }
    static std::string zone_of(ipv4 agent) { return zone_of(static_cast<std::uint32_t>(agent) & 0xffU); }

    /// Opens flows; agents of lost zones do not confirm. Returns how many are placed in zone b.
    std::size_t open_flows(std::size_t n, bool b_is_lost)
    {
        std::size_t result = 0;
        for (std::size_t i = 0; i < n; ++i) {
            m_actions.clear();
            const auto flow = make_flow(m_next_port++);
            m_entry.on_packet(make_syn(flow), bytes(), m_now, m_actions);
            result += settle(b_is_lost);
        }
        return result;
    }

    /// Lets agents confirm the placements of the last call; returns how many are in zone b.
    std::size_t settle(bool b_is_lost)
    {
        std::size_t result = 0;
        for (const auto& it : emitted<decision_record>()) {
            if (it.decision != decision::placed && it.decision != decision::placed_again) {
                continue;
            }
            const bool is_in_b = zone_of(it.agent) == "b";
            result += is_in_b ? 1 : 0;
            if (!is_in_b || !b_is_lost) {
                m_entry.on_message(it.agent, flow_found{it.flow, {}}, m_now, m_actions);
            }
        }
        return result;
    }

    std::size_t tick(core::milliseconds time, bool b_is_lost)
    {
        advance(time);
        m_actions.clear();
        m_entry.on_tick(m_now, m_actions);
        return settle(b_is_lost);
    }

    fleet_view m_view{"a"};
    entry_relay m_entry{entry_address, m_view};
    std::uint16_t m_next_port = 40000;
};

// Guards against hundreds of flows that wait for the agents of a lost zone one after the other while another zone is
// evacuated.
TEST_F(entry_zone_test, lost_zone_with_another_evacuated_gets_only_probes)
{
    EXPECT_GT(open_flows(20, true), 5U);
    tick(placement_timeout, true);
    EXPECT_EQ(m_entry.suspected_zones(), std::vector<std::string>{"b"});
    EXPECT_EQ(open_flows(100, true), 0U);
    advance(zone_probe_interval);
    EXPECT_EQ(open_flows(100, true), 1U);
    EXPECT_EQ(tick(placement_timeout, true), 0U) << "the probing flow is placed elsewhere";
}

// Guards against an agent that never learns that the peer to which it redirected a flow is silent.
TEST_F(entry_zone_test, unconfirmed_placement_is_told_to_its_agent)
{
    const auto flow = make_flow();
    m_actions.clear();
    m_entry.on_packet(make_syn(flow), bytes(), m_now, m_actions);
    const auto agent = emitted<send_to_agent>().at(0).agent;
    advance(placement_timeout);
    m_actions.clear();
    m_entry.on_tick(m_now, m_actions);
    const auto told = sent_messages<flow_unknown>();
    ASSERT_EQ(told.size(), 1U);
    EXPECT_EQ(told[0].first, agent);
    EXPECT_EQ(told[0].second.flow, flow);
}

// Guards against a returning zone that stays empty, and against all flows that go there with its first answer.
TEST_F(entry_zone_test, zone_that_returns_gets_flows_gradually)
{
    open_flows(20, true);
    tick(placement_timeout, true);
    advance(zone_probe_interval);
    EXPECT_EQ(open_flows(100, false), 1U) << "the answer to the probe admits nothing at once";
    EXPECT_TRUE(m_entry.suspected_zones().empty());
    tick(zone_return_time / 2, false);
    const auto half = open_flows(200, false);
    tick(zone_return_time / 2, false);
    const auto all = open_flows(200, false);
    EXPECT_GT(half, 20U);
    EXPECT_LT(half, 80U);
    EXPECT_GT(all, 80U);
}

} // namespace
} // namespace daisydoor::relay
