#include "daisydoor/relay/fleet_view.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace daisydoor::relay
{

namespace
{

void append(std::vector<std::string>& to, std::vector<std::string>& from)
{
    std::move(from.begin(), from.end(), std::back_inserter(to));
}

} // namespace

bool known_route::allows(service_index service) const noexcept
{
    return std::any_of(services.begin(), services.end(),
                       [service](const choice& it) { return it.service == service && it.weight > 0; });
}

fleet_view::fleet_view(std::string own_zone, core::milliseconds host_heartbeat, route_history history)
    : m_own_zone(std::move(own_zone)), m_host_heartbeat(host_heartbeat), m_history(std::move(history))
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

view_change fleet_view::apply_change(const fleet_change& change, bool is_gapless, core::time_point now, bool is_new_era)
{
    view_change result;
    if (std::holds_alternative<host>(change.value)) {
        const bool may_be_copied = m_has_changed_era && change.revision <= m_era_start;
        result.hosts = (may_be_copied ? apply_copied_host(change, now) : apply_host(change, now)) ? 1 : 0;
    } else if (const auto* removal = std::get_if<host_removed>(&change.value)) {
        result.hosts = apply_removal(removal->id, change.revision, now, is_new_era) ? 1 : 0;
    } else if (const auto* routes = std::get_if<route_set>(&change.value)) {
        result.routes = apply_routes(*routes, change.revision, is_gapless, now);
    } else if (const auto* delta = std::get_if<route_delta>(&change.value)) {
        result.routes = apply_delta(*delta, change.revision, is_gapless, now);
    } else if (const auto* evacuated = std::get_if<zone_evacuated>(&change.value)) {
        if (m_evacuations.begin(evacuated->availability_zone, change.revision, now)) {
            result.zones_evacuated.push_back(evacuated->availability_zone);
        }
    } else if (const auto* ended = std::get_if<evacuation_ended>(&change.value)) {
        if (m_evacuations.end(ended->availability_zone, change.revision)) {
            result.zones_returned.push_back(ended->availability_zone);
        }
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
    m_evacuations.confirm_unchanged(at);
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
    m_evacuations.begin_era();
    m_position = {update.era, relay::revision{}};
}

std::vector<fleet_change> fleet_view::apply_changes(const fleet_update& update, bool is_newer_whole,
                                                    core::time_point now, view_change& result)
{
    std::vector<fleet_change> applied;
    const bool is_gapless = !update.whole && !update.exact;
    for (const auto& change : update.changes) {
        const bool is_route_set = std::holds_alternative<route_set>(change.value);
        if (!is_newer_whole && !is_route_set && change.revision <= m_position.revision) {
            continue;
        }
        auto effect = apply_change(change, is_gapless, now, result.is_new_era);
        result.hosts += effect.hosts;
        result.routes = result.routes || effect.routes;
        append(result.zones_evacuated, effect.zones_evacuated);
        append(result.zones_returned, effect.zones_returned);
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
        result.routes = apply_newer_routes(update, now);
        learn_past(update.past, now);
        return result;
    }
    const bool has_routes = std::any_of(update.changes.begin(), update.changes.end(), [](const fleet_change& it) {
        return std::holds_alternative<route_set>(it.value);
    });
    const auto routes_before = has_routes ? sorted_routes() : route_set();
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
    auto removals = is_newer_whole ? apply_omissions(update, now, result) : std::vector<fleet_change>();
    if (result.is_new_era) {
        confirm_unchanged_values(update.revision);
    }
    if (is_first) {
        // The log starts after the first update.
        m_log_start = update.revision;
    } else {
        // Subscribers get the difference between the eras at once.
        append_to_log(result.is_new_era ? applied : update.changes, update.revision, routes_before);
        std::move(removals.begin(), removals.end(), std::back_inserter(m_log));
    }
    note_evacuations(update, is_newer_whole);
    m_position = std::max(m_position, position);
    if (result.hosts > 0) {
        index_hosts();
    }
    if (result.evacuations()) {
        mark_evacuated_hosts();
    }
    learn_past(update.past, now);
    return result;
}

std::vector<fleet_change> fleet_view::apply_omissions(const fleet_update& whole, core::time_point now,
                                                      view_change& result)
{
    std::vector<fleet_change> removals;
    for (auto& id : hosts_not_named(whole)) {
        result.hosts += apply_removal(id, whole.revision, now, result.is_new_era) ? 1 : 0;
        removals.push_back({whole.revision, host_removed{std::move(id)}});
    }
    if (whole.lacks_evacuations) {
        return removals;
    }
    for (auto& zone : m_evacuations.not_named(whole)) {
        m_evacuations.end(zone, whole.revision);
        result.zones_returned.push_back(zone);
        removals.push_back({whole.revision, evacuation_ended{std::move(zone)}});
    }
    return removals;
}

void fleet_view::note_evacuations(const fleet_update& update, bool is_newer_whole)
{
    const bool gains = m_lacks_evacuations && is_newer_whole && !update.lacks_evacuations;
    if (gains) {
        m_lacks_evacuations = false;
        m_log.clear();
        m_log_base.reset();
        m_log_start = std::max(m_position.revision, update.revision);
    } else if (update.lacks_evacuations && update.position() > m_position) {
        m_lacks_evacuations = true;
    }
}

bool fleet_view::is_evacuated(ipv4 agent) const
{
    const auto* known = find_host(agent);
    return known != nullptr ? known->zone_evacuated : m_evacuations.contains(m_own_zone);
}

void fleet_view::mark_evacuated_hosts()
{
    for (auto& [id, entry] : m_hosts) {
        entry.zone_evacuated = m_evacuations.contains(entry.value.availability_zone);
    }
}

bool fleet_view::apply_delta(const route_delta& value, relay::revision at, bool is_gapless, core::time_point now)
{
    if (value.base != m_version) {
        return false;
    }
    route_set whole;
    whole.version = value.version;
    whole.idle_timeout = value.idle_timeout;
    whole.cold_rates = value.cold_rates;
    if (value.has_services && !m_services.empty()) {
        std::vector<std::string> kept;
        std::set_difference(m_services.begin(), m_services.end(), value.removed_services.begin(),
                            value.removed_services.end(), std::back_inserter(kept));
        std::set_union(kept.begin(), kept.end(), value.added_services.begin(), value.added_services.end(),
                       std::back_inserter(whole.services));
    }
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
    return apply_routes(whole, at, is_gapless, now);
}

bool fleet_view::apply_newer_routes(const fleet_update& update, core::time_point now)
{
    bool result = false;
    for (const auto& it : update.changes) {
        if (const auto* routes = std::get_if<route_set>(&it.value)) {
            result = apply_routes(*routes, m_position.revision, false, now) || result;
        }
    }
    return result;
}

bool fleet_view::apply_routes(const route_set& value, relay::revision at, bool is_gapless, core::time_point now)
{
    if (value.version == m_version && m_cold_rates.empty()) {
        // A process of an earlier build told the version without them.
        m_cold_rates = value.cold_rates;
    }
    if (value.version == m_version && m_services.empty() && !value.services.empty()) {
        m_services = value.services;
        index_hosts();
    }
    if (value.version <= m_version) {
        return false;
    }
    const bool is_next = static_cast<std::uint64_t>(value.version) == static_cast<std::uint64_t>(m_version) + 1;
    m_history.on_version(value.version, is_gapless || is_next, now);
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
            record_lost_services(old->second, &entry, now);
            before.erase(old);
        }
        m_dropped_routes.erase(key);
        m_routes.insert_or_assign(key, std::move(entry));
    }
    for (const auto& [key, old] : before) {
        record_lost_services(old, nullptr, now);
        m_dropped_routes.insert(key);
    }
    m_version = value.version;
    m_routes_revision = at;
    m_idle_timeout = value.idle_timeout;
    m_cold_rates = value.cold_rates;
    m_services = value.services;
    refresh_former_services();
    return true;
}

