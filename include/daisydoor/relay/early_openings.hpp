#pragma once

#include "daisydoor/core/time.hpp"
#include "daisydoor/relay/packet.hpp"
#include "daisydoor/wire/datagram.hpp"

#include <array>
#include <deque>

namespace daisydoor::relay
{

/// Maximum age of an opening packet that an entry handles late: afterwards its client has sent another one.
constexpr core::milliseconds entry_opening_age{200};
/// Maximum age of an opening packet that an agent handles late: afterwards the entry has placed the flow elsewhere.
constexpr core::milliseconds agent_opening_age{50};
/// Maximum number of kept opening packets, which bounds their memory.
constexpr std::size_t max_early_openings = 1024;

/// @brief Keeps opening packets that arrive before the process has a fleet view.
///
/// Load pattern: after the loss of all processes, every client sends opening packets while the processes start and read
/// the platform. A packet that is dropped costs its client 200 ms, a large part of a deadline of half a second.
class early_openings
{
  public:
    struct opening
    {
        packet value;
        std::array<std::uint8_t, opening_packet_size> bytes{};
        ipv4 from{};
        core::time_point arrived_at;
    };

    explicit early_openings(core::milliseconds max_age) noexcept : m_max_age(max_age) {}

    /// @brief Keeps a packet if it is an opening packet and there is room.
    void add(const packet& value, wire::bytes_view bytes, ipv4 from, core::time_point now);

    /// @brief Removes and returns the packets that are not too old, in the order of arrival. They stay valid until the
    /// next call.
    const std::deque<opening>& take(core::time_point now);

  private:
    core::milliseconds m_max_age;
    std::deque<opening> m_openings;
    std::deque<opening> m_taken;
};

} // namespace daisydoor::relay
