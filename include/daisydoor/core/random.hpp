#pragma once

#include <cstdint>
#include <random>

namespace daisydoor::core
{

/// @brief Random number generator of the decision cores, seeded by their owner so that tests can replay a session.
using random_source = std::mt19937_64;

} // namespace daisydoor::core
