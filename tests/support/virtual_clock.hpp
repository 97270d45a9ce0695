#pragma once

#include "daisydoor/core/time.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

/// @brief Test doubles around the I/O-free cores, for simulations in virtual time.
namespace daisydoor::support
{

/// @brief Runs callbacks in the order of their virtual time; equal times run in the order of scheduling.
class virtual_clock
{
  public:
    using callback = std::function<void()>;

    /// Not zero, so that time points before the start stay positive.
    static constexpr core::time_point start{std::chrono::hours(1)};

    [[nodiscard]] core::time_point now() const noexcept { return m_now; }
    [[nodiscard]] core::milliseconds elapsed() const
    {
        return std::chrono::duration_cast<core::milliseconds>(m_now - start);
    }

    void after(core::duration delay, callback fn) { m_events.push({m_now + delay, m_sequence++, std::move(fn)}); }

    void every(core::milliseconds period, const callback& fn)
    {
        after(period, [this, period, fn] {
            fn();
            every(period, fn);
        });
    }

    void run_for(core::milliseconds time)
    {
        const auto end = m_now + time;
        while (!m_events.empty() && m_events.top().at <= end) {
            // The event is removed before its callback runs, since the callback may push other events.
            event next = std::move(const_cast<event&>(m_events.top()));
            m_events.pop();
            m_now = next.at;
            next.fn();
        }
        m_now = end;
    }

  private:
    struct event
    {
        core::time_point at;
        std::uint64_t sequence;
        callback fn;

        bool operator<(const event& other) const noexcept
        {
            return at != other.at ? at > other.at : sequence > other.sequence;
        }
    };

    core::time_point m_now = start;
    std::uint64_t m_sequence = 0;
    std::priority_queue<event> m_events;
};

} // namespace daisydoor::support
