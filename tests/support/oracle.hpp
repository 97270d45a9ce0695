#pragma once

#include "daisydoor/caller/session.hpp"
#include "daisydoor/core/ids.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace daisydoor::support
{

/// @brief Outcome that the session under test has reported to a caller.
enum class reported_outcome
{
    none,
    answered,
    not_run,
    unknown,
};

/// @brief Identifies one request of one caller.
struct request_key
{
    std::size_t caller = 0;
    std::uint64_t number = 0;

    bool operator<(const request_key& other) const noexcept
    {
        return caller != other.caller ? caller < other.caller : number < other.number;
    }
};

struct request_entry
{
    bool is_posting = false;
    reported_outcome outcome = reported_outcome::none;
    unsigned outcome_count = 0;
    unsigned execution_count = 0;
    bool has_wrong_answer = false;
};

struct feed_entry
{
    bool subscribed = false;
    std::uint64_t last_event = 0;
    std::uint64_t event_count = 0;
    unsigned out_of_order_events = 0;
};

/// @brief Test oracle: records the outcomes reported to callers and the executions at targets, and checks them
/// against each other without use of the system under test.
class oracle
{
  public:
    void record_request(request_key key, bool is_posting) { m_requests[key].is_posting = is_posting; }
    void record_execution(request_key key) { ++m_requests[key].execution_count; }
    void record_outcome(request_key key, reported_outcome outcome, bool answer_is_right);
    void record_subscription(std::size_t caller, std::uint64_t last_event);
    void record_event(std::size_t caller, std::uint64_t id);
    void record_misrouting(const std::string& what) { m_violations.push_back(what); }

    /// @brief Describes every violation found, one line each.
    /// @param finished whether a request without an outcome is a violation
    [[nodiscard]] std::vector<std::string> violations(bool finished) const;
    [[nodiscard]] const std::map<request_key, request_entry>& requests() const noexcept { return m_requests; }
    [[nodiscard]] const std::map<std::size_t, feed_entry>& feeds() const noexcept { return m_feeds; }
    [[nodiscard]] std::size_t count(reported_outcome outcome) const;

  private:
    std::map<request_key, request_entry> m_requests;
    std::map<std::size_t, feed_entry> m_feeds;
    std::vector<std::string> m_violations;
};

} // namespace daisydoor::support
