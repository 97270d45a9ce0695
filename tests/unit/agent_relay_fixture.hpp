#pragma once

#include "daisydoor/relay/agent_relay.hpp"

#include "relay_fixture.hpp"

#include <memory>

namespace daisydoor::relay
{

/// @brief Agent 1 of three. The whole system starts together with it, so that no flow is older, unless a test restarts
/// it.
class agent_relay_test : public relay_fixture
{
  protected:
    agent_relay_test()
    {
        set_routes(m_view, {make_route({{"svc", 1}})});
        for (std::uint32_t n = 1; n <= 3; ++n) {
            add_host(m_view, make_host(n));
        }
        restart(false);
    }

    void restart(bool host_may_have_earlier_flows)
    {
        agent_relay_options options;
        options.self = agent_address(1);
        options.service = "svc";
        options.started_at = m_now;
        options.host_may_have_earlier_flows = host_may_have_earlier_flows;
        m_agent = std::make_unique<agent_relay>(options, m_view);
    }

    void on_packet(const packet& value, ipv4 from = entry_address)
    {
        m_actions.clear();
        m_agent->on_packet(value, bytes(), from, m_now, m_actions);
    }

    void on_host_packet(const packet& value)
    {
        m_actions.clear();
        m_agent->on_host_packet(value, bytes(), m_now, m_actions);
    }

    void on_message(ipv4 from, const message& value)
    {
        m_actions.clear();
        m_agent->on_message(from, value, m_now, m_actions);
    }

    void tick(core::milliseconds time)
    {
        advance(time);
        m_actions.clear();
        m_agent->on_tick(m_now, m_actions);
    }

    /// The platform confirms the view by a call that starts now.
    void confirm_view()
    {
        m_actions.clear();
        m_agent->on_view_confirmed(m_now, m_now, m_actions);
    }

    /// Opens a flow at the agent's host.
    void open(const flow_key& flow)
    {
        on_packet(make_syn(flow));
        on_host_packet(make_syn_ack(flow));
    }

    /// Opens a flow and sends a request that the host answers or ends with a reset.
    void run_request(std::uint16_t port, bool answers)
    {
        open(make_flow(port));
        auto value = make_packet(make_flow(port));
        value.payload_size = 10;
        on_packet(value);
        auto last = make_packet(make_flow(port));
        last.rst = !answers;
        last.payload_size = answers ? 100 : 0;
        on_host_packet(last);
    }

    fleet_view m_view{"a"};
    std::unique_ptr<agent_relay> m_agent;
};

} // namespace daisydoor::relay
