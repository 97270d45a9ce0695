#include "daisydoor/relay/fleet_view.hpp"

#include <algorithm>
#include <iterator>
#include <string_view>
#include <tuple>
#include <unordered_set>
#include <utility>
#include <xxhash.h>

namespace daisydoor::relay
{

namespace
{

const std::vector<const known_host*> no_hosts;
/// Bounds the history of a route whose services keep changing.
constexpr std::size_t max_former_services = 8;
/// Maximum number of changes kept for subscribers; one that is further behind fetches the whole view.
constexpr std::size_t max_logged_changes = 256;

std::uint64_t rendezvous_key_of(const host& value) noexcept
{
    return XXH3_64bits_withSeed(value.id.data(), value.id.size(), static_cast<std::uint64_t>(value.born));
}

void add_former(std::vector<service_index>& former_services, service_index service)
{
    if (std::find(former_services.begin(), former_services.end(), service) != former_services.end()) {
        return;
    }
    if (former_services.size() == max_former_services) {
        former_services.erase(former_services.begin());
    }
    former_services.push_back(service);
}

bool is_earlier_write(const host& a, const host& b) noexcept
{
    return std::tie(a.born, a.sequence) < std::tie(b.born, b.sequence);
}

/// Time until `end`, at least 1 ms; 0 without an end.
core::milliseconds remaining(const std::optional<core::time_point>& end, core::time_point now)
{
    if (!end) {
        return core::milliseconds(0);
    }
    return std::max(std::chrono::duration_cast<core::milliseconds>(*end - now), core::milliseconds(1));
}

std::optional<core::time_point> end_of(core::milliseconds time, core::time_point now)
{
    return time.count() > 0 ? std::optional(now + time) : std::nullopt;
}

bool is_route_before(const route& a, const route& b) noexcept
{
    return std::tie(a.address, a.port) < std::tie(b.address, b.port);
}

/// @param before sorted routes of the version `base`
route_delta make_delta(route_version base, const std::vector<route>& before, const route_set& after)
{
    route_delta result{base, after.version, {}, {}, after.idle_timeout};
    auto routes = after.routes;
    std::sort(routes.begin(), routes.end(), is_route_before);
    std::set_difference(before.begin(), before.end(), routes.begin(), routes.end(), std::back_inserter(result.dropped),
                        is_route_before);
    for (const auto& it : routes) {
        const auto old = std::lower_bound(before.begin(), before.end(), it, is_route_before);
        if (old == before.end() || !(*old == it)) {
            result.changed.push_back(it);
        }
    }
    return result;
}

} // namespace

bool known_route::allows(service_index service) const noexcept
{
    return std::any_of(services.begin(), services.end(),
                       [service](const choice& it) { return it.service == service && it.weight > 0; });
}

fleet_view::fleet_view(std::string own_zone, core::milliseconds host_heartbeat)
    : m_own_zone(std::move(own_zone)), m_host_heartbeat(host_heartbeat)
{
}

fleet_view::route_key fleet_view::key_of(ipv4 address, std::uint16_t port) noexcept
{
    return route_key{static_cast<std::uint32_t>(address)} << 16U | port;
}

service_index fleet_view::intern(const std::string& name)
{
    const auto next = service_index{static_cast<std::uint32_t>(m_service_indices.size())};
    return m_service_indices.emplace(name, next).first->second;
}

view_change fleet_view::apply_change(const fleet_change& change, core::time_point now, bool is_new_era)
{
    view_change result;
    if (std::holds_alternative<host>(change.value)) {
        const bool may_be_copied = m_has_changed_era && change.revision <= m_era_start;
        result.hosts = (may_be_copied ? apply_copied_host(change, now) : apply_host(change, now)) ? 1 : 0;
    } else if (const auto* removal = std::get_if<host_removed>(&change.value)) {
        result.hosts = apply_removal(removal->id, change.revision, now, is_new_era) ? 1 : 0;
    } else if (const auto* routes = std::get_if<route_set>(&change.value)) {
        result.routes = apply_routes(*routes, change.revision);
    } else if (const auto* delta = std::get_if<route_delta>(&change.value)) {
        result.routes = apply_delta(*delta, change.revision);
    }
    return result;
}

bool fleet_view::has_unknown_base(const fleet_update& update) const
{
    auto version = m_version;
    for (const auto& it : update.changes) {
        if (const auto* routes = std::get_if<route_set>(&it.value)) {
            version = std::max(version, routes->version);
        } else if (const auto* delta = std::get_if<route_delta>(&it.value);
                   delta != nullptr && delta->version > version) {
            if (delta->base != version) {
                return true;
            }
            version = delta->version;
        }
    }
    return false;
}

void fleet_view::confirm_unchanged_values(relay::revision at)
{
    for (auto& [id, entry] : m_hosts) {
        entry.revision = entry.revision == relay::revision{} ? at : entry.revision;
    }
    m_routes_revision = m_routes_revision == relay::revision{} ? at : m_routes_revision;
}

void fleet_view::restart_log(const fleet_update& update)
{
    m_log_base = m_position != store_position{} ? std::optional(m_position) : std::nullopt;
    m_log.clear();
    m_log_start = update.revision;
}

void fleet_view::begin_era(const fleet_update& update, core::time_point now)
{
    m_has_changed_era = m_position != store_position{};
    restart_log(update);
    m_era_start = update.revision;
    // Revisions of the former era say nothing about the order of changes in this one.
    for (auto& [id, entry] : m_hosts) {
        entry.revision = relay::revision{};
        if (entry.disputed_until) {
            // The platform counts the time without a write anew.
            entry.disputed_until = now + dispute_time();
        }
    }
    m_routes_revision = {};
    m_position = {update.era, relay::revision{}};
}

std::vector<fleet_change> fleet_view::apply_changes(const fleet_update& update, bool is_newer_whole,
                                                    core::time_point now, view_change& result)
{
    std::vector<fleet_change> applied;
    for (const auto& change : update.changes) {
        const bool is_route_set = std::holds_alternative<route_set>(change.value);
        if (!is_newer_whole && !is_route_set && change.revision <= m_position.revision) {
            continue;
        }
        const auto effect = apply_change(change, now, result.is_new_era);
        result.hosts += effect.hosts;
        result.routes = result.routes || effect.routes;
        if (effect.changes_view()) {
            applied.push_back(as_applied(change, now));
            if (update.whole) {
                applied.back().revision = update.revision;
            }
        }
    }
    return applied;
}

view_change fleet_view::apply(const fleet_update& update, core::time_point now)
{
    view_change result;
    const auto position = update.position();
    result.is_older = position < m_position;
    result.is_from_former_era = update.era < m_position.era;
    if (result.is_from_former_era || (!update.whole && position <= m_position)) {
        // Routes have an order of their own.
        result.routes = apply_newer_routes(update);
        return result;
    }
    const auto version_before = m_version;
    const bool has_routes = std::any_of(update.changes.begin(), update.changes.end(), [](const fleet_change& it) {
        return std::holds_alternative<route_set>(it.value);
    });
    const auto routes_before = has_routes ? sorted_routes() : std::vector<route>();
    const bool is_first = m_position == store_position{};
    // An update is applied as a whole or not at all: the position tells peers what the view has.
    if (has_unknown_base(update)) {
        result.needs_whole = true;
        return result;
    }
    if (update.era > m_position.era) {
        begin_era(update, now);
        result.is_new_era = !is_first;
    } else if (update.exact || (update.whole && position > m_position)) {
        restart_log(update);
    }
    // The state is complete up to m_position: an older change is a duplicate, or was replaced since.
    const bool is_newer_whole = update.whole && position >= m_position;
    const auto applied = apply_changes(update, is_newer_whole, now, result);
    std::vector<fleet_change> removals;
    if (is_newer_whole) {
        for (auto& id : hosts_not_named(update)) {
            result.hosts += apply_removal(id, update.revision, now, result.is_new_era) ? 1 : 0;
            removals.push_back({update.revision, host_removed{std::move(id)}});
        }
    }
    if (result.is_new_era) {
        confirm_unchanged_values(update.revision);
    }
    if (is_first) {
        // The log starts after the first update.
        m_log_start = update.revision;
    } else {
        // Subscribers get the difference between the eras at once.
        append_to_log(result.is_new_era ? applied : update.changes, update.revision, version_before, routes_before);
        std::move(removals.begin(), removals.end(), std::back_inserter(m_log));
    }
    m_position = std::max(m_position, position);
    if (result.hosts > 0) {
        index_hosts();
    }
    return result;
}

std::vector<std::string> fleet_view::hosts_not_named(const fleet_update& whole) const
{
    std::unordered_set<std::string_view> named;
    for (const auto& it : whole.changes) {
        if (const auto* value = std::get_if<host>(&it.value)) {
            named.insert(value->id);
        }
    }
    std::vector<std::string> result;
    for (const auto& [id, entry] : m_hosts) {
        if (named.count(id) == 0 && entry.revision <= whole.revision) {
            result.push_back(id);
        }
    }
    return result;
}

void fleet_view::append_to_log(const std::vector<fleet_change>& changes, relay::revision up_to,
                               route_version routes_before, const std::vector<route>& before)
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
            routes != nullptr && routes_before != route_version{} && routes->version == m_version) {
            m_log.back().value.emplace<route_delta>(make_delta(routes_before, before, *routes));
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
    std::copy_if(m_log.begin(), m_log.end(), std::back_inserter(result.changes),
                 [&](const fleet_change& it) { return is_base || it.revision > after.revision; });
    return result;
}

