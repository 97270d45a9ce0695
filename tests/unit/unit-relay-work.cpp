#include "daisydoor/relay/codec.hpp"
#include "daisydoor/relay/host_work.hpp"
#include "daisydoor/relay/placement.hpp"

#include "agent_relay_fixture.hpp"

namespace daisydoor::relay
{
namespace
{

class host_work_test : public relay_fixture
{
  protected:
    static constexpr std::uint32_t slots = 2;

    void deliver(const flow_key& flow, bool is_further = true) { m_work.on_delivered(flow, is_further, slots, m_now); }

    void answer(const flow_key& flow)
    {
        m_work.on_answered(flow, m_now);
        m_work.on_ended(flow, slots, m_now);
    }

    void run(const flow_key& flow, core::milliseconds time, bool is_further = true)
    {
        deliver(flow, is_further);
        advance(time);
        answer(flow);
    }

    /// A route with requests of 20 ms, of which one in thirty takes 140 ms.
    void learn_tail()
    {
        for (int i = 0; i < 600; ++i) {
            run(make_flow(), core::milliseconds(i % 30 == 29 ? 140 : 20));
        }
    }

    double left_after(core::milliseconds time)
    {
        auto work = m_work;
        work.on_delivered(make_flow(), true, slots, m_now);
        work.advance(m_now + time);
        return work.work_left_ms();
    }

