#pragma once

#include "daisydoor/core/ids.hpp"
#include "daisydoor/wire/datagram.hpp"

#include <functional>
#include <string>
#include <vector>

namespace daisydoor::runtime::detail
{

/// @brief Parses text/event-stream from chunks of any size: fields `id` and `data`; comments and other fields are
/// skipped.
class event_stream_parser
{
  public:
    using event_handler = std::function<void(core::event_id, std::vector<std::uint8_t>)>;

    /// @brief Appends received bytes and calls `deliver` for each complete event that has a numeric id and data.
    /// @returns false if an event is larger than max_event_bytes; the stream must be closed then
    bool append(wire::bytes_view bytes, const event_handler& deliver);

    static constexpr std::size_t max_event_bytes = std::size_t{1024} * 1024;

  private:
    void on_line(const event_handler& deliver);

    std::string m_line;
    std::string m_data;
    bool m_has_data = false;
    bool m_skip_line_feed = false;
    std::uint64_t m_id = 0;
    bool m_has_id = false;
};

} // namespace daisydoor::runtime::detail