std::vector<route> fleet_view::sorted_routes() const
{
    std::vector<route> result;
    result.reserve(m_routes.size());
    for (const auto& [key, entry] : m_routes) {
        result.push_back(entry.value);
    }
    std::sort(result.begin(), result.end(), is_route_before);
    return result;
}

bool fleet_view::apply_delta(const route_delta& value, relay::revision at)
{
    if (value.base != m_version) {
        return false;
    }
    route_set whole;
    whole.version = value.version;
    whole.idle_timeout = value.idle_timeout;
    const auto is_replaced = [&value](const route& it) {
        const auto is_same = [&it](const route& other) { return other.address == it.address && other.port == it.port; };
        return std::any_of(value.changed.begin(), value.changed.end(), is_same) ||
               std::any_of(value.dropped.begin(), value.dropped.end(), is_same);
    };
    for (const auto& [key, entry] : m_routes) {
        if (!is_replaced(entry.value)) {
            whole.routes.push_back(entry.value);
        }
    }
    whole.routes.insert(whole.routes.end(), value.changed.begin(), value.changed.end());
    return apply_routes(whole, at);
}

bool fleet_view::apply_host(const fleet_change& change, core::time_point now)
{
    const auto& value = std::get<host>(change.value);
    auto [it, added] = m_hosts.try_emplace(value.id);
    auto& entry = it->second;
    const auto at = change.revision;
    // A peer may know that an entry is missing which has not changed since the beginning of the era.
    const bool is_repeated = at == entry.revision && !entry.grace_ends_at && change.grace.count() == 0;
    if (!added && (at < entry.revision || is_repeated)) {
        return false;
    }
    const bool is_certain = !entry.grace_ends_at && !entry.disputed_until && change.grace.count() == 0;
    entry.revision = at;
    if (!added && is_certain && entry.value == value) {
        entry.value.sequence = value.sequence;
        return false;
    }
    entry.value = value;
    entry.service = intern(value.service);
    entry.rendezvous_key = rendezvous_key_of(value);
    entry.in_own_zone = value.availability_zone == m_own_zone;
    entry.grace_ends_at = end_of(change.grace, now);
    entry.disputed_until = end_of(change.disputed, now);
    m_removed_hosts.erase(value.id);
    return true;
}

