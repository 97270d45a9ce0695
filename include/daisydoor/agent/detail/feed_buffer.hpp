#pragma once

#include "daisydoor/core/ids.hpp"

#include <cstdint>
#include <deque>
#include <vector>

namespace daisydoor::agent::detail
{

struct stored_event
{
    core::event_id id{};
    /// Id of the preceding event in the feed; 0 for the first event of a feed that was opened without a position.
    core::event_id previous{};
    std::vector<std::uint8_t> data;
};

/// @brief Latest events of one feed connection, without gaps: at most 1,024 events and 1 MiB of data. The newest event
/// is kept even if it is larger.
class feed_buffer
{
  public:
    /// @param position event that the feed was opened from; 0 for a feed that starts with the next event
    explicit feed_buffer(core::event_id position) : m_complete_from(position), m_last(position) {}

    /// @brief Appends an event. Returns false if its id is not above that of the last event.
    bool push(core::event_id id, std::vector<std::uint8_t> data);
    [[nodiscard]] core::event_id last() const noexcept { return m_last; }
    /// @brief Whether a new subscriber at `position` can be served without a gap.
    [[nodiscard]] bool covers(core::event_id position) const noexcept
    {
        return m_complete_from != core::event_id{0} && position >= m_complete_from;
    }
    /// @brief Whether the buffer has dropped an event after `position`, which an attached subscriber there will miss.
    [[nodiscard]] bool has_dropped_after(core::event_id position) const noexcept
    {
        return position < (m_events.empty() ? m_complete_from : m_events.front().previous);
    }
    /// @brief Index of the first event after `position`. Complexity: logarithmic.
    [[nodiscard]] std::size_t index_after(core::event_id position) const;
    [[nodiscard]] std::size_t size() const noexcept { return m_events.size(); }
    [[nodiscard]] const stored_event& at(std::size_t i) const { return m_events[i]; }

    static constexpr std::size_t max_events = 1024;
    static constexpr std::size_t max_bytes = std::size_t{1024} * 1024;

  private:
    std::deque<stored_event> m_events;
    std::size_t m_bytes = 0;
    core::event_id m_complete_from{};
    core::event_id m_last{};
};

} // namespace daisydoor::agent::detail
