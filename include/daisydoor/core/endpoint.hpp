#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace daisydoor::core
{

/// @brief IP address (IPv4 in its IPv4-mapped form) and port.
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

    [[nodiscard]] bool empty() const noexcept { return *this == endpoint{}; }
    [[nodiscard]] bool is_ipv4() const noexcept;
};

/// @brief Parses `A.B.C.D:PORT` or `[IPV6]:PORT`.
/// @throws core_error with errc::bad_endpoint if the text is not an IP number and a port from 1 to 65535.
endpoint parse_endpoint(std::string_view text);

/// @brief Formats an endpoint in the form that parse_endpoint() reads.
std::string to_string(const endpoint& value);

} // namespace daisydoor::core
