#include "daisydoor/agent/detail/flow_mover.hpp"

#include "daisydoor/core/fault.hpp"

#include <algorithm>

namespace daisydoor::agent::detail
{

namespace
{

/// The peer answers within a round trip; after this time the request or its answer is considered lost.
constexpr core::milliseconds adopt_timeout{1000};
constexpr core::milliseconds move_resend_initial{200};
constexpr core::milliseconds move_resend_max{2000};
/// A move whose offer the caller does not confirm within this time is abandoned, so that a new one can start.
constexpr core::milliseconds offer_timeout{30000};
/// Time for which an adoption is remembered. Repeated requests to adopt a flow arrive within the offer timeout, so that
/// older adoptions can be dropped.
constexpr core::milliseconds adoption_memory{120000};
/// An agent moves feeds away if it has more than this multiple of the mean. The required balance is 1.05; the margin
/// allows for stale reports.
constexpr double surplus_ratio = 1.03;
/// Callers send a keepalive every 10 s. The caller of a flow without a datagram for longer would not receive the offer.
constexpr core::milliseconds max_caller_silence{15000};
/// A caller with open requests on the old flow repeats them at least once a second and closes the flow after the last
/// one; after this silence its close is considered lost.
constexpr core::milliseconds confirmed_silence{5000};
/// Unused credit for moves accumulates for at most 0.1 s, so that it does not cause a burst.
constexpr double max_credit_s = 0.1;

bool accepts_flows(const peer_status& peer)
{
    return peer.report.state != wire::agent_state::draining && peer.report.state != wire::agent_state::ejected;
}

} // namespace

void flow_mover::set_stage(core::time_point now, outgoing_move& outgoing, stage next_stage)
{
    if (outgoing.current_stage == stage::adoption_requested && next_stage != stage::adoption_requested) {
        ++m_adopted_flows;
        m_adopted_feeds += outgoing.has_feed ? 1 : 0;
    }
    if (outgoing.current_stage != stage::confirmed && next_stage == stage::confirmed && outgoing.has_feed) {
        // The confirmation ends the subscription at this agent.
        --m_adopted_feeds;
        outgoing.has_feed = false;
    }
    outgoing.current_stage = next_stage;
    outgoing.since = now;
    outgoing.next_send = now;
    outgoing.interval = move_resend_initial;
}

flow_mover::outgoing_move_map::iterator flow_mover::erase(outgoing_move_map::iterator it)
{
    if (it->second.current_stage != stage::adoption_requested) {
        --m_adopted_flows;
        m_adopted_feeds -= it->second.has_feed ? 1 : 0;
    }
    return m_outgoing_moves.erase(it);
}

void flow_mover::forget(core::flow_id flow)
{
    if (const auto it = m_outgoing_moves.find(flow); it != m_outgoing_moves.end()) {
        m_moved += it->second.current_stage == stage::offered ? 1 : 0;
        erase(it);
    }
}

bool flow_mover::can_adopt() const noexcept
{
    const auto state = m_context.own.state;
    return m_context.signer && !m_context.own.awaiting_confirmation && state != wire::agent_state::draining &&
           state != wire::agent_state::ejected;
}

void flow_mover::on_adopt_flow(core::time_point now, core::host_id host, const wire::adopt_flowT& body,
                               action_list& actions)
{
    wire::adopt_replyT answer;
    answer.old_flow = body.old_flow;
    const auto peer = m_context.peers.find(host);
    if (can_adopt() && peer != m_context.peers.end() && body.service_address && body.caller_address) {
        auto& known = m_adoptions[{host, peer->second.incarnation, body.old_flow}];
        auto* entry = m_table.find(known.flow);
        if (entry == nullptr) {
            entry = &m_table.create(now, core::workspace_id{body.tenant}, *body.service_address, *body.caller_address);
        }
        known = {entry->id, now};
        if (!body.feed_path.empty() && !m_feeds.position_of(entry->id)) {
            m_feeds.subscribe(now, entry->id, body.feed_path, core::event_id{body.last_event}, actions);
        }
        answer.accepted = true;
        answer.token = std::make_unique<wire::flow_token>(entry->token);
    }
    m_context.send_to_peer(host, wire::make_peer_message(m_context.version(), std::move(answer)), actions);
}

void flow_mover::on_adopt_reply(core::time_point now, core::host_id host, const wire::adopt_replyT& body,
                                action_list& /*actions*/)
{
    const auto it = m_outgoing_moves.find(core::flow_id{body.old_flow});
    if (it == m_outgoing_moves.end() || it->second.peer != host ||
        it->second.current_stage != stage::adoption_requested) {
        return;
    }
    if (!body.accepted || !body.token) {
        erase(it);
        return;
    }
    it->second.token = *body.token;
    set_stage(now, it->second, stage::offered);
}

void flow_mover::on_confirm(core::time_point now, core::flow_id flow, action_list& actions)
{
    // If the offer has timed out, the flow has no entry here; the caller has moved nonetheless.
    auto& outgoing = m_outgoing_moves[flow];
    if (outgoing.current_stage != stage::confirmed) {
        ++m_moved;
        set_stage(now, outgoing, stage::confirmed);
    }
    m_feeds.unsubscribe(flow, actions);
}

void flow_mover::on_peer_down(core::host_id host)
{
    for (auto it = m_outgoing_moves.begin(); it != m_outgoing_moves.end();) {
        it = it->second.peer == host && it->second.current_stage == stage::adoption_requested ? erase(it)
                                                                                              : std::next(it);
    }
}

/// Returns false if the move has failed and must start over.
bool flow_mover::tick_move(core::time_point now, core::flow_id flow, outgoing_move& outgoing, action_list& actions)
{
    if (outgoing.current_stage == stage::adoption_requested) {
        return now - outgoing.since < adopt_timeout;
    }
    if (outgoing.current_stage == stage::confirmed) {
        return true;
    }
    const auto peer = m_context.peers.find(outgoing.peer);
    const bool lost = peer == m_context.peers.end() || !m_context.is_peer_alive(peer->second, now);
    if (lost || now - outgoing.since >= offer_timeout) {
        return false;
    }
    if (now >= outgoing.next_send) {
        outgoing.next_send = now + outgoing.interval;
        outgoing.interval = std::min(outgoing.interval * 2, move_resend_max);
        wire::moveT body;
        body.token = std::make_unique<wire::flow_token>(outgoing.token);
        send_to_flow(m_context, *m_table.find(flow), std::move(body), actions);
    }
    return true;
}

std::vector<core::flow_id> flow_mover::on_tick(core::time_point now, action_list& actions)
{
    std::vector<core::flow_id> completed;
    for (auto it = m_outgoing_moves.begin(); it != m_outgoing_moves.end();) {
        const bool is_silent =
            now - std::max(it->second.since, m_table.find(it->first)->last_seen) >= confirmed_silence;
        if (it->second.current_stage == stage::confirmed && is_silent && !m_requests.has_records(it->first)) {
            completed.push_back(it->first);
        }
        it = tick_move(now, it->first, it->second, actions) ? std::next(it) : erase(it);
    }
    for (auto it = m_adoptions.begin(); it != m_adoptions.end();) {
        it = now - it->second.last_request_at >= adoption_memory ? m_adoptions.erase(it) : std::next(it);
    }
    start_moves(now, actions);
    return completed;
}

void flow_mover::refill_credit(core::time_point now)
{
    const double rate = m_context.policy().feed_moves_per_second;
    const std::chrono::duration<double> elapsed = now - m_credit_at;
    m_credit_at = now;
    m_credit = std::min(m_credit + elapsed.count() * rate, std::max(rate * max_credit_s, 1.0));
}

peer_status* flow_mover::peer_with_fewest_feeds(core::time_point now)
{
    peer_status* best = nullptr;
    for (auto& [host, peer] : m_context.peers) {
        const bool usable = m_context.is_peer_alive(peer, now) && accepts_flows(peer);
        if (usable && (best == nullptr || peer.report.held_feeds < best->report.held_feeds)) {
            best = &peer;
        }
    }
    return best;
}

std::size_t flow_mover::surplus_feeds(core::time_point now)
{
    const auto* least = peer_with_fewest_feeds(now);
    const std::size_t adoption_requested = m_outgoing_moves.size() - m_adopted_flows;
    const std::size_t own =
        m_feeds.subscribers() - std::min(m_feeds.subscribers(), m_adopted_feeds + adoption_requested);
    // Moving a flow cannot reduce a difference of one; the flow would only move back and forth.
    if (least == nullptr || own < least->report.held_feeds + std::size_t{2}) {
        return 0;
    }
    std::size_t sum = own;
    std::size_t agents = 1;
    for (const auto& [host, peer] : m_context.peers) {
        if (m_context.is_peer_alive(peer, now) && accepts_flows(peer)) {
            sum += peer.report.held_feeds;
            ++agents;
        }
    }
    const double allowed = surplus_ratio * static_cast<double>(sum) / static_cast<double>(agents);
    return static_cast<double>(own) > allowed ? own - static_cast<std::size_t>(allowed) : 0;
}

bool flow_mover::start_move(core::time_point now, core::flow_id flow, bool for_drain, action_list& actions)
{
    auto* peer = peer_with_fewest_feeds(now);
    if (for_drain) {
        const auto* least = m_context.least_loaded_peer(now);
        peer = least != nullptr ? &m_context.peers.at(least->host) : nullptr;
    }
    if (peer == nullptr) {
        return false;
    }
    const auto& entry = *m_table.find(flow);
    wire::adopt_flowT body;
    body.old_flow = core::raw(flow);
    body.tenant = core::raw(entry.workspace);
    body.service_address = std::make_unique<wire::wire_endpoint>(entry.service_address);
    body.caller_address = std::make_unique<wire::wire_endpoint>(entry.caller_address);
    outgoing_move outgoing;
    outgoing.peer = peer->host;
    outgoing.since = now;
    if (const auto position = m_feeds.position_of(flow)) {
        body.feed_path = position->path;
        body.last_event = core::raw(position->last_event);
        outgoing.has_feed = true;
    }
    m_context.send_to_peer(peer->host, wire::make_peer_message(m_context.version(), std::move(body)), actions);
    // Counts the flow at the peer until its next report, so that one peer does not get all flows of this interval.
    ++peer->report.held_flows;
    peer->report.held_feeds += outgoing.has_feed ? 1 : 0;
    if (core::is_active(core::fault::break_before_make)) {
        m_feeds.unsubscribe(flow, actions);
        m_table.erase(flow);
        return true;
    }
    m_outgoing_moves[flow] = outgoing;
    return true;
}

void flow_mover::start_moves(core::time_point now, action_list& actions)
{
    refill_credit(now);
    if (m_credit < 1.0 || m_context.own.awaiting_confirmation || m_context.is_isolated(now)) {
        return;
    }
    const bool drains = m_context.own.state == wire::agent_state::draining;
    const auto allowed = static_cast<std::size_t>(m_credit);
    // The target of an ejected agent has failed and sends no events, so all its feeds move away.
    const bool moves_all = drains || m_context.own.state == wire::agent_state::ejected;
    const std::size_t count = moves_all ? allowed : std::min(allowed, surplus_feeds(now));
    if (count == 0) {
        return;
    }
    const auto chosen = m_table.select(count, [&](const flow_entry& entry) {
        return now - entry.last_seen < max_caller_silence && m_outgoing_moves.count(entry.id) == 0 &&
               (drains || m_feeds.position_of(entry.id).has_value());
    });
    for (const auto flow : chosen) {
        if (!start_move(now, flow, drains, actions)) {
            return;
        }
        m_credit -= 1.0;
    }
}

} // namespace daisydoor::agent::detail
