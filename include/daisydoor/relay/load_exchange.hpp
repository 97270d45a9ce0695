#pragma once

#include "daisydoor/relay/actions.hpp"
#include "daisydoor/relay/fleet_view.hpp"
#include "daisydoor/relay/host_work.hpp"
#include "daisydoor/relay/placement.hpp"

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

namespace daisydoor::relay
{

/// Minimum interval between load reports; the margins of the placement allow for reports of this age.
constexpr core::milliseconds report_interval{100};
/// Change of the pressure (see pressure_of) that is reported without waiting for the idle interval: well below the
/// difference at which a flow is redirected (0.25), but large enough that the requests of a host with many slots do not
/// fill the control traffic.
constexpr double report_threshold = 0.1;
/// Interval between load reports without a change; they show peers that the agent is alive.
constexpr core::milliseconds idle_report_interval{1000};
/// A peer that has not reported for this long gets no new flows; allows for the loss of two idle reports.
constexpr core::milliseconds peer_report_timeout{2500};

/// @brief Load of an agent's own host, and what its peers reported about theirs.
///
/// Load pattern: services with many hosts whose load changes within milliseconds. Reports go to few peers, at once when
/// the pressure has changed and seldom when it has not, and flows redirected to a peer count until its next report.
///
/// Knows requests by their flow and open flows by their number only. Uses no sockets, clock or random numbers.
class load_exchange
{
  public:
    /// @param self address of the agent and its host
    /// @param service service of the host
    load_exchange(ipv4 self, std::string service, const fleet_view& view);

    /// @brief Counts a request that is in progress at the host or about to be delivered to it.
    void add_request(const flow_key& flow, core::time_point now);
    /// @brief Records the delivery of a counted request to the host.
    /// @param is_further whether the flow has had a request before
    void on_delivered(const flow_key& flow, bool is_further, core::time_point now);
    /// @brief Records the first byte of the answer to a counted request.
    void on_answered(const flow_key& flow, core::time_point now) { m_work.on_answered(flow, now); }
    /// @brief Ends a counted request.
    void end_request(const flow_key& flow, core::time_point now);
    /// @brief Counts flows that are open at the host.
    void count_open_flows(int change) noexcept { m_open_flows += change; }

    /// @brief Load of the own host.
    /// @param accepts whether new flows may be placed on it
    [[nodiscard]] host_load own_load(bool accepts) const noexcept;
    [[nodiscard]] std::uint32_t slots() const noexcept;
    /// @brief What the packets of the own host say about the work of its requests.
    [[nodiscard]] const host_work& work() const noexcept { return m_work; }

    /// @brief Records a peer's report.
    void on_report(ipv4 from, const host_load& load, core::time_point now);
    /// @brief Records that a new flow was redirected to a peer.
    void on_redirected(ipv4 peer) { ++m_reports[static_cast<std::uint32_t>(peer)].flows_redirected; }

    /// @brief Records that a redirected flow was not confirmed in time: the peer gets no flows before its next report.
    void on_silence(ipv4 peer) { m_reports[static_cast<std::uint32_t>(peer)].load.accepts = false; }

    /// @brief Reports the own load to the peers if it is due.
    void report(const host_load& current, core::time_point now, actions& out);
    /// @brief Lets a changed load be reported at once.
    void report_soon(core::time_point now) noexcept { m_next_report = now; }
    /// @brief Chooses the peers anew if the fleet view has changed.
    void update_peers(core::time_point now);

    /// @brief Peers to which a flow may be redirected: those that exchange load with this agent or, if neither this
    /// agent's host nor any of these accepts flows, all.
    [[nodiscard]] std::vector<peer_load> usable_peers(const known_route& route, const flow_key& flow, bool own_accepts,
                                                      core::time_point now) const;

    /// @brief Number of peers that exchange load with this agent.
    [[nodiscard]] std::size_t peer_count() const noexcept { return m_peers.size(); }
    /// @brief Number of these whose hosts accept no new flows.
    [[nodiscard]] std::size_t closed_peer_count() const;

  private:
    struct reported_load
    {
        host_load load;
        core::time_point at;
        std::uint32_t flows_redirected = 0;
    };

    /// @param all whether peers of this agent's service that do not exchange load with this agent are included
    [[nodiscard]] std::vector<peer_load> gather_peers(const known_route& route, const flow_key& flow, bool all,
                                                      core::time_point now) const;
    /// @brief Sets the time for which the own load is computed.
    void advance(core::time_point now) noexcept;
    [[nodiscard]] peer_load last_report_of(const known_host& host, core::time_point now) const;

    ipv4 m_self{};
    std::string m_service;
    const fleet_view& m_view;
    host_work m_work;
    std::uint32_t m_in_flight = 0;
    std::uint32_t m_open_flows = 0;
    /// Peers that exchange load with this agent, by address; chosen at m_peers_revision of the view.
    std::vector<ipv4> m_peers;
    revision m_peers_revision{};
    /// Last report of each peer, by its address.
    std::unordered_map<std::uint32_t, reported_load> m_reports;
    host_load m_last_report;
    core::time_point m_next_report;
    core::time_point m_next_idle_report;
};

} // namespace daisydoor::relay
