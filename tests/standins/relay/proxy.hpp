#pragma once

#include "daisydoor/core/endpoint.hpp"
#include "standins/common/loop.hpp"

#include <cstdint>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <map>
#include <memory>

namespace daisydoor::standins::relay
{

enum class proxy_mode
{
    pass,
    /// Bytes of both directions arrive late.
    delay,
    /// New and open connections are reset.
    reset,
    /// Answers are dropped; requests arrive.
    drop_answers,
    /// Open connections never forward anything again; new ones work.
    stall_open_connections,
    /// Nothing is forwarded in either direction.
    silent,
};

/// @brief TCP proxy between one process and the store, which injects connection faults.
class proxy
{
  public:
    /// @throws std::runtime_error if the proxy cannot listen
    proxy(loop& owner, const core::endpoint& listen, const core::endpoint& target);
    ~proxy();
    proxy(const proxy&) = delete;
    proxy& operator=(const proxy&) = delete;

    void set_mode(proxy_mode mode);

  private:
    struct pair
    {
        proxy* owner = nullptr;
        std::uint64_t id = 0;
        bufferevent* process_side = nullptr;
        bufferevent* store_side = nullptr;
        bool is_stalled = false;
    };

    static void on_read(bufferevent* from, void* argument);
    static void on_event(bufferevent* from, short what, void* argument);
    void accept(evutil_socket_t fd);
    void forward(std::uint64_t id, bool to_process, std::string bytes);
    void close(std::uint64_t id);

    loop& m_loop;
    core::endpoint m_target;
    proxy_mode m_mode = proxy_mode::pass;
    evconnlistener* m_listener = nullptr;
    std::map<std::uint64_t, std::unique_ptr<pair>> m_pairs;
    std::uint64_t m_next_id = 1;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace daisydoor::standins::relay
