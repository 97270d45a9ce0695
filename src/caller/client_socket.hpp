#pragma once

#include "daisydoor/core/endpoint.hpp"
#include "daisydoor/wire/datagram.hpp"

#include <functional>

struct event;
struct event_base;

namespace daisydoor::caller
{

/// @brief UDP socket connected to the service address, so that the kernel drops datagrams from other addresses.
class client_socket
{
  public:
    using handler = std::function<void(wire::bytes_view)>;

    /// @throws caller_error with errc::socket_failed
    client_socket(event_base* loop, const core::endpoint& service, handler fn);
    ~client_socket();
    client_socket(const client_socket&) = delete;
    client_socket& operator=(const client_socket&) = delete;

    /// @brief Replaces the socket, and with it the local port. If the new one cannot be created, the old one stays in
    /// use.
    void replace();
    /// @brief Sends one datagram. Errors are ignored, since the session treats the datagram as lost.
    void send(const wire::buffer& bytes) const;

  private:
    void open();
    void close_socket() noexcept;
    void receive();

    event_base* m_loop;
    core::endpoint m_service;
    handler m_handler;
    int m_fd = -1;
    event* m_event = nullptr;
};

} // namespace daisydoor::caller
