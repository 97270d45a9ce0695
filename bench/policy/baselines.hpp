#pragma once

#include "policy/workload.hpp"

#include <array>
#include <string_view>

namespace daisydoor::policy
{

/// @brief Policies that daisydoor is compared with. All have unbounded FIFO queues and never refuse.
enum class baseline
{
    /// Flow hash alone; each host has its own queue.
    hashing,
    /// Of two random hosts the one with fewer requests, known without delay.
    two_choices,
    /// The host with the fewest requests as its endpoint showed up to a second ago.
    lagging_least_load,
    /// One queue for all hosts, without any delay between queue and hosts.
    ideal_queue,
};
constexpr std::array<std::string_view, 4> baseline_names{"hashing", "two_choices", "lagging_least_load", "ideal_queue"};

result run_baseline(baseline policy, const deployment& where, const std::vector<arrival>& arrivals, std::uint64_t seed);

} // namespace daisydoor::policy
