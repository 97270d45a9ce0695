#include "daisydoor/caller/detail/segment_assembly.hpp"

namespace daisydoor::caller::detail
{

bool segment_assembly::add(std::size_t index, std::size_t count, std::vector<std::uint8_t> payload)
{
    if (index >= count || (is_started() && count != m_segments.size())) {
        return false;
    }
    m_segments.resize(count);
    auto& slot = m_segments[index];
    if (slot.present) {
        return false;
    }
    slot = {true, std::move(payload)};
    ++m_received;
    return true;
}

std::vector<std::uint16_t> segment_assembly::missing(std::size_t limit) const
{
    std::vector<std::uint16_t> result;
    for (std::size_t i = 0; i < m_segments.size() && result.size() < limit; ++i) {
        if (!m_segments[i].present) {
            result.push_back(static_cast<std::uint16_t>(i));
        }
    }
    return result;
}

std::vector<std::uint8_t> segment_assembly::join_and_reset()
{
    std::vector<std::uint8_t> result;
    for (const auto& it : m_segments) {
        result.insert(result.end(), it.payload.begin(), it.payload.end());
    }
    m_segments.clear();
    m_received = 0;
    return result;
}

} // namespace daisydoor::caller::detail
