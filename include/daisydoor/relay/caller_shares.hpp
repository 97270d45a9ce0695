#pragma once

#include "daisydoor/relay/packet.hpp"

#include <array>
#include <cstddef>

namespace daisydoor::relay
{

/// Work in requests that a caller may have received ahead of the others before its further requests wait behind theirs:
/// callers that press equally, with the usual variation, keep the order of arrival.
constexpr double caller_lead = 4;
/// Cells of each row in which the work of callers is counted.
constexpr std::size_t caller_cells = 256;

/// @brief Fair shares of one host's room between its callers: start-time fair queueing over hashed callers.
///
/// Load pattern: too little room, where some callers send many times the requests of others. In order of arrival such a
/// caller takes the room in proportion to how hard it presses, and the others wait as long as it does. Here each
/// request starts in virtual time when the one before it from the same caller ends, and a request that starts later
/// than the lead allows is behind the others. Virtual time follows what is delivered, so that a caller that was behind
/// is served once the others have had as much, and room that nobody else asks for is never withheld.
///
/// A caller is a client address: this layer sees no names, and a caller may open any number of flows and use any port.
/// Callers are counted in two rows of cells by two hashes; a caller counts as ahead only if both of its cells do, so
/// that few callers share the fate of another. Complexity: constant time and memory; no allocation.
class caller_shares
{
  public:
    /// @brief Counts a request that has to wait.
    /// @param cost expected work relative to that of a mean request
    /// @return its start in virtual time
    double add(ipv4 caller, double cost = 1) noexcept;

    /// @brief Work by which a waiting request is ahead of its share; 0 within the lead.
    [[nodiscard]] double excess(double start) const noexcept;

    /// @brief Moves virtual time on to a request that is delivered.
    void on_released(double start) noexcept;

    /// @brief Forgets what callers received: nobody waits any more.
    void on_idle() noexcept { m_virtual_time = m_last_end; }

  private:
    using row = std::array<double, caller_cells>;

    /// End of the last request counted in each cell, in virtual time.
    std::array<row, 2> m_ends{};
    double m_virtual_time = 0;
    double m_last_end = 0;
};

} // namespace daisydoor::relay
