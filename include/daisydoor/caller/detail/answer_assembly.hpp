#pragma once

#include "daisydoor/wire/datagram.hpp"

#include <vector>

namespace daisydoor::caller::detail
{

/// @brief Puts the segments of one answer together. Segments that contradict the first one are ignored.
class answer_assembly
{
  public:
    /// @return whether the segment was new and consistent
    bool add(const wire::answerT& segment);
    [[nodiscard]] bool is_started() const noexcept { return !m_segments.empty(); }
    [[nodiscard]] bool is_complete() const noexcept { return is_started() && m_received == m_segments.size(); }
    /// @brief First `limit` missing segments.
    [[nodiscard]] std::vector<std::uint16_t> missing(std::size_t limit) const;
    [[nodiscard]] std::uint16_t status() const noexcept { return m_status; }
    /// @brief Joins the segments. Returns false, and starts over, if their size is not the announced one.
    bool take(std::vector<std::uint8_t>& payload);

  private:
    struct segment
    {
        bool present = false;
        std::vector<std::uint8_t> payload;
    };

    std::uint16_t m_status = 0;
    std::uint32_t m_total_size = 0;
    std::size_t m_received = 0;
    std::vector<segment> m_segments;
};

} // namespace daisydoor::caller::detail
