#pragma once

#include "daisydoor/relay/actions.hpp"
#include "daisydoor/relay/admission_queue.hpp"
#include "daisydoor/relay/entry_relay.hpp"
#include "daisydoor/relay/fleet_view.hpp"
#include "daisydoor/relay/host_health.hpp"
#include "daisydoor/relay/placement.hpp"

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace daisydoor::relay
{

/// A host answers an opening packet within a millisecond; the rest is its turn on a busy processor.
constexpr core::milliseconds opening_timeout{80};
/// Opening packets in a row that a host may leave unanswered before new flows avoid it; its packets do not get lost.
constexpr std::uint32_t max_unanswered_openings = 2;
/// One opening packet in this time probes a host that is avoided.
constexpr core::milliseconds probe_interval{300};
/// A new flow passes at most this many agents after the first.
constexpr std::uint8_t max_hops = 3;
/// Reports on change; the margins of the placement allow for their age.
constexpr core::milliseconds report_interval{100};
/// Change of the pressure that is reported at once: well below the difference at which a flow is passed on (0.25), so
/// that the requests of a host with many slots do not fill the control traffic.
constexpr double report_threshold = 0.1;
/// Reports without a change, so that peers know that the agent lives.
constexpr core::milliseconds idle_report_interval{1000};
/// A peer without a report for this long gets no flows: two idle reports may be lost.
constexpr core::milliseconds peer_report_timeout{2500};
/// A peer that does not answer a search is asked again this often; a process that starts is ready within some 100 ms.
constexpr core::milliseconds search_repeat_interval{100};
/// Repetitions of a search, for as long as the longest pause between a client's retransmissions (1.6 s); after them its
/// next packet starts over.
constexpr std::uint32_t search_repeat_limit = 16;
/// A flow that is known to be lost is remembered so that its next packets are answered at once.
constexpr core::milliseconds lost_flow_time{5000};

struct agent_relay_options
{
    /// Address of this process and its host.
    ipv4 self{};
    std::string service;
    core::time_point started_at;
    /// Whether flows may be older than this process: not if the whole system started with it.
    bool may_hold_earlier_flows = true;
    /// A flow that is older may be forgotten by everyone.
    core::milliseconds flow_ttl{60'000};
};

/// @brief Decision core of a relaying agent: delivers packets to the host on its machine, places new flows by load, and
/// finds flows that no table knows. The host is the authority on which flows it holds.
///
/// No sockets, clock or randomness.
class agent_relay
{
  public:
    agent_relay(agent_relay_options options, const fleet_view& view);

    /// @brief A packet of a client, passed by an entry or a peer.
    /// @param from address of the process that sent it
    void on_packet(const packet& value, wire::bytes_view bytes, ipv4 from, core::time_point now, actions& out);

    /// @brief A packet that the host sent or returned.
    void on_host_packet(const packet& value, wire::bytes_view bytes, core::time_point now, actions& out);

    void on_message(ipv4 from, const message& value, core::time_point now);

    /// @brief Reports load, and acts on what was not answered in time.
    void on_tick(core::time_point now, actions& out);

    /// @brief Whether flows are given up as soon as the platform confirms that no other host may hold them.
    [[nodiscard]] bool needs_confirmation() const noexcept { return !m_unconfirmed.empty(); }

    /// @brief The view is complete up to `since`, when a call of the platform began.
    void on_view_confirmed(core::time_point since, core::time_point now, actions& out);

    /// @brief New flows go to peers from now on; open flows stay.
    void start_drain() noexcept { m_draining = true; }

    [[nodiscard]] std::size_t flow_count() const noexcept { return m_flows.size(); }
    [[nodiscard]] host_load load() const noexcept;

  private:
    enum class flow_phase : std::uint8_t
    {
        /// The opening packet was given to the host.
        opening,
        /// The host holds the flow.
        established,
        /// A packet of an unknown flow was given to the host, which returns it if it does not hold the flow.
        probing,
        /// Peers are asked.
        searching,
        /// No peer that the view names holds the flow; the view may lack a host that has just started.
        unconfirmed,
        /// A peer's host holds the flow, or got its opening packet.
        at_peer,
        /// Nobody holds it.
        lost,
    };

    struct flow_record
    {
        flow_phase phase = flow_phase::opening;
        bool request_pending = false;
        /// The request was delivered and holds a place at the gate.
        bool in_service = false;
        bool client_fin = false;
        bool host_fin = false;
        /// Entry that told of the flow last.
        ipv4 entry{};
        /// Peer that holds the flow, or that searches for it.
        ipv4 peer{};
        /// End of the client's data so far.
        std::uint32_t client_sequence = 0;
        /// End of the host's data so far, if any packet of the host was seen.
        std::optional<std::uint32_t> host_sequence;
        /// Sequence of the reset that the client accepts if the search finds no holder.
        std::uint32_t reset_sequence = 0;
        /// When the client sent its opening packet first.
        core::time_point opened_at;
        core::time_point last_activity_at;
        core::time_point request_pending_since;
        /// When the request was given to the host.
        core::time_point delivered_at;
        core::time_point phase_started_at;
        /// Peers that have not answered the search yet.
        std::vector<ipv4> unanswered_peers;
        /// Peers that were asked.
        std::vector<ipv4> asked_peers;
        /// Packet to search with, while the search lasts.
        wire::buffer search_packet;
        std::uint32_t search_repeats = 0;
        core::time_point repeat_at;
    };

    struct search_repeat
    {
        flow_key flow;
        core::time_point due;
    };

    struct opening_record
    {
        flow_key flow;
        std::array<std::uint8_t, opening_packet_size> bytes{};
        ipv4 entry{};
        std::uint8_t hops = 0;
        core::time_point deadline;
    };

    using flow_map = std::unordered_map<flow_key, flow_record, flow_key_hash>;

    void open(const packet& value, wire::bytes_view bytes, core::time_point now, actions& out);
    void on_repeated_opening(flow_record& record, const packet& value, wire::bytes_view bytes, core::time_point now,
                             actions& out);
    bool redirect_flow(const flow_key& flow, wire::bytes_view bytes, ipv4 entry, std::uint8_t hops,
                       const peer_load* peer, std::string_view reason, core::time_point now, actions& out);
    void open_at_host(const packet& value, wire::bytes_view bytes, core::time_point now, actions& out);
    void on_search(const packet& value, wire::bytes_view bytes, ipv4 from, core::time_point now, actions& out);
    void on_unknown_flow(const packet& value, wire::bytes_view bytes, core::time_point now, actions& out);
    void search(flow_record& record, const packet& value, wire::bytes_view bytes, core::time_point now, actions& out);
    /// @brief Asks the possible holders that have not answered yet.
    /// @return false if there is none
    bool ask_possible_owners(flow_record& record, const flow_key& flow, core::time_point now, actions& out);
    void repeat_searches(core::time_point now, actions& out);
    bool redirect_opening(const opening_record& opening, wire::bytes_view bytes, std::string_view reason,
                          core::time_point now, actions& out);
    void deliver(flow_record& record, const packet& value, wire::bytes_view bytes, core::time_point now, actions& out);
    void on_returned_packet(const packet& value, wire::bytes_view bytes, core::time_point now, actions& out);
    void on_returned_opening(const packet& value, wire::bytes_view bytes, core::time_point now, actions& out);
    [[nodiscard]] static bool acknowledges_other_host(const flow_record& record, const packet& value) noexcept;
    void await_confirmation(flow_record& record, const flow_key& flow, core::time_point now);
    void declare_lost(flow_record& record, const flow_key& flow, std::uint32_t sequence, std::string_view reason,
                      core::time_point now, actions& out);
    void send_flow_found(const flow_key& flow, ipv4 entry, actions& out);
    void set_request_pending(const flow_key& flow, flow_record& record, bool request_pending, core::time_point now);
    bool may_deliver(flow_record& record, const packet& value, wire::bytes_view bytes, core::time_point now,
                     actions& out);
    void release_requests(core::time_point now, actions& out);
    void update_mean_service_time(core::milliseconds time) noexcept;
    [[nodiscard]] core::milliseconds service_time() const noexcept;
    [[nodiscard]] std::uint32_t slots() const noexcept;
    void set_phase(flow_record& record, flow_phase phase, core::time_point now) noexcept;
    void set_fin_seen(flow_record& record, bool client_fin, bool host_fin) noexcept;
    [[nodiscard]] static bool is_open(const flow_record& record) noexcept;
    void clear_host_suspicion(core::time_point now, actions& out);
    void check_openings(core::time_point now, actions& out);
    void report(core::time_point now, actions& out);
    void sweep(core::time_point now);
    [[nodiscard]] bool host_may_have_unknown_flow(core::time_point now) const noexcept;
    [[nodiscard]] bool accepts() const noexcept;
    void record_request_outcome(bool answered, std::string_view failure, const flow_key& flow, core::time_point now,
                                actions& out);
    /// @brief Whether the host is failing and few enough peers are avoided to avoid it too.
    [[nodiscard]] bool is_avoided() const noexcept;
    /// @brief Peers that may take a flow: those that exchange load with this agent or, for the flow of a closed host,
    /// any if none of these accepts.
    std::vector<peer_load> usable_peers(const known_route& route, const flow_key& flow, bool own_accepts,
                                        core::time_point now) const;
    /// @param all whether peers of the own service that do not exchange load with this agent are included
    std::vector<peer_load> gather_peers(const known_route& route, const flow_key& flow, bool all,
                                        core::time_point now) const;
    void update_load_peers(core::time_point now);
    std::vector<ipv4> possible_owners(const known_route& route) const;

    struct reported_load
    {
        host_load load;
        core::time_point at;
        std::uint32_t flows_redirected = 0;
    };

    agent_relay_options m_options;
    const fleet_view& m_view;
    flow_map m_flows;
    admission_queue m_admission;
    host_health m_health;
    std::deque<opening_record> m_openings;
    /// Searches to repeat, the next one first.
    std::deque<search_repeat> m_search_repeats;
    /// Flows in phase unconfirmed.
    std::vector<flow_key> m_unconfirmed;
    /// Peers that exchange load with this agent, by address; chosen at m_load_peers_revision of the view.
    std::vector<ipv4> m_load_peers;
    revision m_load_peers_revision{};
    std::unordered_map<std::uint32_t, reported_load> m_peer_loads;
    std::uint32_t m_in_flight = 0;
    /// Mean time from the delivery of a request to its answer; starts at an ordinary request's work.
    double m_service_ms = 50;
    std::uint32_t m_open_flows = 0;
    std::uint32_t m_unanswered_openings = 0;
    bool m_suspected = false;
    bool m_draining = false;
    core::time_point m_next_probe;
    core::time_point m_next_report;
    core::time_point m_next_idle_report;
    core::time_point m_next_sweep;
    host_load m_last_report;
    std::deque<std::array<std::uint8_t, opening_packet_size>> m_resent_openings;
};

} // namespace daisydoor::relay
