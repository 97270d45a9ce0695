#include "daisydoor/caller/detail/flow_opener.hpp"

#include <limits>

namespace daisydoor::caller::detail
{

void flow_opener::start(core::time_point now, core::random_source& random, core::milliseconds timeout,
                        bool restart_on_timeout)
{
    m_active = true;
    m_restarts_on_timeout = restart_on_timeout;
    do {
        m_flow_hash = random();
    } while (m_flow_hash == 0);
    m_attempt = 0;
    m_timeout = timeout;
    m_started = now;
    m_timer.start(now);
    m_last_refusal = {};
}

std::optional<open_failed> flow_opener::on_tick(core::time_point now, core::random_source& random,
                                                core::workspace_id workspace, session_actions& actions)
{
    if (!m_active) {
        return std::nullopt;
    }
    if (now - m_started >= m_timeout) {
        if (!m_restarts_on_timeout) {
            m_active = false;
            return m_last_refusal;
        }
        // A middlebox may have dropped its state for this socket; without a flow, path_monitor cannot detect that.
        actions.push_back(replace_socket{});
        start(now, random, m_timeout, true);
    }
    if (!m_timer.is_due(now)) {
        return std::nullopt;
    }
    m_timer.advance(now);
    const auto attempt =
        static_cast<std::uint8_t>(std::min<unsigned>(m_attempt, std::numeric_limits<std::uint8_t>::max()));
    ++m_attempt;
    wire::openT body;
    body.tenant = core::raw(workspace);
    const wire::packet_header header(wire::packet_magic, wire::packet_class::open, attempt, m_flow_hash, {});
    actions.push_back(send_packet{wire::encode_packet(header, wire::make_packet(body))});
    return std::nullopt;
}

void flow_opener::on_refusal(const wire::refusalT& body) noexcept
{
    m_last_refusal = {body.reason, core::milliseconds{body.retry_after_ms}};
}

} // namespace daisydoor::caller::detail
