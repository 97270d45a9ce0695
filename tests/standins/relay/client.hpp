#pragma once

#include "standins/relay/record.hpp"
#include "standins/relay/router.hpp"
#include "standins/relay/udp.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>

namespace daisydoor::standins::relay
{

struct client_options
{
    /// Address from which the client sends and at which it receives.
    core::endpoint address;
    flow_end service;
    /// Service that must answer.
    std::string service_name;
    /// True: one flow for many requests, each of which may be repeated. False: a flow for each request, which must not
    /// run twice.
    bool long_flow = true;
    core::milliseconds pause{150};
    core::milliseconds deadline{3000};
};

/// @brief Client that sends one request after the other and checks the answers and resets that it gets.
class client
{
  public:
    /// @param is_reset_allowed whether the system may reset an open flow now
    client(loop& owner, client_options options, const router& routers, record& log, std::uint64_t seed,
           std::function<bool(const flow_id&)> is_reset_allowed);
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    void start();
    /// @brief Sends no further request.
    void stop() { m_stopped = true; }

  private:
    enum class phase
    {
        idle,
        opening,
        open,
    };

    struct request_state
    {
        request value;
        core::time_point sent_at;
        int attempts = 0;
        /// A host may have started to process it.
        bool may_have_run = false;
    };

    void next_request();
    void begin_attempt();
    void send_syn(int copy);
    void send_request(int copy);
    void on_packet(const packet& value);
    void on_reset(const packet& value);
    void on_data(const packet& value);
    void finish(bool answered);
    void fail_attempt(bool not_run);
    void close_flow(bool send_fin);
    void send(std::uint8_t flags, std::uint32_t sequence, std::uint32_t acknowledgement, const std::string& data);
    void run_later(core::milliseconds time, std::function<void()> fn);

    loop& m_loop;
    client_options m_options;
    const router& m_router;
    record& m_record;
    std::mt19937_64 m_random;
    std::function<bool(const flow_id&)> m_is_reset_allowed;
    udp_socket m_socket;
    bool m_stopped = false;
    phase m_phase = phase::idle;
    std::uint16_t m_port = 20'000;
    flow_id m_flow;
    std::uint32_t m_own_next = 0;
    std::uint32_t m_host_next = 0;
    std::string m_received;
    std::map<std::uint32_t, std::string> m_out_of_order_data;
    std::optional<request_state> m_request;
    /// Number of the current attempt or of the pause after a request; timers that were set in an earlier one do
    /// nothing.
    std::uint64_t m_epoch = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace daisydoor::standins::relay
