#include "daisydoor/agent/flows.hpp"

#include "daisydoor/agent/detail/feed_hub.hpp"
#include "daisydoor/agent/detail/flow_mover.hpp"
#include "daisydoor/agent/detail/flow_table.hpp"
#include "daisydoor/core/fault.hpp"

#include <cstring>

namespace daisydoor::agent
{

namespace
{

/// A third of the 30 s after which middleboxes commonly drop UDP flow state.
constexpr core::milliseconds keepalive_interval{10000};
/// Flows without any datagram from the caller for this long are dropped.
constexpr core::milliseconds flow_idle_timeout{600000};
/// While draining, flows without a datagram for six keepalive intervals are dropped: they cannot be moved, and their
/// callers have opened new flows.
constexpr core::milliseconds drain_idle_timeout{60000};
constexpr core::milliseconds idle_sweep_interval{1000};
constexpr core::milliseconds refused_open_retry{1000};
/// An open is forwarded if this agent has more than this multiple of the mean of the peers' flow counts.
constexpr double forward_ratio = 1.03;
/// Number of times that agents may forward an open.
constexpr std::uint8_t max_hops = 1;

bool accepts_flows(const peer_status& peer)
{
    return peer.report.state != wire::agent_state::draining && peer.report.state != wire::agent_state::ejected;
}

/// Acknowledges a close, which the caller repeats until then.
void confirm_close(const wire::envelope& back, const wire::flow_token& token, action_list& actions)
{
    wire::keepalive_ackT ack;
    ack.sequence = wire::close_ack_sequence;
    detail::reply(back, token, 0, std::move(ack), actions);
}

} // namespace

struct flows::impl
{
    agent_context& context;
    work& requests;
    detail::flow_table table;
    detail::feed_hub feeds;
    detail::flow_mover mover;
    counters count;
    core::time_point next_sweep{};

    impl(agent_context& shared, work& records)
        : context(shared), requests(records), table(shared), feeds(shared, table), mover(shared, table, feeds, records)
    {
    }

    [[nodiscard]] bool is_draining_or_ejected() const noexcept
    {
        return context.own.state == wire::agent_state::draining || context.own.state == wire::agent_state::ejected;
    }

