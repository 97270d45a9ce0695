#pragma once

#include "daisydoor/agent/actions.hpp"
#include "daisydoor/core/random.hpp"
#include "support/oracle.hpp"
#include "support/virtual_clock.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace daisydoor::support
{

/// @brief How a fake target behaves.
enum class target_mode
{
    normal,
    /// Refuses connections.
    down,
    /// Answers 503 without running.
    shedding,
    /// Accepts and runs requests, but never answers; feeds send no events.
    frozen,
    /// Existing feed connections get no further events; new ones work.
    silent_feeds,
};

/// @brief Path of a request, "/SERVICE/CALLER/NUMBER/SIZE" with the answer's minimum size in bytes. The payload of a
/// posting is the same text.
std::string request_path(const std::string& service, request_key key, std::size_t size);

/// @brief Answer of a target to a request for `path`; callers compare it byte by byte.
std::vector<std::uint8_t> expected_answer(const std::string& path);

/// @brief Target of one agent in virtual time: runs exchanges with random service times and serves one feed.
class fake_target
{
  public:
    struct hooks
    {
        std::function<void(agent::exchange_id, agent::exchange_result)> result;
        std::function<void(agent::feed_connection_id, core::event_id, std::vector<std::uint8_t>)> event;
        std::function<void(agent::feed_connection_id)> activity;
        std::function<void(agent::feed_connection_id)> feed_closed;
        /// A target starts to run a posting.
        std::function<void(request_key)> posting_started;
    };

    fake_target(virtual_clock& clock, oracle& test_oracle, std::string service, core::milliseconds mean_service_time,
                std::uint64_t seed);

    void set_hooks(hooks value) { m_callbacks = std::move(value); }
    void set_mode(target_mode mode);
    /// @brief Kills the target's process: its exchanges and feeds break.
    void kill();
    /// @brief Drops all exchanges and feeds, since the agent's process has exited; requests that started have run, but
    /// get no result.
    void on_agent_exit();

    void start(const agent::start_exchange& exchange);
    void cancel(agent::exchange_id id) { m_running.erase(id); }
    void open(const agent::open_feed& feed);
    void close(agent::feed_connection_id id) { m_feeds.erase(id); }
    /// @brief Sends the events due at the current virtual time to all feeds.
    void publish_events();

    [[nodiscard]] std::size_t in_flight() const noexcept { return m_running.size(); }
    [[nodiscard]] std::size_t started_requests() const noexcept { return m_started_requests; }

    static constexpr core::milliseconds event_interval{200};
    static constexpr core::milliseconds connect_delay{1};

  private:
    struct feed_connection
    {
        std::uint64_t last = 0;
        bool is_silent = false;
    };

    [[nodiscard]] std::uint64_t current_event() const;
    void finish(agent::exchange_id id, agent::exchange_result result, core::duration delay);
    void run(const agent::start_exchange& exchange);

    virtual_clock& m_clock;
    oracle& m_oracle;
    std::string m_service;
    std::exponential_distribution<double> m_service_time_ms;
    core::random_source m_random;
    hooks m_callbacks;
    target_mode m_mode = target_mode::normal;
    std::set<agent::exchange_id> m_running;
    std::map<agent::feed_connection_id, feed_connection> m_feeds;
    std::size_t m_started_requests = 0;
    /// Number of agent processes that have exited; results scheduled for an earlier one are dropped.
    std::uint64_t m_agent_generation = 0;
};

} // namespace daisydoor::support
