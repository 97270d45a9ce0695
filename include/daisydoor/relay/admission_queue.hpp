#pragma once

#include "daisydoor/core/time.hpp"
#include "daisydoor/relay/packet.hpp"
#include "daisydoor/wire/datagram.hpp"

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
/// A request without an answer for this long no longer holds its place: its client may have left, or the host is slow.
/// Several times the work of an ordinary request.
constexpr core::milliseconds service_slot_timeout{800};
/// Bounds the memory of waiting requests; above it the host decides itself.
constexpr std::size_t max_waiting_requests = 400;
/// Packets of one request that may wait; a client has at most 16 packets in flight.
constexpr std::size_t max_waiting_packets = 16;

/// @brief What decides the order of a request.
struct request_urgency
{
    /// When the client sent the request first, as far as known.
    core::time_point sent_at;
    /// Time after which the answer is late.
    core::milliseconds target_latency{0};
    /// Time after which the client has left; 0 if unknown.
    core::milliseconds timeout{0};
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
};

/// @brief Order in which requests reach a host that is busy.
///
/// Load pattern: after an outage, or in a burst, more requests arrive than the host has slots. In the host's own queue,
/// in order of arrival, requests that are late anyway make the fresh ones late too, and the host sheds what exceeds its
/// queue. Here the host gets little more than its slots. Requests that can still be on time go first, the more urgent
/// route before the others; late ones follow while there is room. Requests whose clients have left are dropped unsent.
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

    /// @brief A request that was dropped because its client had left.
    struct dropped_request
    {
        flow_key flow;
        core::milliseconds waited{0};
    };

    /// @brief The first packet of a request.
    /// @return whether it may be delivered at once; otherwise it waits inside
    bool on_request(const flow_key& flow, const request_urgency& urgency, std::uint32_t sequence,
                    wire::bytes_view bytes, std::uint32_t slots, core::time_point now);

    /// @brief A further packet of a flow.
    /// @return whether it may be delivered at once: false if the flow's request waits, which it then joins
    bool on_further_packet(const flow_key& flow, std::uint32_t sequence, wire::bytes_view bytes);

    /// @brief The host answered the flow's request, or the flow has ended.
    void on_request_ended(const flow_key& flow);

    /// @brief Requests that the host has room for, in the order in which to deliver them.
    std::vector<released_request> release(std::uint32_t slots, core::time_point now);

    [[nodiscard]] bool is_waiting(const flow_key& flow) const { return m_waiting.count(flow) != 0; }
    [[nodiscard]] std::size_t waiting() const noexcept { return m_waiting.size(); }
    [[nodiscard]] std::size_t in_service() const noexcept { return m_in_service.size(); }
    /// @brief Requests that the calls of release dropped since the last call of this function.
    std::vector<dropped_request> take_dropped() { return std::exchange(m_dropped, {}); }

  private:
    struct waiting_request
    {
        request_urgency urgency;
        core::time_point arrived_at;
        std::uint64_t arrival_number = 0;
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
    [[nodiscard]] bool precedes(const waiting_request& a, const waiting_request& b, core::time_point now) const;

    waiting_map m_waiting;
    std::deque<active_request> m_in_service;
    std::uint64_t m_next_number = 0;
    std::vector<dropped_request> m_dropped;
};

} // namespace daisydoor::relay
