#pragma once

#include "daisydoor/config/snapshot.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace daisydoor::support
{

/// @brief Configuration and fleet view that a test publishes.
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

/// @brief Creates a key whose secret is the byte `fill`, repeated.
wire::token_key make_key(std::uint32_t id, std::uint8_t fill, bool signing);

} // namespace daisydoor::support
