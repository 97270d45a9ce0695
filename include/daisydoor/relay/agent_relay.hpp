#pragma once

#include "daisydoor/relay/actions.hpp"
#include "daisydoor/relay/admission_queue.hpp"
#include "daisydoor/relay/cold_budget.hpp"
#include "daisydoor/relay/early_openings.hpp"
#include "daisydoor/relay/entry_relay.hpp"
#include "daisydoor/relay/fleet_view.hpp"
#include "daisydoor/relay/host_health.hpp"
#include "daisydoor/relay/load_exchange.hpp"
#include "daisydoor/relay/request_profile.hpp"
#include "daisydoor/relay/search_scope.hpp"

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace daisydoor::relay
{

/// Time for a host to answer an opening packet: about 1 ms, and the rest for scheduling delay on a busy processor.
constexpr core::milliseconds opening_timeout{80};
/// Time after a host's acceptance of a flow in which its client sends a request; afterwards the flow no longer counts
/// as load. Another host may have accepted a copy of the opening packet first.
constexpr core::milliseconds unclaimed_flow_timeout{250};
/// Consecutive unanswered opening packets after which new flows avoid the host. Packets between an agent and its host
/// are not lost, so that a missing answer is due to the host.
constexpr std::uint32_t max_unanswered_openings = 2;
/// Interval between opening packets that probe an avoided host.
constexpr core::milliseconds probe_interval{300};
/// Maximum number of agents to which a new flow is forwarded after the first.
constexpr std::uint8_t max_hops = 3;
/// Time beyond the idle timeout for which a flow is kept: a client's packet may be one of several retransmissions, up
/// to 1.6 s apart, and a confirmation of the view may describe a moment some hundred milliseconds earlier.
constexpr core::milliseconds idle_flow_slack{2500};
/// Time for which a lost flow stays in the table, so that its next packets are reset at once.
constexpr core::milliseconds lost_flow_time{5000};

struct agent_relay_options
{
    /// Address of this process and its host.
    ipv4 self{};
    std::string service;
    core::time_point started_at;
    /// Whether the host may have flows older than this process; false if the whole system started together with it.
    bool host_may_have_earlier_flows = true;
    /// Maximum age of a flow; every process may have removed an older one.
    core::milliseconds flow_ttl{60'000};
    cold_allowance cold;
};

/// @brief Decision core of a relaying agent: delivers packets to the host on its machine, places new flows by load, and
/// searches for flows that are in no table. The host alone decides which flows are open there.
///
/// Uses no sockets, clock or random numbers.
class agent_relay
{
  public:
    agent_relay(agent_relay_options options, const fleet_view& view);

    /// @brief Handles a client's packet that an entry or a peer forwarded.
    /// @param from address of the process that sent it
    void on_packet(const packet& value, wire::bytes_view bytes, ipv4 from, core::time_point now, actions& out);

    /// @brief Handles a packet that the host sent, or returned because it does not have or cannot accept the flow.
    void on_host_packet(const packet& value, wire::bytes_view bytes, core::time_point now, actions& out);

    /// @brief Handles the opening packets that arrived before the process had a fleet view; to be called when it has
    /// one.
    void on_view_ready(core::time_point now, actions& out);

    /// @brief Handles a control message of a peer.
    void on_message(ipv4 from, const message& value, core::time_point now, actions& out);

    /// @brief Reports load and handles expired timeouts; to be called periodically.
    void on_tick(core::time_point now, actions& out);

    /// @brief Whether a search goes on for so long that it needs a confirmation that the view has all hosts (see
    /// on_view_confirmed).
    [[nodiscard]] bool needs_confirmation(core::time_point now);

    /// @brief Handles a confirmation of the view by the platform: asks hosts that the view has gained since the search
    /// began, and resets the flows that no host has.
    /// @param since when the confirming call to the platform began; searches that began later need another
    void on_view_confirmed(core::time_point since, core::time_point now, actions& out);

    /// @brief Sets the time up to which the view is known to have all changes; nullopt if that is not known.
    ///
    /// Load pattern: processes that the platform turns away miss a longer idle timeout. Their flows are discarded only
    /// by an idle timeout that was in force when they had been idle for so long.
    void set_view_confirmed_at(std::optional<core::time_point> at) noexcept { m_view_confirmed_at = at; }

    /// @brief Redirects new flows to peers from now on; open flows stay at the host.
    void start_drain() noexcept { m_draining = true; }

    [[nodiscard]] std::size_t flow_count() const noexcept { return m_flows.size(); }
    [[nodiscard]] host_load load() const noexcept { return m_load.own_load(accepts()); }
    [[nodiscard]] const host_work& work() const noexcept { return m_load.work(); }
    [[nodiscard]] const cold_budget& cold() const noexcept { return m_cold; }
    /// @brief Number of open flows discarded so far since they were idle for too long.
    [[nodiscard]] std::uint64_t idle_flows_discarded() const noexcept { return m_idle_flows_discarded; }

  private:
    enum class flow_phase : std::uint8_t
    {
        /// The opening packet was delivered to the host, which has not answered yet.
        opening,
        /// The flow is open at this agent's host.
        established,
        /// A packet of an unknown flow was delivered to the host, which returns it if it does not have the flow.
        probing,
        /// Peers were asked whether their hosts have the flow.
        searching,
        /// No peer in the view has the flow; the view may lack a host that has just started.
        unconfirmed,
        /// The flow is open at a peer's host, or its opening packet was redirected to the peer.
        at_peer,
        /// No host has the flow.
        lost,
    };

    struct flow_record
    {
        flow_phase phase = flow_phase::opening;
        /// A request of the client is unanswered, or is expected since its flow is being opened.
        bool request_pending = false;
        /// The request was delivered and occupies a place in the admission queue.
        bool in_service = false;
        /// The flow has had a request before the current one.
        bool is_further_request = false;
        /// The client ended the flow while its request waited.
        bool client_gave_up = false;
        /// The request waited for longer than its client was expected to, and was dropped.
        bool request_dropped = false;
        bool client_fin = false;
        bool host_fin = false;
        /// Entry that last forwarded a packet of the flow.
        ipv4 entry{};
        /// Peer whose host has the flow, or that searches for it.
        ipv4 peer{};
        /// Sequence number of the opening packet and its copies, if this agent saw one.
        std::optional<std::uint32_t> opening_sequence;
        /// Sequence number after the client's last data byte so far.
        std::uint32_t client_sequence = 0;
        /// Sequence number after the host's last data byte so far, if any packet of the host was seen.
        std::optional<std::uint32_t> host_sequence;
        /// Sequence number of a reset that the client accepts; used if the search finds no owner.
        std::uint32_t reset_sequence = 0;
        /// When the client sent the first copy of its opening packet.
        core::time_point opened_at;
        core::time_point last_activity_at;
        /// When the client sent the current or last request.
        core::time_point request_sent_at;
        core::time_point request_pending_since;
        /// When the request was delivered to the host.
        core::time_point delivered_at;
        core::time_point phase_started_at;
        /// Peers that have not answered the search yet.
        std::vector<ipv4> unanswered_peers;
        /// Peers that were asked, in ascending order.
        std::vector<ipv4> asked_peers;
        bool all_peers_asked = false;
        /// Packet that the search sends to peers; empty outside the phases searching and unconfirmed.
        wire::buffer search_packet;
        std::uint32_t search_repeats = 0;
        core::time_point repeat_at;
        core::time_point search_started_at;
        /// The platform has confirmed the view after the search began.
        bool view_confirmed = false;
    };

    /// A flow that the host has accepted and the client has not used yet.
    struct unclaimed_flow
    {
        flow_key flow;
        core::time_point due;
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

    void handle_packet(const packet& value, wire::bytes_view bytes, ipv4 from, core::time_point now, actions& out);
    void open(const packet& value, wire::bytes_view bytes, core::time_point now, actions& out);
    /// @brief Whether an opening packet begins another flow with the addresses and ports of a recorded one.
    [[nodiscard]] static bool begins_new_flow(const flow_record& record, const packet& value) noexcept;
    void forget_flow(flow_map::iterator it, core::time_point now);
    /// @brief Leaves an opening packet to the client's next copy.
    static void decline(const packet& value, const host_load& load, std::string_view reason, actions& out);
    /// @brief Resets a flow that was not opened, and ends its placement at the entry.
    void refuse(const flow_key& flow, ipv4 entry, std::uint8_t hops, std::string_view reason, actions& out);
    void on_repeated_opening(flow_record& record, const packet& value, wire::bytes_view bytes, core::time_point now,
                             actions& out);
    bool redirect_flow(const flow_key& flow, wire::bytes_view bytes, ipv4 entry, std::uint8_t hops,
                       const peer_load* peer, std::string_view reason, core::time_point now, actions& out);
    void open_at_host(const packet& value, wire::bytes_view bytes, core::time_point now, actions& out);
    void on_search(const packet& value, wire::bytes_view bytes, ipv4 from, core::time_point now, actions& out);
    void on_unknown_flow(const packet& value, wire::bytes_view bytes, core::time_point now, actions& out);
    void search(flow_record& record, const packet& value, wire::bytes_view bytes, core::time_point now, actions& out);
    /// @brief Asks the possible owners that were not asked yet.
    /// @param repeats whether those that have not answered are asked again
    /// @return false if all have answered
    bool ask_possible_owners(flow_record& record, const flow_key& flow, bool repeats, core::time_point now,
                             actions& out);
    void end_search(flow_record& record, const flow_key& flow, core::time_point now, actions& out);
    [[nodiscard]] static bool is_searched(const flow_record& record) noexcept;
    void repeat_searches(core::time_point now, actions& out);
    bool redirect_opening(const opening_record& opening, wire::bytes_view bytes, std::string_view reason,
                          core::time_point now, actions& out);
    void deliver(flow_record& record, const packet& value, wire::bytes_view bytes, core::time_point now, actions& out);
    void on_returned_packet(const packet& value, wire::bytes_view bytes, core::time_point now, actions& out);
    void on_returned_opening(const packet& value, wire::bytes_view bytes, core::time_point now, actions& out);
    [[nodiscard]] static bool acknowledges_other_host(const flow_record& record, const packet& value) noexcept;
    void on_flow_unknown(ipv4 from, const flow_key& flow, core::time_point now, actions& out);
    void declare_lost(flow_record& record, const flow_key& flow, std::uint32_t sequence, std::string_view reason,
                      core::time_point now, actions& out);
    void send_flow_found(const flow_key& flow, ipv4 entry, actions& out);
    void set_request_pending(const flow_key& flow, flow_record& record, bool request_pending, core::time_point now);
    /// @brief Whether the client ends the flow without sending anything new.
    [[nodiscard]] static bool is_repeated_end(const flow_record& record, const packet& value) noexcept;
    bool may_deliver(flow_record& record, const packet& value, wire::bytes_view bytes, core::time_point now,
                     actions& out);
    void release_requests(core::time_point now, actions& out);
    /// @brief Records that the client still waits for the answer to its request.
    void record_client_waits(const flow_key& flow, const flow_record& record, core::time_point now);
    [[nodiscard]] core::milliseconds patience_of(const flow_key& flow) const;
    [[nodiscard]] std::uint32_t slots() const noexcept { return m_load.slots(); }
    void set_phase(flow_record& record, flow_phase phase, core::time_point now) noexcept;
    void set_fin_seen(flow_record& record, bool client_fin, bool host_fin) noexcept;
    [[nodiscard]] static bool is_open(const flow_record& record) noexcept;
    void clear_host_suspicion(core::time_point now, actions& out);
    void check_openings(core::time_point now, actions& out);
    void check_unclaimed_flows(core::time_point now);
    void sweep(core::time_point now);
    /// @brief Whether a flow was idle for longer than the idle timeout allows.
    [[nodiscard]] bool is_idle_too_long(const flow_record& record, core::time_point now) const;
    /// @brief Whether the agent's own host may have the flow.
    [[nodiscard]] static bool may_be_at_host(const flow_record& record) noexcept;
    [[nodiscard]] bool is_abandoned(const flow_key& flow, const flow_record& record, core::time_point now) const;
    [[nodiscard]] bool host_may_have_unknown_flow(core::time_point now) const noexcept;
    [[nodiscard]] bool accepts() const noexcept;
    void record_request_outcome(bool answered, std::string_view failure, const flow_key& flow, core::time_point now,
                                actions& out);
    /// @brief Whether new flows avoid this agent's host: it is failing, and the share of hosts that may be avoided is
    /// not used up (see may_avoid).
    [[nodiscard]] bool is_avoided() const noexcept;

    agent_relay_options m_options;
    const fleet_view& m_view;
    search_scope m_search_scope;
    load_exchange m_load;
    flow_map m_flows;
    admission_queue m_admission;
    cold_budget m_cold;
    host_health m_health;
    std::deque<opening_record> m_openings;
    std::deque<unclaimed_flow> m_unclaimed;
    /// Searches to repeat, the next one first.
    std::deque<search_repeat> m_search_repeats;
    /// Searches without a confirmation of the view, in the order of their beginning.
    std::deque<flow_key> m_unconfirmed;
    request_profile m_profile;
    std::uint32_t m_unanswered_openings = 0;
    bool m_suspected = false;
    bool m_draining = false;
    std::optional<core::time_point> m_view_confirmed_at;
    std::uint64_t m_idle_flows_discarded = 0;
    core::time_point m_next_probe;
    core::time_point m_next_sweep;
    early_openings m_early{agent_opening_age};
    /// Storage for the opening packets that the last call sent again.
    std::deque<std::array<std::uint8_t, opening_packet_size>> m_resent_openings;
};

} // namespace daisydoor::relay
