#pragma once

#include "daisydoor/core/time.hpp"
#include "daisydoor/runtime/kernel.hpp"

#include <event2/event.h>
#include <functional>
#include <memory>

namespace daisydoor::runtime::detail
{

struct event_deleter
{
    void operator()(event* value) const noexcept { event_free(value); }
};

/// @brief libevent event for a file descriptor, a signal or a timer, with a C++ handler.
class io_event
{
  public:
    io_event() = default;

    /// @param fd file descriptor, signal number, or -1 for a timer
    /// @param what EV_READ, EV_WRITE or EV_SIGNAL, optionally with EV_PERSIST
    /// @throws runtime_error with errc::event_loop_failed if libevent cannot create the event.
    io_event(event_base* base, int fd, short what, std::function<void()> handler)
        : m_handler(std::make_unique<std::function<void()>>(std::move(handler))),
          m_event(event_new(base, fd, what, &io_event::on_event, m_handler.get()))
    {
        if (!m_event) {
            throw runtime_error(errc::event_loop_failed, "libevent cannot create an event");
        }
    }

    /// @brief Timer that fires once per call of add().
    io_event(event_base* base, std::function<void()> handler) : io_event(base, -1, 0, std::move(handler)) {}

    void add() { event_add(m_event.get(), nullptr); }

    void add(core::milliseconds timeout)
    {
        const timeval value{static_cast<time_t>(timeout.count() / 1000),
                            static_cast<suseconds_t>(timeout.count() % 1000 * 1000)};
        event_add(m_event.get(), &value);
    }

    void remove()
    {
        if (m_event) {
            event_del(m_event.get());
        }
    }

  private:
    static void on_event(evutil_socket_t /*fd*/, short /*what*/, void* argument)
    {
        run_and_log_exceptions(*static_cast<std::function<void()>*>(argument));
    }

    std::unique_ptr<std::function<void()>> m_handler;
    std::unique_ptr<event, event_deleter> m_event;
};

/// @brief Timer that fires again and again, an interval after the end of its handler. A handler that throws does not
/// stop it.
class repeated_timer
{
  public:
    /// @throws runtime_error with errc::event_loop_failed if libevent cannot create the event.
    repeated_timer(event_base* base, core::milliseconds interval, std::function<void()> handler)
        : m_interval(interval), m_handler(std::move(handler)), m_event(base, [this] { on_event(); })
    {
    }
    repeated_timer(const repeated_timer&) = delete;
    repeated_timer& operator=(const repeated_timer&) = delete;

    void start() { m_event.add(m_interval); }

  private:
    void on_event()
    {
        run_and_log_exceptions(m_handler);
        m_event.add(m_interval);
    }

    core::milliseconds m_interval;
    std::function<void()> m_handler;
    io_event m_event;
};

} // namespace daisydoor::runtime::detail