core::milliseconds fleet_view::dispute_time() const noexcept
{
    return m_host_heartbeat * heartbeats_until_removal + lapsed_entry_grace;
}

bool fleet_view::apply_copied_host(const fleet_change& change, core::time_point now)
{
    const auto& value = std::get<host>(change.value);
    if (const auto it = m_hosts.find(value.id); it != m_hosts.end()) {
        auto& entry = it->second;
        const bool is_repeated = entry.disputed_until && !is_earlier_write(entry.value, value);
        if (is_earlier_write(value, entry.value) || is_repeated) {
            entry.revision = change.revision;
            const auto grace_ends_at = end_of(change.grace, now);
            return std::exchange(entry.grace_ends_at, grace_ends_at).has_value() != grace_ends_at.has_value();
        }
        return apply_host(change, now);
    }
    const auto removed = m_removed_hosts.find(value.id);
    const bool had_left = removed != m_removed_hosts.end() && !is_earlier_write(removed->second.value, value);
    if (!had_left) {
        return apply_host(change, now);
    }
    auto disputed = change;
    disputed.disputed = std::max(change.disputed, dispute_time());
    return apply_host(disputed, now);
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

bool fleet_view::apply_removal(const std::string& id, relay::revision at, core::time_point now, bool is_new_era)
{
    const auto it = m_hosts.find(id);
    if (it == m_hosts.end() || it->second.revision > at || it->second.grace_ends_at) {
        return false;
    }
    auto& entry = it->second;
    const bool has_returned = m_regained_at && now - *m_regained_at < lapsed_entry_grace;
    // An older copy also lacks draining hosts that still serve their flows.
    const bool may_return = is_new_era || (has_returned && entry.value.state == host_state::ready);
    if (may_return && !entry.disputed_until) {
        entry.grace_ends_at = (has_returned ? *m_regained_at : now) + lapsed_entry_grace;
        entry.revision = at;
    } else {
        forget_host(it, now);
    }
    return true;
}

void fleet_view::forget_host(std::map<std::string, known_host>::iterator it, core::time_point now)
{
    for (auto removed = m_removed_hosts.begin(); removed != m_removed_hosts.end();) {
        const bool is_over = now - removed->second.removed_at > removed_host_retention;
        removed = is_over ? m_removed_hosts.erase(removed) : std::next(removed);
    }
    m_removed_hosts.insert_or_assign(it->first, removed_host{it->second.value, now});
    m_hosts.erase(it);
}

std::size_t fleet_view::expire(core::time_point now)
{
    std::size_t result = 0;
    for (auto it = m_hosts.begin(); it != m_hosts.end();) {
        const auto entry = it++;
        if (entry->second.grace_ends_at && now >= *entry->second.grace_ends_at) {
            forget_host(entry, now);
            ++result;
        }
    }
    if (result > 0) {
        index_hosts();
    }
    return result;
}

std::size_t fleet_view::end_disputes(core::time_point now)
{
    std::size_t result = 0;
    for (auto& [id, entry] : m_hosts) {
        if (entry.disputed_until && now >= *entry.disputed_until) {
            entry.disputed_until.reset();
            m_removed_hosts.erase(id);
            ++result;
        }
    }
    if (result > 0) {
        index_hosts();
    }
    return result;
}

bool fleet_view::apply_newer_routes(const fleet_update& update)
{
    bool result = false;
    for (const auto& it : update.changes) {
        if (const auto* routes = std::get_if<route_set>(&it.value)) {
            result = apply_routes(*routes, m_position.revision) || result;
        }
    }
    return result;
}

bool fleet_view::apply_routes(const route_set& value, relay::revision at)
{
    if (value.version <= m_version) {
        return false;
    }
    auto before = std::exchange(m_routes, {});
    for (const auto& it : value.routes) {
        const auto key = key_of(it.address, it.port);
        known_route entry;
        entry.value = it;
        for (const auto& choice : it.services) {
            entry.services.push_back({intern(choice.service), choice.weight});
            entry.total_weight += choice.weight;
        }
        if (const auto old = before.find(key); old != before.end()) {
            entry.former_services = std::move(old->second.former_services);
            for (const auto& choice : old->second.services) {
                add_former(entry.former_services, choice.service);
            }
            before.erase(old);
        } else if (const auto dropped = m_dropped_routes.find(key); dropped != m_dropped_routes.end()) {
            entry.former_services = std::move(dropped->second);
        }
        m_dropped_routes.erase(key);
        m_routes.insert_or_assign(key, std::move(entry));
    }
    for (auto& [key, old] : before) {
        m_dropped_routes.insert_or_assign(key, std::move(old.former_services));
    }
    m_version = value.version;
    m_routes_revision = at;
    m_idle_timeout = value.idle_timeout;
    return true;
}

void fleet_view::index_hosts()
{
    m_by_service.assign(m_service_indices.size(), {});
    m_by_address.clear();
    for (const auto& [id, entry] : m_hosts) {
        if (entry.disputed_until) {
            continue;
        }
        m_by_service.at(static_cast<std::size_t>(entry.service)).push_back(&entry);
        auto& newest = m_by_address[static_cast<std::uint32_t>(entry.value.address)];
        if (newest == nullptr || newest->value.born < entry.value.born) {
            newest = &entry;
        }
    }
}

const known_route* fleet_view::find_route(ipv4 address, std::uint16_t port) const
{
    const auto it = m_routes.find(key_of(address, port));
    return it != m_routes.end() ? &it->second : nullptr;
}

bool fleet_view::is_dropped_route(ipv4 address, std::uint16_t port) const
{
    return m_dropped_routes.count(key_of(address, port)) != 0;
}

const std::vector<const known_host*>& fleet_view::hosts_of(service_index service) const
{
    const auto i = static_cast<std::size_t>(service);
    return i < m_by_service.size() ? m_by_service[i] : no_hosts;
}

const known_host* fleet_view::find_host(ipv4 address) const
{
    const auto it = m_by_address.find(static_cast<std::uint32_t>(address));
    return it != m_by_address.end() ? it->second : nullptr;
}

std::optional<service_index> fleet_view::find_service(const std::string& name) const
{
    const auto it = m_service_indices.find(name);
    return it != m_service_indices.end() ? std::optional(it->second) : std::nullopt;
}

service_index fleet_view::choose_service(const known_route& route, std::uint64_t flow_hash) noexcept
{
    if (route.total_weight == 0) {
        return route.services.empty() ? service_index{} : route.services.front().service;
    }
    std::uint64_t point = flow_hash % route.total_weight;
    for (const auto& it : route.services) {
        if (point < it.weight) {
            return it.service;
        }
        point -= it.weight;
    }
    return route.services.back().service;
}

fleet_update fleet_view::snapshot(core::time_point now) const
{
    fleet_update result;
    result.era = m_position.era;
    result.revision = m_position.revision;
    result.whole = true;
    for (const auto& [id, entry] : m_hosts) {
        result.changes.push_back(
            {entry.revision, entry.value, remaining(entry.grace_ends_at, now), remaining(entry.disputed_until, now)});
    }
    if (is_ready()) {
        route_set routes;
        routes.version = m_version;
        routes.idle_timeout = m_idle_timeout;
        for (const auto& [key, entry] : m_routes) {
            routes.routes.push_back(entry.value);
        }
        result.changes.push_back({m_routes_revision, std::move(routes)});
    }
    return result;
}

} // namespace daisydoor::relay
