#include "support/golden.hpp"
#include "support/session_world.hpp"

#include <gtest/gtest.h>

#include <algorithm>

/// @brief Simulations of the whole system in virtual time. Each causes one kind of failure, checks the outcomes with
/// the oracle, and compares the transcript with its golden file.
namespace daisydoor::support
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

class golden_session : public ::testing::Test
{
  protected:
    static constexpr std::size_t caller_count = 6;

    static world_options options()
    {
        world_options result;
        result.seed = 2026;
        result.loss = 0.01;
        result.duplication = 0.01;
        return result;
    }

    session_world world{options()};

    void SetUp() override
    {
        world.run_for(seconds{2});
        for (std::size_t i = 0; i < caller_count; ++i) {
            world.add_caller(i % 2, core::workspace_id{static_cast<std::uint32_t>(i % 3)});
        }
        world.run_for(seconds{1});
        for (std::size_t i = 0; i < caller_count; i += 2) {
            world.subscribe(i);
        }
        request_and_post_all();
    }

    /// Starts one request and one posting of each caller.
    void request_and_post_all()
    {
        for (std::size_t i = 0; i < caller_count; ++i) {
            world.request(i, 2500);
            world.post(i);
        }
    }

    void run_load_for(seconds time)
    {
        for (int i = 0; i < time.count() * 2; ++i) {
            request_and_post_all();
            world.run_for(milliseconds{500});
        }
    }

    std::size_t agent_of_caller(std::size_t caller) { return world.agent_of(caller).value(); }

    /// Drains the agent of caller 0, as after SIGTERM, while its target runs requests. @return the agent's index
    std::size_t drain_during_work()
    {
        const auto i = agent_of_caller(0);
        request_and_post_all();
        world.run_for(milliseconds{5});
        world.drain_agent(i);
        return i;
    }

    /// Checks that the target of a draining host gets no requests after 4 s, although callers send more.
    void expect_no_new_work(std::size_t agent)
    {
        run_load_for(seconds{4});
        const auto started_requests = world.agent_at(agent).target->started_requests();
        run_load_for(seconds{2});
        EXPECT_EQ(world.agent_at(agent).target->started_requests(), started_requests);
    }

    void expect_drained(std::size_t agent)
    {
        EXPECT_TRUE(world.agent_at(agent).drain_finished);
        expect_feeds_unbroken();
        expect_all_answered();
    }

    /// Checks that every request has exactly one correct outcome and that the transcript matches the golden file.
    void finish(const std::string& name)
    {
        run_load_for(seconds{1});
        world.run_for(seconds{8});
        for (const auto& [caller, feed] : world.record().feeds()) {
            world.add_to_transcript("caller " + std::to_string(caller) + " has received " +
                                    std::to_string(feed.event_count) + " events up to " +
                                    std::to_string(feed.last_event));
        }
        for (const auto& line : world.record().violations(true)) {
            ADD_FAILURE() << line;
        }
        EXPECT_EQ(compare_with_golden(std::string(DAISYDOOR_SOURCE_DIR) + "/tests/golden", name, world.transcript()),
                  "");
    }

    /// Checks that every feed has current events and that no caller got `flow_gone`.
    void expect_feeds_unbroken()
    {
        const auto newest = static_cast<std::uint64_t>(world_time() / fake_target::event_interval);
        for (const auto& [caller, feed] : world.record().feeds()) {
            EXPECT_GT(feed.event_count, 0U) << "caller " << caller;
            EXPECT_GE(feed.last_event + 10, newest) << "caller " << caller;
        }
        for (std::size_t i = 0; i < world.callers(); ++i) {
            EXPECT_EQ(world.caller_at(i).flow_gone_count, 0U) << "caller " << i;
        }
    }

    [[nodiscard]] milliseconds world_time() const { return world.elapsed(); }

    void expect_all_answered()
    {
        EXPECT_EQ(world.record().count(reported_outcome::answered), world.record().requests().size());
    }
};

