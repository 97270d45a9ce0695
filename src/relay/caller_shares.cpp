#include "daisydoor/relay/caller_shares.hpp"

#include <xxhash.h>

#include <algorithm>

namespace daisydoor::relay
{

double caller_shares::add(ipv4 caller, double cost) noexcept
{
    const std::uint64_t hash = XXH3_64bits(&caller, sizeof caller);
    constexpr unsigned half = 32;
    auto& first = m_ends[0][hash % caller_cells];
    auto& second = m_ends[1][(hash >> half) % caller_cells];
    const double start = std::max(m_virtual_time, std::min(first, second));
    const double end = start + cost;
    first = std::max(first, end);
    second = std::max(second, end);
    m_last_end = std::max(m_last_end, end);
    return start;
}

double caller_shares::excess(double start) const noexcept
{
    return std::max(start - m_virtual_time - caller_lead, 0.0);
}

void caller_shares::on_released(double start) noexcept
{
    m_virtual_time = std::max(m_virtual_time, start - caller_lead);
}

} // namespace daisydoor::relay
