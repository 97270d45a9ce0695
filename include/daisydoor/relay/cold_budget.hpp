#pragma once

#include "daisydoor/relay/fleet_view.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace daisydoor::relay
{

/// Time span in which the requests of a cold host are counted.
constexpr core::milliseconds cold_window{1000};
/// Added to that span: a packet reaches the host some time after it was counted, and not always equally late.
constexpr core::milliseconds cold_window_slack{20};

/// @brief How much a host that has just started is given beyond what its service publishes.
struct cold_allowance
{
    /// Factor of the published requests a second.
    double factor = 1;
    /// Requests beyond that in each window.
    double extra = 0;

    /// @return requests in any window
    [[nodiscard]] std::uint32_t limit(double requests_per_second) const noexcept;
};

/// @brief Bounds what a host that has just started gets in any second: flows that are opened, and requests, each for
/// itself.
///
/// Load pattern: hosts start during a burst, or a zone returns, and all of them are slow for seconds. Everything that
/// reaches a host passes its own agent, which alone holds the budget: no message is needed for a request. New flows
/// beyond the budget go to other hosts at once; requests on open flows wait in the admission queue. The windows slide:
/// the times of all that was delivered in the last second are kept, at most twice the limit.
class cold_budget
{
  public:
    /// @param unknown_until until then, a former process may have used up the budget
    cold_budget(cold_allowance allowance, core::time_point unknown_until) noexcept
        : m_allowance(allowance), m_unknown_until(unknown_until)
    {
    }

    /// @brief Takes over what the view says of the host, and the time. Complexity: linear in the services that publish
    /// a limit.
    void update(const fleet_view& view, ipv4 self, const std::string& service, core::time_point now);
    /// @brief Requests in any window; nullopt while the host is not cold or its service publishes no limit.
    [[nodiscard]] std::optional<std::uint32_t> limit() const noexcept { return m_is_cold ? m_limit : std::nullopt; }

    /// @brief Whether a flow may be opened at the time of the last update.
    /// @param waiting requests that wait in the admission queue
    [[nodiscard]] bool may_open(std::size_t waiting) const noexcept;
    /// @brief Counts a flow that is opened.
    void on_opening(core::time_point now);

    /// @brief Takes a request out of the budget. Nothing is counted if it does not fit.
    /// @return whether the request may be delivered now
    bool try_request(core::time_point now);

  private:
    void count(std::deque<core::time_point>& times, core::time_point now) const;
    [[nodiscard]] std::size_t room_in(const std::deque<core::time_point>& times, core::time_point now) const noexcept;

    cold_allowance m_allowance;
    core::time_point m_unknown_until;
    std::optional<std::uint32_t> m_limit;
    bool m_is_cold = false;
    core::time_point m_now;
    /// Times of the last window, oldest first.
    std::deque<core::time_point> m_openings;
    std::deque<core::time_point> m_requests;
};

} // namespace daisydoor::relay
