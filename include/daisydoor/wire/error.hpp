#pragma once

#include "daisydoor/core/error.hpp"

namespace daisydoor::wire
{

enum class errc
{
    no_signing_key = 201,
    mac_failed = 202,
    bad_frame = 203,
};

/// @brief Errors of codecs and tokens, numbers 200-299.
class wire_error : public core::error
{
  public:
    wire_error(errc code, const std::string& what) : error("wire", static_cast<int>(code), what) {}
};

} // namespace daisydoor::wire
