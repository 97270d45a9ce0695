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
    std::uint64_t version = 0;
    std::size_t services = 0;
    std::size_t hosts = 0;
    bool has_fleet = false;
};

/// @brief Checks the files `index`, its parts and, if there is one, `fleet` by the rules that the daemon applies.
/// @param folder a file's path in the folder is its key
/// @throws runtime_error with errc::unreadable_folder if the folder holds no file `index`.
/// Complexity: linear in the size of the values, n log n in the number of hosts.
published_report check_published_values(const std::string& folder);

} // namespace daisydoor::runtime
