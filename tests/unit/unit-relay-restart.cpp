#include "agent_relay_fixture.hpp"

namespace daisydoor::relay
{
namespace
{

/// An agent that starts before its peers, and a route with an aim for its answers.
class restart_test : public agent_relay_test
{
  protected:
    restart_test()
    {
        auto value = make_route({{"svc", 1}});
        value.timeout = core::milliseconds(2000);
        value.target_latency = core::milliseconds(250);
        set_routes(m_view, {value});
        // At a service time of 50 ms, a further request waits for 100 ms in front of the host.
        const auto requests = defer_wait / initial_service_time * (m_agent->load().slots + max_requests_beyond_slots);
        for (std::uint16_t i = 0; i < requests; ++i) {
            on_packet(make_syn(make_flow(static_cast<std::uint16_t>(40000 + i))));
        }
    }

    /// Whether the opening packet with this number of copies before it is delivered to the host.
    bool is_opened(std::uint32_t copies)
    {
        on_packet(make_syn(make_flow(m_next_port++), copies));
        return !emitted<send_to_host>().empty();
    }

  private:
    std::uint16_t m_next_port = 50000;
};

// Guards against answers that are late since the opening packet was left to the copy 200 ms later: after a loss of all
// power, 1,200 of 2,800 flows were, which the host would have answered after 150 of 250 ms.
TEST_F(restart_test, open_that_host_answers_on_time_is_not_deferred) { EXPECT_TRUE(is_opened(0)); }

// Guards against a first agent that gets all flows: what is late anyway waits for more agents.
TEST_F(restart_test, open_that_would_be_late_is_deferred)
{
    EXPECT_FALSE(is_opened(1));
    EXPECT_TRUE(is_opened(2)) << "the last copy is never deferred";
}

// Guards against the same with a first copy: its request would be late behind all that were accepted.
TEST_F(restart_test, open_behind_many_requests_is_deferred)
{
    bool opened = true;
    for (int i = 0; i < 30 && opened; ++i) {
        opened = is_opened(0);
    }
    EXPECT_FALSE(opened);
}

// Guards against flows that are redirected for seconds to a peer which lost its power after a good report.
TEST_F(agent_relay_test, peer_that_did_not_confirm_gets_no_flows_before_its_next_report)
{
    for (std::uint32_t n = 2; n <= 3; ++n) {
        on_message(agent_address(n), host_load{0, 0, 5, true});
    }
    m_agent->start_drain();
    std::uint16_t port = 40000;
    const auto redirected_to = [&] {
        on_packet(make_syn(make_flow(++port)));
        const auto sent = emitted<send_to_agent>();
        return sent.empty() ? ipv4{} : sent[0].agent;
    };
    const auto silent = redirected_to();
    ASSERT_NE(silent, ipv4{});
    on_message(entry_address, flow_unknown{make_flow(port)});
    for (int i = 0; i < 20; ++i) {
        EXPECT_NE(redirected_to(), silent);
    }
    on_message(silent, host_load{0, 0, 5, true});
    std::size_t n = 0;
    for (int i = 0; i < 20; ++i) {
        n += redirected_to() == silent ? 1 : 0;
    }
    EXPECT_GT(n, 0U);
}

} // namespace
} // namespace daisydoor::relay
