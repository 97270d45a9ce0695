#pragma once

#include "daisydoor/relay/packet.hpp"
#include "daisydoor/runtime/detail/io_event.hpp"
#include "daisydoor/wire/datagram.hpp"
#include "platform/packet.hpp"

#include <array>
#include <functional>
#include <memory>
#include <netinet/in.h>

namespace daisydoor::runtime::detail
{

struct packet_counters
{
    std::uint64_t received = 0;
    std::uint64_t malformed = 0;
    std::uint64_t sent = 0;
    std::uint64_t send_failed = 0;
};

/// @brief IPv4 UDP socket that receives and sends datagrams in batches, without an allocation per datagram.
class packet_socket
{
  public:
    /// @brief Handles a received datagram, whose bytes stay valid until `on_batch_end` returns.
    using receive_handler = std::function<void(wire::bytes_view, relay::ipv4 from)>;

    /// @param on_batch_end called after each received batch; must call flush() of each socket on which bytes of the
    /// batch are queued
    /// @throws runtime_error with errc::bind_failed.
    packet_socket(event_base* base, const core::endpoint& listen, receive_handler on_receive,
                  std::function<void()> on_batch_end);
    ~packet_socket();
    packet_socket(const packet_socket&) = delete;
    packet_socket& operator=(const packet_socket&) = delete;

    void start() { m_readable.add(); }

    /// @brief Queues a packet with its routing state replaced; the header is copied, and the payload must stay valid
    /// until flush().
    void queue_with_routing_state(relay::ipv4 to, std::uint16_t port, wire::bytes_view packet,
                                  const platform::routing_state& state);

    /// @brief Queues a packet with its routing state replaced; the socket takes ownership of the bytes.
    void queue_with_routing_state(relay::ipv4 to, std::uint16_t port, wire::buffer packet,
                                  const platform::routing_state& state);

    /// @brief Queues a packet unchanged; the bytes must stay valid until flush().
    void queue(relay::ipv4 to, std::uint16_t port, wire::bytes_view bytes);

    /// @brief Queues a packet unchanged; the socket takes ownership of the bytes.
    void queue_owned(relay::ipv4 to, std::uint16_t port, wire::buffer bytes);

    /// @brief Sends all queued datagrams; one that cannot be sent is dropped and counted.
    void flush();

    [[nodiscard]] packet_counters& counters() noexcept { return m_counters; }

  private:
    static constexpr std::size_t batch_size = 32;
    static constexpr int batches_per_event = 4;
    /// One byte more than the largest valid packet, so that a larger one can be detected.
    static constexpr std::size_t buffer_size = platform::max_packet_size + 1;

    struct receive_slot
    {
        std::array<std::uint8_t, buffer_size> data;
        sockaddr_in source;
        iovec part;
    };

    struct send_slot
    {
        sockaddr_in destination{};
        std::array<std::uint8_t, platform::packet_header_size> header{};
        std::array<iovec, 2> parts{};
        wire::buffer owned;
    };

    void on_readable();
    send_slot& next_slot(relay::ipv4 to, std::uint16_t port);

    int m_fd;
    io_event m_readable;
    receive_handler m_on_receive;
    std::function<void()> m_on_batch_end;
    std::unique_ptr<std::array<receive_slot, batch_size>> m_receive;
    std::array<mmsghdr, batch_size> m_receive_headers{};
    std::unique_ptr<std::array<send_slot, batch_size>> m_send;
    std::array<mmsghdr, batch_size> m_send_headers{};
    std::size_t m_queued = 0;
    packet_counters m_counters;
};

} // namespace daisydoor::runtime::detail
