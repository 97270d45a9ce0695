#include "daisydoor/agent/detail/concurrency_limiter.hpp"

#include <algorithm>

namespace daisydoor::agent::detail
{

namespace
{

/// Divisor of the newest service time in the exponential moving average, which covers about 16 exchanges.
constexpr int service_time_divisor = 16;
constexpr std::size_t budget_per_try = 10;
constexpr std::size_t budget_per_retry = 100;
/// Limits the retry budget that builds up while few retries are needed, and so the size of a burst of retries.
constexpr std::size_t budget_limit = 1000;

} // namespace

void concurrency_limiter::set_slots(std::size_t slots) noexcept
{
    m_slots = std::max<std::size_t>(slots, 1);
    m_limit = std::min(m_limit, m_slots);
}

void concurrency_limiter::restart() noexcept
{
    m_limit = 1;
    m_successes = 0;
    m_failures = 0;
    m_warm = false;
}

void concurrency_limiter::on_success(core::duration service_time) noexcept
{
    m_failures = 0;
    m_mean_service_time = m_mean_service_time.count() == 0
                              ? service_time
                              : m_mean_service_time + (service_time - m_mean_service_time) / service_time_divisor;
    if (++m_successes >= m_limit) {
        m_successes = 0;
        m_limit = std::min(m_limit + 1, m_slots);
    }
    m_warm = m_warm || m_limit == m_slots;
}

void concurrency_limiter::halve() noexcept
{
    m_limit = std::max<std::size_t>(m_limit / 2, 1);
    m_successes = 0;
}

void concurrency_limiter::on_shed() noexcept { halve(); }

void concurrency_limiter::on_timeout() noexcept { halve(); }

core::duration concurrency_limiter::estimated_wait(std::size_t ahead) const noexcept
{
    return m_mean_service_time * static_cast<core::duration::rep>(ahead) / static_cast<core::duration::rep>(m_limit);
}

void retry_budget::on_first_try() noexcept { m_hundredths = std::min(m_hundredths + budget_per_try, budget_limit); }

bool retry_budget::try_spend() noexcept
{
    if (m_hundredths < budget_per_retry) {
        return false;
    }
    m_hundredths -= budget_per_retry;
    return true;
}

} // namespace daisydoor::agent::detail
