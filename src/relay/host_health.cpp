#include "daisydoor/relay/host_health.hpp"

namespace daisydoor::relay
{

void host_health::on_outcome(bool answered, core::time_point now) noexcept
{
    ++m_outcomes;
    m_failure_rate += outcome_weight * ((answered ? 0.0 : 1.0) - m_failure_rate);
    if (m_outcomes < min_outcomes) {
        return;
    }
    const bool was_failing = m_failing;
    m_failing = was_failing ? m_failure_rate > recovered_failure_rate : m_failure_rate > max_failure_rate;
    if (m_failing && !was_failing) {
        m_next_probe = now + failing_probe_interval;
    }
}

bool host_health::try_start_probe(core::time_point now) noexcept
{
    if (now < m_next_probe) {
        return false;
    }
    m_next_probe = now + failing_probe_interval;
    return true;
}

} // namespace daisydoor::relay