std::optional<double> fleet_view::cold_rate_of(const std::string& service) const
{
    const auto it = std::find_if(m_cold_rates.begin(), m_cold_rates.end(),
                                 [&service](const cold_rate& rate) { return rate.service == service; });
    return it != m_cold_rates.end() ? std::optional(it->requests_per_second) : std::nullopt;
}

void fleet_view::record_lost_services(const known_route& before, const known_route* after, core::time_point now)
{
    for (std::size_t i = 0; i < before.services.size(); ++i) {
        const auto is_same = [&](const known_route::choice& it) { return it.service == before.services[i].service; };
        if (after == nullptr || std::none_of(after->services.begin(), after->services.end(), is_same)) {
            m_history.add({before.value.address, before.value.port, before.value.services[i].service}, now);
        }
    }
}

void fleet_view::refresh_former_services()
{
    for (auto& [key, entry] : m_routes) {
        entry.former_services.clear();
    }
    for (const auto& [lost, at] : m_history.former()) {
        if (const auto it = m_routes.find(key_of(lost.address, lost.port)); it != m_routes.end()) {
            it->second.former_services.push_back(intern(lost.service));
        }
    }
    // Which services are configured has changed with the routes.
    index_hosts();
}

void fleet_view::learn_past(const routes_past& value, core::time_point now)
{
    if (m_history.merge(value, now)) {
        refresh_former_services();
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

} // namespace daisydoor::relay
