#pragma once

#include "daisydoor/relay/actions.hpp"
#include "daisydoor/relay/fleet_view.hpp"

#include <functional>
#include <vector>

/// @brief Where new flows go. Pure functions of what is known at the moment.
namespace daisydoor::relay
{

/// @brief Chooses the host whose agent gets a flow first: by rendezvous among the usable hosts of the flow's service,
/// those in the own availability zone before the others.
///
/// Load pattern: many flows open at once at entries that know no load. The hash spreads them evenly, entries agree
/// without talking, and copies of one opening packet meet at one agent, which knows the load and may pass them on.
/// @param is_excluded hosts that were tried already; never chosen
/// @param is_avoided hosts that are chosen only if no other is left
/// @return nullptr if no usable host is left
const known_host* choose_host(const fleet_view& view, const known_route& route, std::uint64_t flow_hash,
                              const std::function<bool(ipv4)>& is_excluded,
                              const std::function<bool(ipv4)>& is_avoided);

/// @brief Chooses the agent that is asked first for a flow that no table knows: rank 0 over all hosts that may hold it,
/// whatever their state.
/// @return nullptr if no host is known
const known_host* choose_likely_owner(const fleet_view& view, const known_route& route, std::uint64_t flow_hash,
                                      const std::function<bool(ipv4)>& is_avoided);

/// @brief Load of a peer as last reported.
struct peer_load
{
    ipv4 agent{};
    host_load load;
    bool in_own_zone = false;
    /// Flows passed to the peer since its report.
    std::uint32_t flows_redirected = 0;
    /// Whether the peer has told its load; one that has not may be down.
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
/// @return addresses in ascending order; all others if the own host is not listed
std::vector<ipv4> load_peers(const std::vector<const known_host*>& hosts, ipv4 self);

/// @brief How much a host delays a new request; about 1 when all its slots are busy and it holds few flows.
double pressure_of(const host_load& load, std::uint32_t flows_redirected) noexcept;

/// Requests for each slot from which new flows wait for the client's next copy while peers are missing: about 100 ms of
/// work, half of the time until that copy.
constexpr std::uint32_t defer_requests_per_slot = 3;

/// @brief Whether a new flow should wait for the client's next copy of its opening packet.
///
/// Load pattern: after an outage agents come back one after the other. The first would get the flows of all, and long
/// flows keep them for minutes. The last copy is never left out.
/// @param copies number of copies that the client sent before
bool should_defer(const host_load& own, const std::vector<peer_load>& peers, std::uint32_t copies) noexcept;

/// @brief Whether a new request would wait in the queue for longer than its client waits.
///
/// Load pattern: an overload that lasts. Refused at once, the client may try another host while it still has time.
/// @param service mean time of the host for one request
/// @param timeout time after which the client has left; 0 if unknown
bool exceeds_client_timeout(const host_load& own, core::milliseconds service, core::milliseconds timeout) noexcept;

/// @brief Decides whether an agent passes a new flow on.
///
/// Load pattern: bursts, and long flows that pin work to one host, leave hosts of one service unequally busy while the
/// entries keep spreading new flows evenly. A flow is passed on only to a peer that is less busy by a margin, which is
/// larger across availability zones, so that equal hosts do not trade flows. Many agents see the same reports at the
/// same time: each flow chooses among all such peers by its hash, in proportion to how much less busy they are.
/// @return the peer, or nullptr to keep the flow
const peer_load* choose_less_busy(const host_load& own, const std::vector<peer_load>& peers,
                                  std::uint64_t flow_hash) noexcept;

} // namespace daisydoor::relay
