#pragma once

#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <vector>

namespace daisydoor::standins
{

/// @brief Outcome of one request as reported to its caller; a line of the callers' record.
struct outcome_line
{
    bool is_posting = false;
    std::string service;
    /// Unique name of the request; it is also part of its path and, for a posting, the payload.
    std::string id;
    /// `answered`, `not_run`, `unknown`, or `none` if there was no outcome.
    std::string outcome;
    /// Reason of a refusal, or the service whose target answered.
    std::string detail;
};

/// @brief Events of one feed as received by a caller.
struct feed_line
{
    std::string service;
    std::string id;
    std::uint64_t events = 0;
    std::uint64_t gaps = 0;
    std::uint64_t repeats = 0;
    /// Events of another service or with wrong data.
    std::uint64_t wrong = 0;
    /// Number of events between the last received one and the current one at the end of the run.
    std::uint64_t behind = 0;
};

struct caller_record
{
    std::vector<outcome_line> requests;
    std::vector<feed_line> feeds;
    std::uint64_t broken_flows = 0;
    std::uint64_t wrong_answers = 0;
    std::uint64_t repeated_outcomes = 0;
};

void write_record(std::ostream& out, const caller_record& record);
/// @throws std::runtime_error if a line is malformed
caller_record read_record(std::istream& in);

/// @brief One line of a target's execution log.
struct execution
{
    bool is_posting = false;
    std::string service;
    std::string request_id;
    std::string id;
};

/// @throws std::runtime_error if a line is malformed
std::vector<execution> read_executions(std::istream& in);

/// @brief Result of comparing the outcomes that callers got with the executions at targets.
struct audit_result
{
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
    /// Requests with the outcome `answered` that no target ran, and requests without an outcome.
    std::uint64_t lost = 0;
    /// Postings that ran more than once.
    std::uint64_t doubled = 0;
    std::uint64_t broken_flows = 0;
    /// Answers, events and executions of another service than the caller's.
    std::uint64_t misrouted = 0;
    /// Requests with the outcome `not_run` that a target ran.
    std::uint64_t untrue_refusals = 0;
    std::uint64_t wrong_answers = 0;
    std::uint64_t feed_gaps = 0;
    std::uint64_t feed_repeats = 0;
    std::uint64_t stalled_feeds = 0;
    /// One line for each violation, with the name of the request or feed.
    std::vector<std::string> findings;
};

audit_result audit(const caller_record& record, const std::vector<execution>& executions);

/// @brief Prints the first 20 findings and the counts; the last line has the form `demo: requests=N ... misrouted=N`.
/// @return whether at least one request was answered and there is no violation
bool print_audit(std::ostream& out, const audit_result& result);

} // namespace daisydoor::standins
