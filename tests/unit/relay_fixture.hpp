#pragma once

#include "daisydoor/relay/actions.hpp"
#include "daisydoor/relay/fleet_view.hpp"

#include <gtest/gtest.h>

#include <array>
#include <string>
#include <vector>

namespace daisydoor::relay
{

/// @brief Fleet, packets and virtual time for tests of the relay's decision cores.
class relay_fixture : public ::testing::Test
{
  protected:
    static constexpr std::uint16_t service_port = 443;
    static constexpr ipv4 service_address{0xc6120001};
    static constexpr ipv4 entry_address{0x0a010001};

    /// Agents are 10.2.0.1, 10.2.0.2 and so on.
    static ipv4 agent_address(std::uint32_t n) { return ipv4{0x0a020000 + n}; }

    static host make_host(std::uint32_t n, const std::string& service = "svc", const std::string& zone = "a")
    {
        host result;
        result.id = "i-" + std::to_string(n);
        result.service = service;
        result.availability_zone = zone;
        result.address = agent_address(n);
        result.slots = 5;
        result.born = 1000 + n;
        return result;
    }

    static route make_route(std::vector<weighted_service> services, std::uint16_t port = service_port)
    {
        route result;
        result.address = service_address;
        result.port = port;
        result.services = std::move(services);
        return result;
    }

    static flow_key make_flow(std::uint16_t client_port = 40001)
    {
        return {ipv4{0x64400007}, service_address, client_port, service_port};
    }

    static packet make_packet(const flow_key& flow)
    {
        packet result;
        result.flow = flow;
        result.ack = true;
        result.sequence = 100;
        result.acknowledgement = 5001;
        result.entry = entry_address;
        return result;
    }

    static packet make_syn(const flow_key& flow, std::uint32_t copies = 0)
    {
        packet result = make_packet(flow);
        result.syn = true;
        result.ack = false;
        result.acknowledgement = copies;
        return result;
    }

    /// The host's answer to an opening packet; the host's sequence numbers start at 5000.
    static packet make_syn_ack(const flow_key& flow)
    {
        packet result = make_packet(flow);
        result.syn = true;
        result.sequence = 5000;
        result.acknowledgement = 101;
        return result;
    }

    static packet returned(packet value)
    {
        value.bounced = true;
        value.hops = 0;
        value.path = packet_path::direct;
        return value;
    }

    wire::bytes_view bytes() const { return {m_bytes.data(), m_bytes.size()}; }

    void add_host(fleet_view& view, const host& value)
    {
        fleet_update update;
        update.revision = revision{++m_revision};
        update.changes.push_back({update.revision, value});
        view.apply(update, m_now);
    }

    void remove_host(fleet_view& view, const std::string& id)
    {
        fleet_update update;
        update.revision = revision{++m_revision};
        update.changes.push_back({update.revision, host_removed{id}});
        view.apply(update, m_now);
    }

    void set_routes(fleet_view& view, std::vector<route> routes, std::vector<std::string> services = {})
    {
        route_set value;
        value.version = route_version{++m_version};
        value.routes = std::move(routes);
        value.services = std::move(services);
        fleet_update update;
        update.revision = revision{++m_revision};
        update.changes.push_back({update.revision, value});
        view.apply(update, m_now);
    }

    void advance(core::milliseconds time) { m_now += time; }

    /// @brief Actions of one type that the last call returned.
    template <typename Action>
    std::vector<Action> emitted() const
    {
        std::vector<Action> result;
        for (const auto& it : m_actions) {
            if (const auto* value = std::get_if<Action>(&it)) {
                result.push_back(*value);
            }
        }
        return result;
    }

    /// @brief Messages of one type that the last call sent, with their receivers.
    template <typename Message>
    std::vector<std::pair<ipv4, Message>> sent_messages() const
    {
        std::vector<std::pair<ipv4, Message>> result;
        for (const auto& it : emitted<send_message>()) {
            if (const auto* value = std::get_if<Message>(&it.value)) {
                result.emplace_back(it.to, *value);
            }
        }
        return result;
    }

    core::time_point m_now{core::seconds(1000)};
    actions m_actions;

  private:
    std::array<std::uint8_t, 32> m_bytes{};
    std::uint64_t m_revision = 0;
    std::uint64_t m_version = 0;
};

} // namespace daisydoor::relay
