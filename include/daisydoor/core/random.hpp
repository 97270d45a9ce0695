#pragma once

#include <cstdint>
#include <random>

namespace daisydoor::core
{

/// @brief Seeded source of random numbers that the decision cores draw from; a seed replays a session.
using random_source = std::mt19937_64;

} // namespace daisydoor::core