    host_work m_work;
};

// Guards against a wait for a slot that is taken for work: the host then seems slower the more it has to do.
TEST_F(host_work_test, wait_for_slot_is_no_work)
{
    for (int round = 0; round < 20; ++round) {
        for (std::uint16_t port = 1; port <= 3; ++port) {
            deliver(make_flow(port));
        }
        advance(core::milliseconds(30));
        answer(make_flow(1));
        answer(make_flow(2));
        advance(core::milliseconds(30));
        answer(make_flow(3));
    }
    EXPECT_NEAR(m_work.mean_ms(), 30, 0.1);
}

// Guards against a request that has run long and seems nearly done: with three in a hundred that take seven times as
// long, the longer it has run the more of it is left.
TEST_F(host_work_test, work_left_of_long_request_grows)
{
    learn_tail();
    EXPECT_NEAR(left_after(core::milliseconds(0)), 24, 6);
    EXPECT_LT(left_after(core::milliseconds(10)), left_after(core::milliseconds(0)));
    EXPECT_GT(left_after(core::milliseconds(40)), 2 * left_after(core::milliseconds(0)));
    for (int ms = 0; ms < 4000; ms += 7) {
        EXPECT_GT(left_after(core::milliseconds(ms)), 0) << ms;
        EXPECT_LE(left_after(core::milliseconds(ms)), 2000) << ms;
    }
}

// Guards against requests that look alike and are counted alike: two waiting ones of a dear route are more work than
// four of a cheap one.
TEST_F(host_work_test, work_left_follows_routes)
{
    auto dear = make_flow(1);
    dear.service_port = 8443;
    for (int i = 0; i < 40; ++i) {
        run(dear, core::milliseconds(33));
        run(make_flow(2), core::milliseconds(4));
    }
    EXPECT_NEAR(m_work.mean_ms(dear), 33, 1);
    EXPECT_NEAR(m_work.mean_ms(make_flow()), 4, 1);
    EXPECT_EQ(m_work.routes().size(), 2U);
    for (std::uint16_t port = 10; port < 14; ++port) {
        m_work.on_expected(make_flow(port), m_now);
    }
    const double cheap = m_work.work_left_ms();
    EXPECT_NEAR(cheap, 16, 4);
    dear.client_port = 20;
    m_work.on_expected(dear, m_now);
    EXPECT_NEAR(m_work.work_left_ms() - cheap, 33, 1);
}

// Guards against a speed that was learned once: a host whose requests take three times as long from now on.
TEST_F(host_work_test, mean_follows_host_that_slows_down)
{
    for (int i = 0; i < 500; ++i) {
        run(make_flow(), core::milliseconds(20));
    }
    for (int i = 0; i < 100; ++i) {
        run(make_flow(), core::milliseconds(60));
    }
    EXPECT_NEAR(m_work.mean_ms(), 60, 5);
}

// Guards against decisions by the first answers of a process that has just started.
TEST_F(host_work_test, few_answers_are_unknown)
{
    EXPECT_EQ(m_work.mean_ms(), 0);
    EXPECT_EQ(m_work.slots_per_idle_flow(), 0);
    for (std::uint32_t i = 1; i < min_work_answers; ++i) {
        run(make_flow(), core::milliseconds(20));
    }
    EXPECT_EQ(m_work.mean_ms(), 0);
    run(make_flow(), core::milliseconds(20));
    EXPECT_GT(m_work.mean_ms(), 0);
}

// Guards against a constant that stands for one customer's flows: a request of 40 ms each second, and one of 26 ms each
// ten seconds.
TEST_F(host_work_test, idle_flows_bring_what_each_customer_sends)
{
    for (const auto& [ms, pause_ms] : {std::make_pair(40, 1000), std::make_pair(26, 10'000)}) {
        m_work = {};
        for (int second = 0; second < 30; ++second) {
            // A hundred flows, one after the other.
            for (std::uint16_t port = 1; port <= 100; ++port) {
                m_work.set_idle_flows(100, m_now);
                advance(core::milliseconds(pause_ms / 100));
                deliver(make_flow(port));
                auto end = m_now + core::milliseconds(ms);
                m_work.on_answered(make_flow(port), end);
                m_work.on_ended(make_flow(port), slots, end);
                advance(core::milliseconds(ms));
            }
        }
        const double expected = static_cast<double>(ms) / (pause_ms + 100 * ms);
        EXPECT_NEAR(m_work.slots_per_idle_flow(), expected, 0.2 * expected) << ms;
    }
}

// Guards against flows with one request each that count twice, as a request and as an open flow.
TEST_F(host_work_test, flows_with_one_request_bring_nothing)
{
    for (std::uint16_t port = 1; port <= 200; ++port) {
        m_work.set_idle_flows(5, m_now);
        run(make_flow(port), core::milliseconds(20), false);
    }
    EXPECT_EQ(m_work.slots_per_idle_flow(), 0);
}

// Guards against memory that grows with the routes.
TEST_F(host_work_test, routes_are_bounded)
{
    for (std::size_t i = 0; i <= max_worked_routes; ++i) {
        auto flow = make_flow();
        flow.service_port = static_cast<std::uint16_t>(i);
        run(flow, core::milliseconds(1));
    }
    EXPECT_EQ(m_work.route_count(), 1U);
}

class work_placement_test : public relay_fixture
{
  protected:
    /// Load of a host with requests of 26 ms, and flows that send one each ten seconds.
    static host_load make_load(std::uint32_t in_flight, std::uint32_t open_flows, std::uint32_t mean_us = 26'000)
    {
        host_load result{in_flight, open_flows, 2, true};
        result.mean_work_us = mean_us;
        result.work_us = in_flight * mean_us;
        result.flow_work = open_flows * 26 / 10;
        return result;
    }

    static bool redirects(const host_load& own, const host_load& peer)
    {
        return choose_less_busy(own, {{agent_address(2), peer, true, 0, true}}, 1) != nullptr;
    }
};

// Guards against a new host with few flows that is sent flows by hosts with less to do: its 31 flows against their 200
// outweighed the five requests at its two slots.
TEST_F(work_placement_test, new_host_with_requests_gets_no_flows_for_having_few)
{
    EXPECT_FALSE(redirects(make_load(2, 200), make_load(5, 31)));
    EXPECT_TRUE(redirects(make_load(5, 31), make_load(2, 200)));
}

// Guards against hosts of different speed that are taken for equal: the same requests are more work at a slow one.
TEST_F(work_placement_test, slow_host_redirects_sooner)
{
    EXPECT_FALSE(redirects(make_load(2, 0), make_load(2, 0)));
    EXPECT_TRUE(redirects(make_load(2, 0, 43'000), make_load(2, 0, 16'000)));
    EXPECT_FALSE(redirects(make_load(2, 0, 16'000), make_load(2, 0, 43'000)));
}

// Guards against a host that fails its requests at once and draws all flows: it has no work, and its flows seem to
// bring none.
TEST_F(work_placement_test, flows_of_host_that_fails_at_once_weigh_as_elsewhere)
{
    host_load usual{1, 40, 2, true};
    usual.work_us = 26'000;
    usual.mean_work_us = 26'000;
    usual.flow_work = 1000;
    host_load failing{0, 80, 2, true};
    failing.mean_work_us = 1'000;
    failing.flow_work = 10;
    const std::vector<peer_load> peers{{agent_address(2), failing, true, 0, true},
                                       {agent_address(3), usual, true, 0, true}};
    EXPECT_EQ(choose_less_busy(usual, peers, 1), nullptr) << "twice the flows outweigh one request less";
}

// Guards against a wait by counts: three requests of a dear route outlast a patience that three cheap ones don't.
TEST_F(work_placement_test, expected_wait_is_work_left)
{
    EXPECT_EQ(expected_wait(make_load(4, 0, 100'000), core::milliseconds(26)), core::milliseconds(200));
    EXPECT_EQ(expected_wait(make_load(4, 0, 10'000), core::milliseconds(26)), core::milliseconds(20));
}

// Guards against peers of an older build that say nothing about work: they are compared by their requests.
TEST_F(work_placement_test, peer_without_work_is_compared_by_requests)
{
    EXPECT_TRUE(redirects(make_load(2, 0), host_load{0, 0, 2, true}));
    EXPECT_FALSE(redirects(make_load(2, 100), host_load{2, 100, 2, true}));
}

// Guards against a change where all hosts are equal and requests cost the same: the choices of the placement by counts,
// as recorded, for 300 random loads. A letter is the number of the peer, a dot keeps the flow.
TEST_F(work_placement_test, equal_hosts_give_recorded_choices)
{
    const std::string recorded =
        "acceh..b.a.ceba..bedc.ee.ec..b.cgc.a.aad..h..eg.db..c.ad.b.cc.a...hba..b...baagecac..habbhb.eaeaggab"
        "bahd...a.g..a.a..e...cb.hh...d..c.abc...agabab...gd.c..gedbfgadc..ceacceega..ae.a..eecb..abb.eafdc.e"
        ".i..ddaag..ecb.ac.aabcb..df...aha.d.ca.d.cahcch..e...aab.bafdad...cga..f.c.aa..acd..b.aa.bba.h.f..a.";
    std::uint64_t state = 1;
    const auto next = [&state](std::uint32_t n) {
        state = state * 6364136223846793005ULL + 1442695040888963407ULL;
        return static_cast<std::uint32_t>((state >> 33U) % n);
    };
    std::string choices;
    for (std::size_t i = 0; i < recorded.size(); ++i) {
        const std::uint32_t slots = 1 + next(8);
        const auto load = [&] {
            host_load result;
            result.in_flight = next(2 * slots + 2);
            result.open_flows = next(40);
            result.slots = slots;
            result.accepts = next(10) != 0;
            // A request of 40 ms, and flows that keep a twentieth of a slot busy.
            result.mean_work_us = 40'000;
            result.work_us = result.in_flight * result.mean_work_us;
            result.flow_work = result.open_flows * 50;
            return result;
        };
        const auto own = load();
        std::vector<peer_load> peers;
        const auto n = 1 + next(9);
        for (std::uint32_t p = 0; p < n; ++p) {
            peer_load it;
            it.agent = ipv4{0x0a010010U + p};
            it.load = load();
            it.in_own_zone = next(2) == 0;
            it.flows_redirected = next(3);
            it.has_reported = next(8) != 0;
            peers.push_back(it);
        }
        const auto* chosen = choose_less_busy(own, peers, state);
        choices += chosen != nullptr ? static_cast<char>('a' + (chosen - peers.data())) : '.';
    }
    EXPECT_EQ(choices, recorded);
}

class work_agent_test : public agent_relay_test
{
};

// Guards against an agent that reports counts only: its host answers each of its requests after 30 ms.
TEST_F(work_agent_test, agent_reports_learned_work)
{
    for (std::uint16_t port = 40001; port <= 40020; ++port) {
        open(make_flow(port));
        auto value = make_packet(make_flow(port));
        value.payload_size = 10;
        on_packet(value);
        advance(core::milliseconds(30));
        auto answer = make_packet(make_flow(port));
        answer.sequence = 5001;
        answer.payload_size = 100;
        on_host_packet(answer);
    }
    tick(idle_report_interval);
    const auto reports = sent_messages<host_load>();
    ASSERT_FALSE(reports.empty());
    EXPECT_NEAR(reports.front().second.mean_work_us, 30'000, 100);
    EXPECT_EQ(reports.front().second.work_us, 0U);
    on_packet(make_syn(make_flow(40100)));
    EXPECT_NEAR(m_agent->load().work_us, 30'000, 100);
}

// Guards against a report that loses what a host still has to do.
TEST_F(work_placement_test, report_carries_work)
{
    const auto sent = make_load(3, 50);
    const auto datagram = encode_message(sent);
    const auto received = decode_message({datagram.data(), datagram.size()});
    ASSERT_TRUE(received);
    const auto& load = std::get<host_load>(*received);
    EXPECT_EQ(load.work_us, sent.work_us);
    EXPECT_EQ(load.mean_work_us, sent.mean_work_us);
    EXPECT_EQ(load.flow_work, sent.flow_work);
}

} // namespace
} // namespace daisydoor::relay
