#pragma once

#include "daisydoor/core/time.hpp"

#include <cstddef>
#include <cstdint>

namespace daisydoor::relay
{

/// Weight of one request in the moving average of failures, which covers about the last five requests.
constexpr double outcome_weight = 0.2;
/// Failure rate above which a host gets no new flows; below it the host still serves most requests.
constexpr double max_failure_rate = 0.5;
/// Failure rate at or below which a failing host gets new flows again.
constexpr double recovered_failure_rate = 0.25;
/// Finished requests required before a host can count as failing.
constexpr std::uint32_t min_outcomes = 4;
/// Interval between new flows that probe a failing host.
constexpr core::milliseconds failing_probe_interval{500};
/// Maximum share of a service's hosts that may be avoided at once, in percent; the others must carry the load.
constexpr std::size_t avoided_ceiling_percent = 30;

/// @brief Detects a failing host by the outcome of its requests, since its own health reports may be wrong in either
/// direction.
///
/// Load pattern: a host that fails requests at once has the shortest queue of all, so that placement by load sends it
/// more and more flows.
class host_health
{
  public:
    /// @brief Records the outcome of a request.
    /// @param answered false if the host ended the request without an answer
    void on_outcome(bool answered, core::time_point now) noexcept;

    [[nodiscard]] bool is_failing() const noexcept { return m_failing; }

    /// @brief Whether the next new flow may probe a failing host; a call that returns true starts the
    /// next probe interval.
    bool try_start_probe(core::time_point now) noexcept;

  private:
    double m_failure_rate = 0;
    std::uint32_t m_outcomes = 0;
    bool m_failing = false;
    core::time_point m_next_probe;
};

/// @brief Whether one more host of a service may be avoided: up to avoided_ceiling_percent, and always a first one if
/// another host is left.
/// @param avoided hosts that are avoided already, not counting the one in question
/// @param hosts all hosts of the service
constexpr bool may_avoid(std::size_t avoided, std::size_t hosts) noexcept
{
    return (avoided + 1) * 100 <= hosts * avoided_ceiling_percent || (avoided == 0 && hosts > 1);
}

} // namespace daisydoor::relay
