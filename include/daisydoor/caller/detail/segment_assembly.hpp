#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace daisydoor::caller::detail
{

/// @brief Puts the segments of one answer or event together. Segments that contradict the first one are ignored.
class segment_assembly
{
  public:
    /// @return whether the segment was new and consistent
    bool add(std::size_t index, std::size_t count, std::vector<std::uint8_t> payload);
    [[nodiscard]] bool is_started() const noexcept { return !m_segments.empty(); }
    [[nodiscard]] bool is_complete() const noexcept { return is_started() && m_received == m_segments.size(); }
    /// @brief First `limit` missing segments.
    [[nodiscard]] std::vector<std::uint16_t> missing(std::size_t limit) const;
    /// @brief Joins the segments and starts over.
    std::vector<std::uint8_t> join_and_reset();

  private:
    struct segment
    {
        bool present = false;
        std::vector<std::uint8_t> payload;
    };

    std::size_t m_received = 0;
    std::vector<segment> m_segments;
};

} // namespace daisydoor::caller::detail
