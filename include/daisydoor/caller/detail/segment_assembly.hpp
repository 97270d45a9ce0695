#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace daisydoor::caller::detail
{

/// @brief Reassembles one answer or event from its segments. A segment whose count differs from the first one's is
/// ignored.
class segment_assembly
{
  public:
    /// @return whether the segment was stored: its index is valid and new, and its count matches
    bool add(std::size_t index, std::size_t count, std::vector<std::uint8_t> payload);
    [[nodiscard]] bool is_started() const noexcept { return !m_segments.empty(); }
    [[nodiscard]] bool is_complete() const noexcept { return is_started() && m_received == m_segments.size(); }
    /// @brief Indexes of the missing segments, at most `limit`.
    [[nodiscard]] std::vector<std::uint16_t> missing(std::size_t limit) const;
    /// @brief Returns the concatenated payloads and resets the object.
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
