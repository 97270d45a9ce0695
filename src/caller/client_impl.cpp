#include "caller/client_impl.hpp"

#include <algorithm>
#include <optional>
#include <random>

namespace daisydoor::caller
{

namespace
{

/// Resolution of the session's timers; a fifth of the shortest retransmission interval (100 ms).
constexpr timeval tick_interval{0, 20'000};
/// Time for which a closed session retransmits its close; if all are lost, the agent's idle timeout ends the flow.
constexpr core::milliseconds close_repeat_time{2000};
/// The session reports an outcome by the deadline; a blocking call waits this much longer before it returns `unknown`.
constexpr core::milliseconds blocking_grace{5000};

event_base* new_loop()
{
    event_base* result = event_base_new();
    if (result == nullptr) {
        throw caller_error(errc::socket_failed, "libevent could not create an event loop");
    }
    return result;
}

core::random_source make_random(std::uint64_t seed)
{
    if (seed != 0) {
        return core::random_source(seed);
    }
    std::random_device device;
    std::seed_seq sequence{device(), device(), device(), device()};
    return core::random_source(sequence);
}

template <typename... Handlers>
struct overloaded : Handlers...
{
    using Handlers::operator()...;
};
template <typename... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

void check_path(const std::string& path)
{
    const bool is_printable = std::all_of(path.begin(), path.end(), [](char c) { return c > ' ' && c < 127; });
    if (path.empty() || path.front() != '/' || !is_printable) {
        throw caller_error(errc::bad_argument, "path '" + path +
                                                   "' is invalid; a path starts with '/' and contains only printable "
                                                   "ASCII characters without spaces");
    }
}

} // namespace

client::impl::impl(const client_options& options, event_base* loop)
    : m_own_loop(loop == nullptr ? new_loop() : nullptr, event_base_free),
      m_loop(loop == nullptr ? m_own_loop.get() : loop), m_open_timeout(options.open_timeout),
      m_session({options.workspace, options.open_timeout}, make_random(options.seed)),
      m_socket(m_loop, options.service, [this](wire::bytes_view packet) { on_packet(packet); })
{
    m_tick_event = event_new(
        m_loop, -1, EV_PERSIST, [](evutil_socket_t, short, void* self) { static_cast<impl*>(self)->on_tick(); }, this);
    m_handler_call_event = event_new(
        m_loop, -1, 0, [](evutil_socket_t, short, void* self) { static_cast<impl*>(self)->run_handler_calls(); }, this);
}

client::impl::~impl() { detach(); }

void client::impl::detach()
{
    close();
    m_handler_calls.clear();
    for (event** ev : {&m_tick_event, &m_handler_call_event}) {
        if (*ev != nullptr) {
            event_free(*ev);
            *ev = nullptr;
        }
    }
}

void client::impl::require_open() const
{
    if (!m_is_in_use) {
        throw caller_error(errc::not_open, "client is not open: open() was not called yet, or close() was called");
    }
}

void client::impl::open(open_handler handler)
{
    if (m_was_opened) {
        throw caller_error(errc::already_opened,
                           "open() was already called; create another client for another session");
    }
    m_was_opened = true;
    m_is_in_use = true;
    m_open_handler = std::move(handler);
    event_add(m_tick_event, &tick_interval);
    session_actions actions;
    m_session.open(core::clock::now(), actions);
    apply(actions);
}

core::request_number client::impl::start(wire::request_kind kind, const std::string& path,
                                         std::vector<std::uint8_t> payload, core::milliseconds deadline,
                                         outcome_handler handler)
{
    require_open();
    check_path(path);
    if (path.size() + payload.size() > max_request_size) {
        throw caller_error(errc::bad_argument, "path and payload have " + std::to_string(path.size() + payload.size()) +
                                                   " bytes; the maximum is " + std::to_string(max_request_size) +
                                                   " bytes");
    }
    if (deadline.count() <= 0) {
        throw caller_error(errc::bad_argument,
                           "deadline of " + std::to_string(deadline.count()) + " ms is too short; the minimum is 1 ms");
    }
    session_actions actions;
    const auto now = core::clock::now();
    const auto number = kind == wire::request_kind::idempotent
                            ? m_session.request(now, path, deadline, actions)
                            : m_session.post(now, path, std::move(payload), deadline, actions);
    m_requests[number] = handler ? std::move(handler) : [](const outcome&) {};
    apply(actions);
    return number;
}

void client::impl::cancel(core::request_number number)
{
    require_open();
    session_actions actions;
    m_session.cancel(core::clock::now(), number, actions);
    apply(actions);
}

void client::impl::subscribe(const std::string& path, core::event_id last_event, event_handler handler)
{
    require_open();
    check_path(path);
    m_event_handler = std::move(handler);
    session_actions actions;
    m_session.subscribe(core::clock::now(), path, last_event, actions);
    apply(actions);
}

void client::impl::close()
{
    if (!m_is_in_use) {
        return;
    }
    m_is_in_use = false;
    session_actions actions;
    m_session.close(core::clock::now(), actions);
    apply(actions);
    m_ticks_until = core::clock::now() + close_repeat_time;
    m_event_handler = nullptr;
    m_open_handler = nullptr;
    const auto requests = std::move(m_requests);
    m_requests.clear();
    for (const auto& [number, handler] : requests) {
        queue_handler_call([handler = handler, number = number] {
            outcome value;
            value.number = number;
            value.reason = wire::refusal_reason::cancelled;
            handler(value);
        });
    }
}

void client::impl::on_packet(wire::bytes_view packet)
{
    if (!m_is_in_use) {
        return;
    }
    session_actions actions;
    m_session.on_packet(core::clock::now(), packet, actions);
    apply(actions);
}

void client::impl::on_tick()
{
    const auto now = core::clock::now();
    if (!m_is_in_use && now >= m_ticks_until) {
        event_del(m_tick_event);
        return;
    }
    session_actions actions;
    m_session.on_tick(now, actions);
    apply(actions);
}

void client::impl::apply(session_actions& actions)
{
    for (const auto& it : actions) {
        apply(it);
    }
    const bool has_flow = m_session.is_open();
    if (m_is_in_use && m_had_flow && !has_flow) {
        ++m_broken_flows;
    }
    m_had_flow = has_flow;
}

void client::impl::apply(const session_action& action)
{
    const auto report_open_result = [this](const open_result& value) {
        if (m_open_handler) {
            // A session that lost its flow reports `opened` again; the handler gets only the first result.
            queue_handler_call([handler = std::move(m_open_handler), value] { handler(value); });
            m_open_handler = nullptr;
        }
    };
    std::visit(overloaded{
                   [this](const send_packet& it) { m_socket.send(it.bytes); },
                   [this](const replace_socket&) { m_socket.replace(); },
                   [&](const opened&) {
                       report_open_result({true, wire::refusal_reason::none, core::milliseconds{0}});
                   },
                   [&](const open_failed& it) {
                       report_open_result({false, it.reason, it.retry_after});
                   },
                   [this](const answered& it) {
                       finish_request({it.number, outcome_kind::answered, it.status, it.payload,
                                       wire::refusal_reason::none, core::milliseconds{0}});
                   },
                   [this](const refused& it) {
                       const auto kind =
                           it.kind == wire::refusal_kind::not_run ? outcome_kind::not_run : outcome_kind::unknown;
                       finish_request({it.number, kind, 0, {}, it.reason, it.retry_after});
                   },
                   [this](const feed_event& it) {
                       if (m_event_handler) {
                           queue_handler_call([handler = m_event_handler, it] { handler(it); });
                       }
                   },
               },
               action);
}

void client::impl::finish_request(const outcome& value)
{
    const auto it = m_requests.find(value.number);
    if (it == m_requests.end()) {
        return;
    }
    queue_handler_call([handler = std::move(it->second), value] { handler(value); });
    m_requests.erase(it);
}

void client::impl::queue_handler_call(handler_call fn)
{
    m_handler_calls.push_back(std::move(fn));
    if (m_handler_call_event != nullptr) {
        event_active(m_handler_call_event, EV_TIMEOUT, 0);
    }
}

void client::impl::run_handler_calls()
{
    // Extends the lifetime of this object, because a handler may destroy the client.
    const auto self = shared_from_this();
    while (!m_handler_calls.empty()) {
        const auto fn = std::move(m_handler_calls.front());
        m_handler_calls.pop_front();
        fn();
    }
}

void client::impl::require_own_loop() const
{
    if (m_own_loop == nullptr) {
        throw caller_error(errc::foreign_loop,
                           "blocking calls are not available on a client that runs on the user's event loop");
    }
}

void client::impl::run_for(core::milliseconds time)
{
    require_own_loop();
    const auto self = shared_from_this();
    const timeval tv{time.count() / 1000, (time.count() % 1000) * 1000};
    event* end = event_new(
        m_loop, -1, 0, [](evutil_socket_t, short, void* base) { event_base_loopbreak(static_cast<event_base*>(base)); },
        m_loop);
    event_add(end, &tv);
    event_base_dispatch(m_loop);
    event_free(end);
}

void client::impl::run_until(core::milliseconds time, const std::function<bool()>& is_done)
{
    const auto end = core::clock::now() + time;
    // Handlers of other requests may stop the loop early.
    while (!is_done() && core::clock::now() < end) {
        run_for(std::chrono::duration_cast<core::milliseconds>(end - core::clock::now()) + core::milliseconds(1));
    }
}

outcome client::impl::start_and_wait(core::milliseconds deadline,
                                     const std::function<core::request_number(outcome_handler)>& start_request)
{
    require_own_loop();
    const auto result = std::make_shared<std::optional<outcome>>();
    const auto number = start_request([result, this](const outcome& value) {
        *result = value;
        stop();
    });
    run_until(deadline + blocking_grace, [&] { return result->has_value(); });
    if (!result->has_value()) {
        m_requests.erase(number);
        outcome missing;
        missing.number = number;
        missing.reason = wire::refusal_reason::deadline;
        return missing;
    }
    return std::move(**result);
}

void client::impl::stop()
{
    if (m_own_loop != nullptr) {
        event_base_loopbreak(m_own_loop.get());
    }
}

} // namespace daisydoor::caller
