#pragma once

#include "daisydoor/core/endpoint.hpp"
#include "standins/common/loop.hpp"

#include <cstdint>
#include <functional>
#include <vector>

namespace daisydoor::standins
{

/// @brief Non-blocking UDP socket on the loop.
class udp_socket
{
  public:
    using handler = std::function<void(const std::uint8_t* data, std::size_t size, const core::endpoint& from)>;

    /// @brief Binds to `local`. @throws std::runtime_error if that fails
    udp_socket(loop& events, const core::endpoint& local, handler fn);
    ~udp_socket();
    udp_socket(const udp_socket&) = delete;
    udp_socket& operator=(const udp_socket&) = delete;

    /// @brief Connects the socket to `peer`, so that the kernel reports a closed port as ECONNREFUSED.
    /// @throws std::runtime_error if that fails
    void connect(const core::endpoint& peer);
    /// @brief Sets a handler for ECONNREFUSED on a connected socket.
    void on_refused(std::function<void()> fn) { m_on_refused = std::move(fn); }
    void send_to(const std::vector<std::uint8_t>& bytes, const core::endpoint& to) const;
    void send(const std::vector<std::uint8_t>& bytes) const;

  private:
    void receive();

    int m_fd;
    event* m_event = nullptr;
    handler m_handler;
    std::function<void()> m_on_refused;
};

} // namespace daisydoor::standins
