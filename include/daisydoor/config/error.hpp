#pragma once

#include "daisydoor/core/error.hpp"

#include <cstdint>
#include <string>

namespace daisydoor::config
{

enum class errc
{
    bad_yaml = 301,
    unknown_field = 302,
    missing_field = 303,
    wrong_type = 304,
    out_of_range = 305,
    duplicate_id = 306,
    duplicate_address = 307,
    bad_address = 308,
    bad_digest = 309,
    missing_part = 310,
    bad_entry_shares = 311,
    bad_key_count = 312,
    version_decreased = 313,
    duplicate_field = 314,
    duplicate_name = 315,
    unknown_name = 316,
    value_too_large = 317,
    content_changed = 318,
};

/// @brief Errors of the published configuration, numbers 300-399.
///
/// The message has the form `KEY:LINE: FIELD: PROBLEM; allowed: WHAT`. The line is omitted if the error has no single
/// line.
class config_error : public core::error
{
  public:
    /// @param key key of the published value
    /// @param line line in the value, starting at 1; 0 if the error has no single line
    /// @param field path of the field, for example `services[0].hosts[1].slots`; may be empty
    /// @param problem what is wrong
    /// @param allowed which values are allowed instead
    config_error(errc code, const std::string& key, std::uint32_t line, const std::string& field,
                 const std::string& problem, const std::string& allowed);
};

} // namespace daisydoor::config
