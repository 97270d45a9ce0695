#include "daisydoor/runtime/events.hpp"

#include <chrono>
#include <glog/logging.h>

namespace daisydoor::runtime
{

void write_log(log_event value, const std::string& details)
{
    const auto& info = info_of(value);
    const auto level = info.severity == severity::info      ? google::GLOG_INFO
                       : info.severity == severity::warning ? google::GLOG_WARNING
                                                            : google::GLOG_ERROR;
    google::LogMessage message(__FILE__, __LINE__, level);
    message.stream() << '[' << info.number << "] " << info.text;
    if (!details.empty()) {
        message.stream() << ": " << details;
    }
}

bool rate_limit::allow(nanoseconds now, std::uint64_t& suppressed) noexcept
{
    if (now < m_next) {
        ++m_suppressed;
        return false;
    }
    suppressed = m_suppressed;
    m_suppressed = 0;
    m_next = now + m_period;
    return true;
}

void write_rate_limited_log(rate_limit& limit, log_event value, std::string_view details)
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    std::uint64_t suppressed = 0;
    if (limit.allow(std::chrono::duration_cast<std::chrono::nanoseconds>(now).count(), suppressed)) {
        write_log(value, std::string(details) + ", " + std::to_string(suppressed + 1) + " since the last report");
    }
}

} // namespace daisydoor::runtime
