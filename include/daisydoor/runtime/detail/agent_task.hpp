#pragma once

#include "daisydoor/agent/agent_core.hpp"
#include "daisydoor/runtime/detail/io_event.hpp"
#include "daisydoor/runtime/events.hpp"
#include "daisydoor/runtime/messages.hpp"

#include <map>

namespace daisydoor::runtime::detail
{

/// @brief Passes datagrams, mesh messages, results of the target and configurations to agent_core, and performs the
/// actions that it returns.
class agent_task : public task
{
  public:
    /// @param return_path endpoint of the fabric to which datagrams for callers are sent
    agent_task(kernel& owner, const agent::agent_options& options, const core::endpoint& return_path,
               core::random_source random);

    void start() override;

  private:
    using core_handler = std::function<void(core::time_point, agent::action_list&)>;

    void register_peer_handlers();
    void register_target_handlers();
    void register_configuration_handlers();
    void on_datagram(const received_datagram& message);
    void compare_versions(core::time_point now, const received_datagram& message);
    void send_notice(core::time_point now, const core::endpoint& peer);
    void set_mesh();
    void on_tick();
    void update_drain_timer();
    void collect(collect_metrics& message) const;
    void collect_state_of(collect_state& message) const;

    /// @brief Calls an event method of the core and performs the actions that it returns.
    /// @param flush whether to send queued datagrams at once; false while a received batch is handled, because the UDP
    /// task flushes after it
    void handle(const core_handler& event, bool flush = true);
    void perform(agent::send_datagram& action);
    void perform(agent::send_peer& action);
    void perform(agent::start_exchange& action);
    void perform(agent::cancel_exchange& action);
    void perform(agent::open_feed& action);
    void perform(agent::close_feed& action);
    void perform(agent::drain_finished& action);
    void perform(agent::refresh_configuration& action);

    kernel& m_kernel;
    agent::agent_options m_options;
    agent::agent_core m_core;
    core::endpoint m_return_path;
    io_event m_timer;
    io_event m_drain_timer;
    core::time_point m_last_tick;
    bool m_draining = false;
    config::snapshot_ptr m_snapshot;
    config::fleet_view_ptr m_fleet;
    /// Time of the last notice to each process with an older configuration.
    std::map<core::endpoint, core::time_point> m_notice_sent_at;
    rate_limit m_drop_log_limit{log_interval_ns};
    std::uint64_t m_logged_drops = 0;
    handler_ref<outgoing_datagram> m_udp;
    handler_ref<flush_datagrams> m_flush;
    handler_ref<set_mesh_peers> m_set_mesh_peers;
    handler_ref<send_to_host> m_send_to_host;
    handler_ref<send_to_endpoint> m_send_to_endpoint;
    handler_ref<agent::start_exchange> m_start_exchange;
    handler_ref<agent::cancel_exchange> m_cancel_exchange;
    handler_ref<agent::open_feed> m_open_feed;
    handler_ref<agent::close_feed> m_close_feed;
    handler_ref<version_seen> m_version_seen;
    handler_ref<refresh_request> m_refresh;
};

} // namespace daisydoor::runtime::detail
