#pragma once

#include <string>
#include <vector>

namespace daisydoor::support
{

/// @brief Compares a transcript with tests/golden/NAME.txt.
///
/// With the environment variable DAISYDOOR_UPDATE_GOLDEN set (scripts/update_golden.sh) it writes the file instead.
/// @return an empty string if they match, else the first difference
std::string compare_with_golden(const std::string& folder, const std::string& name,
                                const std::vector<std::string>& transcript);

} // namespace daisydoor::support
