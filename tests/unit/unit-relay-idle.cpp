#include "agent_relay_fixture.hpp"

namespace daisydoor::relay
{
namespace
{

constexpr core::milliseconds short_timeout{6000};
constexpr core::milliseconds long_timeout{15'000};

/// An agent whose view the platform confirms only when a test says so.
class idle_flow_test : public agent_relay_test
{
  protected:
    idle_flow_test()
    {
        publish_idle_timeout(short_timeout);
        open(make_flow());
    }

    void publish_idle_timeout(core::milliseconds value)
    {
        route_set routes;
        routes.version = route_version{static_cast<std::uint64_t>(m_view.version()) + 1};
        routes.routes = {make_route({{"svc", 1}})};
        routes.idle_timeout = value;
        fleet_update update;
        update.revision = revision{static_cast<std::uint64_t>(m_view.revision()) + 1};
        update.changes.push_back({update.revision, routes});
        m_view.apply(update, m_now);
    }

    /// Whether the client's next packet on the flow reaches the host.
    bool is_delivered()
    {
        on_packet(make_packet(make_flow()));
        return emitted<send_to_host>().size() == 1;
    }
};

// Guards against open flows that an agent without news discards by a former idle timeout, and resets once it has the
// new one.
TEST_F(idle_flow_test, flow_outlives_former_timeout_of_unconfirmed_view)
{
    tick(short_timeout + idle_flow_slack + core::milliseconds(1000));
    publish_idle_timeout(long_timeout);
    tick(core::milliseconds(1000));
    EXPECT_TRUE(is_delivered());
}

// Guards against a confirmation that says nothing of the time when the flow had been idle for too long.
TEST_F(idle_flow_test, flow_outlives_timeout_that_was_confirmed_too_early)
{
    m_agent->set_view_confirmed_at(m_now + short_timeout);
    tick(short_timeout + idle_flow_slack + core::milliseconds(1000));
    EXPECT_TRUE(is_delivered());
}

// Guards against idle flows that are kept although the idle timeout in force is over.
TEST_F(idle_flow_test, flow_is_discarded_after_confirmed_timeout)
{
    m_agent->set_view_confirmed_at(m_now + short_timeout + idle_flow_slack + core::milliseconds(1));
    tick(short_timeout + idle_flow_slack + core::milliseconds(1000));
    EXPECT_EQ(m_agent->flow_count(), 0U);
    EXPECT_EQ(m_agent->idle_flows_discarded(), 1U);
}

// Guards against the reset of a flow whose client sent its packet within the idle timeout, but lost the first copies.
TEST_F(idle_flow_test, retransmitted_packet_reaches_host_after_timeout)
{
    m_agent->set_view_confirmed_at(m_now + short_timeout + core::milliseconds(1600));
    tick(short_timeout + core::milliseconds(1600));
    EXPECT_TRUE(is_delivered());
}

// Guards against memory that grows for as long as the platform is away.
TEST_F(idle_flow_test, flow_of_unconfirmed_view_is_discarded_after_its_lifetime)
{
    tick(default_flow_ttl + idle_flow_slack + core::milliseconds(1));
    EXPECT_EQ(m_agent->flow_count(), 0U);
}

} // namespace
} // namespace daisydoor::relay
