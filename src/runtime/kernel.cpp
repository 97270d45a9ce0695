#include "daisydoor/runtime/kernel.hpp"

#include "daisydoor/runtime/events.hpp"

#include <event2/event.h>
#include <exception>

namespace daisydoor::runtime
{

kernel::kernel() : m_base(event_base_new())
{
    if (m_base == nullptr) {
        throw runtime_error(errc::event_loop_failed, "libevent cannot create an event loop");
    }
    const auto callback = [](evutil_socket_t, short, void* self) { static_cast<kernel*>(self)->run_deferred(); };
    m_deferred_event = event_new(m_base, -1, 0, callback, this);
    if (m_deferred_event == nullptr) {
        event_base_free(m_base);
        throw runtime_error(errc::event_loop_failed, "libevent cannot create an event");
    }
}

kernel::~kernel()
{
    while (!m_tasks.empty()) {
        m_tasks.pop_back();
    }
    m_deferred.clear();
    event_free(m_deferred_event);
    event_base_free(m_base);
}

void kernel::defer(std::function<void()> function)
{
    m_deferred.push_back(std::move(function));
    event_active(m_deferred_event, 0, 0);
}

void kernel::run_deferred()
{
    std::deque<std::function<void()>> round;
    round.swap(m_deferred);
    for (const auto& function : round) {
        run_and_log_exceptions(function);
    }
}

int kernel::run()
{
    for (const auto& it : m_tasks) {
        it->start();
    }
    if (event_base_dispatch(m_base) < 0) {
        throw runtime_error(errc::event_loop_failed, "the event loop failed");
    }
    return m_exit_code;
}

void kernel::stop(int exit_code)
{
    m_exit_code = exit_code;
    event_base_loopbreak(m_base);
}

void run_and_log_exceptions(const std::function<void()>& function) noexcept
{
    try {
        function();
    } catch (const std::exception& e) {
        write_log(log_event::unexpected_exception, e.what());
    }
}

} // namespace daisydoor::runtime
