#include "daisydoor/caller/session.hpp"

#include "daisydoor/caller/detail/session_state.hpp"

namespace daisydoor::caller
{

struct session::impl
{
    detail::session_state state;

    impl(const session_options& options, core::random_source random) : state(options, random) {}
};

session::session(session_options options, core::random_source random) : m_impl(std::make_unique<impl>(options, random))
{
}
session::~session() = default;

void session::open(core::time_point now, session_actions& actions) { m_impl->state.open(now, actions); }

core::request_number session::request(core::time_point now, std::string path, core::milliseconds deadline,
                                      session_actions& actions)
{
    return m_impl->state.add(now, wire::request_kind::idempotent, std::move(path), {}, deadline, actions);
}

core::request_number session::post(core::time_point now, std::string path, std::vector<std::uint8_t> payload,
                                   core::milliseconds deadline, session_actions& actions)
{
    return m_impl->state.add(now, wire::request_kind::non_idempotent, std::move(path), std::move(payload), deadline,
                             actions);
}

void session::cancel(core::time_point now, core::request_number number, session_actions& actions)
{
    m_impl->state.cancel(now, number, actions);
}

void session::subscribe(core::time_point now, std::string path, core::event_id last_event, session_actions& actions)
{
    m_impl->state.subscribe(now, std::move(path), last_event, actions);
}

void session::close(core::time_point now, session_actions& actions) { m_impl->state.close(now, actions); }

void session::on_packet(core::time_point now, wire::bytes_view header_and_packet, session_actions& actions)
{
    m_impl->state.on_packet(now, header_and_packet, actions);
}

void session::on_tick(core::time_point now, session_actions& actions) { m_impl->state.on_tick(now, actions); }

bool session::is_open() const noexcept { return m_impl->state.is_open(); }
core::event_id session::last_event() const noexcept { return m_impl->state.last_event(); }
const wire::flow_token& session::token() const noexcept { return m_impl->state.token(); }

} // namespace daisydoor::caller
