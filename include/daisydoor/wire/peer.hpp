#pragma once

#include "daisydoor/core/ids.hpp"
#include "daisydoor/wire/datagram.hpp"
#include "daisydoor/wire/generated/peer_generated.h"

#include <optional>

/// @brief Framed messages between daisydoor processes: a 32-bit little-endian size, then a FlatBuffers peer_message.
namespace daisydoor::wire
{

constexpr std::size_t frame_prefix_size = 4;
/// Bytes of the largest frame, with its prefix: room for a message with one published value (1 MB) and a small one.
constexpr std::size_t max_frame_size = std::size_t{5} * 1024 * 1024 / 4;

/// @brief Encodes a frame with its size prefix.
buffer encode_frame(const peer_messageT& message);

/// @brief Decodes one complete frame with its size prefix. Returns nullopt for any malformed input.
std::optional<peer_messageT> decode_frame(bytes_view frame);

/// @brief Wraps a typed body in a peer message.
template <typename Body>
peer_messageT make_peer_message(core::config_version version, Body body)
{
    peer_messageT result;
    result.config_version = core::raw(version);
    result.body.Set(std::move(body));
    return result;
}

} // namespace daisydoor::wire
