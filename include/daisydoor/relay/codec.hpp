#pragma once

#include "daisydoor/relay/actions.hpp"

#include <optional>

namespace daisydoor::relay
{

/// @brief Encodes a message between relaying processes as one datagram.
wire::buffer encode_message(const message& value);

/// @brief Decodes and verifies a datagram. Returns nullopt for any malformed input.
std::optional<message> decode_message(wire::bytes_view datagram);

/// @brief Encodes an update that is too large for a datagram, for a transfer over HTTP.
wire::buffer encode_update(const fleet_update& value);

/// @brief Decodes and verifies an update. Returns nullopt for any malformed input.
std::optional<fleet_update> decode_update(wire::bytes_view bytes);

} // namespace daisydoor::relay
