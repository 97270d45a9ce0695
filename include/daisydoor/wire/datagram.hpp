#pragma once

#include "daisydoor/core/endpoint.hpp"
#include "daisydoor/wire/generated/data_generated.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

/// @brief Layout, encoding and checked decoding of datagrams: [envelope][packet_header][packet].
namespace daisydoor::wire
{

using buffer = std::vector<std::uint8_t>;

constexpr std::uint32_t packet_magic = 0x44647231;
/// Bytes of header and packet together; below the MTU of common tunnels.
constexpr std::size_t max_packet_size = 1200;
constexpr std::size_t max_datagram_size = sizeof(envelope) + max_packet_size;
/// Bytes of payload in one segment of an answer or event; leaves room for the header and the FlatBuffers tables.
constexpr std::size_t max_segment_payload_size = 1000;

/// Sequence of a keepalive_ack that acknowledges a subscribe; keepalives are numbered from 1.
constexpr std::uint32_t subscribe_ack_sequence = 0;
/// Sequence of a keepalive_ack that acknowledges a close.
constexpr std::uint32_t close_ack_sequence = 0xffffffff;

/// @brief Read-only view of a byte range; does not own it.
struct bytes_view
{
    const std::uint8_t* data = nullptr;
    std::size_t size = 0;
};

wire_endpoint to_wire(const core::endpoint& value) noexcept;
core::endpoint from_wire(const wire_endpoint& value) noexcept;

/// @brief Header and packet of a datagram. The packet has passed the FlatBuffers verifier.
struct decoded_packet
{
    packet_header header;
    packetT packet;
};

/// @brief Returns the envelope at the start of a datagram, or nullptr if it is too short for envelope and header.
const envelope* envelope_of(bytes_view datagram) noexcept;

/// @brief Returns the header that follows the envelope, or nullptr if the datagram is too short or the magic is wrong.
const packet_header* header_of(bytes_view datagram) noexcept;

/// @brief Decodes header and packet (without envelope). Returns nullopt for any malformed input.
/// Complexity: linear in the size.
std::optional<decoded_packet> decode_packet(bytes_view header_and_packet);

/// @brief Encodes header and packet, without envelope.
buffer encode_packet(const packet_header& header, const packetT& packet);

/// @brief Encodes a whole datagram with its envelope.
buffer encode_datagram(const envelope& env, const packet_header& header, const packetT& packet);

/// @brief Wraps a typed body in a packet.
template <typename Body>
packetT make_packet(Body body)
{
    packetT result;
    result.body.Set(std::move(body));
    return result;
}

} // namespace daisydoor::wire
