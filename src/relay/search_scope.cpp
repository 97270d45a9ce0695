#include "daisydoor/relay/search_scope.hpp"

#include <algorithm>
#include <iterator>

namespace daisydoor::relay
{

namespace
{

void sort_unique(std::vector<ipv4>& value)
{
    std::sort(value.begin(), value.end());
    value.erase(std::unique(value.begin(), value.end()), value.end());
}

} // namespace

search_round search_scope::plan(const flow_key& flow, const std::vector<ipv4>& asked, core::time_point now)
{
    search_round result;
    const auto* route = m_view.find_route(flow.service, flow.service_port);
    if (route == nullptr) {
        return result;
    }
    result.owners = owners_by_route(*route);
    std::set_difference(result.owners.begin(), result.owners.end(), asked.begin(), asked.end(),
                        std::back_inserter(result.next));
    if (m_view.knows_former_services(now)) {
        return result;
    }
    refill(now);
    const auto all = all_peers();
    std::vector<ipv4> others;
    std::set_difference(all.begin(), all.end(), result.owners.begin(), result.owners.end(), std::back_inserter(others));
    std::vector<ipv4> wide;
    std::set_difference(others.begin(), others.end(), asked.begin(), asked.end(), std::back_inserter(wide));
    const auto n = std::min(wide.size(), m_wide_questions_left);
    m_wide_questions_left -= n;
    result.is_whole = n == wide.size();
    result.next.insert(result.next.end(), wide.begin(), wide.begin() + static_cast<std::ptrdiff_t>(n));
    result.owners = all;
    return result;
}

void search_scope::refill(core::time_point now) noexcept
{
    if (now - m_refilled_at >= wide_question_interval) {
        m_refilled_at = now;
        m_wide_questions_left = max_wide_questions;
    }
}

void search_scope::add_hosts(const std::vector<const known_host*>& hosts, std::vector<ipv4>& result) const
{
    for (const auto* it : hosts) {
        if (it->value.address != m_self) {
            result.push_back(it->value.address);
        }
    }
}

std::vector<ipv4> search_scope::owners_by_route(const known_route& route) const
{
    std::vector<ipv4> result;
    for (const auto& choice : route.services) {
        add_hosts(m_view.hosts_of(choice.service), result);
    }
    for (const auto service : route.former_services) {
        add_hosts(m_view.hosts_of(service), result);
    }
    sort_unique(result);
    return result;
}

std::vector<ipv4> search_scope::all_peers() const
{
    std::vector<ipv4> result;
    for (const auto& [id, entry] : m_view.hosts()) {
        if (!entry.disputed_until && entry.value.address != m_self) {
            result.push_back(entry.value.address);
        }
    }
    sort_unique(result);
    return result;
}

} // namespace daisydoor::relay
