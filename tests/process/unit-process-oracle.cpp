#include "standins/common/record.hpp"

#include <gtest/gtest.h>
#include <sstream>

namespace daisydoor::process_test
{

namespace
{

/// Record of the callers with one posting to the service `ledger` and its outcome.
standins::caller_record record_of_posting(const std::string& outcome, const std::string& detail)
{
    standins::caller_record result;
    result.requests.push_back({true, "ledger", "ledger-s1-0-0", outcome, detail});
    return result;
}

std::vector<standins::execution> executions(const std::string& log)
{
    std::istringstream in(log);
    return standins::read_executions(in);
}

const std::string one_run = "POST ledger 11-1-1-1 /bytes/10?id=ledger-s1-0-0 ledger-s1-0-0\n";
const std::string run_elsewhere = "POST quotes 21-1-1-1 /bytes/10?id=ledger-s1-0-0 ledger-s1-0-0\n";

} // namespace

// These tests guard against an audit that does not detect a fault, which would make the process tests pass wrongly.
TEST(audit_test, answered_posting_that_ran_once_is_sound)
{
    const auto result = standins::audit(record_of_posting("answered", "ledger"), executions(one_run));
    EXPECT_EQ(result.answered, 1U);
    EXPECT_TRUE(result.findings.empty());
}

TEST(audit_test, answered_posting_that_never_ran_is_lost)
{
    EXPECT_EQ(standins::audit(record_of_posting("answered", "ledger"), {}).lost, 1U);
}

TEST(audit_test, request_without_outcome_is_lost)
{
    EXPECT_EQ(standins::audit(record_of_posting("none", "-"), executions(one_run)).lost, 1U);
}

TEST(audit_test, posting_that_ran_twice_is_doubled)
{
    EXPECT_EQ(standins::audit(record_of_posting("unknown", "peer_lost"), executions(one_run + one_run)).doubled, 1U);
}

TEST(audit_test, refused_posting_that_ran_is_untrue)
{
    EXPECT_EQ(standins::audit(record_of_posting("not_run", "deadline"), executions(one_run)).untrue_refusals, 1U);
}

TEST(audit_test, posting_at_another_service_is_misrouted)
{
    EXPECT_EQ(standins::audit(record_of_posting("unknown", "deadline"), executions(run_elsewhere)).misrouted, 1U);
    EXPECT_EQ(standins::audit(record_of_posting("answered", "quotes"), executions(one_run)).misrouted, 1U);
}

TEST(audit_test, feed_without_recent_event_has_stalled)
{
    standins::caller_record record;
    record.feeds.push_back({"ledger", "ledger-s1-0", 100, 0, 0, 0, 500});
    EXPECT_EQ(standins::audit(record, {}).stalled_feeds, 1U);
}

TEST(audit_test, record_is_read_as_written)
{
    auto record = record_of_posting("not_run", "queue_full");
    record.feeds.push_back({"ledger", "ledger-s1-0", 100, 1, 2, 3, 4});
    record.broken_flows = 5;
    record.wrong_answers = 6;
    record.repeated_outcomes = 7;
    std::stringstream text;
    standins::write_record(text, record);
    const auto read = standins::read_record(text);
    ASSERT_EQ(read.requests.size(), 1U);
    EXPECT_EQ(read.requests.front().detail, "queue_full");
    ASSERT_EQ(read.feeds.size(), 1U);
    EXPECT_EQ(read.feeds.front().repeats, 2U);
    EXPECT_EQ(read.broken_flows, 5U);
    EXPECT_EQ(read.repeated_outcomes, 7U);
}

TEST(audit_test, malformed_line_is_an_error)
{
    std::istringstream in("POST ledger\n");
    EXPECT_THROW(standins::read_record(in), std::runtime_error);
}

} // namespace daisydoor::process_test
