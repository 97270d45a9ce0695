#include "standins/relay/packet.hpp"

#include <xxhash.h>

namespace daisydoor::standins::relay
{

namespace
{

constexpr std::size_t header_size = 32;

void put(std::string& to, std::uint32_t value, int bytes)
{
    for (int i = 0; i < bytes; ++i) {
        to += static_cast<char>(value >> (8 * static_cast<unsigned>(i)) & 255U);
    }
}

std::uint32_t get(const std::string& from, std::size_t offset, int bytes)
{
    std::uint32_t result = 0;
    for (int i = bytes - 1; i >= 0; --i) {
        result = result << 8U | static_cast<std::uint8_t>(from[offset + static_cast<std::size_t>(i)]);
    }
    return result;
}

std::string layout(const packet& value, std::uint32_t sum)
{
    std::string result;
    put(result, static_cast<std::uint32_t>(value.data.size()), 2);
    put(result, sum, 4);
    put(result, value.echo, 4);
    put(result, value.sequence, 4);
    put(result, value.acknowledgement, 4);
    put(result, value.flags, 1);
    put(result, 0, 1);
    put(result, value.destination.port, 2);
    put(result, value.source.ip, 4);
    put(result, value.source.port, 2);
    put(result, value.destination.ip, 4);
    return result + value.data;
}

std::uint32_t checksum_of(packet value)
{
    value.echo = 0;
    value.flags &= static_cast<std::uint8_t>(~flag_bounced);
    const auto bytes = layout(value, 0);
    return XXH32(bytes.data(), bytes.size(), 77) | 1U;
}

} // namespace

std::string encode(const packet& value) { return layout(value, checksum_of(value)); }

std::string encode_returned(packet value)
{
    const auto sum = value.sum;
    value.flags |= flag_bounced;
    return layout(value, sum);
}

std::optional<packet> decode(const std::string& bytes)
{
    if (bytes.size() < header_size || get(bytes, 0, 2) != bytes.size() - header_size) {
        return std::nullopt;
    }
    packet result;
    result.sum = get(bytes, 2, 4);
    result.echo = get(bytes, 6, 4);
    result.sequence = get(bytes, 10, 4);
    result.acknowledgement = get(bytes, 14, 4);
    result.flags = static_cast<std::uint8_t>(get(bytes, 18, 1));
    result.destination = {get(bytes, 28, 4), static_cast<std::uint16_t>(get(bytes, 20, 2))};
    result.source = {get(bytes, 22, 4), static_cast<std::uint16_t>(get(bytes, 26, 2))};
    result.data = bytes.substr(header_size);
    return result;
}

bool is_intact(const packet& value) { return value.sum == checksum_of(value); }

} // namespace daisydoor::standins::relay
