#pragma once

#include "daisydoor/core/random.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

/// @brief Measurement of the balancing policy at the sizes of the present deployments, in virtual time.
namespace daisydoor::policy
{

/// @brief One deployment: zones, hosts by zone, delays. Times are in milliseconds.
struct deployment
{
    std::string name;
    std::vector<std::size_t> hosts_by_zone;
    double zone_delay_ms = 3;
    double caller_delay_ms = 1;
    std::size_t slots = 5;
    std::size_t flows_per_host = 2000;

    [[nodiscard]] std::size_t hosts() const;
    [[nodiscard]] std::size_t zone_of(std::size_t host) const;
    /// @brief One-way delay in milliseconds.
    [[nodiscard]] double delay(std::size_t zone_a, std::size_t zone_b) const
    {
        return zone_a == zone_b ? 0 : zone_delay_ms;
    }
};

enum class service_time
{
    exponential,
    /// Log-normal with the same mean and a squared coefficient of variation of 10.
    heavy_tailed,
};

constexpr double mean_service_ms = 20;
/// Requests that arrive earlier are not counted, so that the slow start does not affect the steady-state figures.
constexpr double warm_up_ms = 5000;

/// @brief One request; the same list is given to every policy.
struct arrival
{
    double at_ms = 0;
    double service_ms = 0;
    /// The workspace of a flow is its number modulo the number of workspaces.
    std::size_t flow = 0;
    /// Availability zone of the entry that receives it.
    std::size_t zone = 0;
    std::uint32_t workspace = 0;
};

struct workload_options
{
    double load = 0.8;
    service_time distribution = service_time::exponential;
    double seconds = 30;
    std::uint32_t workspaces = 4;
    /// Workspace 0 sends this many times the share of each other workspace.
    double burst = 1;
    std::uint64_t seed = 1;
};

std::vector<arrival> make_workload(const deployment& where, const workload_options& options);

/// @brief Result of running a workload under one policy.
struct result
{
    /// Answer times in milliseconds with the index of the workspace, in order of arrival; refused requests are absent.
    std::vector<std::pair<std::uint32_t, double>> answer_ms;
    std::size_t refused = 0;
    std::size_t unknown = 0;
    /// Mean over samples of the largest number of requests in flight at a host over the mean of all hosts.
    double imbalance = 0;

    void add(const arrival& item, double answered_ms);
    /// @brief Answer time in milliseconds at a quantile, 0 to 1; 0 without answers.
    [[nodiscard]] double percentile(double quantile) const;
    [[nodiscard]] double workspace_percentile(std::uint32_t workspace, double quantile) const;
};

} // namespace daisydoor::policy
