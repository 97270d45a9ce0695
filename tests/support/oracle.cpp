#include "support/oracle.hpp"

#include <algorithm>

namespace daisydoor::support
{

void oracle::record_outcome(request_key key, reported_outcome outcome, bool answer_is_right)
{
    auto& entry = m_requests[key];
    entry.outcome = outcome;
    entry.has_wrong_answer = entry.has_wrong_answer || !answer_is_right;
    ++entry.outcome_count;
}

void oracle::record_subscription(std::size_t caller, std::uint64_t last_event)
{
    m_feeds[caller] = {true, last_event, 0, 0};
}

void oracle::record_event(std::size_t caller, std::uint64_t id)
{
    auto& feed = m_feeds[caller];
    if (feed.last_event != 0 && id != feed.last_event + 1) {
        ++feed.out_of_order_events;
    }
    feed.last_event = id;
    ++feed.event_count;
}

std::vector<std::string> oracle::violations(bool finished) const
{
    auto result = m_violations;
    for (const auto& [key, entry] : m_requests) {
        const std::string name = "caller " + std::to_string(key.caller) + " number " + std::to_string(key.number);
        if (entry.is_posting && entry.execution_count > 1) {
            result.push_back(name + ": posting ran " + std::to_string(entry.execution_count) + " times");
        }
        if (entry.outcome == reported_outcome::not_run && entry.execution_count > 0) {
            result.push_back(name + ": outcome not_run, but it ran");
        }
        if (entry.outcome == reported_outcome::answered && entry.execution_count == 0) {
            result.push_back(name + ": outcome answered, but it never ran");
        }
        if (entry.has_wrong_answer) {
            result.push_back(name + ": wrong or incomplete answer");
        }
        if (entry.outcome_count > 1 || (finished && entry.outcome_count == 0)) {
            result.push_back(name + ": " + std::to_string(entry.outcome_count) + " outcomes");
        }
    }
    for (const auto& [caller, feed] : m_feeds) {
        if (feed.out_of_order_events > 0) {
            result.push_back("caller " + std::to_string(caller) + ": feed with gaps or repeats");
        }
    }
    return result;
}

std::size_t oracle::count(reported_outcome outcome) const
{
    return static_cast<std::size_t>(std::count_if(
        m_requests.begin(), m_requests.end(), [outcome](const auto& item) { return item.second.outcome == outcome; }));
}

} // namespace daisydoor::support
