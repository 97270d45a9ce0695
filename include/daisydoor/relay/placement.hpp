#pragma once

#include "daisydoor/relay/actions.hpp"
#include "daisydoor/relay/fleet_view.hpp"

#include <functional>
#include <vector>

/// @brief Placement of new flows: pure functions of the view and the reported loads.
namespace daisydoor::relay
{

/// @brief Chooses the host whose agent gets a flow first: by rendezvous hashing among the hosts of the flow's service
/// that accept new flows, those in this process's availability zone first.
///
/// Load pattern: many flows open at once at entries that have no load reports. The hash spreads the flows evenly,
/// entries agree without communication, and all copies of an opening packet reach one agent, which knows the load and
/// may redirect the flow.
/// @param is_excluded hosts that were tried already; never chosen
/// @param is_avoided hosts that are chosen only if no other is left
/// @return nullptr if no such host is left
const known_host* choose_host(const fleet_view& view, const known_route& route, std::uint64_t flow_hash,
                              const std::function<bool(ipv4)>& is_excluded,
                              const std::function<bool(ipv4)>& is_avoided);

/// @brief Chooses the agent to which an entry sends a packet of a flow that is in no table: the first by rendezvous
/// hashing among the hosts of the route's present and known former services, in any state, so that all entries choose
/// the same; among all hosts if there is none.
/// @return nullptr if no host is known
const known_host* choose_likely_owner(const fleet_view& view, const known_route& route, std::uint64_t flow_hash,
                                      const std::function<bool(ipv4)>& is_avoided);

/// @brief Load of a peer as last reported.
struct peer_load
{
    ipv4 agent{};
    host_load load;
    bool in_own_zone = false;
    /// Flows redirected to the peer since its report.
    std::uint32_t flows_redirected = 0;
    /// Whether the peer has reported its load recently; one that has not may be down.
    bool has_reported = false;
};

/// Neighbours on each side of a ring with which an agent exchanges load: with two rings at most 16 peers, enough to
/// find one with free slots in a service that has any to spare.
constexpr std::size_t load_ring_reach = 4;

/// @brief Peers with which an agent exchanges load: its neighbours on a ring of the hosts of its availability zone, and
/// on a ring of all hosts of the service. Two agents always choose each other.
///
/// Load pattern: services with many hosts, where reports to all peers would grow with the square of the hosts.
/// @param hosts hosts of the agent's service
/// @return addresses in ascending order; all addresses of `hosts` if `self` is not one of them
std::vector<ipv4> load_peers(const std::vector<const known_host*>& hosts, ipv4 self);

/// @brief What the work of hosts is measured in, the same for all that are compared.
struct work_scale
{
    /// Mean work of a request of the service, in microseconds; 0 if unknown.
    double mean_us = 0;
    /// Slots that an open flow of a host keeps busy which doesn't say so itself.
    double slots_per_flow = 0;
};

/// @brief Scale for comparing a host with its peers: the median of the mean works that they report.
[[nodiscard]] work_scale work_scale_of(const host_load& own, const std::vector<peer_load>& peers);

/// @brief Pressure of a host, a measure of how much it delays a new request; about 1 when all its slots have a request
/// of mean work left and few flows are open.
///
/// Load pattern: requests that look alike and cost very different amounts of work, at hosts of different speeds, next
/// to flows that stay open for minutes with few requests. What counts is the work that a host still has to do and what
/// its open flows will bring, both as it reports them. Hosts that report no work are compared by their requests.
/// @param flows_redirected flows redirected to the host since its report
double pressure_of(const host_load& load, std::uint32_t flows_redirected, const work_scale& scale) noexcept;

/// Expected wait at or above which a new flow is deferred to the client's next copy of its opening packet while load
/// reports of peers are missing: half of the time until that copy.
constexpr core::milliseconds defer_wait{100};

/// @brief Age of an opening packet: clients send copies 200 and 600 ms after the first.
/// @param copies number of copies that the client sent before
core::milliseconds age_of_copy(std::uint32_t copies) noexcept;

/// @brief Time for which a new request would wait in front of a host: until its work left is done or, if that isn't
/// known, by its requests.
/// @param service_time mean time from the delivery of a request to its answer at the host
core::milliseconds expected_wait(const host_load& own, core::milliseconds service_time) noexcept;

/// @brief Whether a new flow should wait for the client's next copy of its opening packet.
///
/// Load pattern: after an outage agents restart one after the other. The first would get all new flows, and long flows
/// would stay there for minutes. The last copy that a client sends before it gives up is never deferred, nor is one
/// whose request the host answers on time: with the next copy it would mostly be late.
/// @param copies number of copies that the client sent before
/// @param service_time mean time from the delivery of a request to its answer at the host
/// @param patience time for which the client waits for an answer; 0 if unknown
/// @param target_latency time after which the answer is late; 0 if unknown
bool should_defer(const host_load& own, const std::vector<peer_load>& peers, std::uint32_t copies,
                  core::milliseconds service_time, core::milliseconds patience,
                  core::milliseconds target_latency) noexcept;

/// @brief Whether a new request would wait in the queue until its client has left.
///
/// Load pattern: lasting overload, and opening packets that clients sent before an outage. A client that is refused at
/// once still has time to try again; a request that waits until its client has left costs the client its attempt. A
/// flow that finds a free slot is never refused, since some clients wait longer than their route says.
/// @param copies number of copies of the opening packet that the client sent before
/// @param service_time mean time from the delivery of a request to its answer at the host
/// @param patience time for which the client waits for an answer; 0 if unknown
bool outlasts_patience(const host_load& own, std::uint32_t copies, core::milliseconds service_time,
                       core::milliseconds patience) noexcept;

/// @brief Chooses the peer to which an agent redirects a new flow, if any.
///
/// Load pattern: bursts, and long flows that pin work to one host, leave hosts of one service unequally busy while the
/// entries keep spreading new flows evenly. A flow is redirected only to a peer that is less busy by a margin, which is
/// larger across availability zones, so that equally busy hosts do not redirect flows to each other. Many agents see
/// the same reports at the same time: each flow chooses among all such peers by its hash, in proportion to how much
/// less busy they are.
/// @return the peer, or nullptr to keep the flow
const peer_load* choose_less_busy(const host_load& own, const std::vector<peer_load>& peers, std::uint64_t flow_hash);

} // namespace daisydoor::relay
