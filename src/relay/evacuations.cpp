#include "daisydoor/relay/evacuations.hpp"

#include <algorithm>

namespace daisydoor::relay
{

bool evacuations::begin(const std::string& zone, relay::revision at, core::time_point now)
{
    const auto [it, added] = m_zones.try_emplace(zone, evacuation{at, now});
    it->second.revision = std::max(it->second.revision, at);
    return added;
}

bool evacuations::end(const std::string& zone, relay::revision at)
{
    const auto it = m_zones.find(zone);
    if (it == m_zones.end() || it->second.revision > at) {
        return false;
    }
    m_zones.erase(it);
    return true;
}

std::vector<std::string> evacuations::not_named(const fleet_update& whole) const
{
    std::vector<std::string> result;
    for (const auto& [zone, entry] : m_zones) {
        const auto is_same = [&name = zone](const fleet_change& it) {
            const auto* value = std::get_if<zone_evacuated>(&it.value);
            return value != nullptr && value->availability_zone == name;
        };
        if (entry.revision <= whole.revision && std::none_of(whole.changes.begin(), whole.changes.end(), is_same)) {
            result.push_back(zone);
        }
    }
    return result;
}

void evacuations::begin_era() noexcept
{
    for (auto& [zone, entry] : m_zones) {
        entry.revision = {};
    }
}

void evacuations::confirm_unchanged(relay::revision at) noexcept
{
    for (auto& [zone, entry] : m_zones) {
        entry.revision = entry.revision == relay::revision{} ? at : entry.revision;
    }
}

} // namespace daisydoor::relay
