#pragma once

#include "daisydoor/core/endpoint.hpp"

#include <sys/socket.h>

namespace daisydoor::runtime::detail
{

/// @brief Socket address in the family of an endpoint.
struct socket_address
{
    sockaddr_storage storage{};
    socklen_t size = 0;

    [[nodiscard]] const sockaddr* get() const noexcept { return reinterpret_cast<const sockaddr*>(&storage); }
};

/// @brief Converts to `sockaddr_in` for an IPv4 endpoint and to `sockaddr_in6` otherwise.
void to_socket_address(const core::endpoint& value, socket_address& result) noexcept;

core::endpoint from_socket_address(const sockaddr_storage& value) noexcept;

/// @brief IP address of an endpoint without its port, for HTTP connections.
std::string ip_of(const core::endpoint& value);

/// @brief Creates a non-blocking socket bound to an endpoint.
/// @throws runtime_error with errc::bind_failed.
int bind_socket(const core::endpoint& value, int type);

} // namespace daisydoor::runtime::detail
