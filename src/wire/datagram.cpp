#include "daisydoor/wire/datagram.hpp"

#include <cstring>

namespace daisydoor::wire
{

wire_endpoint to_wire(const core::endpoint& value) noexcept
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    std::memcpy(&high, value.address.data(), sizeof high);
    std::memcpy(&low, value.address.data() + sizeof high, sizeof low);
    return {high, low, value.port};
}

core::endpoint from_wire(const wire_endpoint& value) noexcept
{
    core::endpoint result;
    const std::uint64_t high = value.address_high();
    const std::uint64_t low = value.address_low();
    std::memcpy(result.address.data(), &high, sizeof high);
    std::memcpy(result.address.data() + sizeof high, &low, sizeof low);
    result.port = value.port();
    return result;
}

const envelope* envelope_of(bytes_view datagram) noexcept
{
    if (datagram.size < sizeof(envelope) + sizeof(packet_header)) {
        return nullptr;
    }
    return reinterpret_cast<const envelope*>(datagram.data);
}

const packet_header* header_of(bytes_view datagram) noexcept
{
    if (envelope_of(datagram) == nullptr) {
        return nullptr;
    }
    const auto* header = reinterpret_cast<const packet_header*>(datagram.data + sizeof(envelope));
    return header->magic() == packet_magic ? header : nullptr;
}

std::optional<decoded_packet> decode_packet(bytes_view header_and_packet)
{
    if (header_and_packet.size < sizeof(packet_header) || header_and_packet.size > max_packet_size) {
        return std::nullopt;
    }
    decoded_packet result;
    std::memcpy(&result.header, header_and_packet.data, sizeof result.header);
    if (result.header.magic() != packet_magic) {
        return std::nullopt;
    }
    const auto* body = header_and_packet.data + sizeof(packet_header);
    flatbuffers::Verifier verifier(body, header_and_packet.size - sizeof(packet_header));
    if (!VerifypacketBuffer(verifier)) {
        return std::nullopt;
    }
    Getpacket(body)->UnPackTo(&result.packet);
    return result;
}

buffer encode_packet(const packet_header& header, const packetT& packet)
{
    flatbuffers::FlatBufferBuilder builder(max_packet_size);
    builder.Finish(packet::Pack(builder, &packet));
    buffer result(sizeof header + builder.GetSize());
    std::memcpy(result.data(), &header, sizeof header);
    std::memcpy(result.data() + sizeof header, builder.GetBufferPointer(), builder.GetSize());
    return result;
}

buffer encode_datagram(const envelope& env, const packet_header& header, const packetT& packet)
{
    const buffer inner = encode_packet(header, packet);
    buffer result(sizeof env + inner.size());
    std::memcpy(result.data(), &env, sizeof env);
    std::memcpy(result.data() + sizeof env, inner.data(), inner.size());
    return result;
}

} // namespace daisydoor::wire
