#include "standins/relay/soak.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <regex>
#include <sstream>
#include <sys/resource.h>

namespace daisydoor::process_test
{
namespace
{

using standins::relay::proxy_mode;
using standins::relay::store_mode;
using standins::relay::world;
using standins::relay::world_options;

class relay_process_test : public testing::Test
{
  protected:
    relay_process_test()
    {
        m_options.binaries = DAISYDOOR_BINARY_DIR;
        m_options.folder = testing::TempDir() + "relay_" +
                           testing::UnitTest::GetInstance()->current_test_info()->name() + std::to_string(getpid());
    }

    void TearDown() override
    {
        if (HasFailure()) {
            std::cout << "the logs are in " << m_options.folder << '\n';
        } else {
            std::filesystem::remove_all(m_options.folder);
        }
    }

    void start()
    {
        m_world = std::make_unique<world>(m_options);
        ASSERT_TRUE(m_world->start()) << "the fleet serves no requests after its start";
    }

    /// Runs the fleet for `time`. @return the number of requests answered meanwhile
    std::size_t answered_in(core::milliseconds time)
    {
        const auto before = m_world->observations().answered;
        m_world->run(time);
        return m_world->observations().answered - before;
    }

    void finish()
    {
        m_world->recover();
        for (const auto& it : m_world->finish()) {
            ADD_FAILURE() << it;
        }
    }

    std::string log_of(const std::string& machine) const
    {
        std::ifstream in(m_options.folder + '/' + machine + ".log");
        std::ostringstream out;
        out << in.rdbuf();
        return out.str();
    }

