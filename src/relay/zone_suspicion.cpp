#include "daisydoor/relay/zone_suspicion.hpp"

#include <algorithm>
#include <set>
#include <string_view>

namespace daisydoor::relay
{

namespace
{

/// Steps in which the share of flows for a returning zone is counted.
constexpr std::uint64_t share_steps = 1024;

} // namespace

zone_extent extent_of(const fleet_view& view, const known_route& route, const std::string& zone)
{
    zone_extent result;
    std::set<std::string_view> zones;
    for (const auto& choice : route.services) {
        for (const auto* it : view.hosts_of(choice.service)) {
            if (choice.weight > 0 && it->accepts_new_flows()) {
                zones.insert(it->value.availability_zone);
                result.agents_in_zone += it->value.availability_zone == zone ? 1 : 0;
            }
        }
    }
    result.zones = zones.size();
    return result;
}

bool zone_suspicion::on_silence(const std::string& zone, ipv4 agent, core::time_point placed_at,
                                const zone_extent& extent)
{
    auto& record = m_zones[zone];
    if (record.suspected || placed_at <= record.last_answer_at) {
        return false;
    }
    auto& silent = record.silent;
    const auto is_obsolete = [agent, placed_at](const silent_agent& it) {
        return it.agent == agent || placed_at - it.placed_at > silence_window;
    };
    silent.erase(std::remove_if(silent.begin(), silent.end(), is_obsolete), silent.end());
    silent.push_back({agent, placed_at});
    const auto required = std::max<std::size_t>(std::min(extent.agents_in_zone, min_silent_agents), 2);
    if (silent.size() < required || suspected_count() + 1 >= extent.zones) {
        return false;
    }
    m_affected += record.returned_at ? 0 : 1;
    record.returned_at.reset();
    record.suspected = true;
    record.next_probe = placed_at + zone_probe_interval;
    return true;
}

bool zone_suspicion::on_answer(const std::string& zone, core::time_point now)
{
    auto& record = m_zones[zone];
    record.last_answer_at = now;
    record.silent.clear();
    if (!record.suspected) {
        return false;
    }
    record.suspected = false;
    record.returned_at = now;
    return true;
}

bool zone_suspicion::is_avoided(const std::string& zone, std::uint64_t flow_hash, core::time_point now) const
{
    const auto it = m_zones.find(zone);
    if (it == m_zones.end() || (!it->second.suspected && !it->second.returned_at)) {
        return false;
    }
    if (it->second.suspected) {
        return true;
    }
    const auto elapsed = std::chrono::duration_cast<core::milliseconds>(now - *it->second.returned_at);
    const auto admitted = share_steps * static_cast<std::uint64_t>(elapsed.count()) /
                          static_cast<std::uint64_t>(zone_return_time.count());
    return flow_hash % share_steps >= admitted;
}

std::optional<std::string> zone_suspicion::try_start_probe(core::time_point now)
{
    for (auto& [name, record] : m_zones) {
        if (record.suspected && now >= record.next_probe) {
            record.next_probe = now + zone_probe_interval;
            return name;
        }
    }
    return std::nullopt;
}

void zone_suspicion::on_tick(core::time_point now)
{
    if (is_idle()) {
        return;
    }
    for (auto& [name, record] : m_zones) {
        if (record.returned_at && now - *record.returned_at >= zone_return_time) {
            record.returned_at.reset();
            --m_affected;
        }
    }
}

std::vector<std::string> zone_suspicion::suspected_zones() const
{
    std::vector<std::string> result;
    for (const auto& [name, record] : m_zones) {
        if (record.suspected) {
            result.push_back(name);
        }
    }
    return result;
}

std::size_t zone_suspicion::suspected_count() const noexcept
{
    return static_cast<std::size_t>(
        std::count_if(m_zones.begin(), m_zones.end(), [](const auto& it) { return it.second.suspected; }));
}

} // namespace daisydoor::relay
