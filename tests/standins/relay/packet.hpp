#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

/// @brief Stand-ins of the users' platform: store, routers, clients and hosts that use the packet format. Written from
/// the users' documents, without the code under test.
namespace daisydoor::standins::relay
{

constexpr std::uint8_t flag_rst = 1;
constexpr std::uint8_t flag_syn = 2;
constexpr std::uint8_t flag_bounced = 4;
constexpr std::uint8_t flag_fin = 8;
constexpr std::uint8_t flag_ack = 64;

/// @brief One end of a flow.
struct flow_end
{
    std::uint32_t ip = 0;
    std::uint16_t port = 0;

    friend bool operator<(const flow_end& a, const flow_end& b)
    {
        return std::tie(a.ip, a.port) < std::tie(b.ip, b.port);
    }
};

/// @brief Client end and service end.
using flow_id = std::pair<flow_end, flow_end>;

struct packet
{
    flow_end source;
    flow_end destination;
    std::uint8_t flags = 0;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    /// Field that forwarders may change; a host returns it unchanged.
    std::uint32_t echo = 0;
    std::string data;
    /// Checksum; 0 in a reset that the system itself sends.
    std::uint32_t sum = 0;

    [[nodiscard]] bool has(std::uint8_t flag) const { return (flags & flag) != 0; }
    [[nodiscard]] std::uint32_t next_sequence() const
    {
        return sequence + static_cast<std::uint32_t>(data.size()) + (has(flag_syn) || has(flag_fin) ? 1 : 0);
    }
};

/// @brief Encodes with a checksum over all fields that forwarders may not change.
std::string encode(const packet& value);

/// @brief Encodes with BOUNCED set and `echo` unchanged, as a host returns a packet.
std::string encode_returned(packet value);

std::optional<packet> decode(const std::string& bytes);

/// @brief Whether the checksum shows that the packet is unchanged.
bool is_intact(const packet& value);

} // namespace daisydoor::standins::relay
