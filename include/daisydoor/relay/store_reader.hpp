#pragma once

#include "daisydoor/relay/fleet.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace daisydoor::relay
{

/// Waits of the platform end this soon, so that a connection that went silent shows within the time in which a change
/// must be in force (ConfigApplyMs, at least 3 s).
constexpr core::milliseconds watch_wait{1100};
/// Wait of a process that only checks whether it has missed a change.
constexpr core::milliseconds check_wait{10};
/// Time for an answer beyond the wait that the call names.
constexpr core::milliseconds answer_timeout{700};
/// Pause between a change and the next call, so that changes in series share calls.
constexpr core::milliseconds watch_pause{200};
/// Pause after a failed call; doubles up to the maximum.
constexpr core::milliseconds retry_pause{100};
constexpr core::milliseconds max_retry_pause{800};
/// Maximum for a process that holds nothing and can serve nobody.
constexpr core::milliseconds max_start_pause{300};
/// Maximum for processes that only check; they are many.
constexpr core::milliseconds max_check_pause{3200};

/// @brief How much a process reads the platform.
enum class read_mode : std::uint8_t
{
    /// Others tell what changes.
    off,
    /// Asks once whether something was missed.
    check,
    /// Watches all the time.
    watch,
};
constexpr std::array<std::string_view, 3> read_mode_names{"off", "check", "watch"};

enum class store_call : std::uint8_t
{
    read_routes,
    read_hosts,
    watch,
};
constexpr std::array<std::string_view, 3> store_call_names{"read_routes", "read_hosts", "watch"};

/// @brief How a call of the platform ended.
enum class store_result : std::uint8_t
{
    answered,
    /// The history that the watch needs is gone.
    history_lost,
    /// Refused, broken, unreadable or timed out.
    failed,
};

/// @brief One call to make now.
struct store_request
{
    store_call call = store_call::read_routes;
    /// Key after which the next page of hosts begins.
    std::string after;
    /// Revision after which the watch begins.
    relay::revision revision{};
    /// Time that a watch waits for a change.
    core::milliseconds wait{0};
    core::milliseconds timeout{0};
};

/// @brief What an answer brought.
struct store_progress
{
    /// To apply, if set.
    std::optional<fleet_update> update;
    /// The platform answers again after a failure.
    bool became_reachable = false;
    /// The platform stopped to answer.
    bool became_unreachable = false;
};

/// @brief Decides which call of the platform comes next: the whole state once, then watches that continue from it.
///
/// Load pattern: many processes read one store that refuses calls above its rate. Each process has one call in flight,
/// pauses after changes, and backs off after failures. No sockets or clock.
class store_reader
{
  public:
    /// @brief The call that is due, if none is in flight. The caller makes it and reports its end.
    std::optional<store_request> next(core::time_point now);

    /// @brief The call in flight ended.
    /// @param update decoded content if `result` is answered
    /// @param has_more,last_key of a page
    store_progress on_result(store_result result, fleet_update update, bool has_more, const std::string& last_key,
                             core::time_point now);

    /// @brief Changes how much the process reads.
    /// @param held revision up to which the process knows everything; 0 if it holds nothing
    void set_mode(read_mode mode, relay::revision known_revision, core::time_point now) noexcept;

    [[nodiscard]] read_mode mode() const noexcept { return m_mode; }

    /// @brief The next watch answers at once. The caller cancels a watch in flight.
    void check_now(core::time_point now) noexcept;

    /// @brief The process was paused: what it waits for may never come. The caller cancels the call in flight.
    void on_pause(core::time_point now) noexcept;

    /// @brief When next() may return a call; only meaningful if none is in flight.
    [[nodiscard]] core::time_point due_at() const noexcept { return m_due_at; }
    [[nodiscard]] bool is_unreachable() const noexcept { return m_unreachable; }

  private:
    void on_failure(core::time_point now, store_progress& progress);

    read_mode m_mode = read_mode::watch;
    store_call m_next = store_call::read_routes;
    std::string m_after;
    /// Collects the pages of a whole read.
    fleet_update m_whole;
    relay::revision m_revision{};
    bool m_in_flight = false;
    bool m_check_once = false;
    bool m_unreachable = false;
    core::milliseconds m_pause = retry_pause;
    core::time_point m_due_at;
};

} // namespace daisydoor::relay
