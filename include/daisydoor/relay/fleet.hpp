#pragma once

#include "daisydoor/core/time.hpp"
#include "daisydoor/relay/packet.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace daisydoor::relay
{

/// @brief Revision of the platform's store; increases with every change of any value.
enum class revision : std::uint64_t
{
};

/// @brief Generation of the platform's store; increases each time the store comes back from an older copy, which gives
/// out revisions again. 0 if it is not known.
enum class store_era : std::uint64_t
{
};

/// @brief Position in the history of the platform's store: a revision is comparable only within its era.
struct store_position
{
    store_era era{};
    relay::revision revision{};

    friend bool operator==(store_position a, store_position b) noexcept
    {
        return a.era == b.era && a.revision == b.revision;
    }
    friend bool operator!=(store_position a, store_position b) noexcept { return !(a == b); }
    friend bool operator<(store_position a, store_position b) noexcept
    {
        return a.era != b.era ? a.era < b.era : a.revision < b.revision;
    }
    friend bool operator<=(store_position a, store_position b) noexcept { return !(b < a); }
    friend bool operator>(store_position a, store_position b) noexcept { return b < a; }
    friend bool operator>=(store_position a, store_position b) noexcept { return !(a < b); }
};

/// @brief Version of the operator's routes; 0 means that no routes are known.
enum class route_version : std::uint64_t
{
};

enum class host_state : std::uint8_t
{
    ready,
    draining,
};
constexpr std::array<std::string_view, 2> host_state_names{"ready", "draining"};

/// @brief What a host publishes about itself.
struct host
{
    std::string id;
    std::string service;
    std::string availability_zone;
    /// Address of the host and of its agent.
    ipv4 address{};
    /// Port at which the host receives packets from its agent; 0 if it is not known.
    std::uint16_t port = 0;
    /// Number of requests that the host processes at the same time.
    std::uint32_t slots = 0;
    host_state state = host_state::ready;
    /// Remaining warm-up time of a host that has just started and is still slow.
    core::milliseconds cold_remaining{0};
    /// Start of this incarnation in Unix milliseconds.
    std::int64_t born = 0;
    /// Number of this write among the host's own; starts anew with each incarnation. 0 if it is not known.
    std::uint64_t sequence = 0;

    /// @brief Compares what is published, not the number of the write.
    friend bool operator==(const host& a, const host& b) noexcept
    {
        return a.id == b.id && a.service == b.service && a.availability_zone == b.availability_zone &&
               a.address == b.address && a.port == b.port && a.slots == b.slots && a.state == b.state &&
               a.cold_remaining == b.cold_remaining && a.born == b.born;
    }
};

struct weighted_service
{
    std::string service;
    /// Share of the route's new flows, relative to the sum of its weights; 0 for none.
    std::uint32_t weight = 1;

    friend bool operator==(const weighted_service& a, const weighted_service& b) noexcept
    {
        return a.weight == b.weight && a.service == b.service;
    }
};

enum class request_kind : std::uint8_t
{
    idempotent,
    non_idempotent,
    download,
};
constexpr std::array<std::string_view, 3> request_kind_names{"idempotent", "non_idempotent", "download"};

/// @brief One published address and the services that may get its new flows.
struct route
{
    ipv4 address{};
    std::uint16_t port = 0;
    request_kind kind = request_kind::idempotent;
    /// Time after which the client gives up a request; 0 if unknown.
    core::milliseconds timeout{0};
    /// Time after which the answer to a request is late.
    core::milliseconds target_latency{0};
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    std::vector<weighted_service> services;

    friend bool operator==(const route& a, const route& b) noexcept
    {
        return a.address == b.address && a.port == b.port && a.kind == b.kind && a.timeout == b.timeout &&
               a.target_latency == b.target_latency && a.priority == b.priority && a.services == b.services;
    }
};

/// @brief What a service publishes of its hosts that have just started.
struct cold_rate
{
    std::string service;
    /// Requests that such a host bears in a second; above 0.
    double requests_per_second = 0;
};

/// @brief All routes of one version of the operator's configuration.
struct route_set
{
    route_version version{};
    std::vector<route> routes;
    /// Flows that are idle for longer may be removed.
    core::milliseconds idle_timeout{0};
    /// Services without one have no limit.
    std::vector<cold_rate> cold_rates;
    /// Names of all services, in ascending order; empty if they are not known.
    std::vector<std::string> services = {};
};

/// @brief Difference between two versions of the routes; only a process that has the version `base` can apply it.
struct route_delta
{
    route_version base{};
    route_version version{};
    std::vector<route> changed;
    /// Only address and port are set.
    std::vector<route> dropped;
    core::milliseconds idle_timeout{0};
    /// All of them, as in route_set.
    std::vector<cold_rate> cold_rates;
    /// Whether the services below are known; a process of an earlier build does not tell them.
    bool has_services = false;
    std::vector<std::string> added_services = {};
    std::vector<std::string> removed_services = {};
};

/// @brief A host's entry was removed, or no longer describes a host.
struct host_removed
{
    std::string id;
};

/// @brief The operator asks that nothing new be sent to the hosts of an availability zone.
struct zone_evacuated
{
    std::string availability_zone;
};

/// @brief The operator has taken the evacuation of an availability zone back.
struct evacuation_ended
{
    std::string availability_zone;
};

/// @brief One change of the published state.
struct fleet_change
{
    relay::revision revision{};
    std::variant<host, host_removed, route_set, route_delta, zone_evacuated, evacuation_ended> value;
    /// Time for which a host is still used although its entry is missing at the platform; 0 if it is not missing.
    core::milliseconds grace{0};
    /// Time for which a host is not used yet because only an older copy of the platform's store names it; else 0.
    core::milliseconds disputed{0};
};

/// @brief A service that a route no longer names; flows that were opened before may still be open at its hosts.
struct former_service
{
    ipv4 address{};
    std::uint16_t port = 0;
    std::string service;
    /// Time since the route lost the service.
    core::milliseconds age{0};
};

/// @brief What a process knows about the former services of all routes.
struct routes_past
{
    /// Version of the routes up to which it reaches.
    route_version version{};
    /// Time for which no loss of a service is missing; 0 if nothing is known.
    core::milliseconds complete_for{0};
    std::vector<former_service> former;
    /// Whether the sender knows more, which its whole view has.
    bool is_partial = false;
};

/// @brief Part of the published state, as read from the platform or received from a peer.
struct fleet_update
{
    /// Revision up to which the changes are complete.
    relay::revision revision{};
    /// Whether the changes are the whole state: a host that is not among them was removed.
    bool whole = false;
    std::vector<fleet_change> changes;
    /// Values that could not be decoded, with the reason; they change nothing else.
    std::vector<std::string> rejected;
    /// Era of the store that the revisions belong to.
    store_era era{};
    /// The changes come from a whole read: they lack what came and went since the position before, and apply only to
    /// that very position.
    bool exact = false;
    /// The sender, of an earlier build, leaves evacuations out of the changes.
    bool lacks_evacuations = false;
    /// Former services that the sender knows.
    routes_past past = {};

    [[nodiscard]] store_position position() const noexcept { return {era, revision}; }
};

} // namespace daisydoor::relay
