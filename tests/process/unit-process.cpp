#include "process_fixture.hpp"

#include <csignal>
#include <thread>

namespace daisydoor::process_test
{

namespace
{

/// Longer than pause_threshold and peer_timeout, so that the process resumes with an outdated view.
constexpr core::milliseconds freeze_time{2500};

/// Enough requests that each kind of message is affected by the fault.
constexpr double answers_per_step = 300;

/// The deadline leaves time for retransmissions after the fault, so that no outcome may be `unknown`.
const std::vector<std::string> patient_load{"--deadline-ms", "10000"};

/// Each target has requests in flight at any moment.
support::fleet_plan busy_plan()
{
    support::fleet_plan plan;
    plan.service_time_ms = 40;
    return plan;
}

class whole_path_test : public process_test
{
};

class entry_process_test : public process_test
{
};

class agent_process_test : public process_test
{
};

class target_process_test : public process_test
{
};

class platform_process_test : public process_test
{
};

} // namespace

// Guards against answers that are lost, swapped or truncated on a path without failures.
TEST_F(whole_path_test, load_without_failure_is_answered)
{
    ASSERT_NO_FATAL_FAILURE(start());
    await_more_answers(answers_per_step);
    expect_progress_of_all_sessions("the start");
    const auto result = finish();
    expect_no_violations(result);
    EXPECT_EQ(result.unknown, 0U);
    EXPECT_EQ(result.broken_flows, 0U);
}

// Guards against a dependence on datagrams that arrive exactly once and in order.
TEST_F(whole_path_test, load_over_lossy_fabric_is_answered)
{
    support::fleet_plan plan;
    plan.fabric_options = {"--loss", "0.05", "--duplicate", "0.05", "--reorder", "0.2"};
    ASSERT_NO_FATAL_FAILURE(start(plan));
    await_more_answers(answers_per_step);
    expect_progress_of_all_sessions("the start");
    const auto result = finish();
    expect_no_violations(result);
    EXPECT_EQ(result.broken_flows, 0U);
}

// Guards against flows that depend on the entry that they were opened through.
TEST_F(entry_process_test, killed_entry_breaks_no_flow)
{
    ASSERT_NO_FATAL_FAILURE(start({}, patient_load));
    fleet().entry(0).kill();
    await_more_answers(answers_per_step);
    expect_progress_of_all_sessions("the kill of an entry");
    fleet().start_entry(0);
    await_more_answers(answers_per_step);
    expect_progress_of_all_sessions("the restart of the entry");
    const auto result = finish();
    expect_no_violations(result);
    EXPECT_EQ(result.unknown, 0U);
    EXPECT_EQ(result.broken_flows, 0U);
}

// Guards against an entry that acts on datagrams or a configuration from before its pause.
TEST_F(entry_process_test, frozen_entry_breaks_no_flow)
{
    ASSERT_NO_FATAL_FAILURE(start({}, patient_load));
    fleet().entry(1).send_signal(SIGSTOP);
    std::this_thread::sleep_for(freeze_time);
    fleet().entry(1).send_signal(SIGCONT);
    await_more_answers(answers_per_step);
    expect_progress_of_all_sessions("the pause of an entry");
    const auto result = finish();
    expect_no_violations(result);
    EXPECT_EQ(result.unknown, 0U);
    EXPECT_EQ(result.broken_flows, 0U);
}

// Guards against postings that a restarted agent runs again, and against sessions that keep using a flow of the
// earlier incarnation.
TEST_F(agent_process_test, killed_and_restarted_agent_runs_no_posting_twice)
{
    ASSERT_NO_FATAL_FAILURE(start(busy_plan(), {"--posting-share", "0.7"}));
    fleet().agent(11).kill();
    await_more_answers(answers_per_step);
    expect_progress_of_all_sessions("the kill of an agent");
    fleet().start_agent(11);
    await_more_answers(answers_per_step);
    expect_progress_of_all_sessions("the restart of the agent");
    expect_no_violations(finish());
}

// Guards against an agent that, after a pause, runs expired work or work that a peer has fenced against
// execution.
TEST_F(agent_process_test, frozen_agent_runs_no_refused_work)
{
    ASSERT_NO_FATAL_FAILURE(start(busy_plan(), {"--posting-share", "0.7"}));
    fleet().agent(21).send_signal(SIGSTOP);
    std::this_thread::sleep_for(freeze_time);
    fleet().agent(21).send_signal(SIGCONT);
    await_more_answers(answers_per_step);
    expect_progress_of_all_sessions("the pause of an agent");
    expect_no_violations(finish());
}

// Guards against `not_run` for requests that the killed target had started, and against feeds that end with it.
TEST_F(target_process_test, killed_target_is_left_and_used_again)
{
    ASSERT_NO_FATAL_FAILURE(start(busy_plan()));
    fleet().target(12).kill();
    await_more_answers(answers_per_step);
    expect_progress_of_all_sessions("the kill of a target");
    fleet().start_target(12);
    expect_progress_of_all_sessions("the restart of the target");
    expect_no_violations(finish());
}

// Guards against a drain that aborts requests, breaks flows or never completes.
TEST_F(target_process_test, drained_target_breaks_no_flow)
{
    ASSERT_NO_FATAL_FAILURE(start(busy_plan()));
    ASSERT_TRUE(fleet().control_target(22, "mode=draining"));
    EXPECT_TRUE(fleet().agent(22).wait(core::milliseconds(40'000))) << "the drained agent did not exit in time";
    await_more_answers(answers_per_step);
    expect_progress_of_all_sessions("the drain");
    const auto result = finish();
    expect_no_violations(result);
    EXPECT_EQ(result.broken_flows, 0U);
    EXPECT_EQ(result.unknown, 0U);
}

// Guards against a drain that aborts requests which run longer than the time in which it accepts new ones (2 s).
TEST_F(target_process_test, drained_target_finishes_long_requests)
{
    support::fleet_plan plan;
    plan.service_time_ms = 1500;
    ASSERT_NO_FATAL_FAILURE(start(plan, {"--deadline-ms", "20000", "--request-interval-ms", "1000", "--outstanding",
                                         "2", "--posting-share", "0.7"}));
    ASSERT_TRUE(fleet().control_target(12, "mode=draining"));
    EXPECT_TRUE(fleet().agent(12).wait(core::milliseconds(60'000))) << "the drained agent did not exit in time";
    const auto result = finish();
    expect_no_violations(result);
    EXPECT_EQ(result.broken_flows, 0U);
    EXPECT_EQ(result.unknown, 0U);
}

// Guards against a drain by configuration that behaves differently from one reported by the target.
TEST_F(target_process_test, host_drained_by_configuration_breaks_no_flow)
{
    ASSERT_NO_FATAL_FAILURE(start(busy_plan()));
    fleet().host(11).draining = true;
    fleet().publish();
    EXPECT_TRUE(fleet().agent(11).wait(core::milliseconds(40'000))) << "the drained agent did not exit in time";
    await_more_answers(answers_per_step);
    expect_progress_of_all_sessions("the drain");
    const auto result = finish();
    expect_no_violations(result);
    EXPECT_EQ(result.broken_flows, 0U);
    EXPECT_EQ(result.unknown, 0U);
}

// Guards against feeds that stay on a connection on which the target sends nothing any more.
TEST_F(target_process_test, silent_feed_connections_are_replaced)
{
    ASSERT_NO_FATAL_FAILURE(start());
    for (const auto host : {11U, 12U, 21U, 22U}) {
        ASSERT_TRUE(fleet().control_target(host, "feeds=silent"));
    }
    expect_progress_of_all_sessions("the silence of the feed connections");
    expect_no_violations(finish());
}

// Guards against flows that depend on the platform, and against an entry that cannot start without it.
TEST_F(platform_process_test, platform_down_stops_nothing)
{
    ASSERT_NO_FATAL_FAILURE(start());
    ASSERT_TRUE(fleet().control_platform("mode=down"));
    expect_progress_of_all_sessions("the platform went down");
    fleet().entry(2).kill();
    fleet().start_entry(2);
    EXPECT_TRUE(support::await([this] { return fleet().entry_version(2) == 1; })) << "no configuration from peers";
    // Only the restarted entry is still running.
    fleet().entry(0).kill();
    fleet().entry(1).kill();
    await_more_answers(answers_per_step);
    expect_progress_of_all_sessions("an entry restarted without the platform");
    ASSERT_TRUE(fleet().control_platform("mode=up"));
    const auto result = finish();
    expect_no_violations(result);
    EXPECT_EQ(result.broken_flows, 0U);
}

// Guards against a return to an earlier configuration when the platform serves it.
TEST_F(platform_process_test, stale_platform_reverts_nothing)
{
    ASSERT_NO_FATAL_FAILURE(start());
    const auto old_values = fleet().folder() / "old";
    std::filesystem::copy(fleet().folder() / "values", old_values, std::filesystem::copy_options::recursive);
    fleet().host(12).draining = true;
    fleet().publish();
    EXPECT_TRUE(fleet().agent(12).wait(core::milliseconds(40'000)));
    for (const std::size_t i : {0U, 1U, 2U}) {
        EXPECT_TRUE(support::await([this, i] { return fleet().entry_version(i) == 2; })) << "entry " << i;
    }
    ASSERT_TRUE(fleet().control_platform("serve=" + old_values.string()));
    // A restarted entry reads the older version from the platform and must get the newer one from its peers.
    fleet().entry(2).kill();
    fleet().start_entry(2);
    EXPECT_TRUE(support::await([this] { return fleet().entry_version(2) == 2; })) << "the newer version is lost";
    await_more_answers(answers_per_step);
    expect_progress_of_all_sessions("the platform went back to an older version");
    for (const std::size_t i : {0U, 1U, 2U}) {
        EXPECT_EQ(fleet().entry_version(i), 2U);
    }
    const auto result = finish();
    expect_no_violations(result);
    EXPECT_EQ(result.broken_flows, 0U);
}

} // namespace daisydoor::process_test
