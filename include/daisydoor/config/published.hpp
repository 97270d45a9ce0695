#pragma once

#include "daisydoor/config/snapshot.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// @brief Strict parsing of the published values; docs/published-configuration.md gives the formats.
namespace daisydoor::config
{

/// Platform values are at most 1 MB.
constexpr std::size_t max_value_size = std::size_t{1024} * 1024;
constexpr std::size_t max_zone_count = 255;
constexpr std::string_view index_key = "index";
constexpr std::string_view fleet_key = "fleet";
constexpr std::string_view part_key_prefix = "services/";

struct part_reference
{
    std::string key;
    std::uint64_t digest = 0;
};

/// @brief Content of the key `index`.
struct published_index
{
    core::config_version version{};
    std::vector<zone> zones;
    std::vector<wire::token_key> keys;
    std::array<preset_policy, 3> policies{};
    std::vector<part_reference> parts;
};

/// @brief Content of one key `services/N`.
struct published_part
{
    std::string key;
    std::vector<service> services;
    /// Line of each service, followed by the lines of its hosts, in order; for error messages.
    std::vector<std::uint32_t> lines;
};

using published_part_ptr = std::shared_ptr<const published_part>;

/// @brief XXH3 64-bit digest of a value's bytes.
std::uint64_t content_digest(std::string_view content) noexcept;

/// @brief Policy tables that apply where the index overrides nothing.
std::array<preset_policy, 3> built_in_policies() noexcept;

/// @throws config_error if the value breaks a rule of the format. Complexity: linear in the size.
published_index parse_index(const std::string& content);

/// @param zones zones of the index, which the hosts' zone names refer to
/// @throws config_error if the value breaks a rule of the format. Complexity: linear in the size.
published_part parse_part(const std::string& key, const std::string& content, const std::vector<zone>& zones);

/// @throws config_error if the value breaks a rule of the format. Complexity: linear in the size.
fleet_view parse_fleet(const std::string& content);

/// @brief Joins an index and parts after checking that ids and addresses are unique over all parts.
/// @throws config_error for a duplicate. Complexity: n log n in the number of hosts.
snapshot make_snapshot(const published_index& index, const std::vector<published_part_ptr>& parts);

} // namespace daisydoor::config
