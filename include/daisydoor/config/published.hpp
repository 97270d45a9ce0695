#pragma once

#include "daisydoor/config/snapshot.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// @brief Strict parsing of the published values; docs/published-configuration.md describes the formats.
///
/// The value `index` holds the version, the zones and the token keys, and lists the parts: values `services/N` that
/// hold the services. The value `fleet` holds the fleet view.
namespace daisydoor::config
{

/// Highest size in bytes of a value that the platform stores (1 MB).
constexpr std::size_t max_value_size = std::size_t{1024} * 1024;
constexpr std::size_t max_zone_count = 255;
constexpr std::string_view index_key = "index";
constexpr std::string_view fleet_key = "fleet";
constexpr std::string_view part_key_prefix = "services/";

/// @brief Entry of the index for one part.
struct part_reference
{
    std::string key;
    /// content_digest() of the part.
    std::uint64_t digest = 0;
};

/// @brief Content of the key `index`.
struct published_index
{
    core::config_version version{};
    std::vector<zone> zones;
    std::vector<wire::token_key> keys;
    /// By `preset`.
    std::array<preset_policy, 3> policies{};
    std::vector<part_reference> parts;
};

/// @brief Content of one key `services/N`.
struct published_part
{
    std::string key;
    std::vector<service> services;
    /// Line of each service, each followed by the lines of its hosts, in the order of `services`; for error messages.
    std::vector<std::uint32_t> lines;
};

using published_part_ptr = std::shared_ptr<const published_part>;

/// @brief XXH3 64-bit digest of a value's bytes.
std::uint64_t content_digest(std::string_view content) noexcept;

/// @brief Policies by `preset`, whose fields apply unless the index overrides them.
std::array<preset_policy, 3> built_in_policies() noexcept;

/// @throws config_error if the value breaks a rule of the format. Complexity: linear in the size.
published_index parse_index(const std::string& content);

/// @param zones zones of the index, to which the hosts' zone names refer
/// @throws config_error if the value breaks a rule of the format. Complexity: linear in the size.
published_part parse_part(const std::string& key, const std::string& content, const std::vector<zone>& zones);

/// @throws config_error if the value breaks a rule of the format. Complexity: linear in the size.
fleet_view parse_fleet(const std::string& content);

/// @brief Combines an index and parts after checking that ids, names and addresses are unique in all parts together.
/// @throws config_error for a duplicate. Complexity: n log n in the number of hosts.
snapshot make_snapshot(const published_index& index, const std::vector<published_part_ptr>& parts);

} // namespace daisydoor::config
