#include "standins/common/udp.hpp"

#include "daisydoor/caller/detail/socket_address.hpp"

#include <array>
#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <unistd.h>

namespace daisydoor::standins
{

namespace
{

constexpr int receive_buffer_size = 4 * 1024 * 1024;
/// Maximum number of datagrams received from a socket before the loop handles its other events.
constexpr int receive_batch = 64;

} // namespace

udp_socket::udp_socket(loop& events, const core::endpoint& local, handler fn)
    : m_fd(::socket(local.is_ipv4() ? AF_INET : AF_INET6, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)),
      m_handler(std::move(fn))
{
    sockaddr_storage address{};
    const socklen_t size = caller::detail::to_sockaddr(local, address);
    ::setsockopt(m_fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer_size, sizeof receive_buffer_size);
    if (m_fd < 0 || ::bind(m_fd, reinterpret_cast<const sockaddr*>(&address), size) != 0) {
        const std::string reason = std::strerror(errno);
        ::close(m_fd);
        throw std::runtime_error("cannot bind " + core::to_string(local) + ": " + reason);
    }
    m_event = event_new(
        events.base(), m_fd, EV_READ | EV_PERSIST,
        [](evutil_socket_t, short, void* self) { static_cast<udp_socket*>(self)->receive(); }, this);
    event_add(m_event, nullptr);
}

udp_socket::~udp_socket()
{
    event_free(m_event);
    ::close(m_fd);
}

void udp_socket::connect(const core::endpoint& peer)
{
    sockaddr_storage address{};
    const socklen_t size = caller::detail::to_sockaddr(peer, address);
    if (::connect(m_fd, reinterpret_cast<const sockaddr*>(&address), size) != 0) {
        throw std::runtime_error("cannot connect a UDP socket to " + core::to_string(peer));
    }
}

void udp_socket::send_to(const std::vector<std::uint8_t>& bytes, const core::endpoint& to) const
{
    sockaddr_storage address{};
    const socklen_t size = caller::detail::to_sockaddr(to, address);
    ::sendto(m_fd, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&address), size);
}

void udp_socket::send(const std::vector<std::uint8_t>& bytes) const
{
    if (::send(m_fd, bytes.data(), bytes.size(), 0) < 0 && errno == ECONNREFUSED && m_on_refused) {
        m_on_refused();
    }
}

void udp_socket::receive()
{
    std::array<std::uint8_t, 65536> buf{};
    for (int i = 0; i < receive_batch; ++i) {
        sockaddr_storage from{};
        socklen_t size = sizeof from;
        const auto n = ::recvfrom(m_fd, buf.data(), buf.size(), 0, reinterpret_cast<sockaddr*>(&from), &size);
        if (n >= 0) {
            m_handler(buf.data(), static_cast<std::size_t>(n), caller::detail::from_sockaddr(from));
            continue;
        }
        if (errno == ECONNREFUSED && m_on_refused) {
            m_on_refused();
        }
        return;
    }
}

} // namespace daisydoor::standins
