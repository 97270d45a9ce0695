#pragma once

#include "daisydoor/relay/agent_relay.hpp"
#include "daisydoor/relay/entry_relay.hpp"
#include "daisydoor/relay/view_sync.hpp"
#include "daisydoor/runtime/detail/http_client.hpp"
#include "daisydoor/runtime/detail/http_server.hpp"
#include "daisydoor/runtime/detail/log_output.hpp"
#include "daisydoor/runtime/detail/metrics.hpp"
#include "daisydoor/runtime/detail/packet_socket.hpp"
#include "daisydoor/runtime/detail/store_task.hpp"
#include "daisydoor/runtime/settings.hpp"

#include <array>
#include <map>
#include <memory>
#include <optional>

namespace daisydoor::runtime::detail
{

/// @brief Owns the sockets, the fleet view and the decision core (entry_relay or agent_relay) of a relaying process.
class relay_task : public task
{
  public:
    /// @throws runtime_error with errc::bind_failed or errc::admin_failed if an address cannot be bound.
    relay_task(kernel& owner, const relay_settings& process_settings, store_task& store, const log_output& log);
    ~relay_task() override;

    void start() override;

    /// @brief Handles SIGTERM: reports not ready and accepts no new flows, forwards packets of open flows until the
    /// routers have stopped sending or most of the grace period has passed, then stops the kernel.
    void start_drain();

  private:
    void on_client_packet(wire::bytes_view bytes, relay::ipv4 from);
    void on_host_packet(wire::bytes_view bytes);
    void on_message(wire::bytes_view bytes, relay::ipv4 from);
    void on_platform_update(platform_update& message);
    void on_fleet_message(const relay::message& message, relay::ipv4 from, core::time_point now);
    void on_fetched(relay::ipv4 from, const http_result& response);
    void handle_view_change(const relay::view_change& change, const std::string& source, core::time_point now);
    /// @brief Applies state that the platform returned.
    void on_platform_state(const relay::fleet_update& value, const platform_update& message, core::time_point now);
    void record_older_update(const relay::fleet_update& value);
    void choose_read_mode(core::time_point now);
    void on_tick();
    void detect_pause(core::time_point now);
    /// @brief Performs the pending actions of the core. Bytes that they refer to must stay valid until flush().
    void execute();
    /// @brief Sends the datagrams queued on all sockets; called at the end of each received batch.
    void flush();
    void perform(const relay::send_to_agent& value);
    void perform(relay::send_to_host& value);
    void perform(const relay::send_to_client& value);
    void perform(const relay::reset_client& value);
    void perform(const relay::send_message& value);
    void perform(const relay::fetch_view& value);
    void perform(const relay::decision_record& value);
    http_response handle_request(const std::string& path);
    [[nodiscard]] bool is_ready() const;
    std::string metrics_text();
    std::string dump() const;

    kernel& m_kernel;
    relay_settings m_settings;
    store_task& m_store;
    const log_output& m_log;
    relay::ipv4 m_own_address;
    relay::ipv4 m_host_address{};
    relay::fleet_view m_view;
    relay::view_sync m_sync;
    std::unique_ptr<relay::entry_relay> m_entry;
    std::unique_ptr<relay::agent_relay> m_agent;
    packet_socket m_packets;
    packet_socket m_messages;
    /// Packets from and to the host; only set for an agent.
    std::unique_ptr<packet_socket> m_host_packets;
    repeated_timer m_tick;
    http_server m_admin;
    relay::actions m_actions;
    std::array<std::uint64_t, relay::decision_names.size()> m_decisions{};
    std::uint64_t m_resets = 0;
    std::uint64_t m_malformed_messages = 0;
    /// Updates from the platform that were older than the view.
    std::uint64_t m_older_updates = 0;
    rate_limit m_older_update_log_limit{log_interval_ns};
    metrics m_metrics;
    /// One client for each process from which a fleet view was fetched.
    std::map<relay::ipv4, std::unique_ptr<http_client>> m_fetch_clients;
    core::time_point m_started_at;
    /// The process has or had a fleet view.
    bool m_had_view = false;
    core::time_point m_last_tick;
    /// Total time that the machine had been suspended at the last tick.
    core::duration m_suspended{};
    std::optional<core::time_point> m_drain_started_at;
    core::time_point m_last_packet_at;
    core::time_point m_next_platform_check_at;
    /// Token bucket that limits the log lines about flow decisions; lines beyond it are suppressed and counted.
    double m_log_tokens = 0;
    core::time_point m_log_refilled_at;
    std::uint64_t m_log_suppressed = 0;
};

} // namespace daisydoor::runtime::detail
