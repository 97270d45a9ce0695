#pragma once

#include "standins/relay/world.hpp"

#include <string>
#include <vector>

namespace daisydoor::standins::relay
{

struct soak_result
{
    std::vector<std::string> violations;
    /// Faults in order, with the time at which each began.
    std::vector<std::string> faults;
    std::size_t answered = 0;
    std::size_t failed = 0;
    std::size_t resets = 0;
};

/// @brief Injects random faults, in series and overlapping, and checks the guarantees during and after them.
soak_result run_soak(const world_options& options, core::milliseconds time);

} // namespace daisydoor::standins::relay