// Guards against lost, duplicated or wrongly refused requests when the network only loses and duplicates datagrams.
TEST_F(golden_session, network_lossy_all_answered)
{
    run_load_for(seconds{3});
    finish("network_lossy");
    expect_feeds_unbroken();
    expect_all_answered();
}

// Guards against flows that depend on the state of one entry.
TEST_F(golden_session, entry_killed_no_flow_breaks)
{
    world.kill_entry(0);
    run_load_for(seconds{3});
    finish("entry_killed");
    expect_feeds_unbroken();
    expect_all_answered();
}

// Guards against a new entry that forwards without a configuration or breaks flows opened through other entries.
TEST_F(golden_session, entry_joined_no_flow_breaks)
{
    world.kill_entry(1);
    run_load_for(seconds{1});
    world.start_entry(1);
    run_load_for(seconds{3});
    finish("entry_joined");
    expect_feeds_unbroken();
    expect_all_answered();
}

// Guards against flows that break when an entry is killed and restarted twice in a row.
TEST_F(golden_session, entry_killed_twice_no_flow_breaks)
{
    for (int i = 0; i < 2; ++i) {
        world.kill_entry(0);
        run_load_for(seconds{1});
        world.start_entry(0);
        run_load_for(seconds{1});
    }
    finish("entry_killed_twice");
    expect_feeds_unbroken();
    expect_all_answered();
}

// Guards against a posting that runs again at another agent, or is refused with `not_run` although it ran.
TEST_F(golden_session, agent_killed_outcomes_true)
{
    request_and_post_all();
    world.run_for(milliseconds{15});
    world.kill_agent(agent_of_caller(0));
    run_load_for(seconds{4});
    finish("agent_killed");
}

// Guards against a restarted agent that accepts tokens or records of its earlier incarnation.
TEST_F(golden_session, agent_restarted_older_tokens_refused)
{
    const auto i = agent_of_caller(0);
    request_and_post_all();
    world.run_for(milliseconds{15});
    world.kill_agent(i);
    world.run_for(milliseconds{300});
    world.start_agent(i);
    run_load_for(seconds{4});
    finish("agent_restarted");
}

// Guards against requests refused with `not_run` although the target was running them when it was killed.
TEST_F(golden_session, target_killed_outcomes_true)
{
    const auto i = agent_of_caller(0);
    request_and_post_all();
    world.run_for(milliseconds{15});
    world.set_target(i, target_mode::down);
    run_load_for(seconds{3});
    world.set_target(i, target_mode::normal);
    run_load_for(seconds{3});
    finish("target_killed");
}

// Guards against a drain that aborts requests, breaks feeds or accepts new requests after a few seconds.
TEST_F(golden_session, target_drained_nothing_cut)
{
    const auto i = drain_during_work();
    expect_no_new_work(i);
    finish("target_drained");
    expect_drained(i);
}

// Guards against a drain that depends on one entry, which is killed at the same time.
TEST_F(golden_session, target_drained_while_entry_killed_nothing_cut)
{
    world.kill_entry(0);
    const auto i = drain_during_work();
    expect_no_new_work(i);
    finish("target_drained_while_entry_killed");
    expect_drained(i);
}

// Guards against a drain that needs the platform, and against an entry that starts during the drain and sends
// requests to the draining agent.
TEST_F(golden_session, target_drained_while_platform_down_and_entry_joined_nothing_cut)
{
    world.set_platform(platform_mode::down);
    world.kill_entry(1);
    const auto i = drain_during_work();
    world.start_entry(1);
    expect_no_new_work(i);
    finish("target_drained_while_platform_down");
    expect_drained(i);
}

