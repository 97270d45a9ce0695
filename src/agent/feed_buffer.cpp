#include "daisydoor/agent/detail/feed_buffer.hpp"

#include <algorithm>

namespace daisydoor::agent::detail
{

bool feed_buffer::push(core::event_id id, std::vector<std::uint8_t> data)
{
    if (id <= m_last) {
        return false;
    }
    if (m_complete_from == core::event_id{0}) {
        m_complete_from = id;
    }
    m_bytes += data.size();
    m_events.push_back({id, m_last, std::move(data)});
    m_last = id;
    while (m_events.size() > 1 && (m_events.size() > max_events || m_bytes > max_bytes)) {
        m_bytes -= m_events.front().data.size();
        m_complete_from = m_events.front().id;
        m_events.pop_front();
    }
    return true;
}

std::size_t feed_buffer::index_after(core::event_id position) const
{
    const auto it = std::upper_bound(m_events.begin(), m_events.end(), position,
                                     [](core::event_id value, const stored_event& event) { return value < event.id; });
    return static_cast<std::size_t>(it - m_events.begin());
}

} // namespace daisydoor::agent::detail
