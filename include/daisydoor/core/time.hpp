#pragma once

#include <chrono>

namespace daisydoor::core
{

using clock = std::chrono::steady_clock;
/// @brief Monotonic time that is passed to the decision cores, the classes that decide without I/O and without reading
/// a clock; tests pass the time of a virtual clock.
using time_point = clock::time_point;
using duration = clock::duration;
using milliseconds = std::chrono::milliseconds;
using seconds = std::chrono::seconds;

} // namespace daisydoor::core
