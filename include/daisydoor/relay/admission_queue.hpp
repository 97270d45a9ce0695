#pragma once

#include "daisydoor/core/time.hpp"
#include "daisydoor/relay/caller_shares.hpp"
#include "daisydoor/relay/packet.hpp"
#include "daisydoor/relay/request_profile.hpp"
#include "daisydoor/wire/datagram.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace daisydoor::relay
{

/// Requests that a host may have beyond its slots, so that no slot idles while the next request is on its way.
constexpr std::uint32_t max_requests_beyond_slots = 1;
/// A request without an answer for this many service times no longer counts against the host's slots: its client may
/// have given up, or the host is slow.
constexpr std::uint32_t service_slot_factor = 16;
/// Bounds of that time.
constexpr core::milliseconds min_service_slot_timeout{200};
constexpr core::milliseconds max_service_slot_timeout{1600};
/// Maximum number of waiting requests, which bounds their memory; further requests go to the host at once, which
/// decides itself.
constexpr std::size_t max_waiting_requests = 400;
/// Maximum number of waiting packets of one request; a client has at most 16 packets in flight.
constexpr std::size_t max_waiting_packets = 16;
/// Of this many requests that are released in a row, one may be a request at its last chance, whatever its rank.
constexpr std::uint32_t last_chance_interval = 8;
/// Part of its client's patience at which a request has its last chance.
constexpr double last_chance_age = 0.75;
/// Priorities that are reported one by one; the last one stands for all less urgent ones too.
constexpr std::size_t reported_priorities = 8;

/// @brief Attributes that decide the order of a request.
struct request_urgency
{
    /// When the client first sent the request, as far as known.
    core::time_point sent_at;
    /// Time after which the answer is late.
    core::milliseconds target_latency{0};
    /// Time for which the client waits as far as known; 0 if unknown. Some clients wait longer.
    core::milliseconds patience{0};
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
};

/// @brief Admission queue of one host: limits the requests at the host and orders those that wait.
///
/// Load pattern: after an outage, or in a burst, more requests arrive than the host has slots. The host's own queue is
/// in order of arrival, so that requests that are late already also make new ones late, and the host sheds requests
/// beyond its queue. This queue delivers at most max_requests_beyond_slots more requests than the host has slots.
/// Requests that can still meet their target latency go first, the more urgent route before the others; late ones
/// follow while there is room, and last those whose clients have probably given up. Among requests of one rank, callers
/// have fair shares (see caller_shares). One in last_chance_interval is the oldest request whose client's patience is
/// nearly over and which can still be answered, so that neither a late request nor a less urgent route is left out
/// until its client leaves. A request is dropped without delivery only when its client has ended the flow or has
/// stopped retransmitting the request.
class admission_queue
{
  public:
    /// @brief A request that may now be delivered, with its packets in order.
    struct released_request
    {
        flow_key flow;
        std::vector<wire::buffer> packets;
        core::milliseconds waited{0};
    };

    /// @brief A request that was dropped because its client had given up.
    struct dropped_request
    {
        flow_key flow;
        /// Sequence number of its first packet.
        std::uint32_t sequence = 0;
        core::milliseconds waited{0};
    };

    /// @brief Adds the first packet of a request.
    /// @param sequence sequence number of the packet, by which its copies are recognized
    /// @param slots slots of the host
    /// @return whether it may be delivered at once; otherwise it waits in the queue
    bool on_request(const flow_key& flow, const request_urgency& urgency, std::uint32_t sequence,
                    wire::bytes_view bytes, std::uint32_t slots, core::time_point now);

    /// @brief Adds a further packet of a flow.
    /// @return whether it may be delivered at once: false if the flow's request waits; the packet then waits with it
    bool on_further_packet(const flow_key& flow, std::uint32_t sequence, wire::bytes_view bytes, core::time_point now);

    /// @brief Removes the flow's request after its answer or the end of the flow, which frees its place.
    void on_request_ended(const flow_key& flow);

    /// @brief Removes and returns the waiting requests that the host has room for, in the order of delivery.
    std::vector<released_request> release(std::uint32_t slots, core::time_point now);

    /// @brief Sets the expected time from the delivery of a request to its answer.
    void set_service_time(core::milliseconds time) noexcept { m_service_time = time; }

    [[nodiscard]] bool is_waiting(const flow_key& flow) const { return m_waiting.count(flow) != 0; }
    [[nodiscard]] std::size_t waiting() const noexcept { return m_waiting.size(); }
    /// @brief Waiting requests by the priority of their routes. Complexity: linear in waiting().
    [[nodiscard]] std::array<std::size_t, reported_priorities> waiting_by_priority() const noexcept;
    [[nodiscard]] std::size_t in_service() const noexcept { return m_in_service.size(); }
    /// @brief Returns and clears the requests that release() has dropped.
    std::vector<dropped_request> take_dropped() { return std::exchange(m_dropped, {}); }

  private:
    struct waiting_request
    {
        request_urgency urgency;
        core::time_point arrived_at;
        /// When the client last sent a packet of the request.
        core::time_point last_packet_at;
        std::uint32_t retransmissions = 0;
        std::uint64_t arrival_number = 0;
        /// Start in virtual time by the shares of the callers.
        double share_start = 0;
        std::vector<wire::buffer> packets;
        std::vector<std::uint32_t> sequences;
    };

    struct active_request
    {
        flow_key flow;
        core::time_point since;
    };

    using waiting_map = std::unordered_map<flow_key, waiting_request, flow_key_hash>;

    void expire_slow_requests(core::time_point now);
    void drop_expired(core::time_point now);
    [[nodiscard]] bool is_on_time(const request_urgency& urgency, core::time_point now) const noexcept;
    [[nodiscard]] static bool client_has_left(const waiting_request& request, core::time_point now) noexcept;
    [[nodiscard]] bool precedes(const waiting_request& a, const waiting_request& b, core::time_point now) const;
    /// @brief Whether the client will soon have left, but not before an answer if the request is delivered now.
    [[nodiscard]] bool is_last_chance(const request_urgency& urgency, core::time_point now) const noexcept;
    [[nodiscard]] waiting_map::iterator choose_next(core::time_point now);

    waiting_map m_waiting;
    std::deque<active_request> m_in_service;
    std::uint64_t m_next_number = 0;
    caller_shares m_shares;
    /// Requests released since the last one at its last chance.
    std::uint32_t m_releases = 0;
    core::milliseconds m_service_time = initial_service_time;
    std::vector<dropped_request> m_dropped;
};

} // namespace daisydoor::relay
