#pragma once

#include "daisydoor/core/time.hpp"

#include <cstddef>
#include <cstdint>

namespace daisydoor::relay
{

/// Weight of one outcome in the moving average; about the last five requests count.
constexpr double outcome_weight = 0.2;
/// Part of failed requests above which a host takes no new flows; a host that fails fewer still serves most.
constexpr double max_failure_rate = 0.5;
/// Part below which it is used again.
constexpr double recovered_failure_rate = 0.25;
/// Requests that must have ended before a host is judged.
constexpr std::uint32_t min_outcomes = 4;
/// One new flow in this time probes a failing host.
constexpr core::milliseconds failing_probe_interval{500};
/// Part of a service's hosts that may be avoided at once, in percent; the others must carry the load.
constexpr std::size_t avoided_ceiling_percent = 30;

/// @brief Judges a host by how its requests end, since its own health answers may be false either way.
///
/// Load pattern: a host that fails requests at once has the shortest queue of all, so that placement by load sends it
/// more and more flows.
class host_health
{
  public:
    /// @brief A request ended with an answer, or without one by the host's doing.
    void on_outcome(bool answered, core::time_point now) noexcept;

    [[nodiscard]] bool is_failing() const noexcept { return m_failing; }

    /// @brief Whether the next new flow may probe a failing host; each true starts a new interval.
    bool try_start_probe(core::time_point now) noexcept;

  private:
    double m_failure_rate = 0;
    std::uint32_t m_outcomes = 0;
    bool m_failing = false;
    core::time_point m_next_probe;
};

/// @brief Whether one more host of a service may be avoided.
/// @param avoided hosts that take no flows already, without the one in question
/// @param hosts all hosts of the service
constexpr bool may_avoid(std::size_t avoided, std::size_t hosts) noexcept
{
    return (avoided + 1) * 100 <= hosts * avoided_ceiling_percent || (avoided == 0 && hosts > 1);
}

} // namespace daisydoor::relay
