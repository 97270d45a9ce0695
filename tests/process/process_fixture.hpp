#pragma once

#include "standins/common/record.hpp"
#include "support/fleet.hpp"

#include <fstream>
#include <gtest/gtest.h>
#include <memory>

namespace daisydoor::process_test
{

/// @brief Fleet of real processes under the load of standin_callers, with an audit of the outcomes that callers got.
class process_test : public testing::Test
{
  protected:
    void start(const support::fleet_plan& plan = {}, const std::vector<std::string>& load = {})
    {
        m_fleet = std::make_unique<support::fleet>(plan, DAISYDOOR_BINARY_DIR);
        m_fleet->start();
        std::vector<std::string> options{
            "--sessions", "12", "--feeds", "4", "--duration-s", "120", "--request-interval-ms", "60"};
        options.insert(options.end(), load.begin(), load.end());
        m_fleet->start_callers(options);
        ASSERT_TRUE(m_fleet->await_progress_of_all_sessions())
            << "not every session is served after the start: " << m_fleet->caller_stats();
    }

    void TearDown() override
    {
        if (HasFailure() && m_fleet) {
            m_fleet->preserve_folder();
            std::cout << "the logs are in " << m_fleet->folder().string() << '\n';
        }
    }

    support::fleet& fleet() { return *m_fleet; }

    /// @brief Checks that from now on every session gets an answer and every feed an event.
    void expect_progress_of_all_sessions(const char* after)
    {
        EXPECT_TRUE(m_fleet->await_progress_of_all_sessions()) << "after " << after << ": " << m_fleet->caller_stats();
    }

    /// @brief Waits until the callers have got `count` more answers, so that a fault affects that many requests.
    void await_more_answers(double count)
    {
        const auto before = support::json_number(m_fleet->caller_stats(), "answered");
        EXPECT_TRUE(support::await([&] {
            return support::json_number(m_fleet->caller_stats(), "answered") >= before + count;
        })) << m_fleet->caller_stats();
    }

    /// @brief Stops the callers and compares the outcomes that they got with the executions at the targets.
    standins::audit_result finish()
    {
        const auto totals = m_fleet->finish_callers();
        EXPECT_FALSE(totals.empty()) << "the callers failed";
        std::cout << totals << '\n';
        std::ifstream record_file(m_fleet->record_path());
        const auto record = standins::read_record(record_file);
        std::vector<standins::execution> executions;
        for (const auto& path : m_fleet->execution_logs()) {
            std::ifstream in(path);
            const auto more = standins::read_executions(in);
            executions.insert(executions.end(), more.begin(), more.end());
        }
        return standins::audit(record, executions);
    }

    /// @brief Checks what must hold during any failure (rules R2 to R5): each request has one true outcome, no posting
    /// runs twice, nothing reaches another service, and feeds have no gaps, duplicates or stalls.
    static void expect_no_violations(const standins::audit_result& result)
    {
        EXPECT_GT(result.answered, 0U);
        EXPECT_EQ(result.lost, 0U);
        EXPECT_EQ(result.doubled, 0U);
        EXPECT_EQ(result.misrouted, 0U);
        EXPECT_EQ(result.untrue_refusals, 0U);
        EXPECT_EQ(result.wrong_answers, 0U);
        EXPECT_EQ(result.feed_gaps, 0U);
        EXPECT_EQ(result.feed_repeats, 0U);
        EXPECT_EQ(result.stalled_feeds, 0U);
        for (const auto& it : result.findings) {
            ADD_FAILURE() << it;
        }
    }

  private:
    std::unique_ptr<support::fleet> m_fleet;
};

} // namespace daisydoor::process_test
