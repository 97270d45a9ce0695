#pragma once

#include "daisydoor/relay/actions.hpp"

#include <optional>

namespace daisydoor::relay
{

/// @brief Encodes a message between relaying processes as one datagram.
wire::buffer encode_message(const message& value);

/// @brief Decodes and verifies a datagram. Returns nullopt for any malformed input.
std::optional<message> decode_message(wire::bytes_view datagram);

} // namespace daisydoor::relay
