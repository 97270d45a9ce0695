#pragma once

#include "daisydoor/relay/evacuations.hpp"
#include "daisydoor/relay/fleet.hpp"
#include "daisydoor/relay/route_history.hpp"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace daisydoor::relay
{

/// @brief Index of a service name in the view; valid for the view's lifetime.
enum class service_index : std::uint32_t
{
};

/// @brief A host in the view.
struct known_host
{
    /// The host as last published.
    relay::host value;
    relay::revision revision{};
    service_index service{};
    /// Key of the host in rendezvous hashing; differs between incarnations.
    std::uint64_t rendezvous_key = 0;
    bool in_own_zone = false;
    /// End of the grace period; set while the host's entry is missing at the platform but the host is still used.
    std::optional<core::time_point> grace_ends_at;
    /// Set while only an older copy of the store names the host, which had left: it is not used until then, unless it
    /// is written again.
    std::optional<core::time_point> disputed_until;
    bool zone_evacuated = false;
    /// Whether the configuration or a route names the host's service. If not, the entry may be another writer's.
    bool service_configured = true;
    /// End of the warm-up time, by this process's clock; the host is cold until then.
    core::time_point cold_until;

    /// @brief Whether the host is there and is not leaving, whether or not it gets new flows.
    [[nodiscard]] bool is_staying() const noexcept { return value.state == host_state::ready && !disputed_until; }
    /// @brief Whether new flows may be placed on the host.
    [[nodiscard]] bool accepts_new_flows() const noexcept { return is_staying() && !zone_evacuated; }
};

/// @brief The host beside a process, as the process's settings name it.
struct own_host
{
    ipv4 address{};
    /// Port at which the host receives packets.
    std::uint16_t port = 0;
    std::string service;
};

/// @brief A route with its services resolved.
struct known_route
{
    struct choice
    {
        service_index service{};
        std::uint32_t weight = 0;
    };

    /// The route as published.
    relay::route value;
    std::vector<choice> services;
    std::uint64_t total_weight = 0;
    /// Services that the route has lost, as far as they are known; flows that were opened before, or by a process
    /// without news, may be open there.
    std::vector<service_index> former_services;

    /// @brief Whether the route sends new flows to a service.
    [[nodiscard]] bool allows(service_index service) const noexcept;
};

/// Used until the configuration names an idle timeout.
constexpr core::milliseconds default_idle_timeout{15'000};

/// Interval at which a host writes its entry, unless the settings name another.
constexpr core::milliseconds default_host_heartbeat{1200};
/// The platform removes an entry after this many intervals without a write.
constexpr int heartbeats_until_removal = 3;
/// Time after which a removed host is forgotten; above the age of the copies that a store returns from, which is
/// seconds.
constexpr core::milliseconds removed_host_retention{60'000};

/// @brief What an update changed.
struct view_change
{
    bool routes = false;
    std::size_t hosts = 0;
    /// Availability zones whose evacuation came into force or ended.
    std::vector<std::string> zones_evacuated;
    std::vector<std::string> zones_returned;
    /// The update has a difference to a version of the routes that the view does not have: the whole state must be
    /// fetched.
    bool needs_whole = false;
    /// The update is older than the view.
    bool is_older = false;
    /// The update belongs to an era of the store that is over.
    bool is_from_former_era = false;
    /// The view moved on to another era of the store.
    bool is_new_era = false;

    [[nodiscard]] bool evacuations() const noexcept { return !zones_evacuated.empty() || !zones_returned.empty(); }
    /// @brief Whether subscribers must be told.
    [[nodiscard]] bool changes_view() const noexcept { return routes || hosts > 0 || is_new_era || evacuations(); }
};

/// @brief A process's view of the routes and hosts. Versions of routes and positions in the store's history only
/// increase. With a new era of the store, the view continues from the whole state that the store then has.
///
/// Load pattern: the platform may drop the entries of live hosts during an outage. A ready host whose entry disappears
/// within `lapsed_entry_grace` of the platform's return stays in use until that time is over.
///
/// Load pattern: other programs on the hosts' machines write entries of their own. An entry whose service no
/// configuration names is never preferred to a host's own at the same address.
///
/// After a return from an older copy, the hosts' own counts decide: an entry that a host wrote before the one in the
/// view changes nothing, and a host that had left is not used before its entry would have been removed again.
class fleet_view
{
  public:
    explicit fleet_view(std::string own_zone, core::milliseconds host_heartbeat = default_host_heartbeat,
                        route_history history = route_history());

    /// @brief Names the host beside this process, which decides which entry at its address is the host's.
    void set_own_host(own_host value);

    /// @brief Applies an update; values older than the view's are ignored. A whole set of routes is older if its
    /// version is, wherever in the store's history the update belongs.
    view_change apply(const fleet_update& update, core::time_point now);

    /// @brief Records that the platform has been reachable again since `at`, after an outage.
    void on_platform_regained(core::time_point at) noexcept
    {
        m_regained_at = m_regained_at ? std::max(*m_regained_at, at) : at;
    }

    /// @brief Removes hosts whose grace period is over, and forgets those that were removed long ago. Complexity:
    /// linear in these.
    /// @return the number of hosts removed
    std::size_t expire(core::time_point now);

    /// @brief Uses hosts whose entries are still there after the time in which they would have been removed.
    /// @return the number of such hosts
    std::size_t end_disputes(core::time_point now);

    /// @brief Whether routes are known; without them no packet can be handled.
    [[nodiscard]] bool is_ready() const noexcept { return m_version != route_version{}; }
    [[nodiscard]] route_version version() const noexcept { return m_version; }
    [[nodiscard]] relay::revision revision() const noexcept { return m_position.revision; }
    [[nodiscard]] store_era era() const noexcept { return m_position.era; }
    /// @brief Position up to which the view has all changes.
    [[nodiscard]] store_position position() const noexcept { return m_position; }
    /// @brief Whether the view has followed the store from one era to another.
    [[nodiscard]] bool has_changed_era() const noexcept { return m_has_changed_era; }
    /// @brief Time after which a flow without packets may be removed.
    [[nodiscard]] core::milliseconds idle_timeout() const noexcept
    {
        return m_idle_timeout.count() > 0 ? m_idle_timeout : default_idle_timeout;
    }
    /// @brief Requests a second that a host of a service bears while it is cold; nullopt if the service publishes no
    /// limit.
    [[nodiscard]] std::optional<double> cold_rate_of(const std::string& service) const;
    /// @brief Whether the present and former services of a route are all at which its flows may be open.
    [[nodiscard]] bool knows_former_services(core::time_point now) const { return m_history.is_complete(now); }
    [[nodiscard]] const route_history& history() const noexcept { return m_history; }
    /// @brief Takes over what a peer knows about former services.
    void learn_past(const routes_past& value, core::time_point now);
    [[nodiscard]] std::size_t route_count() const noexcept { return m_routes.size(); }

    /// @return nullptr if no route has this address. Complexity: constant; no allocation.
    [[nodiscard]] const known_route* find_route(ipv4 address, std::uint16_t port) const;

    /// @brief Whether an earlier version had a route that the present one dropped.
    [[nodiscard]] bool is_dropped_route(ipv4 address, std::uint16_t port) const;

    /// @brief Hosts of a service, in no particular order; empty for an unknown service.
    [[nodiscard]] const std::vector<const known_host*>& hosts_of(service_index service) const;

    /// @brief The newest incarnation at an address, or nullptr. An entry of a service that is not configured counts
    /// only if there is no other. At the address of this process, only the entry of its own host counts.
    [[nodiscard]] const known_host* find_host(ipv4 address) const;

    /// @brief Whether the host at an address may still be there: an entry of another writer does not stand for it.
    [[nodiscard]] bool may_have_host(ipv4 agent, core::time_point now) const;

    /// @brief Number of entries whose service neither the configuration nor a route names.
    [[nodiscard]] std::size_t unconfigured_host_count() const;

    [[nodiscard]] std::optional<service_index> find_service(const std::string& name) const;
    /// @brief All known hosts, by id.
    [[nodiscard]] const std::map<std::string, known_host>& hosts() const noexcept { return m_hosts; }

    /// @brief Evacuated availability zones, by name.
    [[nodiscard]] const std::map<std::string, evacuations::evacuation>& evacuated_zones() const noexcept
    {
        return m_evacuations.zones();
    }
    /// @brief Whether an agent's host is in an evacuated availability zone; for a host that is not in the view, whether
    /// this process is.
    [[nodiscard]] bool is_evacuated(ipv4 agent) const;
    /// @brief Whether the view may lack evacuations, since a process of an earlier build sent the latest update.
    [[nodiscard]] bool lacks_evacuations() const noexcept { return m_lacks_evacuations; }

    /// @brief Chooses the service of a flow by the weights of its route; every process makes the same choice.
    [[nodiscard]] static service_index choose_service(const known_route& route, std::uint64_t flow_hash) noexcept;

    /// @brief The whole state as an update, for a peer without any state.
    [[nodiscard]] fleet_update snapshot(core::time_point now) const;

    /// @brief Changes after a position, or nullopt if the log does not have them all. The log starts with the
    /// difference that the last whole read made, which only a view at the position before it can use.
    [[nodiscard]] std::optional<fleet_update> changes_after(store_position after) const;

    /// @brief When the platform last became reachable again, or nullopt if there was no outage.
    [[nodiscard]] std::optional<core::time_point> regained_at() const noexcept { return m_regained_at; }

  private:
    using route_key = std::uint64_t;

    static route_key key_of(ipv4 address, std::uint16_t port) noexcept;
    service_index intern(const std::string& name);

    /// @brief What the view keeps of a host that was removed.
    struct removed_host
    {
        host value;
        core::time_point removed_at;
    };

    bool apply_host(const fleet_change& change, core::time_point now);
    /// @brief Time after which an entry that is still at the platform was written by a live host.
    [[nodiscard]] core::milliseconds dispute_time() const noexcept;
    /// @brief Applies an entry that may be of the copy, and then older than the view's.
    bool apply_copied_host(const fleet_change& change, core::time_point now);
    bool apply_removal(const std::string& id, relay::revision at, core::time_point now, bool is_new_era);
    void forget_host(std::map<std::string, known_host>::iterator it, core::time_point now);
    /// @brief The change as subscribers need it: a host with its grace time and dispute.
    [[nodiscard]] fleet_change as_applied(const fleet_change& change, core::time_point now) const;
    /// @brief Whether a difference of routes applies to a version that the view does not have.
    [[nodiscard]] bool has_unknown_base(const fleet_update& update) const;
    /// @brief Starts the log anew with an update that is a difference to the present position only.
    void restart_log(const fleet_update& update);
    /// @brief Moves on to the era of an update, at revision 0.
    void begin_era(const fleet_update& update, core::time_point now);
    /// @brief Gives what an update did not change at the beginning of an era the update's revision.
    void confirm_unchanged_values(relay::revision at);
    /// @brief Applies the changes of an update and adds what they changed to `result`.
    /// @return the changes that had an effect, as subscribers in the former era need them
    std::vector<fleet_change> apply_changes(const fleet_update& update, bool is_newer_whole, core::time_point now,
                                            view_change& result);
    /// @brief Applies one change. @return what it changed
    /// @param is_gapless whether the change follows the one before
    view_change apply_change(const fleet_change& change, bool is_gapless, core::time_point now, bool is_new_era);
    /// @brief Ids of the known hosts that are missing in a whole update and no newer than it.
    [[nodiscard]] std::vector<std::string> hosts_not_named(const fleet_update& whole) const;
    /// @brief Removes what a whole update does not name.
    /// @return the changes as subscribers need them
    std::vector<fleet_change> apply_omissions(const fleet_update& whole, core::time_point now, view_change& result);
    /// @brief Starts the log anew if it lacks evacuations that a whole update has brought.
    void note_evacuations(const fleet_update& update, bool is_newer_whole);
    void mark_evacuated_hosts();
    bool apply_newer_routes(const fleet_update& update, core::time_point now);
    bool apply_routes(const route_set& value, relay::revision at, bool is_gapless, core::time_point now);
    bool apply_delta(const route_delta& value, relay::revision at, bool is_gapless, core::time_point now);
    void record_lost_services(const known_route& before, const known_route* after, core::time_point now);
    void refresh_former_services();
    [[nodiscard]] route_set sorted_routes() const;
    /// @param before the routes before the changes, in order
    void append_to_log(const std::vector<fleet_change>& changes, relay::revision up_to, const route_set& before);
    void index_hosts();
    /// @brief Which services the configuration, a route or the history names, by index.
    [[nodiscard]] std::vector<bool> configured_services() const;
    /// @brief Whether an entry, rather than another one with its address, describes the host at this address.
    [[nodiscard]] bool is_preferred(const known_host& a, const known_host& b) const noexcept;

    std::string m_own_zone;
    std::optional<own_host> m_own_host;
    core::milliseconds m_host_heartbeat;
    store_position m_position;
    bool m_has_changed_era = false;
    /// Revision at which the view followed the store to the present era. What was written up to then may be of the
    /// copy.
    relay::revision m_era_start{};
    route_version m_version{};
    relay::revision m_routes_revision{};
    core::milliseconds m_idle_timeout{0};
    std::vector<cold_rate> m_cold_rates;
    /// Services of the configuration, in ascending order; empty if they are not known.
    std::vector<std::string> m_services;
    std::optional<core::time_point> m_regained_at;
    std::unordered_map<std::string, service_index> m_service_indices;
    std::unordered_map<route_key, known_route> m_routes;
    std::unordered_set<route_key> m_dropped_routes;
    route_history m_history;
    std::map<std::string, known_host> m_hosts;
    std::unordered_map<std::string, removed_host> m_removed_hosts;
    evacuations m_evacuations;
    bool m_lacks_evacuations = false;
    /// Whether a host may be disputed; spares a pass over all hosts on every tick.
    bool m_has_disputes = false;
    std::vector<std::vector<const known_host*>> m_by_service;
    std::unordered_map<std::uint32_t, const known_host*> m_by_address;
    /// Changes after m_log_start, oldest first; bounded.
    std::deque<fleet_change> m_log;
    relay::revision m_log_start{};
    /// Position before the first change of the log, if the log starts with a difference to it.
    std::optional<store_position> m_log_base;
};

/// Entries that lapsed during an outage of the platform are registered again within about this time (2 s) after its
/// return.
constexpr core::milliseconds lapsed_entry_grace{2000};

} // namespace daisydoor::relay
