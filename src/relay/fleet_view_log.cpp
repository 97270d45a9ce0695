#include "daisydoor/relay/fleet_view.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace daisydoor::relay
{

namespace
{

/// Maximum number of changes kept for subscribers; one that is further behind fetches the whole view.
constexpr std::size_t max_logged_changes = 256;

/// Time until `end`; 0 if it is over.
core::milliseconds remaining(core::time_point end, core::time_point now)
{
    return std::max(std::chrono::ceil<core::milliseconds>(end - now), core::milliseconds(0));
}

/// Time until `end`, at least 1 ms; 0 without an end.
core::milliseconds remaining(const std::optional<core::time_point>& end, core::time_point now)
{
    if (!end) {
        return core::milliseconds(0);
    }
    return std::max(std::chrono::duration_cast<core::milliseconds>(*end - now), core::milliseconds(1));
}

bool is_route_before(const route& a, const route& b) noexcept
{
    return std::tie(a.address, a.port) < std::tie(b.address, b.port);
}

/// @param before with routes in order
route_delta make_delta(const route_set& before, const route_set& after)
{
    route_delta result{before.version, after.version, {}, {}, after.idle_timeout, after.cold_rates};
    auto routes = after.routes;
    std::sort(routes.begin(), routes.end(), is_route_before);
    std::set_difference(before.routes.begin(), before.routes.end(), routes.begin(), routes.end(),
                        std::back_inserter(result.dropped), is_route_before);
    for (const auto& it : routes) {
        const auto old = std::lower_bound(before.routes.begin(), before.routes.end(), it, is_route_before);
        if (old == before.routes.end() || !(*old == it)) {
            result.changed.push_back(it);
        }
    }
    result.has_services = !before.services.empty() && !after.services.empty();
    if (result.has_services) {
        std::set_difference(after.services.begin(), after.services.end(), before.services.begin(),
                            before.services.end(), std::back_inserter(result.added_services));
        std::set_difference(before.services.begin(), before.services.end(), after.services.begin(),
                            after.services.end(), std::back_inserter(result.removed_services));
    }
    return result;
}

} // namespace

void fleet_view::restart_log(const fleet_update& update)
{
    m_log_base = m_position != store_position{} ? std::optional(m_position) : std::nullopt;
    m_log.clear();
    m_log_start = update.revision;
}

void fleet_view::append_to_log(const std::vector<fleet_change>& changes, relay::revision up_to, const route_set& before)
{
    std::vector<const fleet_change*> newer;
    for (const auto& change : changes) {
        // A later page of a whole read may be ahead of the read's revision; the watch returns such changes again.
        if (change.revision > m_position.revision && change.revision <= up_to) {
            newer.push_back(&change);
        }
    }
    // The changes of a whole view are in no order.
    std::stable_sort(newer.begin(), newer.end(),
                     [](const auto* a, const auto* b) { return a->revision < b->revision; });
    for (const auto* change : newer) {
        m_log.push_back(*change);
        if (const auto* routes = std::get_if<route_set>(&change->value);
            routes != nullptr && before.version != route_version{} && routes->version == m_version) {
            m_log.back().value.emplace<route_delta>(make_delta(before, *routes));
        }
    }
    while (m_log.size() > max_logged_changes) {
        m_log_start = std::max(m_log_start, m_log.front().revision);
        m_log.pop_front();
        m_log_base.reset();
    }
}

std::optional<fleet_update> fleet_view::changes_after(store_position after) const
{
    const bool is_base = m_log_base && after == *m_log_base;
    const bool is_logged =
        after.era == m_position.era && after.revision >= m_log_start && after.revision <= m_position.revision;
    if (!is_base && !is_logged) {
        return std::nullopt;
    }
    fleet_update result;
    result.era = m_position.era;
    result.revision = m_position.revision;
    result.exact = is_base;
    result.lacks_evacuations = m_lacks_evacuations;
    std::copy_if(m_log.begin(), m_log.end(), std::back_inserter(result.changes),
                 [&](const fleet_change& it) { return is_base || it.revision > after.revision; });
    return result;
}

fleet_update fleet_view::snapshot(core::time_point now) const
{
    fleet_update result;
    result.era = m_position.era;
    result.revision = m_position.revision;
    result.whole = true;
    result.lacks_evacuations = m_lacks_evacuations;
    for (const auto& [zone, entry] : m_evacuations.zones()) {
        result.changes.push_back({entry.revision, zone_evacuated{zone}});
    }
    for (const auto& [id, entry] : m_hosts) {
        auto value = entry.value;
        value.cold_remaining = remaining(entry.cold_until, now);
        result.changes.push_back({entry.revision, std::move(value), remaining(entry.grace_ends_at, now),
                                  remaining(entry.disputed_until, now)});
    }
    if (is_ready()) {
        route_set routes;
        routes.version = m_version;
        routes.idle_timeout = m_idle_timeout;
        routes.cold_rates = m_cold_rates;
        routes.services = m_services;
        for (const auto& [key, entry] : m_routes) {
            routes.routes.push_back(entry.value);
        }
        result.changes.push_back({m_routes_revision, std::move(routes)});
        result.past = m_history.describe(now);
    }
    return result;
}

fleet_change fleet_view::as_applied(const fleet_change& change, core::time_point now) const
{
    auto result = change;
    if (const auto* value = std::get_if<host>(&change.value)) {
        if (const auto it = m_hosts.find(value->id); it != m_hosts.end()) {
            result.value = it->second.value;
            result.grace = remaining(it->second.grace_ends_at, now);
            result.disputed = remaining(it->second.disputed_until, now);
        }
    }
    return result;
}

route_set fleet_view::sorted_routes() const
{
    route_set result;
    result.version = m_version;
    result.services = m_services;
    result.routes.reserve(m_routes.size());
    for (const auto& [key, entry] : m_routes) {
        result.routes.push_back(entry.value);
    }
    std::sort(result.routes.begin(), result.routes.end(), is_route_before);
    return result;
}

} // namespace daisydoor::relay
