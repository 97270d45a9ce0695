#pragma once

#include <chrono>

namespace daisydoor::core
{

using clock = std::chrono::steady_clock;
/// @brief Monotonic time as injected into the decision cores; tests build it from a virtual clock.
using time_point = clock::time_point;
using duration = clock::duration;
using milliseconds = std::chrono::milliseconds;
using seconds = std::chrono::seconds;

} // namespace daisydoor::core
