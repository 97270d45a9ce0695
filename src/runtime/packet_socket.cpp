#include "daisydoor/runtime/detail/packet_socket.hpp"

#include "daisydoor/runtime/detail/socket_address.hpp"

#include <algorithm>
#include <unistd.h>

namespace daisydoor::runtime::detail
{

namespace
{
/// Receive buffer for bursts while the process is not scheduled on a shared CPU; the Linux kernel caps it at
/// net.core.rmem_max.
constexpr int socket_buffer_bytes = 1024 * 1024;
} // namespace

packet_socket::packet_socket(event_base* base, const core::endpoint& listen, receive_handler on_receive,
                             std::function<void()> on_batch_end)
    : m_fd(bind_socket(listen, SOCK_DGRAM)), m_readable(base, m_fd, EV_READ | EV_PERSIST, [this] { on_readable(); }),
      m_on_receive(std::move(on_receive)), m_on_batch_end(std::move(on_batch_end)),
      m_receive(std::make_unique<std::array<receive_slot, batch_size>>()),
      m_send(std::make_unique<std::array<send_slot, batch_size>>())
{
    setsockopt(m_fd, SOL_SOCKET, SO_RCVBUF, &socket_buffer_bytes, sizeof socket_buffer_bytes);
    for (std::size_t i = 0; i < batch_size; ++i) {
        auto& slot = (*m_receive)[i];
        slot.part = {slot.data.data(), buffer_size};
        m_receive_headers[i].msg_hdr.msg_iov = &slot.part;
        m_receive_headers[i].msg_hdr.msg_iovlen = 1;
        auto& out = (*m_send)[i];
        m_send_headers[i].msg_hdr.msg_iov = out.parts.data();
        m_send_headers[i].msg_hdr.msg_name = &out.destination;
        m_send_headers[i].msg_hdr.msg_namelen = sizeof out.destination;
    }
}

packet_socket::~packet_socket()
{
    m_readable.remove();
    close(m_fd);
}

void packet_socket::on_readable()
{
    for (int round = 0; round < batches_per_event; ++round) {
        for (std::size_t i = 0; i < batch_size; ++i) {
            auto& header = m_receive_headers[i].msg_hdr;
            header.msg_name = &(*m_receive)[i].source;
            header.msg_namelen = sizeof(sockaddr_in);
        }
        const int n = recvmmsg(m_fd, m_receive_headers.data(), batch_size, MSG_DONTWAIT, nullptr);
        for (int i = 0; i < n; ++i) {
            const auto index = static_cast<std::size_t>(i);
            auto& slot = (*m_receive)[index];
            ++m_counters.received;
            m_on_receive({slot.data.data(), m_receive_headers[index].msg_len},
                         relay::ipv4{ntohl(slot.source.sin_addr.s_addr)});
        }
        if (n > 0) {
            // Queued packets refer to the receive slots, which the next batch overwrites.
            m_on_batch_end();
        }
        if (n < static_cast<int>(batch_size)) {
            return;
        }
    }
}

packet_socket::send_slot& packet_socket::next_slot(relay::ipv4 to, std::uint16_t port)
{
    if (m_queued == batch_size) {
        flush();
    }
    auto& slot = (*m_send)[m_queued++];
    slot.destination = {};
    slot.destination.sin_family = AF_INET;
    slot.destination.sin_addr.s_addr = htonl(static_cast<std::uint32_t>(to));
    slot.destination.sin_port = htons(port);
    return slot;
}

void packet_socket::queue_with_routing_state(relay::ipv4 to, std::uint16_t port, wire::bytes_view packet,
                                             const platform::routing_state& state)
{
    auto& slot = next_slot(to, port);
    std::copy_n(packet.data, platform::packet_header_size, slot.header.begin());
    platform::write_routing_state(slot.header.data(), state);
    slot.parts[0] = {slot.header.data(), slot.header.size()};
    slot.parts[1] = {const_cast<std::uint8_t*>(packet.data + platform::packet_header_size),
                     packet.size - platform::packet_header_size};
    m_send_headers[m_queued - 1].msg_hdr.msg_iovlen = slot.parts[1].iov_len > 0 ? 2 : 1;
}

void packet_socket::queue_with_routing_state(relay::ipv4 to, std::uint16_t port, wire::buffer packet,
                                             const platform::routing_state& state)
{
    platform::write_routing_state(packet.data(), state);
    queue_owned(to, port, std::move(packet));
}

void packet_socket::queue(relay::ipv4 to, std::uint16_t port, wire::bytes_view bytes)
{
    auto& slot = next_slot(to, port);
    slot.parts[0] = {const_cast<std::uint8_t*>(bytes.data), bytes.size};
    m_send_headers[m_queued - 1].msg_hdr.msg_iovlen = 1;
}

void packet_socket::queue_owned(relay::ipv4 to, std::uint16_t port, wire::buffer bytes)
{
    auto& slot = next_slot(to, port);
    slot.owned = std::move(bytes);
    slot.parts[0] = {slot.owned.data(), slot.owned.size()};
    m_send_headers[m_queued - 1].msg_hdr.msg_iovlen = 1;
}

void packet_socket::flush()
{
    std::size_t first = 0;
    while (first < m_queued) {
        const int n = sendmmsg(m_fd, m_send_headers.data() + first, static_cast<unsigned>(m_queued - first), 0);
        if (n <= 0) {
            // The first datagram cannot be sent, for instance because the send buffer is full: it is dropped, and the
            // sender retransmits it as after a loss in the network.
            ++m_counters.send_failed;
            ++first;
            continue;
        }
        m_counters.sent += static_cast<std::uint64_t>(n);
        first += static_cast<std::size_t>(n);
    }
    m_queued = 0;
}

} // namespace daisydoor::runtime::detail
