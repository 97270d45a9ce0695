#include "standins/common/loop.hpp"

#include <csignal>

namespace daisydoor::standins
{

timeval to_timeval(core::milliseconds value) noexcept { return {value.count() / 1000, (value.count() % 1000) * 1000}; }

loop::loop() : m_base(event_base_new()), m_on_signal([this] { stop(); })
{
    std::signal(SIGPIPE, SIG_IGN);
    for (const int number : {SIGINT, SIGTERM}) {
        event* ev = evsignal_new(
            m_base, number, [](evutil_socket_t, short, void* self) { static_cast<loop*>(self)->m_on_signal(); }, this);
        evsignal_add(ev, nullptr);
        m_signals.push_back(ev);
    }
}

loop::~loop()
{
    for (event* ev : m_signals) {
        event_free(ev);
    }
    for (const auto& it : m_timers) {
        event_free(it->ev);
    }
    event_base_free(m_base);
}

void loop::run() { event_base_dispatch(m_base); }

void loop::stop() { event_base_loopbreak(m_base); }

void loop::after(core::milliseconds delay, callback fn)
{
    const timeval tv = to_timeval(delay);
    auto holder = std::make_unique<callback>(std::move(fn));
    const auto run_once = [](evutil_socket_t, short, void* arg) {
        const std::unique_ptr<callback> owned(static_cast<callback*>(arg));
        (*owned)();
    };
    if (event_base_once(m_base, -1, EV_TIMEOUT, run_once, holder.get(), &tv) == 0) {
        static_cast<void>(holder.release());
    }
}

void loop::every(core::milliseconds period, callback fn)
{
    auto it = std::make_unique<timer>();
    it->fn = std::move(fn);
    it->ev = event_new(
        m_base, -1, EV_PERSIST, [](evutil_socket_t, short, void* arg) { static_cast<timer*>(arg)->fn(); }, it.get());
    const timeval tv = to_timeval(period);
    event_add(it->ev, &tv);
    m_timers.push_back(std::move(it));
}

} // namespace daisydoor::standins
