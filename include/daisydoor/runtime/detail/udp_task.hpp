#pragma once

#include "daisydoor/runtime/detail/io_event.hpp"
#include "daisydoor/runtime/detail/socket_address.hpp"
#include "daisydoor/runtime/events.hpp"
#include "daisydoor/runtime/messages.hpp"

#include <array>
#include <memory>
#include <netinet/in.h>

namespace daisydoor::runtime::detail
{

struct udp_counters
{
    std::uint64_t received = 0;
    std::uint64_t sent = 0;
    std::uint64_t send_failed = 0;
    std::uint64_t oversized = 0;
};

/// @brief Owns the UDP socket: receives and sends datagrams in batches, without an allocation per datagram.
///
/// Handles outgoing_datagram and flush_datagrams, and calls the role task's handler for received_datagram.
class udp_task : public task
{
  public:
    /// @throws runtime_error with errc::bind_failed.
    udp_task(kernel& owner, const core::endpoint& listen);
    ~udp_task() override;

    void start() override;

  private:
    static constexpr std::size_t batch_size = 64;
    /// One byte more than the largest valid datagram, so that a larger one can be detected.
    static constexpr std::size_t buffer_size = wire::max_datagram_size + 1;
    /// Bound of the full batches read per event, so that other events are not delayed.
    static constexpr int batches_per_event = 8;

    struct receive_slot
    {
        alignas(8) std::array<std::uint8_t, (buffer_size + 7) / 8 * 8> data;
        sockaddr_storage source;
        alignas(8) std::array<char, 64> control;
        iovec part;
    };

    struct send_slot
    {
        socket_address destination;
        iovec part{};
        wire::buffer owned;
    };

    void on_readable();
    int receive_batch();
    void deliver(std::size_t index, std::int64_t now_ns);
    void queue(outgoing_datagram& message);
    void flush();
    void collect(collect_metrics& message) const;

    kernel& m_kernel;
    int m_fd;
    io_event m_readable;
    std::unique_ptr<std::array<receive_slot, batch_size>> m_receive;
    std::array<mmsghdr, batch_size> m_receive_headers{};
    std::unique_ptr<std::array<send_slot, batch_size>> m_send;
    std::array<mmsghdr, batch_size> m_send_headers{};
    std::size_t m_queued = 0;
    handler_ref<received_datagram> m_role;
    udp_counters m_counters;
    rate_limit m_send_log_limit{log_interval_ns};
};

} // namespace daisydoor::runtime::detail
