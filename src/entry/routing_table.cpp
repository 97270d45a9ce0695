// Inlined, the hash takes a fraction of the instructions, because the sizes of its inputs are known at compile time.
#define XXH_INLINE_ALL

#include "routing_table.hpp"

#include "daisydoor/core/limits.hpp"
#include "daisydoor/core/rendezvous.hpp"

#include <algorithm>
#include <array>
#include <numeric>
#include <optional>
#include <xxhash.h>

namespace daisydoor::entry::detail
{

namespace
{

/// @brief Returns the hosts with a live agent in the fleet view, sorted by id.
std::vector<core::host_id> live_hosts(const config::fleet_view& view)
{
    std::vector<core::host_id> result;
    for (const auto& it : view.instances) {
        if (!it.is_entry && it.state == config::instance_state::live) {
            result.push_back(it.host);
        }
    }
    std::sort(result.begin(), result.end());
    return result;
}

/// @brief Returns the fraction of the own zone's opens that is sent to each zone (design 7.2).
/// @param capacity each zone's share of the service's capacity; the shares sum to 1
/// @param own index of the own zone
std::vector<double> zone_fractions(const std::vector<config::zone>& zones, const std::vector<double>& capacity,
                                   std::size_t own)
{
    std::vector<double> result(zones.size());
    const double share = zones[own].entry_share;
    double local_fraction = 0;
    if (capacity[own] > 0) {
        local_fraction = share > capacity[own] ? capacity[own] / share : 1;
    }
    double spare_capacity = 0;
    for (std::size_t i = 0; i < zones.size(); ++i) {
        result[i] = i == own ? 0 : std::max(0.0, capacity[i] - zones[i].entry_share);
        spare_capacity += result[i];
    }
    if (spare_capacity <= 0) {
        // Because the shares are rounded, it can happen that no zone has spare capacity for the remaining opens.
        return capacity[own] > 0 ? (std::fill(result.begin(), result.end(), 0.0), result[own] = 1, result) : capacity;
    }
    for (auto& it : result) {
        it *= (1 - local_fraction) / spare_capacity;
    }
    result[own] = local_fraction;
    return result;
}

} // namespace

std::size_t routing_table::endpoint_hash::operator()(const core::endpoint& value) const noexcept
{
    static_assert(sizeof value == 18, "an endpoint has no padding");
    return XXH3_64bits(&value, sizeof value);
}

routing_table::routing_table(const config::snapshot& configuration, const std::string& zone)
    : m_zones(configuration.zones)
{
    const auto own =
        std::find_if(m_zones.begin(), m_zones.end(), [&zone](const config::zone& it) { return it.name == zone; });
    m_own_zone = static_cast<std::size_t>(own - m_zones.begin());
    std::size_t total = 0;
    std::size_t largest = 0;
    for (const auto& it : configuration.services) {
        total += it.hosts.size();
        largest = std::max(largest, it.hosts.size());
    }
    m_targets.reserve(total);
    m_scratch.reserve(largest);
    m_services.reserve(configuration.services.size());
    m_service_index_by_address.reserve(configuration.services.size());
    std::vector<const config::host*> hosts;
    for (const auto& it : configuration.services) {
        hosts.clear();
        std::transform(it.hosts.begin(), it.hosts.end(), std::back_inserter(hosts),
                       [](const config::host& host) { return &host; });
        std::sort(hosts.begin(), hosts.end(), [](const auto* a, const auto* b) { return a->id < b->id; });
        m_service_index_by_address.emplace(it.address, static_cast<std::uint32_t>(m_services.size()));
        m_services.push_back(
            {it.id, static_cast<std::uint32_t>(m_targets.size()), static_cast<std::uint32_t>(hosts.size())});
        for (const auto* host : hosts) {
            m_targets.push_back({host->id, host->agent, host->zone, rank_group::weighted, host->slots, 1});
            m_draining.push_back(host->draining);
        }
    }
    apply_fleet_view(nullptr);
}

void routing_table::apply_fleet_view(const config::fleet_view* view)
{
    const auto live = view != nullptr ? live_hosts(*view) : std::vector<core::host_id>();
    const auto is_not_live = [&live](const target& it) { return !std::binary_search(live.begin(), live.end(), it.id); };
    for (const auto& service : m_services) {
        auto* first = m_targets.data() + service.first;
        auto* last = first + service.count;
        const auto not_live_count =
            view != nullptr ? static_cast<std::size_t>(std::count_if(first, last, is_not_live)) : 0;
        const bool is_view_plausible =
            view != nullptr && not_live_count * 100 <= std::size_t{service.count} * core::max_unavailable_hosts_percent;
        for (auto* it = first; it != last; ++it) {
            const bool is_draining = m_draining[static_cast<std::size_t>(it - m_targets.data())];
            it->group =
                is_draining || (is_view_plausible && is_not_live(*it)) ? rank_group::last_resort : rank_group::weighted;
            it->inverse_weight = 1.0 / it->slots;
        }
        update_weights(service);
    }
}

void routing_table::update_weights(const routed_service& service)
{
    auto* first = m_targets.data() + service.first;
    if (m_own_zone < m_zones.size()) {
        apply_zone_weights(first, first + service.count);
    }
}

void routing_table::apply_zone_weights(target* first, target* last)
{
    std::vector<double> slots(m_zones.size());
    for (const auto* it = first; it != last; ++it) {
        if (it->group == rank_group::weighted) {
            slots.at(it->zone) += it->slots;
        }
    }
    const double total = std::accumulate(slots.begin(), slots.end(), 0.0);
    if (total <= 0) {
        return;
    }
    std::vector<double> capacity = slots;
    for (auto& it : capacity) {
        it /= total;
    }
    const auto fractions = zone_fractions(m_zones, capacity, m_own_zone);
    for (auto* it = first; it != last; ++it) {
        if (it->group != rank_group::weighted) {
            continue;
        }
        const double weight = fractions[it->zone] * it->slots / slots[it->zone];
        if (weight > 0) {
            it->inverse_weight = 1 / weight;
        } else {
            it->group = rank_group::zero_weight;
        }
    }
}

const routed_service* routing_table::find_service(const core::endpoint& address) const
{
    const auto it = m_service_index_by_address.find(address);
    return it != m_service_index_by_address.end() ? &m_services[it->second] : nullptr;
}

const target* routing_table::find_target(const routed_service& service, core::host_id host) const
{
    const auto* first = m_targets.data() + service.first;
    const auto* last = first + service.count;
    const auto* it = std::lower_bound(first, last, host, [](const target& a, core::host_id id) { return a.id < id; });
    return it != last && it->id == host ? it : nullptr;
}

const target* routing_table::select(const routed_service& service, std::uint64_t flow_hash, std::uint8_t attempt)
{
    if (service.count == 0) {
        return nullptr;
    }
    m_scratch.clear();
    const auto* first = m_targets.data() + service.first;
    for (const auto* it = first; it != first + service.count; ++it) {
        m_scratch.push_back(
            {it->group, core::rendezvous_distance(flow_hash, core::raw(it->id)) * it->inverse_weight, it});
    }
    const std::ptrdiff_t rank = attempt % service.count;
    std::nth_element(m_scratch.begin(), m_scratch.begin() + rank, m_scratch.end());
    return m_scratch[static_cast<std::size_t>(rank)].value;
}

} // namespace daisydoor::entry::detail
