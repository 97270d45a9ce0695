#pragma once

#include "daisydoor/wire/peer.hpp"

#include <functional>

namespace daisydoor::runtime::detail
{

/// @brief Takes frames out of a byte stream that arrives in parts of any size.
class frame_reader
{
  public:
    /// @brief Appends received bytes and delivers each whole frame.
    /// @returns false if a frame is larger than wire::max_frame_size or malformed; the stream is unusable then
    bool append(wire::bytes_view bytes, const std::function<void(wire::peer_messageT)>& deliver);

    [[nodiscard]] std::size_t buffered() const noexcept { return m_buffer.size(); }

  private:
    wire::buffer m_buffer;
};

} // namespace daisydoor::runtime::detail
