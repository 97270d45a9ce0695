// Inlined, the hash takes a fraction of the instructions, because the sizes of its inputs are known at compile time.
#define XXH_INLINE_ALL

#include "daisydoor/core/rendezvous.hpp"

#include <cmath>
#include <xxhash.h>

namespace daisydoor::core
{

namespace
{

template <typename Member>
double distance(std::uint64_t key, Member member) noexcept
{
    const std::uint64_t hash = XXH3_64bits_withSeed(&member, sizeof member, key);
    constexpr double scale = 1.0 / static_cast<double>(std::uint64_t{1} << 53U);
    return -std::log((static_cast<double>(hash >> 11U) + 0.5) * scale);
}

} // namespace

double rendezvous_distance(std::uint64_t key, std::uint64_t member) noexcept { return distance(key, member); }

double rendezvous_distance(std::uint64_t key, std::uint32_t member) noexcept { return distance(key, member); }

} // namespace daisydoor::core
