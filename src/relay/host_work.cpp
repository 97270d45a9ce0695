#include "daisydoor/relay/host_work.hpp"

#include "daisydoor/relay/request_profile.hpp"

#include <algorithm>
#include <cmath>

namespace daisydoor::relay
{

namespace
{

/// Lower bound of the second class; the first holds all that is shorter.
constexpr double least_ratio = 0.125;
constexpr double classes_per_octave = 2;
/// Bounds of one observation in milliseconds.
constexpr double min_work_ms = 0.1;

double ms_between(core::time_point from, core::time_point to) noexcept
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

double max_work_ms() noexcept { return static_cast<double>(max_service_time.count()); }

} // namespace

void work_shape::add(double ratio) noexcept
{
    for (auto& it : m_classes) {
        it.weight *= work_shape_decay;
        it.sum *= work_shape_decay;
    }
    const double position = 1 + std::floor(classes_per_octave * std::log2(std::max(ratio, 1e-3) / least_ratio));
    const auto last = static_cast<double>(class_count - 1);
    auto& found = m_classes.at(static_cast<std::size_t>(std::clamp(position, 0.0, last)));
    found.weight += 1;
    found.sum += ratio;
}

double work_shape::left_after(double ratio) const noexcept
{
    double weight = 0;
    double sum = 0;
    for (const auto& it : m_classes) {
        if (it.weight > 0 && it.sum > ratio * it.weight) {
            weight += it.weight;
            sum += it.sum;
        }
    }
    // Less than half an answer is what remains of old ones.
    constexpr double least_weight = 0.5;
    if (weight < least_weight) {
        return std::max(ratio, 1.0);
    }
    return sum / weight - ratio;
}

void host_work::work_mean::add(double value) noexcept
{
    ++answers;
    ms += std::max(work_mean_weight, 1.0 / answers) * (value - ms);
}

void host_work::on_expected(const flow_key& flow, core::time_point now)
{
    advance(now);
    m_requests.try_emplace(flow, request{request_profile::key_of(flow), std::nullopt});
}

void host_work::on_delivered(const flow_key& flow, bool is_further, std::uint32_t slots, core::time_point now)
{
    on_expected(flow, now);
    if (is_further) {
        m_further_ms += mean_ms(flow);
    }
    if (std::find(m_delivered.begin(), m_delivered.end(), flow) == m_delivered.end()) {
        m_delivered.push_back(flow);
    }
    begin_next(slots, now);
}

void host_work::on_answered(const flow_key& flow, core::time_point now)
{
    advance(now);
    const auto it = m_requests.find(flow);
    if (it == m_requests.end() || !it->second.begun_at) {
        return;
    }
    const auto route = it->second.route;
    const double work = std::clamp(ms_between(*it->second.begun_at, now), min_work_ms, max_work_ms());
    if (m_routes.size() >= max_worked_routes && m_routes.count(route) == 0) {
        m_routes.clear();
    }
    if (const double mean = mean_of(route); mean > 0) {
        m_shape.add(work / mean);
    }
    m_routes[route].add(work);
    m_mean.add(work);
}

void host_work::on_ended(const flow_key& flow, std::uint32_t slots, core::time_point now)
{
    advance(now);
    m_requests.erase(flow);
    m_delivered.erase(std::remove(m_delivered.begin(), m_delivered.end(), flow), m_delivered.end());
    begin_next(slots, now);
}

void host_work::begin_next(std::uint32_t slots, core::time_point now)
{
    const auto n = std::min<std::size_t>(slots, m_delivered.size());
    for (std::size_t i = 0; i < n; ++i) {
        auto& begun_at = m_requests.at(m_delivered[i]).begun_at;
        begun_at = begun_at.value_or(now);
    }
}

void host_work::set_idle_flows(std::uint32_t flows, core::time_point now) noexcept
{
    advance(now);
    m_idle_flows = flows;
}

void host_work::advance(core::time_point now) noexcept
{
    if (m_now == core::time_point{}) {
        m_now = now;
    }
    const double passed = ms_between(m_now, now);
    if (passed <= 0) {
        return;
    }
    const double kept = std::exp(-passed / static_cast<double>(flow_rate_period.count()));
    m_idle_ms = m_idle_ms * kept + passed * m_idle_flows;
    m_further_ms *= kept;
    m_now = now;
}

double host_work::work_left_ms() const noexcept
{
    double result = 0;
    for (const auto& [flow, it] : m_requests) {
        result += left_of(it);
    }
    return result;
}

double host_work::left_of(const request& value) const noexcept
{
    const double mean = mean_of(value.route);
    if (!value.begun_at || mean <= 0) {
        return mean;
    }
    return std::min(mean * m_shape.left_after(ms_between(*value.begun_at, m_now) / mean), max_work_ms());
}

double host_work::mean_ms() const noexcept { return m_mean.answers >= min_work_answers ? m_mean.ms : 0; }

double host_work::mean_ms(const flow_key& flow) const noexcept { return mean_of(request_profile::key_of(flow)); }

double host_work::mean_of(std::uint64_t route) const noexcept
{
    const auto it = m_routes.find(route);
    return it != m_routes.end() && it->second.answers >= min_work_answers ? it->second.ms : mean_ms();
}

std::vector<route_work> host_work::routes() const
{
    std::vector<route_work> result;
    for (const auto& [key, mean] : m_routes) {
        if (mean.answers >= min_work_answers) {
            result.push_back({ipv4{static_cast<std::uint32_t>(key >> request_profile::port_bits)},
                              static_cast<std::uint16_t>(key), mean.ms});
        }
    }
    return result;
}

double host_work::slots_per_idle_flow() const noexcept
{
    // A flow that is idle for a second says too little.
    constexpr double least_idle_ms = 1000;
    return m_further_ms / std::max(m_idle_ms, least_idle_ms);
}

} // namespace daisydoor::relay
