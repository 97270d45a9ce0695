#pragma once

#include "daisydoor/core/time.hpp"

#include <cstddef>

namespace daisydoor::agent::detail
{

/// Consecutive failures after which a target counts as failing.
constexpr std::size_t eject_after_failures = 3;

/// @brief Adaptive limit of concurrent exchanges with the target, and failure detection from their results.
///
/// The limit grows by one after as many successes as its value, and is halved when the target sheds work or times out.
class concurrency_limiter
{
  public:
    /// @brief Sets the maximum of the limit. Lowers the current limit to it if needed, and never raises it.
    void set_slots(std::size_t slots) noexcept;
    /// @brief Restarts at a limit of 1, as for a cold target.
    void restart() noexcept;

    /// @param service_time duration of the exchange
    void on_success(core::duration service_time) noexcept;
    /// @brief The target shed a request: it is overloaded but reachable.
    void on_shed() noexcept;
    void on_timeout() noexcept;
    void on_failure() noexcept { ++m_failures; }

    [[nodiscard]] std::size_t limit() const noexcept { return m_limit; }
    [[nodiscard]] bool is_failing() const noexcept { return m_failures >= eject_after_failures; }
    /// @brief Whether the limit has reached the number of slots since the last restart.
    [[nodiscard]] bool is_warm() const noexcept { return m_warm; }
    /// @brief Estimated wait behind `ahead` queued requests; zero before the first success.
    [[nodiscard]] core::duration estimated_wait(std::size_t ahead) const noexcept;

  private:
    void halve() noexcept;

    std::size_t m_slots = 1;
    std::size_t m_limit = 1;
    std::size_t m_successes = 0;
    std::size_t m_failures = 0;
    bool m_warm = false;
    core::duration m_mean_service_time{0};
};

/// @brief Budget that bounds retries to a share of the first tries.
class retry_budget
{
  public:
    void on_first_try() noexcept;
    /// @brief Spends one retry. Returns false if the budget has none left.
    bool try_spend() noexcept;

  private:
    /// In hundredths of a retry. A first try adds 10, which allows one retry per ten first tries.
    std::size_t m_hundredths = 100;
};

} // namespace daisydoor::agent::detail
