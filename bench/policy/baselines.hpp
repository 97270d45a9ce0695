#pragma once

#include "policy/workload.hpp"

#include <array>
#include <string_view>

namespace daisydoor::policy
{

/// @brief Policies that daisydoor is compared with. All have unbounded FIFO queues and never refuse.
enum class baseline
{
    /// The host that the flow hash selects; each host has its own queue.
    hashing,
    /// The one of two random hosts that has fewer requests, with load information that is always current.
    two_choices,
    /// The host with the fewest requests according to load information that is up to 1 s old.
    lagging_least_load,
    /// One queue for all hosts, without any delay between queue and hosts.
    ideal_queue,
};
constexpr std::array<std::string_view, 4> baseline_names{"hashing", "two_choices", "lagging_least_load", "ideal_queue"};

result run_baseline(baseline policy, const deployment& where, const std::vector<arrival>& arrivals, std::uint64_t seed);

} // namespace daisydoor::policy
