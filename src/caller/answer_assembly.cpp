#include "daisydoor/caller/detail/answer_assembly.hpp"

namespace daisydoor::caller::detail
{

bool answer_assembly::add(const wire::answerT& segment)
{
    if (segment.segment_count == 0 || segment.segment >= segment.segment_count) {
        return false;
    }
    if (!is_started()) {
        m_status = segment.status;
        m_total_size = segment.total_size;
        m_segments.resize(segment.segment_count);
    }
    if (segment.segment_count != m_segments.size() || segment.total_size != m_total_size ||
        segment.status != m_status) {
        return false;
    }
    auto& slot = m_segments[segment.segment];
    if (slot.present) {
        return false;
    }
    slot = {true, segment.payload};
    ++m_received;
    return true;
}

std::vector<std::uint16_t> answer_assembly::missing(std::size_t limit) const
{
    std::vector<std::uint16_t> result;
    for (std::size_t i = 0; i < m_segments.size() && result.size() < limit; ++i) {
        if (!m_segments[i].present) {
            result.push_back(static_cast<std::uint16_t>(i));
        }
    }
    return result;
}

bool answer_assembly::take(std::vector<std::uint8_t>& payload)
{
    payload.clear();
    for (const auto& it : m_segments) {
        payload.insert(payload.end(), it.payload.begin(), it.payload.end());
    }
    const bool right = payload.size() == m_total_size;
    m_segments.clear();
    m_received = 0;
    return right;
}

} // namespace daisydoor::caller::detail
