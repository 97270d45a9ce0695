#include "daisydoor/relay/cold_budget.hpp"

#include <algorithm>
#include <cmath>

namespace daisydoor::relay
{

namespace
{

/// Bounds the memory of the windows whatever a service publishes.
constexpr double max_cold_limit = 100'000;

bool is_in_window(core::time_point at, core::time_point now) noexcept
{
    return now - at <= cold_window + cold_window_slack;
}

} // namespace

std::uint32_t cold_allowance::limit(double requests_per_second) const noexcept
{
    return static_cast<std::uint32_t>(std::clamp(requests_per_second * factor + extra, 0.0, max_cold_limit));
}

std::size_t cold_budget::room_in(const std::deque<core::time_point>& times, core::time_point now) const noexcept
{
    if (now < m_unknown_until) {
        return 0;
    }
    const auto first =
        std::find_if(times.begin(), times.end(), [now](core::time_point it) { return is_in_window(it, now); });
    const auto used = static_cast<std::size_t>(times.end() - first);
    return *m_limit > used ? *m_limit - used : 0;
}

void cold_budget::update(const fleet_view& view, ipv4 self, const std::string& service, core::time_point now)
{
    const auto rate = view.cold_rate_of(service);
    const auto* host = view.find_host(self);
    m_limit = rate ? std::optional(m_allowance.limit(*rate)) : std::nullopt;
    m_is_cold = host != nullptr && now < host->cold_until;
    m_now = now;
}

bool cold_budget::may_open(std::size_t waiting) const noexcept
{
    return !limit() || (room_in(m_openings, m_now) > 0 && room_in(m_requests, m_now) > waiting);
}

void cold_budget::on_opening(core::time_point now) { count(m_openings, now); }

bool cold_budget::try_request(core::time_point now)
{
    if (limit() && room_in(m_requests, now) == 0) {
        return false;
    }
    count(m_requests, now);
    return true;
}

void cold_budget::count(std::deque<core::time_point>& times, core::time_point now) const
{
    // Counted also while the host is not cold: it may have started again, and its entry tells so only later.
    if (!m_limit) {
        times.clear();
        return;
    }
    while (!times.empty() && (!is_in_window(times.front(), now) || times.size() > *m_limit)) {
        times.pop_front();
    }
    times.push_back(now);
}

} // namespace daisydoor::relay