// Guards against a drain that ends because the platform serves an older version.
TEST_F(golden_session, target_drained_while_platform_stale_nothing_cut)
{
    world.publish([](publication& it) { it.services[0].hosts[0].draining = true; });
    world.run_for(seconds{1});
    world.set_platform(platform_mode::stale);
    expect_no_new_work(0);
    finish("target_drained_while_platform_stale");
    expect_feeds_unbroken();
    expect_all_answered();
}

// Guards against a drain that waits for a frozen peer, and against a resumed peer that hands work to the draining
// agent.
TEST_F(golden_session, target_drained_while_peer_frozen_no_new_work)
{
    const auto leaving = agent_of_caller(0);
    world.freeze(world.agent_at(leaving == 0 ? 1 : 0), seconds{3});
    const auto i = drain_during_work();
    expect_no_new_work(i);
    finish("target_drained_while_peer_frozen");
    EXPECT_TRUE(world.agent_at(i).drain_finished);
}

// Guards against a drain that hands work or flows to a partitioned peer, and against a peer that hands work to the
// draining agent after the partition.
TEST_F(golden_session, target_drained_while_peer_cut_off_no_new_work)
{
    const std::size_t peer = agent_of_caller(0) == 0 ? 1 : 0;
    world.set_partitioned(peer, true);
    const auto i = drain_during_work();
    expect_no_new_work(i);
    world.set_partitioned(peer, false);
    expect_no_new_work(i);
    finish("target_drained_while_peer_cut_off");
    EXPECT_TRUE(world.agent_at(i).drain_finished);
}

// Guards against requests or feeds that break because a drain by configuration reaches entries and agents at different
// times, twice in a row.
TEST_F(golden_session, targets_drained_twice_nothing_cut)
{
    for (const std::size_t host : {0, 1}) {
        world.publish([host](publication& it) { it.services[0].hosts[host].draining = true; });
        expect_no_new_work(host);
    }
    finish("targets_drained_twice");
    expect_feeds_unbroken();
    expect_all_answered();
}

// Guards against a resumed process that acts on datagrams, deadlines or peer states from before its pause.
TEST_F(golden_session, processes_frozen_and_woken_outcomes_true)
{
    const auto i = agent_of_caller(0);
    request_and_post_all();
    world.run_for(milliseconds{10});
    world.freeze(world.agent_at(i), seconds{3});
    world.freeze(world.entry_at(0), seconds{2});
    run_load_for(seconds{6});
    finish("processes_frozen");
}

// Guards against flows that break because a key rotation reaches processes at different times.
TEST_F(golden_session, keys_rotated_no_flow_breaks)
{
    world.publish([](publication& it) { it.keys = {make_key(1, 7, true), make_key(2, 8, false)}; });
    run_load_for(seconds{3});
    world.publish([](publication& it) { it.keys = {make_key(1, 7, false), make_key(2, 8, true)}; });
    run_load_for(seconds{15});
    world.publish([](publication& it) { it.keys = {make_key(2, 8, true)}; });
    run_load_for(seconds{3});
    finish("keys_rotated");
    expect_feeds_unbroken();
    expect_all_answered();
}

// Guards against flows that break when a drain, a key rotation and a preset change happen at the same time.
TEST_F(golden_session, drain_and_rotation_and_preset_together_nothing_cut)
{
    world.publish([](publication& it) { it.keys = {make_key(1, 7, true), make_key(2, 8, false)}; });
    run_load_for(seconds{3});
    world.publish([](publication& it) {
        it.keys = {make_key(1, 7, false), make_key(2, 8, true)};
        it.services[0].hosts[1].draining = true;
        it.services[0].preset = config::preset::peak;
    });
    run_load_for(seconds{5});
    finish("drain_and_rotation");
    expect_feeds_unbroken();
    expect_all_answered();
}

// Guards against flows that break when an operator removes a host without draining it first.
TEST_F(golden_session, host_removed_nothing_cut)
{
    world.publish([](publication& it) { it.services[0].hosts.erase(it.services[0].hosts.begin()); });
    run_load_for(seconds{6});
    finish("host_removed");
    expect_feeds_unbroken();
    expect_all_answered();
}

