#include "daisydoor/caller/detail/session_state.hpp"

#include <algorithm>

namespace daisydoor::caller::detail
{

namespace
{

/// A candidate flow without a reply within this time is dropped; the old agent then sends another `move`.
constexpr core::milliseconds candidate_timeout{3000};
/// Maximum number of `close` packets for one flow. They are retransmitted, since an agent that gets none keeps the
/// flow until its idle timeout.
constexpr unsigned max_closes = 5;

} // namespace

void session_state::open(core::time_point now, session_actions& actions)
{
    if (m_current || m_opener.is_active()) {
        return;
    }
    m_closed = false;
    m_opener.start(now, m_random, m_options.open_timeout, false);
    on_tick(now, actions);
}

core::request_number session_state::add(core::time_point now, wire::request_kind kind, std::string path,
                                        std::vector<std::uint8_t> payload, core::milliseconds deadline,
                                        session_actions& actions)
{
    const auto number = m_requests.add(now, kind, std::move(path), std::move(payload), deadline, actions);
    if (m_closed) {
        m_requests.close(actions);
    }
    m_requests.on_tick(now, m_current.get(), actions);
    return number;
}

void session_state::cancel(core::time_point now, core::request_number number, session_actions& actions)
{
    m_requests.cancel(now, number, actions);
}

void session_state::subscribe(core::time_point now, std::string path, core::event_id last_event,
                              session_actions& actions)
{
    m_feed.subscribe(now, std::move(path), last_event);
    m_feed.on_tick(now, m_current.get(), actions);
}

void session_state::close(core::time_point now, session_actions& actions)
{
    m_closed = true;
    m_opener.stop();
    m_candidate.reset();
    m_requests.close(actions);
    if (m_current) {
        retire_current(now, false);
    }
    for (auto& it : m_retired) {
        it.close_timer.start(now);
    }
    on_tick_retired(now, actions);
}

session_flow* session_state::find(const wire::flow_token& token)
{
    if (m_current && names_same_flow(m_current->token, token)) {
        return m_current.get();
    }
    if (m_candidate && names_same_flow(m_candidate->token, token)) {
        return m_candidate.get();
    }
    const auto it = std::find_if(m_retired.begin(), m_retired.end(), [&token](const retired_flow& retired) {
        return names_same_flow(retired.flow->token, token);
    });
    return it != m_retired.end() ? it->flow.get() : nullptr;
}

void session_state::on_packet(core::time_point now, wire::bytes_view bytes, session_actions& actions)
{
    const auto decoded = wire::decode_packet(bytes);
    if (!decoded || decoded->header.packet_class() != wire::packet_class::reply) {
        return;
    }
    const auto& body = decoded->packet.body;
    const bool opens = body.Asopen_reply() != nullptr || body.Asrefusal() != nullptr;
    if (opens && m_opener.is_open_answer(decoded->header)) {
        on_open_answer(now, body, actions);
        return;
    }
    if (auto* flow = find(decoded->header.token())) {
        on_flow_packet(now, *flow, body, actions);
    }
}

void session_state::set_current(core::time_point now, std::unique_ptr<session_flow> flow)
{
    m_current = std::move(flow);
    m_token = m_current->token;
    m_path.restart(now);
    m_feed.resubscribe(now);
}

void session_state::on_open_answer(core::time_point now, const wire::packet_bodyUnion& body, session_actions& actions)
{
    if (const auto* refusal = body.Asrefusal()) {
        m_opener.on_refusal(*refusal);
        return;
    }
    const auto& reply = *body.Asopen_reply();
    if (!reply.token) {
        return;
    }
    if (m_opener.is_active()) {
        m_opener.stop();
        m_path.set_interval(core::milliseconds{reply.keepalive_ms});
        auto flow = std::make_unique<session_flow>();
        flow->token = *reply.token;
        set_current(now, std::move(flow));
        actions.push_back(opened{});
        m_requests.on_tick(now, m_current.get(), actions);
    } else if (find(*reply.token) == nullptr) {
        // Two transmissions of the open each created a flow; the second one is closed.
        send_on(*reply.token, wire::closeT{}, actions);
    }
}

void session_state::on_flow_packet(core::time_point now, session_flow& flow, const wire::packet_bodyUnion& body,
                                   session_actions& actions)
{
    if (body.Asflow_gone() != nullptr) {
        on_flow_gone(now, flow, actions);
        return;
    }
    if (&flow == m_candidate.get()) {
        make_candidate_current(now, actions);
    }
    if (const auto* answer = body.Asanswer()) {
        m_requests.on_answer(now, flow, *answer, actions);
    } else if (const auto* refusal = body.Asrefusal()) {
        m_requests.on_refusal(now, flow, *refusal, actions);
    } else if (const auto* event = body.Asevent()) {
        m_feed.on_event(now, flow, *event, actions);
    } else if (const auto* ack = body.Askeepalive_ack()) {
        on_keepalive_ack(now, flow, *ack, actions);
    } else if (const auto* move = body.Asmove()) {
        on_move(now, flow, *move, actions);
    }
}

void session_state::on_keepalive_ack(core::time_point now, session_flow& flow, const wire::keepalive_ackT& body,
                                     session_actions& actions)
{
    if (body.token && names_same_flow(*body.token, flow.token) && body.token->issued_s() >= flow.token.issued_s()) {
        flow.token = *body.token;
    }
    if (body.sequence == wire::close_ack_sequence) {
        drop_retired(flow);
    } else if (&flow == m_current.get()) {
        m_token = flow.token;
        m_path.on_ack(now, body.sequence);
        if (body.sequence == wire::subscribe_ack_sequence) {
            m_feed.on_subscribed(core::event_id{body.position}, actions);
        }
    }
}

void session_state::drop_retired(const session_flow& flow)
{
    const auto it = std::find_if(m_retired.begin(), m_retired.end(),
                                 [&flow](const retired_flow& retired) { return retired.flow.get() == &flow; });
    if (it != m_retired.end() && it->flow->outstanding.empty()) {
        m_feed.remove_flow(flow);
        m_retired.erase(it);
    }
}

void session_state::confirm_move(const session_flow& old, session_actions& actions) const
{
    wire::move_confirmT body;
    body.new_flow_event = core::raw(m_feed.last_event());
    send_on(old.token, body, actions);
}

void session_state::on_move(core::time_point now, session_flow& flow, const wire::moveT& body, session_actions& actions)
{
    if (&flow != m_current.get()) {
        const auto it = std::find_if(m_retired.begin(), m_retired.end(),
                                     [&flow](const retired_flow& retired) { return retired.flow.get() == &flow; });
        if (it != m_retired.end() && it->is_moved) {
            confirm_move(flow, actions);
        }
        return;
    }
    if (!body.token || names_same_flow(*body.token, flow.token) ||
        (m_candidate && names_same_flow(*body.token, m_candidate->token))) {
        return;
    }
    m_candidate = std::make_unique<session_flow>();
    m_candidate->token = *body.token;
    m_candidate_since = now;
    m_candidate_timer.start(now);
    on_tick_candidate(now, actions);
}

void session_state::make_candidate_current(core::time_point now, session_actions& actions)
{
    retire_current(now, true);
    set_current(now, std::move(m_candidate));
    confirm_move(*m_retired.back().flow, actions);
}

void session_state::retire_current(core::time_point now, bool is_moved)
{
    retired_flow retired;
    retired.flow = std::move(m_current);
    retired.is_moved = is_moved;
    retired.close_timer.start_later(now);
    m_retired.push_back(std::move(retired));
}

void session_state::on_flow_gone(core::time_point now, session_flow& flow, session_actions& actions)
{
    if (&flow == m_candidate.get()) {
        m_candidate.reset();
        return;
    }
    m_requests.on_flow_gone(now, flow, actions);
    m_feed.remove_flow(flow);
    if (&flow != m_current.get()) {
        drop_retired(flow);
        return;
    }
    m_current.reset();
    if (m_candidate) {
        // The agent dropped the flow before the move was confirmed; continue on the flow that it offered.
        set_current(now, std::move(m_candidate));
        m_path.probe(now);
        return;
    }
    reopen(now, actions);
}

void session_state::reopen(core::time_point now, session_actions& actions)
{
    m_opener.start(now, m_random, m_options.open_timeout, true);
    m_opener.on_tick(now, m_random, m_options.workspace, actions);
}

void session_state::on_tick_candidate(core::time_point now, session_actions& actions)
{
    if (!m_candidate) {
        return;
    }
    if (now - m_candidate_since >= candidate_timeout) {
        m_candidate.reset();
        return;
    }
    if (!m_candidate_timer.is_due(now)) {
        return;
    }
    m_candidate_timer.advance(now);
    if (m_feed.is_subscribed()) {
        m_feed.send_subscribe(m_candidate->token, actions);
    } else {
        send_on(m_candidate->token, wire::keepaliveT{}, actions);
    }
}

void session_state::on_tick_path(core::time_point now, session_actions& actions)
{
    if (!m_current) {
        return;
    }
    if (m_requests.is_unanswered(*m_current)) {
        m_path.probe(now);
    }
    if (m_path.on_tick(now, *m_current, m_feed.last_event(), actions) != path_monitor::path_status::unreachable) {
        return;
    }
    m_requests.on_flow_unreachable(now, *m_current);
    m_candidate.reset();
    retire_current(now, false);
    reopen(now, actions);
}

void session_state::on_tick_retired(core::time_point now, session_actions& actions)
{
    for (auto it = m_retired.begin(); it != m_retired.end();) {
        const bool is_finished = it->flow->outstanding.empty();
        if (is_finished && it->close_count >= max_closes) {
            drop_retired(*(it++)->flow);
            continue;
        }
        if (is_finished && it->close_timer.is_due(now)) {
            it->close_timer.advance(now);
            ++it->close_count;
            send_on(it->flow->token, wire::closeT{}, actions);
        }
        ++it;
    }
}

void session_state::on_tick(core::time_point now, session_actions& actions)
{
    if (const auto failure = m_opener.on_tick(now, m_random, m_options.workspace, actions)) {
        actions.push_back(*failure);
    }
    on_tick_path(now, actions);
    on_tick_candidate(now, actions);
    m_requests.on_tick(now, m_current.get(), actions);
    m_feed.on_tick(now, m_current.get(), actions);
    on_tick_retired(now, actions);
}

} // namespace daisydoor::caller::detail
