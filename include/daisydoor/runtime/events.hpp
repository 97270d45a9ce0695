#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace daisydoor::runtime
{

enum class severity
{
    info,
    warning,
    error,
};
constexpr std::array<std::string_view, 3> severity_names{"info", "warning", "error"};

/// @brief Numbered log events. The values are indices into `log_events`.
enum class log_event
{
    process_started,
    process_stopped,
    drain_started,
    drain_finished,
    drain_timeout,
    drain_cancelled,
    unexpected_exception,
    configuration_accepted,
    configuration_rejected,
    fleet_view_accepted,
    platform_unreachable,
    platform_reachable,
    link_up,
    link_down,
    link_bad_frame,
    link_output_full,
    link_refused,
    datagram_dropped,
    datagram_send_failed,
    target_unreachable,
    target_reachable,
    target_draining,
    pause_detected,
    admin_bad_request,
    published_value_rejected,
    routes_accepted,
    hosts_changed,
    flow_decision,
    settings_reloaded,
    settings_rejected,
    platform_reading,
    view_fetched,
    view_fetch_failed,
    older_update_ignored,
    platform_history_lost,
    platform_restored,
    platform_read_stalled,
    zone_evacuated,
    evacuation_ended,
};

struct log_event_info
{
    int number;
    runtime::severity severity;
    /// Fixed part of the message; a colon and the details follow.
    std::string_view text;
};

/// @brief Table of all log events; docs/events.md lists the same numbers, severities and texts.
constexpr std::array<log_event_info, 39> log_events{{
    {1001, severity::info, "process started"},
    {1002, severity::info, "process stopped"},
    {1003, severity::info, "drain started"},
    {1004, severity::info, "drain finished"},
    {1005, severity::warning, "drain timed out with flows left"},
    {1006, severity::info, "drain cancelled"},
    {1099, severity::error, "unexpected exception in an event handler"},
    {1101, severity::info, "configuration accepted"},
    {1102, severity::error, "published configuration rejected"},
    {1103, severity::info, "fleet view accepted"},
    {1201, severity::warning, "platform is unreachable"},
    {1202, severity::info, "platform is reachable again"},
    {1301, severity::info, "peer link established"},
    {1302, severity::warning, "peer link lost"},
    {1303, severity::warning, "peer link closed because of a malformed frame"},
    {1304, severity::warning, "peer link closed because its output buffer is full"},
    {1305, severity::warning, "peer link refused"},
    {1401, severity::warning, "datagrams dropped"},
    {1402, severity::warning, "datagrams could not be sent"},
    {1501, severity::warning, "target is unreachable"},
    {1502, severity::info, "target is reachable again"},
    {1503, severity::info, "target reports that it is draining"},
    {1601, severity::warning, "process was paused"},
    {1701, severity::warning, "admin request rejected"},
    {1104, severity::warning, "published value skipped"},
    {1105, severity::info, "routes accepted"},
    {1106, severity::info, "hosts changed"},
    {1403, severity::info, "flow decision"},
    {1007, severity::info, "settings reloaded"},
    {1008, severity::error, "changed settings rejected; the previous settings remain in force"},
    {1203, severity::info, "platform read mode changed"},
    {1107, severity::info, "fleet view fetched"},
    {1108, severity::warning, "fleet view could not be fetched"},
    {1109, severity::warning, "older update of the fleet view ignored"},
    {1204, severity::info, "platform no longer has the history of a watch"},
    {1205, severity::warning, "platform was restored from an older copy"},
    {1206, severity::error, "platform is not read any more"},
    {1110, severity::info, "availability zone is evacuated"},
    {1111, severity::info, "evacuation of an availability zone has ended"},
}};

constexpr const log_event_info& info_of(log_event value) { return log_events.at(static_cast<std::size_t>(value)); }

/// @brief Writes an event to the log as `[NUMBER] TEXT: DETAILS`, or `[NUMBER] TEXT` without details.
void write_log(log_event value, const std::string& details);

/// @brief Allows at most one message per period and counts the suppressed ones.
class rate_limit
{
  public:
    using nanoseconds = std::int64_t;

    explicit rate_limit(nanoseconds period) : m_period(period) {}

    /// @brief Returns whether a message may be written now, and counts it as suppressed if not.
    /// @param now time of a monotonic clock
    /// @param suppressed set to the number of messages suppressed since the last allowed one, if this one is allowed
    bool allow(nanoseconds now, std::uint64_t& suppressed) noexcept;

  private:
    nanoseconds m_period;
    nanoseconds m_next = INT64_MIN;
    std::uint64_t m_suppressed = 0;
};

/// @brief Writes an event at most once per period of `limit` and appends the number of occurrences since the last line.
void write_rate_limited_log(rate_limit& limit, log_event value, std::string_view details);

/// Rate-limit period for events that a single datagram, link or request can cause.
constexpr rate_limit::nanoseconds log_interval_ns = 1'000'000'000;

} // namespace daisydoor::runtime
