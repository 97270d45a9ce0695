#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// @brief Builds published values as text, for tests and benchmarks.
namespace daisydoor::test
{

struct text_host
{
    std::uint32_t id = 0;
    std::string zone;
    std::uint16_t slots = 5;
    bool draining = false;
};

struct text_service
{
    std::uint32_t id = 0;
    std::vector<text_host> hosts;
    std::string preset = "ordinary";
};

/// @brief Configuration from which values() renders the published values.
struct published_text
{
    std::uint64_t version = 1;
    /// Zone names and entry shares.
    std::vector<std::pair<std::string, std::string>> zones{{"zone-a", "0.34"}, {"zone-b", "0.33"}, {"zone-c", "0.33"}};
    /// Key ids; the secret of key N is the digit N mod 10 repeated.
    std::vector<std::uint32_t> keys{1};
    std::uint32_t signing_key = 1;
    /// Services of each part.
    std::vector<std::vector<text_service>> parts;

    /// @brief Values by key: `index` and `services/N`.
    [[nodiscard]] std::map<std::string, std::string> values() const;
    [[nodiscard]] std::string part_text(std::size_t part) const;
};

/// @brief Address of the service with this id.
std::string service_address(std::uint32_t id);
/// @brief Address of the agent on the host with this id.
std::string agent_address(std::uint32_t id);
std::string entry_address(std::uint32_t number);

/// @brief Service 1 with 7 hosts (3, 2 and 2 by zone) and service 2 with 3 hosts, in one part each.
published_text two_service_deployment(std::uint64_t version);

/// @brief Services with equal numbers of hosts, `hosts` in all, which take the zones in turn; in parts of
/// `services_per_part` services.
published_text uniform_fleet(std::size_t services, std::size_t hosts, std::size_t zones, std::size_t services_per_part);

/// @brief Fleet view with all hosts of the configuration except `missing`, and with entries that are numbered from 1
/// and take the zones in turn.
std::string fleet_text(std::uint64_t version, const published_text& configuration, std::size_t entries,
                       const std::vector<std::uint32_t>& leaving = {}, const std::vector<std::uint32_t>& missing = {});

} // namespace daisydoor::test
