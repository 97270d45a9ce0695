#include "daisydoor/relay/early_openings.hpp"

#include <algorithm>
#include <utility>

namespace daisydoor::relay
{

void early_openings::add(const packet& value, wire::bytes_view bytes, ipv4 from, core::time_point now)
{
    while (!m_openings.empty() && now - m_openings.front().arrived_at > m_max_age) {
        m_openings.pop_front();
    }
    if (!value.syn || bytes.size != opening_packet_size || m_openings.size() >= max_early_openings) {
        return;
    }
    auto& added = m_openings.emplace_back();
    added.value = value;
    std::copy_n(bytes.data, opening_packet_size, added.bytes.begin());
    added.from = from;
    added.arrived_at = now;
}

const std::deque<early_openings::opening>& early_openings::take(core::time_point now)
{
    m_taken = std::exchange(m_openings, {});
    while (!m_taken.empty() && now - m_taken.front().arrived_at > m_max_age) {
        m_taken.pop_front();
    }
    return m_taken;
}

} // namespace daisydoor::relay
