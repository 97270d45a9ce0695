#include "caller/client_socket.hpp"

#include "daisydoor/caller/detail/socket_address.hpp"
#include "daisydoor/caller/error.hpp"

#include <array>
#include <cerrno>
#include <cstring>
#include <event2/event.h>
#include <unistd.h>

namespace daisydoor::caller
{

namespace
{

/// Maximum number of datagrams received per loop iteration, so that one busy session does not starve the other events.
constexpr int receive_batch = 32;

int connect_to(const core::endpoint& service)
{
    sockaddr_storage address{};
    const socklen_t size = detail::to_sockaddr(service, address);
    const int fd = ::socket(address.ss_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0 || ::connect(fd, reinterpret_cast<const sockaddr*>(&address), size) != 0) {
        const std::string reason = std::strerror(errno);
        if (fd >= 0) {
            ::close(fd);
        }
        throw caller_error(errc::socket_failed,
                           "cannot open a UDP socket to " + core::to_string(service) + ": " + reason);
    }
    return fd;
}

} // namespace

client_socket::client_socket(event_base* loop, const core::endpoint& service, handler fn)
    : m_loop(loop), m_service(service), m_handler(std::move(fn))
{
    open();
}

client_socket::~client_socket() { close_socket(); }

void client_socket::open()
{
    const int fd = connect_to(m_service);
    event* ev = event_new(
        m_loop, fd, EV_READ | EV_PERSIST,
        [](evutil_socket_t, short, void* self) { static_cast<client_socket*>(self)->receive(); }, this);
    if (ev == nullptr || event_add(ev, nullptr) != 0) {
        if (ev != nullptr) {
            event_free(ev);
        }
        ::close(fd);
        throw caller_error(errc::socket_failed, "libevent could not register the UDP socket");
    }
    close_socket();
    m_fd = fd;
    m_event = ev;
}

void client_socket::close_socket() noexcept
{
    if (m_event != nullptr) {
        event_free(m_event);
        m_event = nullptr;
    }
    if (m_fd >= 0) {
        ::close(m_fd);
        m_fd = -1;
    }
}

void client_socket::replace()
{
    try {
        open();
    } catch (const caller_error&) {
        // For instance no free file descriptors: the old socket stays in use, and the session asks again later.
    }
}

void client_socket::send(const wire::buffer& bytes) const { ::send(m_fd, bytes.data(), bytes.size(), 0); }

void client_socket::receive()
{
    std::array<std::uint8_t, wire::max_packet_size + 1> buf{};
    for (int i = 0; i < receive_batch && m_fd >= 0; ++i) {
        const auto n = ::recv(m_fd, buf.data(), buf.size(), 0);
        if (n < 0) {
            return;
        }
        m_handler({buf.data(), static_cast<std::size_t>(n)});
    }
}

} // namespace daisydoor::caller
