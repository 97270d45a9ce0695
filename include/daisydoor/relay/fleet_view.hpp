#pragma once

#include "daisydoor/relay/fleet.hpp"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace daisydoor::relay
{

/// @brief Position of a service's name in the view; stays valid as long as the view.
enum class service_index : std::uint32_t
{
};

/// @brief A host in the view.
struct known_host
{
    relay::host value;
    relay::revision revision{};
    service_index service{};
    /// Member of rendezvous hashing: differs between incarnations.
    std::uint64_t rendezvous_key = 0;
    bool in_own_zone = false;
    /// Set while the entry is missing but the host is still used.
    std::optional<core::time_point> grace_ends_at;

    /// @brief Whether new flows may be placed on the host.
    [[nodiscard]] bool accepts_new_flows() const noexcept { return value.state == host_state::ready; }
};

/// @brief A route with its services resolved.
struct known_route
{
    struct choice
    {
        service_index service{};
        std::uint32_t weight = 0;
    };

    relay::route value;
    std::vector<choice> services;
    std::uint64_t total_weight = 0;
    /// Services that earlier versions named: flows opened then may still be there.
    std::vector<service_index> former_services;

    /// @brief Whether the route sends new flows to a service.
    [[nodiscard]] bool allows(service_index service) const noexcept;
};

/// Used until the configuration names an idle timeout.
constexpr core::milliseconds default_idle_timeout{15'000};

/// @brief What an update changed.
struct view_change
{
    bool routes = false;
    std::size_t hosts = 0;
    /// The update holds a difference from routes that are not held: the whole state must be fetched.
    bool needs_whole = false;
};

/// @brief Routes and hosts as one process knows them. Versions and revisions only go up.
///
/// Load pattern: the platform may drop the entries of live hosts while it is away. A ready host whose entry vanishes
/// within `lapsed_entry_grace` of the platform's return stays in use until that time is over.
class fleet_view
{
  public:
    explicit fleet_view(std::string own_zone);

    /// @brief Applies an update; older values change nothing.
    view_change apply(const fleet_update& update, core::time_point now);

    /// @brief The platform answers again since `at`, after it could not be reached.
    void platform_regained(core::time_point at) noexcept
    {
        m_regained_at = m_regained_at ? std::max(*m_regained_at, at) : at;
    }

    /// @brief Removes hosts whose grace period is over.
    /// @return the number of hosts removed
    std::size_t expire(core::time_point now);

    /// @brief Whether routes are held, so that packets can be judged.
    [[nodiscard]] bool is_ready() const noexcept { return m_version != route_version{}; }
    [[nodiscard]] route_version version() const noexcept { return m_version; }
    [[nodiscard]] relay::revision revision() const noexcept { return m_revision; }
    /// @brief Time after which a flow without packets may be forgotten.
    [[nodiscard]] core::milliseconds idle_timeout() const noexcept
    {
        return m_idle_timeout.count() > 0 ? m_idle_timeout : default_idle_timeout;
    }
    [[nodiscard]] std::size_t route_count() const noexcept { return m_routes.size(); }

    /// @return nullptr if no route has this address. Complexity: constant; no allocation.
    [[nodiscard]] const known_route* find_route(ipv4 address, std::uint16_t port) const;

    /// @brief Whether an earlier version had a route that the present one dropped.
    [[nodiscard]] bool is_dropped_route(ipv4 address, std::uint16_t port) const;

    /// @brief Hosts of a service, in no particular order; empty for an unknown service.
    [[nodiscard]] const std::vector<const known_host*>& hosts_of(service_index service) const;

    /// @brief The newest incarnation at an address, or nullptr.
    [[nodiscard]] const known_host* find_host(ipv4 address) const;

    [[nodiscard]] std::optional<service_index> find_service(const std::string& name) const;
    [[nodiscard]] const std::map<std::string, known_host>& hosts() const noexcept { return m_hosts; }

    /// @brief The service that a flow belongs to by the weights of its route; all processes choose alike.
    [[nodiscard]] static service_index choose_service(const known_route& route, std::uint64_t flow_hash) noexcept;

    /// @brief The whole state as an update, for a peer that holds nothing.
    [[nodiscard]] fleet_update snapshot() const;

    /// @brief What changed after a revision, or nullopt if that is no longer known.
    [[nodiscard]] std::optional<fleet_update> changes_after(relay::revision after) const;

    /// @brief Time since the platform came back, or nullopt if it never was away.
    [[nodiscard]] std::optional<core::time_point> regained_at() const noexcept { return m_regained_at; }

  private:
    using route_key = std::uint64_t;

    static route_key key_of(ipv4 address, std::uint16_t port) noexcept;
    service_index intern(const std::string& name);
    bool apply_host(const host& value, relay::revision at);
    bool apply_removal(const std::string& id, relay::revision at, core::time_point now);
    /// @brief Ids of the hosts that a whole view of this or a later revision does not name.
    [[nodiscard]] std::vector<std::string> hosts_not_named(const fleet_update& whole) const;
    bool apply_routes(const route_set& value, relay::revision at);
    bool apply_delta(const route_delta& value, relay::revision at);
    [[nodiscard]] std::vector<route> sorted_routes() const;
    void append_to_log(const std::vector<fleet_change>& changes, route_version routes_before,
                       const std::vector<route>& before);
    void index_hosts();

    std::string m_own_zone;
    relay::revision m_revision{};
    route_version m_version{};
    relay::revision m_routes_revision{};
    core::milliseconds m_idle_timeout{0};
    std::optional<core::time_point> m_regained_at;
    std::unordered_map<std::string, service_index> m_service_indices;
    std::unordered_map<route_key, known_route> m_routes;
    std::unordered_map<route_key, std::vector<service_index>> m_dropped_routes;
    std::map<std::string, known_host> m_hosts;
    std::vector<std::vector<const known_host*>> m_by_service;
    std::unordered_map<std::uint32_t, const known_host*> m_by_address;
    /// Changes after m_log_start, oldest first; bounded.
    std::deque<fleet_change> m_log;
    relay::revision m_log_start{};
};

/// Entries that lapsed while the platform was away are back within about this time (PROTOCOL page, "Service
/// discovery").
constexpr core::milliseconds lapsed_entry_grace{2000};

} // namespace daisydoor::relay