// Guards against flows that break when an operator replaces the token key in one step.
TEST_F(golden_session, key_replaced_at_once_no_flow_breaks)
{
    world.publish([](publication& it) { it.keys = {make_key(2, 8, true)}; });
    run_load_for(seconds{15});
    finish("key_replaced_at_once");
    expect_feeds_unbroken();
    expect_all_answered();
}

// Guards against a preset that some agents do not apply, and against postings that run during maintenance.
TEST_F(golden_session, preset_maintenance_postings_not_run)
{
    world.publish([](publication& it) { it.services[0].preset = config::preset::maintenance; });
    world.run_for(seconds{5});
    const auto before = world.record().requests().size();
    request_and_post_all();
    world.run_for(seconds{3});
    std::size_t refused = 0;
    for (const auto& [key, entry] : world.record().requests()) {
        refused += entry.is_posting && key.caller % 2 == 0 && entry.outcome == reported_outcome::not_run ? 1 : 0;
    }
    EXPECT_GT(world.record().requests().size(), before);
    EXPECT_EQ(refused, caller_count / 2);
    finish("preset_maintenance");
    expect_feeds_unbroken();
}

// Guards against a service that stops while the platform is unavailable, and against an entry that gets no
// configuration when it starts then.
TEST_F(golden_session, platform_down_goes_on)
{
    world.set_platform(platform_mode::down);
    run_load_for(seconds{2});
    world.kill_entry(0);
    world.run_for(milliseconds{100});
    world.start_entry(0);
    run_load_for(seconds{3});
    finish("platform_down");
    expect_feeds_unbroken();
    expect_all_answered();
    EXPECT_EQ(core::raw(world.entry_at(0).entry->version()), world.published_version());
}

// Guards against a return to an earlier configuration when the platform serves it, also in a process that starts then.
TEST_F(golden_session, platform_stale_never_reverts)
{
    world.publish([](publication& it) { it.services[0].preset = config::preset::peak; });
    run_load_for(seconds{4});
    world.set_platform(platform_mode::stale);
    world.kill_entry(0);
    world.run_for(milliseconds{100});
    world.start_entry(0);
    run_load_for(seconds{12});
    finish("platform_stale");
    for (const std::size_t i : {0, 1}) {
        EXPECT_EQ(core::raw(world.entry_at(i).entry->version()), world.published_version());
    }
    expect_feeds_unbroken();
}

// Guards against `not_run` for a request that ran on the other side of a partition, and against flows that break on
// the callers' side.
TEST_F(golden_session, agent_cut_off_outcomes_true)
{
    const auto i = agent_of_caller(0);
    request_and_post_all();
    world.run_for(milliseconds{10});
    world.set_partitioned(i, true);
    run_load_for(seconds{4});
    world.set_partitioned(i, false);
    run_load_for(seconds{4});
    finish("agent_cut_off");
}

// Guards against feeds that stop for good when a caller's path or a target's feed connection delivers nothing any more
// while new ones work.
TEST_F(golden_session, connections_silent_feed_goes_on)
{
    world.blackhole_path(0);
    world.set_target(agent_of_caller(2), target_mode::silent_feeds);
    world.run_for(seconds{35});
    finish("connections_silent");
    expect_feeds_unbroken();
}

// Guards against wrong outcomes when two failures coincide that are handled alone: one agent is killed while another
// drains.
TEST_F(golden_session, agent_killed_while_other_drains_outcomes_true)
{
    const auto killed = agent_of_caller(0);
    const auto draining = killed == 0 ? 1 : 0;
    world.drain_agent(draining);
    request_and_post_all();
    world.run_for(milliseconds{30});
    world.kill_agent(killed);
    run_load_for(seconds{5});
    finish("agent_killed_while_other_drains");
}

} // namespace
} // namespace daisydoor::support
