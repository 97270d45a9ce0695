#pragma once

#include "daisydoor/core/endpoint.hpp"
#include "standins/common/loop.hpp"
#include "standins/relay/packet.hpp"

#include <functional>
#include <netinet/in.h>
#include <string>

namespace daisydoor::standins::relay
{

/// @brief UDP socket on a loopback address.
class udp_socket
{
  public:
    using handler = std::function<void(const packet&)>;

    /// @throws std::runtime_error if the address cannot be bound
    udp_socket(loop& owner, const core::endpoint& listen, handler on_packet);
    ~udp_socket();
    udp_socket(const udp_socket&) = delete;
    udp_socket& operator=(const udp_socket&) = delete;

    void send(const core::endpoint& to, const std::string& bytes) const;

  private:
    void receive();

    int m_fd;
    event* m_event = nullptr;
    handler m_on_packet;
};

/// @brief Socket address of an IPv4 endpoint.
sockaddr_in address_of(const core::endpoint& value);

/// @brief IPv4 address of an endpoint in host byte order.
std::uint32_t ip_of(const core::endpoint& value);

} // namespace daisydoor::standins::relay