    world_options m_options;
    std::unique_ptr<world> m_world;
};

// Guards against a fleet that does not serve after its start, and against every process reading the platform.
TEST_F(relay_process_test, calm_fleet_serves_with_few_reads)
{
    start();
    m_world->run(core::milliseconds(2500));
    const auto calls = m_world->platform().calls();
    EXPECT_GT(answered_in(core::milliseconds(4000)), 50U);
    EXPECT_LE(m_world->platform().calls() - calls, 16U) << "two readers with watches of 1.1 s";
    EXPECT_EQ(m_world->observations().failed, 0U);
    finish();
}

// Guards against flows that break when the entry that forwards them is killed.
TEST_F(relay_process_test, killed_entry_loses_no_flow)
{
    start();
    m_world->kill(0);
    m_world->run(core::milliseconds(1500));
    m_world->restart(0);
    m_world->run(core::milliseconds(2000));
    EXPECT_EQ(m_world->observations().resets, 0U);
    finish();
}

// Guards against flows that break when the agent of their host is killed, although the host still has them.
TEST_F(relay_process_test, killed_agent_finds_its_flows_again)
{
    start();
    const int agent = m_options.entries;
    m_world->kill(agent);
    m_world->run(core::milliseconds(300));
    m_world->restart(agent);
    m_world->run(core::milliseconds(3000));
    EXPECT_EQ(m_world->observations().resets, 0U);
    finish();
}

// Guards against processes that stay without configuration when all restart while the platform is unavailable: they get
// it from seeds that restarted earlier, or wait until the platform returns.
TEST_F(relay_process_test, fleet_restarted_without_platform_recovers_with_it)
{
    start();
    m_world->set_store(store_mode::busy);
    for (int i = 0; i < m_world->machines(); ++i) {
        m_world->kill(i);
        m_world->restart(i);
    }
    m_world->run(core::milliseconds(1000));
    m_world->set_store(store_mode::normal);
    finish();
}

// Guards against traffic that stops during an outage of the platform.
TEST_F(relay_process_test, silent_platform_stops_nothing)
{
    start();
    m_world->set_store(store_mode::silent);
    EXPECT_GT(answered_in(core::milliseconds(4000)), 50U);
    finish();
}

// Guards against an outdated configuration because connections to the platform no longer deliver anything.
TEST_F(relay_process_test, silenced_connections_are_replaced)
{
    start();
    for (int i = 0; i < m_world->machines(); ++i) {
        m_world->set_link(i, proxy_mode::stall_open_connections);
    }
    m_world->publish(false);
    m_world->run(core::milliseconds(3000));
    for (const char* name : {"entry-10", "entry-11", "entry-12", "agent-50", "agent-51", "agent-52", "agent-53"}) {
        EXPECT_NE(log_of(name).find("version=6 routes=1"), std::string::npos) << name;
    }
    finish();
}

// Guards against a configuration that is never in force because the store, restored from an older copy, gives it a
// revision that the processes already have from before.
TEST_F(relay_process_test, change_after_store_was_restored_is_in_force)
{
    start();
    m_world->save_store_copy();
    m_world->publish(false);
    m_world->publish(true);
    m_world->run(core::milliseconds(1500));
    m_world->restore_store();
    m_world->run(core::milliseconds(1500));
    m_world->publish(false);
    m_world->run(core::milliseconds(3000));
    for (const char* name : {"entry-10", "entry-11", "entry-12", "agent-50", "agent-51", "agent-52", "agent-53"}) {
        EXPECT_NE(log_of(name).find("version=12 routes=1"), std::string::npos) << name;
    }
    finish();
}

// Guards against processes that end, or stop following the list of hosts, because one odd entry among them takes more
// memory to decode than a node has.
TEST_F(relay_process_test, deeply_nested_entry_stops_no_process)
{
    constexpr rlim_t node_bytes = rlim_t{64} * 1024 * 1024;
    constexpr std::size_t max_value_bytes = 1'048'576;
    rlimit former{};
    getrlimit(RLIMIT_DATA, &former);
    const rlimit of_node{node_bytes, former.rlim_max};
    setrlimit(RLIMIT_DATA, &of_node);
    start();
    setrlimit(RLIMIT_DATA, &former);
    m_world->write_odd_entry(std::string(max_value_bytes, '['));
    m_world->run(core::milliseconds(1000));
    m_world->publish(false);
    m_world->run(core::milliseconds(3000));
    for (const char* name : {"entry-10", "entry-11", "entry-12", "agent-50", "agent-51", "agent-52", "agent-53"}) {
        EXPECT_NE(log_of(name).find("version=6 routes=1"), std::string::npos) << name;
    }
    finish();
}

// Guards against a fleet that refuses every request since another program beside the hosts writes entries of its own.
TEST_F(relay_process_test, entries_of_another_service_close_no_host)
{
    start();
    m_world->write_entries_beside_hosts();
    m_world->run(core::milliseconds(1500));
    const auto failed = m_world->observations().failed;
    EXPECT_GT(answered_in(core::milliseconds(3000)), 50U);
    EXPECT_EQ(m_world->observations().failed, failed);
    finish();
}

// Guards against new flows at a draining host.
TEST_F(relay_process_test, draining_host_gets_no_new_flows)
{
    start();
    m_world->drain_host(0);
    m_world->run(core::milliseconds(1000));
    const auto size = log_of("agent-50").size();
    m_world->run(core::milliseconds(2000));
    EXPECT_EQ(log_of("agent-50").find("reason=accepted", size), std::string::npos);
    finish();
}

// Guards against log lines that a program cannot parse, and against decisions that are not logged.
TEST_F(relay_process_test, log_names_decisions_with_their_inputs)
{
    start();
    m_world->run(core::milliseconds(1000));
    const auto log = log_of("entry-10");
    const std::regex line(R"(time=\S+ level=\w+ \[\d{4}\] [a-z ,]+: decision=placed flow=\S+ agent=\S+ hops=\d+ )"
                          R"(in_flight=\d+ open=\d+ slots=\d+ reason=\w+ version=\d+ revision=\d+)");
    EXPECT_TRUE(std::regex_search(log, line)) << log.substr(0, 500);
    finish();
}

// Guards against violations under sequential and overlapping faults. A short run of the soak test with fixed seeds;
// scripts/soak.sh runs more.
TEST_F(relay_process_test, soak_of_regression_seeds_breaks_nothing)
{
    const auto result = standins::relay::run_soak(m_options, core::milliseconds(6000));
    for (const auto& it : result.violations) {
        ADD_FAILURE() << it;
    }
}

} // namespace
} // namespace daisydoor::process_test
