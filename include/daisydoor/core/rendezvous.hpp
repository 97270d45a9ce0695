#pragma once

#include <cstdint>

namespace daisydoor::core
{

/// @brief Distance between a key and a member in rendezvous hashing; the member with the smallest distance is selected.
///
/// The distances are exponentially distributed: divided by the members' weights, they select each member for a share of
/// the keys in proportion to its weight. All processes compute the same distance. Complexity: constant; no allocation.
double rendezvous_distance(std::uint64_t key, std::uint64_t member) noexcept;
double rendezvous_distance(std::uint64_t key, std::uint32_t member) noexcept;

} // namespace daisydoor::core
