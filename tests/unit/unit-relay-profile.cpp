#include "daisydoor/relay/placement.hpp"
#include "daisydoor/relay/request_profile.hpp"

#include "relay_fixture.hpp"

namespace daisydoor::relay
{
namespace
{

class request_profile_test : public relay_fixture
{
  protected:
    void answer(int requests, core::milliseconds time)
    {
        for (int i = 0; i < requests; ++i) {
            m_profile.on_answer(time);
        }
    }

    request_profile m_profile;
};

// Guards against constants that fit one customer: requests of 15 ms and of 200 ms on the same build.
TEST_F(request_profile_test, service_time_follows_each_customer)
{
    for (const int ms : {15, 200}) {
        m_profile = {};
        EXPECT_EQ(m_profile.service_time(), initial_service_time);
        answer(20, core::milliseconds(ms));
        EXPECT_NEAR(static_cast<double>(m_profile.service_time().count()), ms, 0.2 * ms) << ms;
    }
}

// Guards against a queue in front of a slow host that is taken for a short one: the same requests wait twice as long.
TEST_F(request_profile_test, expected_wait_follows_service_time)
{
    const host_load load{30, 0, 2, true};
    answer(20, core::milliseconds(15));
    const bool refused_when_fast = outlasts_patience(load, 0, m_profile.service_time(), core::milliseconds(500));
    m_profile = {};
    answer(20, core::milliseconds(75));
    const bool refused_when_slow = outlasts_patience(load, 0, m_profile.service_time(), core::milliseconds(500));
    EXPECT_FALSE(refused_when_fast);
    EXPECT_TRUE(refused_when_slow);
}

// Guards against a profile that one host without answers spoils for good.
TEST_F(request_profile_test, service_time_is_bounded)
{
    answer(100, core::milliseconds(100'000));
    EXPECT_LE(m_profile.service_time(), max_service_time);
    answer(200, core::milliseconds(0));
    EXPECT_EQ(m_profile.service_time(), min_service_time);
}

// Guards against clients that are taken for gone because their route's timeout was lowered.
TEST_F(request_profile_test, patience_covers_clients_that_wait_longer_than_published)
{
    EXPECT_EQ(m_profile.patience(make_flow(), core::milliseconds(200)), core::milliseconds(200));
    m_profile.on_client_waits(make_flow(), core::milliseconds(420), m_now);
    EXPECT_EQ(m_profile.patience(make_flow(), core::milliseconds(200)), core::milliseconds(420));
    EXPECT_EQ(m_profile.patience(make_flow(), core::milliseconds(600)), core::milliseconds(600));
    EXPECT_EQ(m_profile.patience(make_flow(), core::milliseconds(0)), core::milliseconds(0));
}

// Guards against a patience that is remembered long after the clients have changed.
TEST_F(request_profile_test, patience_is_forgotten_after_two_periods)
{
    m_profile.on_client_waits(make_flow(), core::milliseconds(900), m_now);
    advance(patience_period + core::seconds(1));
    m_profile.on_client_waits(make_flow(), core::milliseconds(300), m_now);
    EXPECT_EQ(m_profile.patience(make_flow(), core::milliseconds(200)), core::milliseconds(900));
    advance(patience_period + core::seconds(1));
    m_profile.on_client_waits(make_flow(), core::milliseconds(300), m_now);
    EXPECT_EQ(m_profile.patience(make_flow(), core::milliseconds(200)), core::milliseconds(300));
}

// Guards against memory that grows with every route there ever was.
TEST_F(request_profile_test, routes_are_bounded)
{
    for (std::uint16_t port = 1; port <= max_profiled_routes + 1; ++port) {
        auto flow = make_flow();
        flow.service_port = port;
        m_profile.on_client_waits(flow, core::milliseconds(10), m_now);
    }
    EXPECT_EQ(m_profile.route_count(), 1U);
}

} // namespace
} // namespace daisydoor::relay
