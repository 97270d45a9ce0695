#pragma once

#include "daisydoor/core/random.hpp"
#include "daisydoor/runtime/detail/io_event.hpp"
#include "daisydoor/runtime/detail/peer_link.hpp"
#include "daisydoor/runtime/messages.hpp"

#include <event2/listener.h>
#include <map>
#include <memory>

namespace daisydoor::runtime::detail
{

struct link_options
{
    core::endpoint listen;
    wire::helloT hello;
};

/// @brief Owns the TCP links to other daisydoor processes.
///
/// Any two agents of one service are connected by one mesh link, which the agent with the lower host id dials. If both
/// dialled, the loss of one of the two links would go unnoticed, and so would the loss of its messages. Links for the
/// configuration exchange are opened on demand, also between agents, and closed when idle.
class link_task : public task
{
  public:
    /// @throws runtime_error with errc::bind_failed.
    link_task(kernel& owner, link_options options, core::random_source random);
    ~link_task() override;

    void start() override;

  private:
    void collect(collect_metrics& message) const;
    struct mesh_peer
    {
        core::host_id host{};
        core::endpoint address;
        peer_link* dialled_link = nullptr;
        core::milliseconds backoff{0};
        core::time_point next_dial{};
    };

    void accept(int fd, const core::endpoint& remote);
    peer_link* dial(const core::endpoint& remote, bool mesh);
    peer_link* add_link(std::unique_ptr<peer_link> link);
    link_callbacks make_callbacks();
    void on_hello(peer_link& link);
    bool is_mesh_link(const peer_link& link) const;
    void join_mesh(peer_link& link, core::host_id host);
    void on_message(peer_link& link, wire::peer_messageT message);
    void on_closed(peer_link& link);
    void set_mesh(const set_mesh_peers& message);
    void send_host(const send_to_host& message);
    void send_endpoint(const send_to_endpoint& message);
    peer_link* find_link(const core::endpoint& remote);
    void on_tick();
    void dial_mesh(core::time_point now);
    core::milliseconds next_backoff(core::milliseconds previous);

    kernel& m_kernel;
    link_options m_options;
    core::random_source m_random;
    int m_fd;
    std::unique_ptr<evconnlistener, void (*)(evconnlistener*)> m_listener;
    io_event m_timer;
    std::map<peer_link*, std::unique_ptr<peer_link>> m_links;
    std::map<core::host_id, peer_link*> m_mesh_links;
    std::map<core::host_id, mesh_peer> m_mesh_peers;
    core::time_point m_last_tick{};
    /// Silence before this time does not count towards the timeout of a link.
    core::time_point m_silence_counted_from{};
    link_counters m_counters;
    handler_ref<peer_message_received> m_config;
    handler_ref<mesh_peer_up> m_peer_up;
    handler_ref<mesh_peer_down> m_peer_down;
    handler_ref<mesh_message> m_mesh_message;
};

} // namespace daisydoor::runtime::detail
