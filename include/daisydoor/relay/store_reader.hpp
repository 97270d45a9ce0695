#pragma once

#include "daisydoor/relay/fleet.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace daisydoor::relay
{

/// Time that a watch waits for a change. It bounds how long a silent connection goes undetected, within the time in
/// which a change must be in force (ConfigApplyMs, at least 3 s).
constexpr core::milliseconds watch_wait{1100};
/// Wait of a watch that only checks for missed changes.
constexpr core::milliseconds check_wait{10};
/// Time allowed for an answer in addition to the wait of the call.
constexpr core::milliseconds answer_timeout{700};
/// Pause between a change and the next call, so that one call returns several consecutive changes.
constexpr core::milliseconds watch_pause{200};
/// Pause after a failed call; doubles up to the maximum.
constexpr core::milliseconds retry_pause{100};
constexpr core::milliseconds max_retry_pause{800};
/// Maximum retry pause of a process without any state, which can serve no flow.
constexpr core::milliseconds max_start_pause{300};
/// Maximum retry pause of processes that only check; there are many of them.
constexpr core::milliseconds max_check_pause{3200};
/// A process that should read has stopped if no call has ended for this long: the longest call and the longest pause,
/// with a margin for a busy processor.
constexpr core::milliseconds read_stall_limit =
    watch_wait + answer_timeout + max_check_pause + core::milliseconds(1000);

/// @brief How a process reads the platform.
enum class read_mode : std::uint8_t
{
    /// No reads: other processes send the changes.
    off,
    /// Short watches that only check for missed changes.
    check,
    /// Continuous watch.
    watch,
};
constexpr std::array<std::string_view, 3> read_mode_names{"off", "check", "watch"};

enum class store_call : std::uint8_t
{
    /// Reads routes and hosts, page by page.
    read_all,
    watch,
};
constexpr std::array<std::string_view, 2> store_call_names{"read_all", "watch"};

/// @brief How a call of the platform ended.
enum class store_result : std::uint8_t
{
    answered,
    /// The platform no longer has the history that the watch needs.
    history_lost,
    /// Refused, disconnected, malformed or timed out.
    failed,
};

/// @brief One call to make now.
struct store_request
{
    store_call call = store_call::read_all;
    /// Key after which the next page begins.
    std::string after;
    /// Revision after which the watch begins.
    relay::revision revision{};
    /// Time that a watch waits for a change.
    core::milliseconds wait{0};
    core::milliseconds timeout{0};
};

/// @brief Effects of a finished call.
struct store_progress
{
    /// Update to apply, if any.
    std::optional<fleet_update> update;
    /// The platform answers again after a failure.
    bool became_reachable = false;
    /// The platform stopped answering.
    bool became_unreachable = false;
    /// The answer belongs to an era of the store that is over.
    bool is_from_former_era = false;
    /// Era before the store came back from an older copy, if this answer is the first that shows it.
    std::optional<store_era> restored_from;
};

/// @brief Decides which call to the platform is next: the whole state once for each era of the store, then watches that
/// continue from it.
///
/// Load pattern: many processes read one store that refuses calls above its rate. Each process has one call in flight,
/// pauses after changes, and backs off after failures. Uses no sockets or clock.
class store_reader
{
  public:
    /// @brief The call that is due, if none is in flight. The caller makes it and reports its end.
    std::optional<store_request> next(core::time_point now);

    /// @brief Handles the end of the call in flight.
    /// @param update decoded content if `result` is answered; its era if the platform answered at all. An answer
    /// without an era belongs to the present one.
    /// @param has_more,last_key whether more pages follow, and the last key of this page
    store_progress on_result(store_result result, fleet_update update, bool has_more, const std::string& last_key,
                             core::time_point now);

    /// @brief Changes the read mode.
    /// @param known position up to which the process has all changes; 0 if it has no state
    void set_mode(read_mode mode, store_position known, core::time_point now) noexcept;

    [[nodiscard]] read_mode mode() const noexcept { return m_mode; }

    /// @brief Asks for changes without a wait: gives up a watch in flight that waits for one, and makes the next watch
    /// return at once. Has no effect while a call is in flight that returns at once.
    /// @return whether the call in flight was given up; the caller then aborts it and does not report its end
    [[nodiscard]] bool check_now(core::time_point now) noexcept;

    /// @brief Asks for the whole state again, instead of changes after the position that is known.
    /// @return as for check_now()
    [[nodiscard]] bool read_again(core::time_point now) noexcept;

    /// @brief Handles a pause of the process, after which a pending answer may never arrive: gives up the call in
    /// flight.
    /// @return as for check_now()
    [[nodiscard]] bool on_pause(core::time_point now) noexcept;

    /// @brief When next() may return a call; only meaningful if none is in flight.
    [[nodiscard]] core::time_point due_at() const noexcept { return m_due_at; }
    [[nodiscard]] bool is_unreachable() const noexcept { return m_unreachable; }
    /// @brief Whether a call is in flight: it has started, its end was not reported, and it was not given up. The only
    /// record of this; the caller keeps none of its own.
    [[nodiscard]] bool is_in_flight() const noexcept { return m_in_flight; }
    /// @brief Highest era that is known.
    [[nodiscard]] store_era era() const noexcept { return m_position.era; }

  private:
    void on_failure(core::time_point now, store_progress& progress);
    /// @brief Handles the era of an answer.
    /// @return whether the content of the answer can be used
    bool accept_era(fleet_update& update, store_progress& progress);

    read_mode m_mode = read_mode::watch;
    store_call m_next = store_call::read_all;
    std::string m_after;
    /// Collects the pages of a whole read.
    fleet_update m_whole;
    /// Position from which the next watch continues.
    store_position m_position;
    bool m_in_flight = false;
    /// The call in flight waits for a change.
    bool m_is_waiting = false;
    bool m_check_once = false;
    bool m_unreachable = false;
    core::milliseconds m_pause = retry_pause;
    core::time_point m_due_at;
};

} // namespace daisydoor::relay
