#pragma once

#include "daisydoor/wire/peer.hpp"

#include <functional>

namespace daisydoor::runtime::detail
{

/// @brief Extracts size-prefixed frames from a byte stream that arrives in chunks of any size.
class frame_reader
{
  public:
    /// @brief Appends received bytes and calls `deliver` for each complete frame.
    /// @returns false if a frame is malformed or larger than wire::max_frame_size; the stream must be closed then
    bool append(wire::bytes_view bytes, const std::function<void(wire::peer_messageT)>& deliver);

    /// @brief Bytes of the incomplete last frame.
    [[nodiscard]] std::size_t buffered() const noexcept { return m_buffer.size(); }

  private:
    wire::buffer m_buffer;
};

} // namespace daisydoor::runtime::detail
