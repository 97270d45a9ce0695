#include "daisydoor/runtime/detail/log_output.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <poll.h>
#include <unistd.h>

namespace daisydoor::runtime::detail
{

namespace
{

const char* name_of(google::LogSeverity severity)
{
    return severity == google::GLOG_INFO ? "info" : severity == google::GLOG_WARNING ? "warning" : "error";
}

} // namespace

log_output::log_output(int fd) : m_fd(fd) { google::AddLogSink(this); }

log_output::~log_output()
{
    google::RemoveLogSink(this);
    flush();
}

void log_output::send(google::LogSeverity severity, const char* /*full_filename*/, const char* /*base_filename*/,
                      int /*line*/, const google::LogMessageTime& time, const char* message, std::size_t message_len)
{
    if (m_buffer.size() + message_len > max_log_buffer) {
        ++m_dropped;
        return;
    }
    const std::tm local = time.tm();
    std::array<char, 80> prefix{};
    const int n = std::snprintf(prefix.data(), prefix.size(), "time=%04d-%02d-%02dT%02d:%02d:%02d.%06d level=%s ",
                                local.tm_year + 1900, local.tm_mon + 1, local.tm_mday, local.tm_hour, local.tm_min,
                                local.tm_sec, time.usec(), name_of(severity));
    m_buffer.append(prefix.data(), static_cast<std::size_t>(n));
    m_buffer.append(message, message_len);
    m_buffer += '\n';
    if (severity != google::GLOG_INFO || m_buffer.size() >= log_write_size) {
        flush();
    }
}

void log_output::flush()
{
    std::size_t first = 0;
    while (first < m_buffer.size()) {
        pollfd state{m_fd, POLLOUT, 0};
        if (poll(&state, 1, 0) != 1 || (state.revents & POLLOUT) == 0) {
            break;
        }
        const auto size = std::min(m_buffer.size() - first, log_write_size);
        const auto written = write(m_fd, m_buffer.data() + first, size);
        if (written <= 0) {
            break;
        }
        first += static_cast<std::size_t>(written);
    }
    m_buffer.erase(0, first);
    if (m_buffer.empty() && m_dropped > m_reported_dropped) {
        m_buffer =
            "level=warning [1091] log lines dropped: count=" + std::to_string(m_dropped - m_reported_dropped) + '\n';
        m_reported_dropped = m_dropped;
    }
}

log_task::log_task(kernel& owner)
    : m_output(STDOUT_FILENO), m_timer(owner.base(), log_flush_interval, [this] { m_output.flush(); })
{
    // This sink is the only destination: no log files, because daisydoor must not use the disk (requirement R12), and
    // nothing on standard error.
    for (google::LogSeverity it = google::GLOG_INFO; it < google::NUM_SEVERITIES; ++it) {
        google::SetLogDestination(it, "");
    }
    FLAGS_stderrthreshold = google::NUM_SEVERITIES;
}

void set_log_level(log_level value) { FLAGS_minloglevel = static_cast<int>(value); }

} // namespace daisydoor::runtime::detail
