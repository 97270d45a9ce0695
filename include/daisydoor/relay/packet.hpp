#pragma once

#include "daisydoor/core/endpoint.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>

/// @brief Relay of opaque packet flows: entries and agents forward packets whose payload they cannot read or change.
namespace daisydoor::relay
{

/// @brief IPv4 address in host byte order.
enum class ipv4 : std::uint32_t
{
};

/// @brief IPv4 address of an endpoint, which must be IPv4.
ipv4 ipv4_of(const core::endpoint& value) noexcept;

/// @brief The IPv4 endpoint with this address and port.
core::endpoint endpoint_of(ipv4 address, std::uint16_t port) noexcept;

/// @brief Both ends of a flow as the client sees them; identifies the flow in every process.
struct flow_key
{
    ipv4 client{};
    ipv4 service{};
    std::uint16_t client_port = 0;
    std::uint16_t service_port = 0;

    friend bool operator==(const flow_key& a, const flow_key& b) noexcept
    {
        return a.client == b.client && a.service == b.service && a.client_port == b.client_port &&
               a.service_port == b.service_port;
    }
};
static_assert(sizeof(flow_key) == 12, "a flow key is hashed as bytes and must have no padding");

/// @brief 64-bit hash of a flow; all processes compute the same one.
std::uint64_t hash_of(const flow_key& flow) noexcept;

struct flow_key_hash
{
    std::size_t operator()(const flow_key& flow) const noexcept { return hash_of(flow); }
};

/// Size of an opening packet in bytes: a header without data.
constexpr std::size_t opening_packet_size = 32;

/// @brief Whether a 32-bit sequence number is after another one.
constexpr bool is_after(std::uint32_t a, std::uint32_t b) noexcept { return static_cast<std::int32_t>(a - b) > 0; }

/// @brief Why a packet was sent to the process that handles it.
enum class packet_path : std::uint8_t
{
    /// Placed or looked up by the sender.
    direct,
    /// Copied to every agent whose host may have the flow.
    search,
};

/// @brief Header fields of one packet, decoded.
struct packet
{
    flow_key flow;
    bool syn = false;
    bool ack = false;
    bool fin = false;
    bool rst = false;
    /// The host returned the packet because it does not have or cannot accept the flow.
    bool bounced = false;
    std::uint32_t sequence = 0;
    /// Acknowledged sequence number; in a SYN the number of copies sent before.
    std::uint32_t acknowledgement = 0;
    std::uint16_t payload_size = 0;
    /// Address of the entry that the packet came through; preserved by the host in a returned packet.
    ipv4 entry{};
    /// Number of agents that have forwarded the packet; not preserved in a returned packet.
    std::uint8_t hops = 0;
    /// Not preserved in a returned packet.
    packet_path path = packet_path::direct;
};

} // namespace daisydoor::relay
