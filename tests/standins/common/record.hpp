#pragma once

#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <vector>

namespace daisydoor::standins
{

/// @brief What a caller was told about one request; a line of the callers' record.
struct outcome_line
{
    bool is_posting = false;
    std::string service;
    /// Unique name of the request, which is also in its path and, of a posting, its payload.
    std::string id;
    /// `answered`, `not_run`, `unknown`, or `none` if no outcome came.
    std::string outcome;
    /// Reason of a refusal, or the service that the answer names.
    std::string detail;
};

/// @brief What a caller received of one feed.
struct feed_line
{
    std::string service;
    std::string id;
    std::uint64_t events = 0;
    std::uint64_t gaps = 0;
    std::uint64_t repeats = 0;
    /// Events of another service or with wrong data.
    std::uint64_t wrong = 0;
    /// Whole events by which the last one is behind the wall time at the end.
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

/// @brief Findings from what callers were told and what targets ran.
struct audit_result
{
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
    /// Postings told answered that no target ran, and requests without an outcome.
    std::uint64_t lost = 0;
    /// Postings that ran more than once.
    std::uint64_t doubled = 0;
    std::uint64_t broken_flows = 0;
    /// Answers, events and executions of another service than the caller's.
    std::uint64_t misrouted = 0;
    /// Requests told `not_run` that ran.
    std::uint64_t untrue_refusals = 0;
    std::uint64_t wrong_answers = 0;
    std::uint64_t feed_gaps = 0;
    std::uint64_t feed_repeats = 0;
    std::uint64_t stalled_feeds = 0;
    /// Lines that name each finding, for the reader of a failed run.
    std::vector<std::string> findings;
};

audit_result audit(const caller_record& record, const std::vector<execution>& executions);

/// @brief Prints the first findings and the counts; the last line has the form `demo: requests=N ... misrouted=N`.
/// @return whether something was answered and no rule was broken
bool print_audit(std::ostream& out, const audit_result& result);

} // namespace daisydoor::standins
