#pragma once

#include "daisydoor/core/endpoint.hpp"
#include "standins/common/loop.hpp"

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

struct bufferevent;
struct evconnlistener;

namespace daisydoor::standins
{

/// @brief Dialling process of a link, as stated in its hello.
struct link_end
{
    /// 0 for an entry.
    std::uint32_t host = 0;
    std::string zone;
};

/// @brief Accepts TCP links on an agent's published address and relays them to the agent, unless they are cut.
/// A cut link forwards neither data nor the end of the connection until it is restored, like a TCP connection over a
/// broken path.
class link_relay
{
  public:
    struct policy
    {
        std::function<bool(const link_end& from)> is_cut;
        std::function<core::milliseconds(const link_end& from)> delay;
    };

    /// @throws std::runtime_error if `published` cannot be bound
    link_relay(loop& events, const core::endpoint& published, const core::endpoint& agent, policy rules);
    ~link_relay();
    link_relay(const link_relay&) = delete;
    link_relay& operator=(const link_relay&) = delete;

    /// @brief Applies changed rules to the open links.
    void refresh();

  private:
    class link;

    void accept(int fd);

    loop& m_loop;
    core::endpoint m_agent;
    policy m_policy;
    evconnlistener* m_listener = nullptr;
    std::list<std::shared_ptr<link>> m_links;
};

} // namespace daisydoor::standins
