#pragma once

#include "daisydoor/core/time.hpp"
#include "daisydoor/runtime/detail/frame_reader.hpp"
#include "daisydoor/runtime/events.hpp"

#include <event2/bufferevent.h>
#include <functional>
#include <memory>
#include <optional>

namespace daisydoor::runtime::detail
{

struct link_counters
{
    std::uint64_t accepted = 0;
    std::uint64_t dialled = 0;
    std::uint64_t closed = 0;
    std::uint64_t bad_frames = 0;
    std::uint64_t output_full = 0;
    /// Messages that were not sent: there was no open link to the receiver, or the frame was too large.
    std::uint64_t undeliverable = 0;
    std::uint64_t frames_received = 0;
    std::uint64_t frames_sent = 0;
    std::uint64_t bytes_sent = 0;
    /// Limit for log events that any connecting process can cause.
    rate_limit log_limit{log_interval_ns};
};

class peer_link;

struct link_callbacks
{
    std::function<void(peer_link&)> on_hello;
    std::function<void(peer_link&, wire::peer_messageT)> on_message;
    std::function<void(peer_link&)> on_closed;
};

/// @brief One TCP connection with size-prefixed frames. Each side sends a hello as its first frame.
class peer_link
{
  public:
    /// @param fd accepted socket, or -1 to dial `remote`
    /// @param remote listen endpoint of the process to dial, or source address of the accepted connection
    /// @param counters counters of all links of the process
    /// @throws runtime_error with errc::event_loop_failed if libevent cannot create the connection.
    peer_link(event_base* base, int fd, const core::endpoint& remote, const wire::helloT& own_hello,
              link_counters& counters, link_callbacks callbacks);

    /// @brief Queues a message for sending, or closes the link if its output buffer would become too large.
    void send(const wire::peer_messageT& message);
    /// @brief Closes the connection and calls on_closed, once.
    void close();

    [[nodiscard]] bool is_dialled() const noexcept { return m_dialled; }
    [[nodiscard]] bool is_closed() const noexcept { return m_closed; }
    [[nodiscard]] const std::optional<wire::helloT>& hello() const noexcept { return m_hello; }
    /// @brief Listen endpoint of the peer: the dialled endpoint, or the one in the hello of a peer that dialled. Before
    /// that hello, the source address of the connection.
    [[nodiscard]] const core::endpoint& remote() const noexcept { return m_remote; }
    [[nodiscard]] core::time_point last_received() const noexcept { return m_last_received; }
    [[nodiscard]] core::time_point last_sent() const noexcept { return m_last_sent; }

  private:
    struct bufferevent_deleter
    {
        void operator()(bufferevent* value) const noexcept { bufferevent_free(value); }
    };

    void on_readable();
    void on_event(short what);
    void on_frame(wire::peer_messageT message);

    core::endpoint m_remote;
    bool m_dialled;
    bool m_closed = false;
    link_counters& m_counters;
    link_callbacks m_callbacks;
    frame_reader m_reader;
    std::optional<wire::helloT> m_hello;
    core::time_point m_last_received;
    core::time_point m_last_sent;
    std::unique_ptr<bufferevent, bufferevent_deleter> m_buffer;
};

} // namespace daisydoor::runtime::detail
