#include "process_fixture.hpp"

namespace daisydoor::process_test
{

namespace
{

const std::vector<std::string> handing_over_load{"--posting-share", "0.7", "--request-interval-ms", "30"};
/// Takes several deadlines (3 s each), so that during a cut agents close their links and query outcomes.
constexpr double answers_during_cut = 3000;

support::fleet_plan relayed_plan()
{
    support::fleet_plan plan;
    plan.relays_agent_traffic = true;
    // More load than the slots of a single host can run, so that agents hand work to each other.
    plan.service_time_ms = 40;
    plan.services = {{1, "ledger", {{11, "zone-a"}, {12, "zone-b"}, {13, "zone-a"}}}};
    return plan;
}

class partition_process_test : public process_test
{
};

class silence_process_test : public process_test
{
};

} // namespace

// Guards against work that runs on both sides of a cut link, or is refused with `not_run` although the peer ran it.
TEST_F(partition_process_test, cut_between_two_agents_doubles_nothing)
{
    ASSERT_NO_FATAL_FAILURE(start(relayed_plan(), handing_over_load));
    ASSERT_TRUE(fleet().control_fabric("cut_link=11&with=12"));
    await_more_answers(answers_during_cut);
    expect_progress_of_all_sessions("the cut");
    ASSERT_TRUE(fleet().control_fabric("restore_link=11&with=12"));
    expect_progress_of_all_sessions("the end of the cut");
    expect_no_violations(finish());
}

// Guards against callers that stay with an unreachable agent, and against `not_run` for requests that it ran.
TEST_F(partition_process_test, cut_of_one_agent_is_survived)
{
    ASSERT_NO_FATAL_FAILURE(start(relayed_plan(), handing_over_load));
    ASSERT_TRUE(fleet().control_fabric("cut_host=13"));
    await_more_answers(answers_during_cut);
    expect_progress_of_all_sessions("the cut");
    ASSERT_TRUE(fleet().control_fabric("restore_host=13"));
    expect_progress_of_all_sessions("the end of the cut");
    expect_no_violations(finish());
}

// Guards against `not_run` for requests of an agent that received and ran them, but whose answers are lost.
TEST_F(partition_process_test, cut_return_path_of_one_agent_is_survived)
{
    ASSERT_NO_FATAL_FAILURE(start({}, {"--posting-share", "0.7"}));
    ASSERT_TRUE(fleet().control_fabric("cut=" + fleet().agent_address(11)));
    await_more_answers(answers_during_cut);
    expect_progress_of_all_sessions("the cut");
    ASSERT_TRUE(fleet().control_fabric("restore=" + fleet().agent_address(11)));
    expect_progress_of_all_sessions("the end of the cut");
    expect_no_violations(finish());
}

// Guards against sessions that wait forever on a path that drops all their datagrams.
TEST_F(silence_process_test, forgotten_paths_are_left)
{
    ASSERT_NO_FATAL_FAILURE(start());
    ASSERT_TRUE(fleet().control_fabric("forget=all"));
    expect_progress_of_all_sessions("the fabric forgot every path");
    expect_no_violations(finish());
}

} // namespace daisydoor::process_test
