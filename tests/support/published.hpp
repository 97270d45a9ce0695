#pragma once

#include "daisydoor/config/snapshot.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace daisydoor::support
{

/// @brief What the tests publish; turned into the text of the platform's values.
struct publication
{
    std::uint64_t version = 1;
    std::vector<config::zone> zones;
    std::vector<wire::token_key> keys;
    std::vector<config::service> services;
    std::uint64_t fleet_version = 1;
    std::vector<config::fleet_instance> fleet;
};

/// @brief Writes the values `index`, `services/N` (one service each) and `fleet` as YAML.
std::map<std::string, std::string> to_values(const publication& value);

/// @brief Key with a repeated byte as its secret.
wire::token_key make_key(std::uint32_t id, std::uint8_t fill, bool signing);

} // namespace daisydoor::support
