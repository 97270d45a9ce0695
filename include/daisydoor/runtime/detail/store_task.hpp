#pragma once

#include "daisydoor/relay/store_reader.hpp"
#include "daisydoor/runtime/detail/http_client.hpp"
#include "daisydoor/runtime/detail/io_event.hpp"
#include "daisydoor/runtime/events.hpp"
#include "daisydoor/runtime/messages.hpp"

#include <optional>

namespace daisydoor::runtime::detail
{

/// @brief Message to the role task: a call to the platform returned published state, or the platform became reachable
/// again.
struct platform_update
{
    std::optional<relay::fleet_update> update;
    /// Whether the platform was unreachable before this call, or returned from an older copy.
    bool became_reachable = false;
    /// When the platform's response was received.
    core::time_point confirmed_at;
    /// When the call began; the state is complete up to then.
    core::time_point call_started_at;
};

struct store_counters
{
    std::uint64_t calls = 0;
    /// Changes of the platform from reachable to unreachable.
    std::uint64_t outages = 0;
    std::uint64_t rejected_values = 0;
    /// Returns of the platform from an older copy.
    std::uint64_t restores = 0;
    /// Times at which the process had stopped reading although it should read.
    std::uint64_t stalls = 0;
};

/// @brief Client of the users' platform store in a relaying process: makes the calls that relay::store_reader requests.
class store_task : public task
{
  public:
    store_task(kernel& owner, const core::endpoint& platform);

    void start() override;

    /// @brief Sets whether this process watches the platform, reads it once or not at all.
    /// @param known position of the state that the process already has
    void set_mode(relay::read_mode mode, relay::store_position known);

    /// @brief Reads changes now; a waiting watch is cancelled first.
    void check_now();

    /// @brief Reads the whole state again, once; a call in flight is cancelled first.
    void read_again();

    /// @brief Handles a pause of the process: cancels the call in flight, whose response may have been lost, and reads
    /// again.
    void on_pause();

    /// @brief Logs and counts a process that should read and has stopped.
    void detect_stall(core::time_point now);

  private:
    void start_next_request();
    void call(const relay::store_request& request);
    void on_http_result(relay::store_call call, const http_result& response);
    void on_progress(relay::store_call call, relay::store_progress progress, const std::string& failure);
    void collect(collect_metrics& message) const;

    kernel& m_kernel;
    http_client m_client;
    relay::store_reader m_reader;
    io_event m_timer;
    /// Exchange of the latest call, for its cancellation. Only the reader knows whether it is in flight.
    std::uint64_t m_exchange = 0;
    core::time_point m_call_started_at;
    /// When the last call ended, or when the process began to read.
    core::time_point m_last_progress_at;
    std::optional<core::time_point> m_last_answer_at;
    bool m_is_stalled = false;
    /// Revision of the watch in flight.
    relay::revision m_watched_after{};
    store_counters m_counters;
    handler_ref<platform_update> m_role;
    rate_limit m_reject_log_limit{log_interval_ns};
};

} // namespace daisydoor::runtime::detail