    void answer_open(core::time_point now, const wire::envelope& env, const wire::packet_header& header,
                     core::workspace_id workspace, action_list& actions);
    void refuse_open(const wire::envelope& env, const wire::packet_header& header, wire::refusal_reason reason,
                     action_list& actions) const;
    [[nodiscard]] bool has_too_many_flows(core::time_point now, const peer_status& least) const;
    bool forward_open(core::time_point now, const wire::envelope& env, wire::bytes_view datagram, action_list& actions);
    void on_open_forward(core::time_point now, const wire::open_forwardT& body, action_list& actions);
    void reply_flow_gone(const wire::envelope& env, const wire::packet_header& header,
                         const wire::packet_bodyUnion& body, action_list& actions);
    [[nodiscard]] bool is_own(const wire::flow_token& token) const;
    void remove(core::flow_id flow, action_list& actions);
    void acknowledge_sequence(core::time_point now, core::flow_id flow, std::uint32_t sequence, core::event_id position,
                              action_list& actions);
    void remove_idle_flows(core::time_point now, action_list& actions);
};

void flows::impl::answer_open(core::time_point now, const wire::envelope& env, const wire::packet_header& header,
                              core::workspace_id workspace, action_list& actions)
{
    const auto& entry = table.create(now, workspace, env.service_address(), env.caller_address());
    wire::open_replyT body;
    body.token = std::make_unique<wire::flow_token>(entry.token);
    body.keepalive_ms = static_cast<std::uint32_t>(keepalive_interval.count());
    body.config_version = core::raw(context.version());
    detail::reply(detail::reply_envelope(context, env.service_address(), env.caller_address()), entry.token,
                  header.flow_hash(), std::move(body), actions);
    ++count.opens_answered;
}

void flows::impl::refuse_open(const wire::envelope& env, const wire::packet_header& header, wire::refusal_reason reason,
                              action_list& actions) const
{
    wire::refusalT body;
    body.kind = wire::refusal_kind::not_run;
    body.reason = reason;
    body.retry_after_ms = static_cast<std::uint32_t>(refused_open_retry.count());
    detail::reply(detail::reply_envelope(context, env.service_address(), env.caller_address()), header.token(),
                  header.flow_hash(), body, actions);
}

bool flows::impl::has_too_many_flows(core::time_point now, const peer_status& least) const
{
    const std::size_t own = table.size() - mover.adopted_flows();
    std::size_t sum = 0;
    std::size_t peers = 0;
    for (const auto& [host, peer] : context.peers) {
        if (context.is_peer_alive(peer, now) && accepts_flows(peer)) {
            sum += peer.report.held_flows;
            ++peers;
        }
    }
    const double mean = static_cast<double>(sum) / static_cast<double>(std::max<std::size_t>(peers, 1));
    return least.report.held_flows<own&& static_cast<double>(own)> forward_ratio * mean;
}

bool flows::impl::forward_open(core::time_point now, const wire::envelope& env, wire::bytes_view datagram,
                               action_list& actions)
{
    const bool may_hop = env.hop_count() < max_hops || core::is_active(core::fault::second_hop);
    const auto* least = context.least_loaded_peer(now);
    if (!may_hop || least == nullptr || !(is_draining_or_ejected() || has_too_many_flows(now, *least))) {
        return false;
    }
    wire::envelope forwarded = env;
    forwarded.mutate_hop_count(static_cast<std::uint8_t>(env.hop_count() + 1));
    wire::open_forwardT body;
    body.datagram.assign(datagram.data, datagram.data + datagram.size);
    std::memcpy(body.datagram.data(), &forwarded, sizeof forwarded);
    // Counts the flow at the peer until its next report, so that one peer does not get all opens of this interval.
    ++context.peers.at(least->host).report.held_flows;
    context.send_to_peer(least->host, wire::make_peer_message(context.version(), std::move(body)), actions);
    ++count.opens_forwarded;
    return true;
}

/// A request on a flow that no longer exists may have run, and its record is lost with the flow. The only correct
/// refusal is therefore `unknown`.
void flows::impl::reply_flow_gone(const wire::envelope& env, const wire::packet_header& header,
                                  const wire::packet_bodyUnion& body, action_list& actions)
{
    const auto back = detail::reply_envelope(context, env.service_address(), env.caller_address());
    if (body.Asclose() != nullptr) {
        confirm_close(back, header.token(), actions);
        return;
    }
    if (body.Asfeed_ack() != nullptr || body.Asmove_confirm() != nullptr) {
        // Delayed copies on a flow that was closed or has moved; no caller waits for an answer.
        return;
    }
    if (const auto* request = body.Asrequest()) {
        wire::refusalT refusal;
        refusal.number = request->number;
        refusal.kind = wire::refusal_kind::unknown;
        refusal.reason = wire::refusal_reason::flow_gone;
        detail::reply(back, header.token(), 0, refusal, actions);
    }
    wire::flow_goneT gone;
    gone.reason = wire::refusal_reason::flow_gone;
    detail::reply(back, header.token(), 0, gone, actions);
    ++count.flow_gone_replies;
}

bool flows::impl::is_own(const wire::flow_token& token) const
{
    const auto& own = context.options;
    const bool same_incarnation =
        token.incarnation() == core::raw(own.incarnation) || core::is_active(core::fault::skip_incarnation_check);
    return same_incarnation && token.host() == core::raw(own.host) && token.service() == core::raw(own.service);
}

void flows::impl::remove(core::flow_id flow, action_list& actions)
{
    mover.forget(flow);
    feeds.unsubscribe(flow, actions);
    requests.forget_flow(flow);
    table.erase(flow);
}

void flows::impl::acknowledge_sequence(core::time_point now, core::flow_id flow, std::uint32_t sequence,
                                       core::event_id position, action_list& actions)
{
    auto* entry = table.find(flow);
    if (entry == nullptr) {
        return;
    }
    table.renew_token(now, *entry);
    wire::keepalive_ackT ack;
    ack.sequence = sequence;
    ack.token = std::make_unique<wire::flow_token>(entry->token);
    ack.position = core::raw(position);
    detail::send_to_flow(context, *entry, std::move(ack), actions);
}

void flows::impl::on_open_forward(core::time_point now, const wire::open_forwardT& body, action_list& actions)
{
    const wire::bytes_view datagram{body.datagram.data(), body.datagram.size()};
    const auto* env = wire::envelope_of(datagram);
    if (env == nullptr) {
        return;
    }
    const auto decoded =
        wire::decode_packet({datagram.data + sizeof(wire::envelope), datagram.size - sizeof(wire::envelope)});
    const auto* open = decoded ? decoded->packet.body.Asopen() : nullptr;
    const bool own_service =
        context.service != nullptr && wire::from_wire(env->service_address()) == context.service->address;
    if (open == nullptr || !own_service || !context.signer || context.own.awaiting_confirmation) {
        return;
    }
    if (is_draining_or_ejected() && !core::is_active(core::fault::second_hop)) {
        // The peer's load report of this agent was outdated. The caller's next attempt goes to another agent.
        refuse_open(*env, decoded->header, wire::refusal_reason::draining, actions);
        return;
    }
    if (core::is_active(core::fault::second_hop) && forward_open(now, *env, datagram, actions)) {
        return;
    }
    answer_open(now, *env, decoded->header, core::workspace_id{open->tenant}, actions);
}

void flows::impl::remove_idle_flows(core::time_point now, action_list& actions)
{
    if (now < next_sweep) {
        return;
    }
    next_sweep = now + idle_sweep_interval;
    const bool drains = context.own.state == wire::agent_state::draining;
    for (const auto flow : table.idle_since(now - (drains ? drain_idle_timeout : flow_idle_timeout))) {
        remove(flow, actions);
    }
}

flows::flows(agent_context& context, work& requests) : m_impl(std::make_unique<impl>(context, requests)) {}
flows::~flows() = default;

void flows::on_open(core::time_point now, const wire::envelope& env, const wire::packet_header& header,
                    const wire::openT& body, wire::bytes_view datagram, action_list& actions)
{
    auto& self = *m_impl;
    if (!self.context.signer || self.context.service == nullptr || self.context.own.awaiting_confirmation) {
        self.refuse_open(env, header, wire::refusal_reason::no_configuration, actions);
        return;
    }
    const bool drains = self.context.own.state == wire::agent_state::draining;
    if (drains && core::is_active(core::fault::skip_drain_forward)) {
        self.answer_open(now, env, header, core::workspace_id{body.tenant}, actions);
        return;
    }
    if (self.forward_open(now, env, datagram, actions)) {
        return;
    }
    if (drains) {
        self.refuse_open(env, header, wire::refusal_reason::draining, actions);
        return;
    }
    self.answer_open(now, env, header, core::workspace_id{body.tenant}, actions);
}

std::optional<flow_address> flows::find(core::time_point now, const wire::envelope& env,
                                        const wire::packet_header& header, const wire::packet_bodyUnion& body,
                                        action_list& actions)
{
    const auto& token = header.token();
    auto* entry = m_impl->is_own(token) ? m_impl->table.find(core::flow_id{token.flow()}) : nullptr;
    if (entry == nullptr) {
        m_impl->reply_flow_gone(env, header, body, actions);
        return std::nullopt;
    }
    entry->caller_address = env.caller_address();
    entry->last_seen = now;
    m_impl->feeds.on_caller_seen(now, entry->id, actions);
    return flow_address{entry->id, entry->workspace,
                        detail::reply_envelope(m_impl->context, entry->service_address, entry->caller_address),
                        entry->token};
}

void flows::on_packet(core::time_point now, const flow_address& from, const wire::packet_bodyUnion& body,
                      action_list& actions)
{
    auto& self = *m_impl;
    if (const auto* keepalive = body.Askeepalive()) {
        self.requests.acknowledge(from.flow, core::request_number{keepalive->acknowledged});
        self.feeds.acknowledge(now, from.flow, core::event_id{keepalive->last_event}, actions);
        self.acknowledge_sequence(now, from.flow, keepalive->sequence, {}, actions);
    } else if (const auto* subscribe = body.Assubscribe()) {
        if (!self.mover.is_move_confirmed(from.flow)) {
            self.feeds.subscribe(now, from.flow, subscribe->path, core::event_id{subscribe->last_event}, actions);
        }
        self.feeds.on_caller_seen(now, from.flow, actions);
        const auto position = self.feeds.position_of(from.flow);
        self.acknowledge_sequence(now, from.flow, wire::subscribe_ack_sequence,
                                  position ? position->last_event : core::event_id{}, actions);
    } else if (const auto* ack = body.Asfeed_ack()) {
        self.feeds.acknowledge(now, from.flow, core::event_id{ack->last_event}, actions);
    } else if (body.Asmove_confirm() != nullptr) {
        self.mover.on_confirm(now, from.flow, actions);
    } else if (body.Asclose() != nullptr) {
        self.remove(from.flow, actions);
        confirm_close(from.reply_envelope, from.token, actions);
    }
}

void flows::on_peer_message(core::time_point now, core::host_id host, const wire::peer_messageT& message,
                            action_list& actions)
{
    if (const auto* open = message.body.Asopen_forward()) {
        m_impl->on_open_forward(now, *open, actions);
    } else if (const auto* adopt = message.body.Asadopt_flow()) {
        m_impl->mover.on_adopt_flow(now, host, *adopt, actions);
    } else if (const auto* reply = message.body.Asadopt_reply()) {
        m_impl->mover.on_adopt_reply(now, host, *reply, actions);
    }
}

void flows::on_peer_down(core::time_point /*now*/, core::host_id host, action_list& /*actions*/)
{
    m_impl->mover.on_peer_down(host);
}

void flows::on_feed_event(core::time_point now, feed_connection_id id, core::event_id event,
                          std::vector<std::uint8_t> data, action_list& actions)
{
    m_impl->feeds.on_event(now, id, event, std::move(data), actions);
}

void flows::on_feed_activity(core::time_point now, feed_connection_id id) { m_impl->feeds.on_activity(now, id); }

void flows::on_feed_closed(core::time_point now, feed_connection_id id, action_list& /*actions*/)
{
    m_impl->feeds.on_closed(now, id);
}

void flows::on_tick(core::time_point now, action_list& actions)
{
    m_impl->feeds.on_tick(now, actions);
    for (const auto flow : m_impl->mover.on_tick(now, actions)) {
        m_impl->remove(flow, actions);
    }
    m_impl->remove_idle_flows(now, actions);
}

std::size_t flows::size() const noexcept { return m_impl->table.size(); }

std::size_t flows::subscribers() const noexcept
{
    return m_impl->feeds.subscribers() - std::min(m_impl->feeds.subscribers(), m_impl->mover.adopted_feeds());
}

const flows::counters& flows::count() const noexcept
{
    m_impl->count.flows_moved = m_impl->mover.moved();
    m_impl->count.events_sent = m_impl->feeds.events_sent();
    return m_impl->count;
}

} // namespace daisydoor::agent
