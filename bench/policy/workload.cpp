#include "policy/workload.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace daisydoor::policy
{

namespace
{

double quantile_of(std::vector<double> values, double quantile)
{
    if (values.empty()) {
        return 0;
    }
    const auto n = static_cast<std::ptrdiff_t>(quantile * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + n, values.end());
    return values[static_cast<std::size_t>(n)];
}

} // namespace

std::size_t deployment::hosts() const
{
    return std::accumulate(hosts_by_zone.begin(), hosts_by_zone.end(), std::size_t{0});
}

std::size_t deployment::zone_of(std::size_t host) const
{
    std::size_t zone = 0;
    while (host >= hosts_by_zone[zone]) {
        host -= hosts_by_zone[zone++];
    }
    return zone;
}

std::vector<arrival> make_workload(const deployment& where, const workload_options& options)
{
    core::random_source random(options.seed);
    const double rate_per_ms = options.load * static_cast<double>(where.hosts() * where.slots) / mean_service_ms;
    constexpr double squared_variation = 10;
    const double sigma = std::sqrt(std::log(1 + squared_variation));
    std::exponential_distribution<double> gap(rate_per_ms);
    std::exponential_distribution<double> exponential(1 / mean_service_ms);
    std::lognormal_distribution<double> heavy(std::log(mean_service_ms) - sigma * sigma / 2, sigma);
    std::uniform_int_distribution<std::size_t> flow_of_workspace(
        0, where.hosts() * where.flows_per_host / options.workspaces - 1);
    std::uniform_int_distribution<std::size_t> zone(0, where.hosts_by_zone.size() - 1);
    std::vector<double> weights(options.workspaces, 1);
    weights[0] = options.burst;
    std::discrete_distribution<std::uint32_t> workspace(weights.begin(), weights.end());

    std::vector<arrival> result;
    double at = gap(random);
    while (at < options.seconds * 1000) {
        const double service = options.distribution == service_time::exponential ? exponential(random) : heavy(random);
        const auto owner = workspace(random);
        const std::size_t flow = flow_of_workspace(random) * options.workspaces + owner;
        const arrival item{at, service, flow, zone(random), owner};
        result.push_back(item);
        at += gap(random);
    }
    return result;
}

void result::add(const arrival& item, double answered_ms)
{
    if (item.at_ms >= warm_up_ms) {
        answer_ms.emplace_back(item.workspace, answered_ms - item.at_ms);
    }
}

double result::percentile(double quantile) const
{
    std::vector<double> values;
    values.reserve(answer_ms.size());
    for (const auto& [workspace, time] : answer_ms) {
        values.push_back(time);
    }
    return quantile_of(std::move(values), quantile);
}

double result::workspace_percentile(std::uint32_t workspace, double quantile) const
{
    std::vector<double> values;
    for (const auto& [owner, time] : answer_ms) {
        if (owner == workspace) {
            values.push_back(time);
        }
    }
    return quantile_of(std::move(values), quantile);
}

} // namespace daisydoor::policy
