#pragma once

#include "daisydoor/core/time.hpp"

#include <event2/event.h>
#include <functional>
#include <memory>
#include <vector>

/// @brief Stand-ins: test replacements for the systems around daisydoor, each a process with one event loop.
namespace daisydoor::standins
{

/// @brief libevent loop; by default SIGINT and SIGTERM stop it.
class loop
{
  public:
    using callback = std::function<void()>;

    loop();
    ~loop();
    loop(const loop&) = delete;
    loop& operator=(const loop&) = delete;

    [[nodiscard]] event_base* base() const noexcept { return m_base; }
    void run();
    void stop();
    /// @brief Calls `fn` on SIGINT and SIGTERM in place of stop().
    void on_signal(callback fn) { m_on_signal = std::move(fn); }
    /// @brief Runs `fn` once after `delay`.
    void after(core::milliseconds delay, callback fn);
    /// @brief Runs `fn` every `period` until the loop is destroyed.
    void every(core::milliseconds period, callback fn);

  private:
    struct timer
    {
        callback fn;
        event* ev = nullptr;
    };

    event_base* m_base;
    callback m_on_signal;
    std::vector<event*> m_signals;
    std::vector<std::unique_ptr<timer>> m_timers;
};

/// @brief Converts a duration to the type that libevent uses.
timeval to_timeval(core::milliseconds value) noexcept;

} // namespace daisydoor::standins
