#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace daisydoor::runtime
{

/// @brief Result of checking a folder of published values.
struct published_report
{
    /// One line for each problem; empty if the values can be published.
    std::vector<std::string> problems;
    /// Configuration version of the index; 0 if the index is invalid.
    std::uint64_t version = 0;
    std::size_t services = 0;
    std::size_t hosts = 0;
    /// Whether the folder contains a file `fleet`, valid or not.
    bool has_fleet = false;
};

/// @brief Validates the files `index`, `fleet` (if it exists) and the parts that the index lists, as the daemon does.
/// @param folder folder with the published values; the path of a file relative to it is its key
/// @throws runtime_error with errc::unreadable_folder if `index` cannot be read.
/// Complexity: linear in the size of the values, n log n in the number of hosts.
published_report check_published_values(const std::string& folder);

} // namespace daisydoor::runtime
