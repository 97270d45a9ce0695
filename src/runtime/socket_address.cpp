#include "daisydoor/runtime/detail/socket_address.hpp"

#include "daisydoor/runtime/error.hpp"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <unistd.h>

namespace daisydoor::runtime::detail
{

namespace
{
constexpr std::size_t ipv4_offset = 12;
} // namespace

void to_socket_address(const core::endpoint& value, socket_address& result) noexcept
{
    if (value.is_ipv4()) {
        auto& address = reinterpret_cast<sockaddr_in&>(result.storage);
        address.sin_family = AF_INET;
        address.sin_port = htons(value.port);
        std::memcpy(&address.sin_addr, value.address.data() + ipv4_offset, sizeof address.sin_addr);
        result.size = sizeof address;
        return;
    }
    auto& address = reinterpret_cast<sockaddr_in6&>(result.storage);
    address.sin6_family = AF_INET6;
    address.sin6_port = htons(value.port);
    std::memcpy(&address.sin6_addr, value.address.data(), sizeof address.sin6_addr);
    result.size = sizeof address;
}

core::endpoint from_socket_address(const sockaddr_storage& value) noexcept
{
    core::endpoint result;
    if (value.ss_family == AF_INET) {
        const auto& address = reinterpret_cast<const sockaddr_in&>(value);
        result.address[ipv4_offset - 1] = 0xff;
        result.address[ipv4_offset - 2] = 0xff;
        std::memcpy(result.address.data() + ipv4_offset, &address.sin_addr, sizeof address.sin_addr);
        result.port = ntohs(address.sin_port);
    } else if (value.ss_family == AF_INET6) {
        const auto& address = reinterpret_cast<const sockaddr_in6&>(value);
        std::memcpy(result.address.data(), &address.sin6_addr, sizeof address.sin6_addr);
        result.port = ntohs(address.sin6_port);
    }
    return result;
}

std::string ip_of(const core::endpoint& value)
{
    const std::string text = core::to_string(value);
    const std::string ip = text.substr(0, text.rfind(':'));
    return ip.front() == '[' ? ip.substr(1, ip.size() - 2) : ip;
}

int bind_socket(const core::endpoint& value, int type)
{
    socket_address address;
    to_socket_address(value, address);
    const int fd = socket(address.storage.ss_family, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    if (fd >= 0 && type == SOCK_STREAM) {
        // Lets a restarted process bind its port while connections of the previous run are in TIME_WAIT.
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    }
    if (fd < 0 || bind(fd, address.get(), address.size) != 0) {
        const std::string reason = std::strerror(errno);
        if (fd >= 0) {
            close(fd);
        }
        throw runtime_error(errc::bind_failed, "cannot bind " + core::to_string(value) + ": " + reason);
    }
    return fd;
}

} // namespace daisydoor::runtime::detail
