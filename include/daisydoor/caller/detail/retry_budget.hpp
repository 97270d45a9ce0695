#pragma once

#include "daisydoor/core/time.hpp"

#include <algorithm>

namespace daisydoor::caller::detail
{

/// @brief Limits retries of idempotent requests to 10% of the requests, with a small guaranteed credit.
///
/// Each request adds 0.1 to the credit and each retry costs 1. While the credit is below the guaranteed 3, it also
/// grows by at most 1 every `refill_interval`; otherwise a caller with few requests could never retry one.
class retry_budget
{
  public:
    void on_request() noexcept { m_credit = std::min(m_credit + credit_per_request, max_credit); }
    /// @brief Spends the credit of one retry. @return false if the credit is too low
    bool try_spend(core::time_point now) noexcept
    {
        refill(now);
        if (m_credit < 1.0) {
            return false;
        }
        m_credit -= 1.0;
        return true;
    }

  private:
    void refill(core::time_point now) noexcept
    {
        if (m_last_refill == core::time_point{}) {
            m_last_refill = now;
        }
        if (now - m_last_refill >= refill_interval && m_credit < guaranteed_credit) {
            m_credit = std::min(m_credit + 1.0, guaranteed_credit);
            m_last_refill = now;
        }
    }

    static constexpr double credit_per_request = 0.1;
    static constexpr double guaranteed_credit = 3.0;
    static constexpr double max_credit = 10.0;
    static constexpr core::milliseconds refill_interval{10000};

    double m_credit = guaranteed_credit;
    core::time_point m_last_refill{};
};

} // namespace daisydoor::caller::detail
