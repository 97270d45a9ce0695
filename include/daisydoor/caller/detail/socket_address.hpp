#pragma once

#include "daisydoor/core/endpoint.hpp"

#include <cstring>
#include <netinet/in.h>
#include <sys/socket.h>

namespace daisydoor::caller::detail
{

/// @brief Converts an endpoint to a socket address. IPv4-mapped endpoints become AF_INET.
/// @return the length of the socket address in bytes
inline socklen_t to_sockaddr(const core::endpoint& value, sockaddr_storage& out) noexcept
{
    std::memset(&out, 0, sizeof out);
    if (value.is_ipv4()) {
        auto& in = reinterpret_cast<sockaddr_in&>(out);
        in.sin_family = AF_INET;
        in.sin_port = htons(value.port);
        std::memcpy(&in.sin_addr, value.address.data() + 12, 4);
        return sizeof in;
    }
    auto& in = reinterpret_cast<sockaddr_in6&>(out);
    in.sin6_family = AF_INET6;
    in.sin6_port = htons(value.port);
    std::memcpy(&in.sin6_addr, value.address.data(), value.address.size());
    return sizeof in;
}

/// @brief Converts an AF_INET or AF_INET6 socket address; any other family gives the empty endpoint.
inline core::endpoint from_sockaddr(const sockaddr_storage& value) noexcept
{
    core::endpoint result;
    if (value.ss_family == AF_INET) {
        const auto& in = reinterpret_cast<const sockaddr_in&>(value);
        result.address[10] = 0xff;
        result.address[11] = 0xff;
        std::memcpy(result.address.data() + 12, &in.sin_addr, 4);
        result.port = ntohs(in.sin_port);
    } else if (value.ss_family == AF_INET6) {
        const auto& in = reinterpret_cast<const sockaddr_in6&>(value);
        std::memcpy(result.address.data(), &in.sin6_addr, result.address.size());
        result.port = ntohs(in.sin6_port);
    }
    return result;
}

} // namespace daisydoor::caller::detail
