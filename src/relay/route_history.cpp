#include "daisydoor/relay/route_history.hpp"

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

namespace daisydoor::relay
{

namespace
{

core::milliseconds age_at(core::time_point at, core::time_point now)
{
    return std::clamp(std::chrono::duration_cast<core::milliseconds>(now - at), core::milliseconds(0), max_past);
}

} // namespace

bool operator<(const route_history::key& a, const route_history::key& b) noexcept
{
    return std::tie(a.address, a.port, a.service) < std::tie(b.address, b.port, b.service);
}

void route_history::on_version(route_version version, bool is_gapless, core::time_point now)
{
    const bool is_first = m_version == route_version{};
    if (is_first || !is_gapless) {
        m_complete_since = is_first && m_begins_with_system ? now - max_past : now;
        m_first_version = version;
    }
    m_version = version;
}

void route_history::add(key value, core::time_point now)
{
    m_lost_at.insert_or_assign(std::move(value), now);
    if (m_lost_at.size() > max_former_services) {
        drop_oldest();
    }
}

void route_history::drop_oldest()
{
    const auto oldest = std::min_element(m_lost_at.begin(), m_lost_at.end(),
                                         [](const auto& a, const auto& b) { return a.second < b.second; });
    m_complete_since = std::max(m_complete_since, oldest->second);
    m_lost_at.erase(oldest);
}

bool route_history::merge(const routes_past& value, core::time_point now)
{
    const bool has_gap = value.version < m_first_version || m_version == route_version{};
    // A partial list would seem complete without the older losses; a whole view has them.
    const bool lacks_older = value.is_partial && !is_complete(now);
    if (value.complete_for.count() == 0 || has_gap || lacks_older) {
        return false;
    }
    m_complete_since = std::min(m_complete_since, now - std::min(value.complete_for, max_past));
    bool result = false;
    for (const auto& it : value.former) {
        const auto lost_at = now - it.age;
        const auto [entry, is_new] = m_lost_at.try_emplace({it.address, it.port, it.service}, lost_at);
        entry->second = std::max(entry->second, lost_at);
        result = result || is_new;
    }
    while (m_lost_at.size() > max_former_services) {
        drop_oldest();
    }
    return result;
}

core::milliseconds route_history::complete_for(core::time_point now) const
{
    return m_version == route_version{} ? core::milliseconds(0) : age_at(m_complete_since, now);
}

routes_past route_history::describe(core::time_point now, std::size_t max_former) const
{
    routes_past result;
    result.version = m_version;
    result.complete_for = complete_for(now);
    for (const auto& [lost, at] : m_lost_at) {
        result.former.push_back({lost.address, lost.port, lost.service, age_at(at, now)});
    }
    std::stable_sort(result.former.begin(), result.former.end(),
                     [](const former_service& a, const former_service& b) { return a.age < b.age; });
    if (result.former.size() > max_former) {
        result.complete_for = std::min(result.complete_for, result.former[max_former].age);
        result.former.resize(max_former);
        result.is_partial = true;
    }
    return result;
}

} // namespace daisydoor::relay
