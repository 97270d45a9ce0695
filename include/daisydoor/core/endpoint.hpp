#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace daisydoor::core
{

/// @brief IP address in network byte order, with IPv4 as an IPv4-mapped IPv6 address, and port in host byte order.
struct endpoint
{
    std::array<std::uint8_t, 16> address{};
    std::uint16_t port = 0;

    friend bool operator==(const endpoint& a, const endpoint& b) noexcept
    {
        return a.port == b.port && a.address == b.address;
    }
    friend bool operator!=(const endpoint& a, const endpoint& b) noexcept { return !(a == b); }
    friend bool operator<(const endpoint& a, const endpoint& b) noexcept
    {
        return a.address != b.address ? a.address < b.address : a.port < b.port;
    }

    /// @brief Whether address and port are all zero.
    [[nodiscard]] bool empty() const noexcept { return *this == endpoint{}; }
    [[nodiscard]] bool is_ipv4() const noexcept;
};

/// @brief Parses `A.B.C.D:PORT` or `[IPV6]:PORT`.
/// @throws core_error with errc::bad_endpoint if the text is not a numeric IP address and a port from 1 to 65535.
endpoint parse_endpoint(std::string_view text);

/// @brief Formats an endpoint in the form that parse_endpoint() reads.
std::string to_string(const endpoint& value);

} // namespace daisydoor::core
