#pragma once

#include <cstdint>

namespace daisydoor::core
{

/// @brief Distance of a pair of key and member in rendezvous hashing; the member with the smallest one is chosen.
///
/// Exponentially distributed, so that division by a weight gives each member its share of the keys. All processes
/// compute the same value. Complexity: constant; no allocation.
double rendezvous_distance(std::uint64_t key, std::uint64_t member) noexcept;
double rendezvous_distance(std::uint64_t key, std::uint32_t member) noexcept;

} // namespace daisydoor::core
