#pragma once

#include "daisydoor/core/endpoint.hpp"

#include <sys/socket.h>

namespace daisydoor::runtime::detail
{

/// @brief IPv4 or IPv6 socket address with its size.
struct socket_address
{
    sockaddr_storage storage{};
    socklen_t size = 0;

    [[nodiscard]] const sockaddr* get() const noexcept { return reinterpret_cast<const sockaddr*>(&storage); }
};

/// @brief Converts to `sockaddr_in` for an IPv4 endpoint and to `sockaddr_in6` otherwise.
void to_socket_address(const core::endpoint& value, socket_address& result) noexcept;

/// @returns an empty endpoint for another family than IPv4 and IPv6
core::endpoint from_socket_address(const sockaddr_storage& value) noexcept;

/// @brief Text of the IP address of an endpoint, without port and brackets.
std::string ip_of(const core::endpoint& value);

/// @brief Creates a non-blocking socket and binds it to an endpoint.
/// @param type SOCK_STREAM or SOCK_DGRAM
/// @throws runtime_error with errc::bind_failed.
int bind_socket(const core::endpoint& value, int type);

} // namespace daisydoor::runtime::detail
