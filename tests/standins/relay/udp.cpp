#include "standins/relay/udp.hpp"

#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace daisydoor::standins::relay
{

sockaddr_in address_of(const core::endpoint& value)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_addr.s_addr = htonl(ip_of(value));
    result.sin_port = htons(value.port);
    return result;
}

std::uint32_t ip_of(const core::endpoint& value)
{
    std::uint32_t result = 0;
    for (std::size_t i = value.address.size() - 4; i < value.address.size(); ++i) {
        result = result << 8U | value.address.at(i);
    }
    return result;
}

udp_socket::udp_socket(loop& owner, const core::endpoint& listen, handler on_packet)
    : m_fd(socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)), m_on_packet(std::move(on_packet))
{
    const auto address = address_of(listen);
    // Between its fork and exec a child process may still have the previous host's socket open.
    const int on = 1;
    setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (bind(m_fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        close(m_fd);
        throw std::runtime_error("cannot bind a UDP socket to " + core::to_string(listen));
    }
    m_event = event_new(
        owner.base(), m_fd, EV_READ | EV_PERSIST,
        [](evutil_socket_t, short, void* self) { static_cast<udp_socket*>(self)->receive(); }, this);
    event_add(m_event, nullptr);
}

udp_socket::~udp_socket()
{
    event_free(m_event);
    close(m_fd);
}

void udp_socket::send(const core::endpoint& to, const std::string& bytes) const
{
    const auto address = address_of(to);
    sendto(m_fd, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&address), sizeof address);
}

void udp_socket::receive()
{
    std::array<char, 2048> buf{};
    for (;;) {
        const auto n = recv(m_fd, buf.data(), buf.size(), 0);
        if (n < 0) {
            return;
        }
        if (const auto value = decode(std::string(buf.data(), static_cast<std::size_t>(n)))) {
            m_on_packet(*value);
        }
    }
}

} // namespace daisydoor::standins::relay
