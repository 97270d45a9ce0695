#include "daisydoor/runtime/detail/udp_task.hpp"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <ctime>
#include <unistd.h>

namespace daisydoor::runtime::detail
{

namespace
{

constexpr std::int64_t nanoseconds_per_second = 1'000'000'000;
constexpr std::int64_t nanoseconds_per_millisecond = 1'000'000;
/// Buffer for bursts; the Linux kernel caps it at net.core.rmem_max and net.core.wmem_max.
constexpr int socket_buffer_bytes = 4 * 1024 * 1024;

std::int64_t read_clock(clockid_t clock) noexcept
{
    timespec value{};
    clock_gettime(clock, &value);
    return value.tv_sec * nanoseconds_per_second + value.tv_nsec;
}

/// Time at which the Linux kernel received a datagram, in nanoseconds of CLOCK_REALTIME, or 0 if it is not available.
std::int64_t receive_time(msghdr& header) noexcept
{
    for (cmsghdr* it = CMSG_FIRSTHDR(&header); it != nullptr; it = CMSG_NXTHDR(&header, it)) {
        if (it->cmsg_level == SOL_SOCKET && it->cmsg_type == SCM_TIMESTAMPNS) {
            timespec value{};
            std::memcpy(&value, CMSG_DATA(it), sizeof value);
            return value.tv_sec * nanoseconds_per_second + value.tv_nsec;
        }
    }
    return 0;
}

} // namespace

udp_task::udp_task(kernel& owner, const core::endpoint& listen)
    : m_kernel(owner), m_fd(bind_socket(listen, SOCK_DGRAM)),
      m_readable(owner.base(), m_fd, EV_READ | EV_PERSIST, [this] { on_readable(); }),
      m_receive(std::make_unique<std::array<receive_slot, batch_size>>()),
      m_send(std::make_unique<std::array<send_slot, batch_size>>())
{
    const int on = 1;
    setsockopt(m_fd, SOL_SOCKET, SO_TIMESTAMPNS, &on, sizeof on);
    setsockopt(m_fd, SOL_SOCKET, SO_RCVBUF, &socket_buffer_bytes, sizeof socket_buffer_bytes);
    setsockopt(m_fd, SOL_SOCKET, SO_SNDBUF, &socket_buffer_bytes, sizeof socket_buffer_bytes);
    for (std::size_t i = 0; i < batch_size; ++i) {
        auto& slot = (*m_receive)[i];
        slot.part = {slot.data.data(), buffer_size};
        m_receive_headers[i].msg_hdr.msg_iov = &slot.part;
        m_receive_headers[i].msg_hdr.msg_iovlen = 1;
        m_send_headers[i].msg_hdr.msg_iov = &(*m_send)[i].part;
        m_send_headers[i].msg_hdr.msg_iovlen = 1;
    }
    owner.register_handler<outgoing_datagram>(task_names::udp, [this](outgoing_datagram& message) { queue(message); });
    owner.register_handler<collect_metrics>(task_names::udp, [this](collect_metrics& message) { collect(message); });
    owner.register_handler<flush_datagrams>(task_names::udp, [this](flush_datagrams&) { flush(); });
}

void udp_task::collect(collect_metrics& message) const
{
    message.samples = {{"datagrams_received", "", static_cast<double>(m_counters.received)},
                       {"datagrams_sent", "", static_cast<double>(m_counters.sent)},
                       {"datagrams_send_failed", "", static_cast<double>(m_counters.send_failed)},
                       {"datagrams_oversized", "", static_cast<double>(m_counters.oversized)}};
}

udp_task::~udp_task()
{
    m_readable.remove();
    close(m_fd);
}

void udp_task::start()
{
    m_role = m_kernel.find_handler<received_datagram>(task_names::role);
    m_readable.add();
}

void udp_task::on_readable()
{
    for (int i = 0; i < batches_per_event; ++i) {
        const int n = receive_batch();
        if (n < static_cast<int>(batch_size)) {
            break;
        }
    }
}

int udp_task::receive_batch()
{
    for (std::size_t i = 0; i < batch_size; ++i) {
        auto& header = m_receive_headers[i].msg_hdr;
        auto& slot = (*m_receive)[i];
        header.msg_name = &slot.source;
        header.msg_namelen = sizeof slot.source;
        header.msg_control = slot.control.data();
        header.msg_controllen = slot.control.size();
    }
    const int n = recvmmsg(m_fd, m_receive_headers.data(), batch_size, MSG_DONTWAIT, nullptr);
    const std::int64_t now_ns = n > 0 ? read_clock(CLOCK_REALTIME) : 0;
    for (int i = 0; i < n; ++i) {
        deliver(static_cast<std::size_t>(i), now_ns);
    }
    // The queued datagrams refer to the receive slots, which the next batch overwrites.
    flush();
    return n;
}

void udp_task::deliver(std::size_t index, std::int64_t now_ns)
{
    auto& slot = (*m_receive)[index];
    ++m_counters.received;
    const std::size_t size = m_receive_headers[index].msg_len;
    if (size > wire::max_datagram_size) {
        ++m_counters.oversized;
        return;
    }
    const std::int64_t received_ns = receive_time(m_receive_headers[index].msg_hdr);
    const std::int64_t age_ns = received_ns == 0 ? 0 : std::max<std::int64_t>(0, now_ns - received_ns);
    received_datagram message{slot.data.data(), size, from_socket_address(slot.source),
                              core::milliseconds(age_ns / nanoseconds_per_millisecond)};
    m_role.call(message);
}

void udp_task::queue(outgoing_datagram& message)
{
    if (m_queued == batch_size) {
        flush();
    }
    auto& slot = (*m_send)[m_queued];
    to_socket_address(message.destination, slot.destination);
    if (message.owned.empty()) {
        slot.part = {const_cast<std::uint8_t*>(message.bytes.data), message.bytes.size};
    } else {
        slot.owned = std::move(message.owned);
        slot.part = {slot.owned.data(), slot.owned.size()};
    }
    auto& header = m_send_headers[m_queued].msg_hdr;
    header.msg_name = &slot.destination.storage;
    header.msg_namelen = slot.destination.size;
    ++m_queued;
}

void udp_task::flush()
{
    std::size_t first = 0;
    while (first < m_queued) {
        const int n = sendmmsg(m_fd, m_send_headers.data() + first, static_cast<unsigned>(m_queued - first), 0);
        if (n > 0) {
            m_counters.sent += static_cast<std::uint64_t>(n);
            first += static_cast<std::size_t>(n);
            continue;
        }
        if (errno == EINTR) {
            continue;
        }
        // A datagram that cannot be sent is dropped: the caller retransmits it, and waiting would delay the others.
        ++m_counters.send_failed;
        write_rate_limited_log(m_send_log_limit, log_event::datagram_send_failed, std::strerror(errno));
        ++first;
    }
    m_queued = 0;
}

} // namespace daisydoor::runtime::detail
