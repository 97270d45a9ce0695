#pragma once

#include "settings_reader.hpp"

namespace daisydoor::runtime::detail
{

/// @brief Whether the key `role` of a settings text has a relaying role as its value; false for invalid YAML.
bool is_relay_text(const std::string& text);

/// @brief Reads the settings of a relaying role and adds problems to those of the reader.
relay_settings read_relay_settings(settings_reader& reader, const YAML::Node& node);

} // namespace daisydoor::runtime::detail
