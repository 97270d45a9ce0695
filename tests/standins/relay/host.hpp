#pragma once

#include "standins/relay/record.hpp"
#include "standins/relay/udp.hpp"

#include <deque>
#include <map>
#include <memory>
#include <string>

namespace daisydoor::standins::relay
{

struct host_options
{
    std::string id;
    std::string service;
    /// Address at which the host receives packets, from its own machine only.
    core::endpoint app;
    /// Address at which the agent on its machine receives the host's packets.
    core::endpoint outbound;
    /// Requests that are processed at the same time.
    std::size_t slots = 5;
    /// Time to process a request.
    core::milliseconds work{20};
};

/// @brief Host that accepts flows, processes requests in slots and returns packets of flows that it does not have.
class host
{
  public:
    host(loop& owner, host_options options, record& log);
    ~host();
    host(const host&) = delete;
    host& operator=(const host&) = delete;

    [[nodiscard]] const host_options& options() const { return m_options; }
    /// @brief Whether the host has the flow and neither end has closed it.
    [[nodiscard]] bool has_open_flow(const flow_id& id) const;
    [[nodiscard]] std::size_t open_flows() const { return m_flows.size(); }
    /// @brief Number of flows that the host has accepted.
    [[nodiscard]] std::size_t accepted_flows() const { return m_accepted_flows; }

  private:
    struct flow
    {
        bool open = false;
        bool ended = false;
        std::uint32_t own_next = 0;
        std::uint32_t client_next = 0;
        /// Answer that the client has not acknowledged.
        std::string unacknowledged;
        int retransmissions = 0;
    };

    struct work
    {
        flow_id id;
        request request_value;
    };

    void on_packet(const packet& value);
    void on_open(const packet& value, const flow_id& id);
    void on_data(const packet& value, const flow_id& id, flow& entry);
    void start_work();
    void finish(const work& value);
    void send(const flow_id& id, const flow& entry, std::uint8_t flags, const std::string& data,
              std::uint32_t sequence) const;
    void retransmit(const flow_id& id);

    loop& m_loop;
    host_options m_options;
    record& m_record;
    udp_socket m_socket;
    std::map<flow_id, flow> m_flows;
    std::deque<work> m_queue;
    std::size_t m_busy = 0;
    std::size_t m_accepted_flows = 0;
    std::uint32_t m_next_sequence;
    /// False after destruction: timers outlive a host that is killed and then do nothing.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace daisydoor::standins::relay
