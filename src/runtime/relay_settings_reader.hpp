#pragma once

#include "settings_reader.hpp"

namespace daisydoor::runtime::detail
{

/// @brief Whether a settings text names a relaying role; false for a text that cannot be parsed.
bool is_relay_text(const std::string& text);

/// @brief Reads the settings of a relaying role; problems are collected in the reader.
relay_settings read_relay_settings(settings_reader& reader, const YAML::Node& node);

} // namespace daisydoor::runtime::detail
