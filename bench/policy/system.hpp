#pragma once

#include "policy/workload.hpp"

namespace daisydoor::policy
{

/// @brief Runs the workload through the real entry and agent cores of one service, in virtual time with delays between
/// availability zones.
result run_system(const deployment& where, const std::vector<arrival>& arrivals, std::uint32_t workspaces,
                  std::uint64_t seed);

} // namespace daisydoor::policy
