#include "daisydoor/relay/request_profile.hpp"

#include <algorithm>

namespace daisydoor::relay
{

namespace
{

core::milliseconds bounded(double ms) noexcept
{
    return std::clamp(core::milliseconds(static_cast<std::int64_t>(ms)), min_service_time, max_service_time);
}

} // namespace

void request_profile::mean_time::add(double value) noexcept
{
    // The initial value counts as one answer.
    ++answers;
    ms += std::max(service_time_weight, 1.0 / (answers + 1)) * (value - ms);
}

std::uint64_t request_profile::key_of(const flow_key& flow) noexcept
{
    constexpr unsigned port_bits = 16;
    return (static_cast<std::uint64_t>(flow.service) << port_bits) | flow.service_port;
}

request_profile::route_profile& request_profile::profile_of(const flow_key& flow)
{
    const auto key = key_of(flow);
    if (m_routes.size() >= max_profiled_routes && m_routes.count(key) == 0) {
        m_routes.clear();
    }
    return m_routes[key];
}

void request_profile::on_answer(const flow_key& flow, core::milliseconds time)
{
    const auto ms = static_cast<double>(std::min(time, max_service_time).count());
    auto& profile = profile_of(flow);
    if (profile.service.answers == 0) {
        profile.service.ms = m_service.ms;
    }
    profile.service.add(ms);
    m_service.add(ms);
}

void request_profile::on_client_waits(const flow_key& flow, core::milliseconds age, core::time_point now)
{
    auto& profile = profile_of(flow);
    if (now - profile.period_started_at > patience_period) {
        const bool is_recent = now - profile.period_started_at <= 2 * patience_period;
        profile.former_patience = is_recent ? profile.patience : core::milliseconds(0);
        profile.patience = core::milliseconds(0);
        profile.period_started_at = now;
    }
    profile.patience = std::max(profile.patience, age);
}

core::milliseconds request_profile::service_time(const flow_key& flow) const
{
    const auto it = m_routes.find(key_of(flow));
    return it != m_routes.end() && it->second.service.answers > 0 ? bounded(it->second.service.ms) : service_time();
}

core::milliseconds request_profile::service_time() const noexcept { return bounded(m_service.ms); }

core::milliseconds request_profile::patience(const flow_key& flow, core::milliseconds published) const
{
    const auto it = m_routes.find(key_of(flow));
    if (published.count() == 0 || it == m_routes.end()) {
        return published;
    }
    return std::max({published, it->second.patience, it->second.former_patience});
}

} // namespace daisydoor::relay
