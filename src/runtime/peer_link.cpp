#include "daisydoor/runtime/detail/peer_link.hpp"

#include "daisydoor/runtime/detail/socket_address.hpp"
#include "daisydoor/runtime/error.hpp"
#include "daisydoor/runtime/events.hpp"
#include "daisydoor/runtime/kernel.hpp"

#include <array>
#include <event2/buffer.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace daisydoor::runtime::detail
{

namespace
{

/// Fits one whole configuration for 62,000 hosts, the size planned for in two years (about 7 MB).
constexpr std::size_t max_output_bytes = std::size_t{12} * 1024 * 1024;

void disable_nagle(int fd) noexcept
{
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

} // namespace

peer_link::peer_link(event_base* base, int fd, const core::endpoint& remote, const wire::helloT& own_hello,
                     link_counters& counters, link_callbacks callbacks)
    : m_remote(remote), m_dialled(fd < 0), m_counters(counters), m_callbacks(std::move(callbacks)),
      m_last_received(core::clock::now()), m_last_sent(m_last_received),
      m_buffer(bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS))
{
    if (!m_buffer) {
        throw runtime_error(errc::event_loop_failed, "libevent cannot create a buffered connection");
    }
    bufferevent_setcb(
        m_buffer.get(),
        [](bufferevent*, void* self) {
            run_and_log_exceptions([self] { static_cast<peer_link*>(self)->on_readable(); });
        },
        nullptr,
        [](bufferevent*, short what, void* self) {
            run_and_log_exceptions([self, what] { static_cast<peer_link*>(self)->on_event(what); });
        },
        this);
    bufferevent_enable(m_buffer.get(), EV_READ | EV_WRITE);
    if (m_dialled) {
        socket_address address;
        to_socket_address(remote, address);
        bufferevent_socket_connect(m_buffer.get(), address.get(), static_cast<int>(address.size));
    } else {
        disable_nagle(fd);
    }
    send(wire::make_peer_message(core::config_version{}, own_hello));
}

void peer_link::send(const wire::peer_messageT& message)
{
    if (m_closed) {
        ++m_counters.undeliverable;
        return;
    }
    const wire::buffer frame = wire::encode_frame(message);
    if (frame.size() > wire::max_frame_size) {
        ++m_counters.undeliverable;
        return;
    }
    evbuffer* output = bufferevent_get_output(m_buffer.get());
    if (evbuffer_get_length(output) + frame.size() > max_output_bytes) {
        ++m_counters.output_full;
        write_rate_limited_log(m_counters.log_limit, log_event::link_output_full, core::to_string(m_remote));
        close();
        return;
    }
    evbuffer_add(output, frame.data(), frame.size());
    ++m_counters.frames_sent;
    m_counters.bytes_sent += frame.size();
    m_last_sent = core::clock::now();
}

void peer_link::close()
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    bufferevent_disable(m_buffer.get(), EV_READ | EV_WRITE);
    ++m_counters.closed;
    m_callbacks.on_closed(*this);
}

void peer_link::on_readable()
{
    evbuffer* input = bufferevent_get_input(m_buffer.get());
    m_last_received = core::clock::now();
    std::array<std::uint8_t, std::size_t{16} * 1024> part{};
    while (!m_closed) {
        const int n = evbuffer_remove(input, part.data(), part.size());
        if (n <= 0) {
            break;
        }
        const bool is_valid = m_reader.append({part.data(), static_cast<std::size_t>(n)},
                                              [this](wire::peer_messageT message) { on_frame(std::move(message)); });
        if (!is_valid) {
            ++m_counters.bad_frames;
            write_rate_limited_log(m_counters.log_limit, log_event::link_bad_frame, core::to_string(m_remote));
            close();
        }
    }
}

void peer_link::on_event(short what)
{
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        disable_nagle(bufferevent_getfd(m_buffer.get()));
        return;
    }
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) != 0) {
        close();
    }
}

void peer_link::on_frame(wire::peer_messageT message)
{
    if (m_closed) {
        return;
    }
    ++m_counters.frames_received;
    const auto* hello = message.body.Ashello();
    if (!m_hello && hello == nullptr) {
        ++m_counters.bad_frames;
        write_rate_limited_log(m_counters.log_limit, log_event::link_bad_frame,
                               core::to_string(m_remote) + " sent another frame before its hello");
        close();
        return;
    }
    if (!m_hello) {
        if (!m_dialled && hello->listen) {
            m_remote = wire::from_wire(*hello->listen);
        }
        m_hello = std::move(*message.body.Ashello());
        m_callbacks.on_hello(*this);
        return;
    }
    m_callbacks.on_message(*this, std::move(message));
}

} // namespace daisydoor::runtime::detail
