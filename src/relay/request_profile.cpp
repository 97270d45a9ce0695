#include "daisydoor/relay/request_profile.hpp"

#include <algorithm>

namespace daisydoor::relay
{

std::uint64_t request_profile::key_of(const flow_key& flow) noexcept
{
    return (static_cast<std::uint64_t>(flow.service) << port_bits) | flow.service_port;
}

void request_profile::on_answer(core::milliseconds time) noexcept
{
    ++m_answers;
    // The initial value counts as one answer.
    const double weight = std::max(service_time_weight, 1.0 / static_cast<double>(m_answers + 1));
    m_service_ms += weight * (static_cast<double>(std::min(time, max_service_time).count()) - m_service_ms);
}

void request_profile::on_client_waits(const flow_key& flow, core::milliseconds age, core::time_point now)
{
    const auto key = key_of(flow);
    if (m_routes.size() >= max_profiled_routes && m_routes.count(key) == 0) {
        m_routes.clear();
    }
    auto& profile = m_routes[key];
    if (now - profile.period_started_at > patience_period) {
        const bool is_recent = now - profile.period_started_at <= 2 * patience_period;
        profile.former_patience = is_recent ? profile.patience : core::milliseconds(0);
        profile.patience = core::milliseconds(0);
        profile.period_started_at = now;
    }
    profile.patience = std::max(profile.patience, age);
}

core::milliseconds request_profile::service_time() const noexcept
{
    return std::clamp(core::milliseconds(static_cast<std::int64_t>(m_service_ms)), min_service_time, max_service_time);
}

core::milliseconds request_profile::patience(const flow_key& flow, core::milliseconds published) const
{
    const auto it = m_routes.find(key_of(flow));
    if (published.count() == 0 || it == m_routes.end()) {
        return published;
    }
    return std::max({published, it->second.patience, it->second.former_patience});
}

} // namespace daisydoor::relay
