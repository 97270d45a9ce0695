#pragma once

#include "daisydoor/relay/actions.hpp"
#include "daisydoor/relay/early_openings.hpp"
#include "daisydoor/relay/fleet_view.hpp"
#include "daisydoor/relay/zone_suspicion.hpp"

#include <array>
#include <deque>
#include <unordered_map>
#include <vector>

namespace daisydoor::relay
{

/// Time for an agent to confirm a placement: two delays of about 5 ms to another availability zone, and scheduling
/// delay.
constexpr core::milliseconds placement_timeout{60};
/// Time for which an agent that did not confirm is tried last; afterwards a new flow probes it. Doubles with each probe
/// that is not confirmed, up to the maximum: most agents that do not answer are just starting.
constexpr core::milliseconds agent_avoid_time{100};
constexpr core::milliseconds max_agent_avoid_time{1000};
/// Consecutive unconfirmed placements after which an agent is avoided; a single one may be due to a lost datagram.
constexpr std::uint32_t max_unconfirmed_placements = 2;

/// @brief Decision core of a relaying entry: finds the agent for each packet of a client.
///
/// Stores, as soft state, to which agent it sent each flow. Uses no sockets, clock or random numbers.
class entry_relay
{
  public:
    /// @param self address of this process
    entry_relay(ipv4 self, const fleet_view& view);

    /// @brief Handles a client's packet. Complexity: constant, or linear in the service's hosts for an unknown flow; no
    /// allocation for a known flow.
    void on_packet(const packet& value, wire::bytes_view bytes, core::time_point now, actions& out);

    /// @brief Handles a control message of an agent.
    void on_message(ipv4 from, const message& value, core::time_point now, actions& out);

    /// @brief Handles the opening packets that arrived before the process had a fleet view; to be called when it has
    /// one.
    void on_view_ready(core::time_point now, actions& out);

    /// @brief Places flows whose agent did not confirm at another agent, and removes idle flows.
    void on_tick(core::time_point now, actions& out);

    [[nodiscard]] std::size_t flow_count() const noexcept { return m_flows.size(); }
    /// @brief Zones that new flows avoid since several of their agents were silent together.
    [[nodiscard]] std::vector<std::string> suspected_zones() const { return m_zones.suspected_zones(); }

  private:
    struct flow_record
    {
        ipv4 agent{};
        core::time_point last_activity_at;
        bool confirmed = false;
    };

    /// A placement that no agent has confirmed yet.
    struct pending_placement
    {
        flow_key flow;
        std::array<std::uint8_t, opening_packet_size> bytes{};
        std::vector<ipv4> tried;
        core::time_point deadline;
    };

    struct agent_record
    {
        std::uint32_t unconfirmed_placements = 0;
        core::milliseconds avoid_time = agent_avoid_time;
        core::time_point avoid_until;
    };

    void handle_packet(const packet& value, wire::bytes_view bytes, core::time_point now, actions& out);
    void open(const packet& value, wire::bytes_view bytes, const known_route& route, core::time_point now,
              actions& out);
    void place(pending_placement placement, const known_route& route, core::time_point now, actions& out);
    void forward_unknown(const packet& value, wire::bytes_view bytes, const known_route& route, core::time_point now,
                         actions& out);
    void forward(flow_record& record, wire::bytes_view bytes, core::time_point now, actions& out);
    /// @brief Chooses the agent of a placement; one flow at a time probes a suspected zone.
    [[nodiscard]] const known_host* choose(const pending_placement& placement, const known_route& route,
                                           core::time_point now);
    void record_answer(ipv4 agent, const flow_key& flow, core::time_point now, actions& out);
    void confirm(ipv4 agent, const flow_key& flow, core::time_point now);
    /// @brief Ends a placement that an agent declined.
    void end_placement(const flow_key& flow);
    void remove_pending(const flow_key& flow);
    void record_unconfirmed_placement(const pending_placement& placement, core::time_point now, actions& out);
    void record_silent_zone(const pending_placement& placement, actions& out);
    [[nodiscard]] bool is_avoided(ipv4 agent, std::uint64_t flow_hash, core::time_point now) const;
    void remove_idle_flows(core::time_point now);

    ipv4 m_self;
    const fleet_view& m_view;
    std::unordered_map<flow_key, flow_record, flow_key_hash> m_flows;
    std::deque<pending_placement> m_pending;
    std::unordered_map<std::uint32_t, agent_record> m_agents;
    zone_suspicion m_zones;
    core::time_point m_next_sweep;
    early_openings m_early{entry_opening_age};
    /// Storage for the opening packets that the last call sent again.
    std::deque<std::array<std::uint8_t, opening_packet_size>> m_resent_openings;
};

} // namespace daisydoor::relay
