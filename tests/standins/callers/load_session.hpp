#pragma once

#include "daisydoor/caller/client.hpp"
#include "standins/common/loop.hpp"
#include "standins/common/record.hpp"

#include <memory>
#include <string>

namespace daisydoor::standins
{

struct load_options
{
    core::milliseconds request_interval{200};
    double posting_share = 0.3;
    core::milliseconds deadline{3000};
    std::size_t max_answer_bytes = 4000;
    std::size_t max_outstanding = 4;
    /// Mean time after which a session without a feed is closed and replaced by a new one; 0 disables this.
    core::milliseconds lifetime{0};
};

struct load_counters
{
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
    std::uint64_t wrong_answers = 0;
    std::uint64_t repeated_outcomes = 0;
    std::uint64_t failed_opens = 0;
    std::uint64_t events = 0;
    std::uint64_t gaps = 0;
    std::uint64_t repeats = 0;
};

struct session_identity
{
    std::string service;
    core::endpoint address;
    core::workspace_id workspace{};
    /// Unique name of the session; the names of its requests start with it.
    std::string name;
    bool has_feed = false;
    std::uint64_t seed = 1;
};

/// @brief One caller: opens a session, starts requests at random times, subscribes to a feed, and records the outcomes.
class load_session
{
  public:
    load_session(loop& events, session_identity identity, const load_options& options, load_counters& counters);

    void start();
    /// @brief Starts no more requests.
    void stop_requests() { m_is_stopping = true; }
    /// @brief Appends the requests with their outcomes, and the feed, to the record; a missing outcome is `none`.
    void write_to(caller_record& record);
    [[nodiscard]] std::size_t outstanding() const noexcept { return m_outstanding; }
    [[nodiscard]] std::uint64_t broken_flows() const noexcept;
    [[nodiscard]] bool has_feed() const noexcept { return m_identity.has_feed; }
    /// @brief Number of answers, and of events, since the last call of reset_progress().
    [[nodiscard]] std::uint64_t answers_since_mark() const noexcept { return m_answers_since_mark; }
    [[nodiscard]] std::uint64_t events_since_mark() const noexcept { return m_events_since_mark; }
    void reset_progress();

  private:
    void open();
    void on_opened(const caller::open_result& result);
    void schedule_request();
    void start_request();
    void on_outcome(std::size_t index, const std::string& path, const caller::outcome& value);
    void on_event(const caller::feed_event& value);
    void close_and_reopen();
    core::milliseconds random_time(core::milliseconds mean);

    loop& m_loop;
    session_identity m_identity;
    const load_options& m_options;
    load_counters& m_counters;
    core::random_source m_random;
    std::unique_ptr<caller::client> m_client;
    std::vector<outcome_line> m_outcome_lines;
    feed_line m_feed;
    std::uint64_t m_last_event = 0;
    std::size_t m_outstanding = 0;
    std::uint64_t m_answers_since_mark = 0;
    std::uint64_t m_events_since_mark = 0;
    /// Sum over the earlier clients of this session.
    std::uint64_t m_broken_flows = 0;
    bool m_is_open = false;
    bool m_is_stopping = false;
    bool m_is_expired = false;
};

} // namespace daisydoor::standins
