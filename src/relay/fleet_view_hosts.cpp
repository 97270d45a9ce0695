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

std::uint64_t rendezvous_key_of(const host& value) noexcept
{
    return XXH3_64bits_withSeed(value.id.data(), value.id.size(), static_cast<std::uint64_t>(value.born));
}

bool is_earlier_write(const host& a, const host& b) noexcept
{
    return std::tie(a.born, a.sequence) < std::tie(b.born, b.sequence);
}

std::optional<core::time_point> end_of(core::milliseconds time, core::time_point now)
{
    return time.count() > 0 ? std::optional(now + time) : std::nullopt;
}

} // namespace

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
    entry.cold_until = now + value.cold_remaining;
    if (!added && is_certain && entry.value == value) {
        entry.value.sequence = value.sequence;
        return false;
    }
    entry.value = value;
    entry.service = intern(value.service);
    entry.rendezvous_key = rendezvous_key_of(value);
    entry.in_own_zone = value.availability_zone == m_own_zone;
    entry.zone_evacuated = m_evacuations.contains(value.availability_zone);
    entry.grace_ends_at = end_of(change.grace, now);
    entry.disputed_until = end_of(change.disputed, now);
    m_has_disputes = m_has_disputes || entry.disputed_until;
    m_removed_hosts.erase(value.id);
    return true;
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

core::milliseconds fleet_view::dispute_time() const noexcept
{
    return m_host_heartbeat * heartbeats_until_removal + lapsed_entry_grace;
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
    m_removed_hosts.insert_or_assign(it->first, removed_host{it->second.value, now});
    m_hosts.erase(it);
}

std::size_t fleet_view::expire(core::time_point now)
{
    for (auto it = m_removed_hosts.begin(); it != m_removed_hosts.end();) {
        const bool is_over = now - it->second.removed_at > removed_host_retention;
        it = is_over ? m_removed_hosts.erase(it) : std::next(it);
    }
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
    if (!m_has_disputes) {
        return 0;
    }
    std::size_t result = 0;
    m_has_disputes = false;
    for (auto& [id, entry] : m_hosts) {
        if (entry.disputed_until && now >= *entry.disputed_until) {
            entry.disputed_until.reset();
            m_removed_hosts.erase(id);
            ++result;
        }
        m_has_disputes = m_has_disputes || entry.disputed_until;
    }
    if (result > 0) {
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

std::vector<bool> fleet_view::configured_services() const
{
    const bool are_known = !m_services.empty();
    std::vector<bool> result(m_service_indices.size(), !are_known);
    if (!are_known) {
        return result;
    }
    for (const auto& [name, index] : m_service_indices) {
        result[static_cast<std::size_t>(index)] = std::binary_search(m_services.begin(), m_services.end(), name);
    }
    // A service that the configuration has dropped may still have open flows.
    for (const auto& [key, route] : m_routes) {
        for (const auto& it : route.services) {
            result[static_cast<std::size_t>(it.service)] = true;
        }
        for (const auto it : route.former_services) {
            result[static_cast<std::size_t>(it)] = true;
        }
    }
    return result;
}

bool fleet_view::is_preferred(const known_host& a, const known_host& b) const noexcept
{
    // The port is not known if a process of an earlier build told the entry.
    const auto may_be_own = [this](const host& it) {
        return m_own_host && it.address == m_own_host->address && (it.port == m_own_host->port || it.port == 0);
    };
    return std::make_tuple(may_be_own(a.value), a.service_configured, a.value.born) >
           std::make_tuple(may_be_own(b.value), b.service_configured, b.value.born);
}

void fleet_view::index_hosts()
{
    const auto is_configured = configured_services();
    m_by_service.assign(m_service_indices.size(), {});
    m_by_address.clear();
    for (auto& [id, entry] : m_hosts) {
        entry.service_configured = is_configured.at(static_cast<std::size_t>(entry.service));
        if (entry.disputed_until) {
            continue;
        }
        m_by_service.at(static_cast<std::size_t>(entry.service)).push_back(&entry);
        auto& preferred = m_by_address[static_cast<std::uint32_t>(entry.value.address)];
        if (preferred == nullptr || is_preferred(entry, *preferred)) {
            preferred = &entry;
        }
    }
    if (!m_own_host) {
        return;
    }
    // A host of another service has taken the address over: this process's host has ended.
    const auto own = m_by_address.find(static_cast<std::uint32_t>(m_own_host->address));
    if (own != m_by_address.end() && own->second->value.service != m_own_host->service) {
        m_by_address.erase(own);
    }
}

void fleet_view::set_own_host(own_host value)
{
    m_own_host = std::move(value);
    index_hosts();
}

std::size_t fleet_view::unconfigured_host_count() const
{
    return static_cast<std::size_t>(
        std::count_if(m_hosts.begin(), m_hosts.end(), [](const auto& it) { return !it.second.service_configured; }));
}

bool fleet_view::may_have_host(ipv4 agent, core::time_point now) const
{
    const auto* host = find_host(agent);
    return host != nullptr && (host->service_configured || !knows_former_services(now));
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

} // namespace daisydoor::relay
