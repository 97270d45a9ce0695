#include "daisydoor/agent/agent_core.hpp"

#include "daisydoor/agent/detail/lifecycle.hpp"
#include "daisydoor/agent/detail/load_reporter.hpp"
#include "daisydoor/agent/detail/work_impl.hpp"
#include "daisydoor/agent/flows.hpp"
#include "daisydoor/agent/work.hpp"
#include "daisydoor/core/fault.hpp"

#include <algorithm>
#include <cstring>

namespace daisydoor::agent
{

namespace
{

wire::envelope reply_envelope_of(const wire::envelope& env, core::config_version version)
{
    return {env.service_address(), env.caller_address(), core::raw(version), 0, 0};
}

/// Subtracts the time that the datagram has waited from the request's remaining time, down to 0.
void age_deadline(wire::requestT& body, core::milliseconds age)
{
    const auto waited = static_cast<std::uint64_t>(std::max<core::milliseconds::rep>(age.count(), 0));
    body.deadline_ms = waited >= body.deadline_ms ? 0 : body.deadline_ms - static_cast<std::uint32_t>(waited);
}

} // namespace

struct agent_core::impl
{
    impl(agent_options options, core::random_source random, core::time_point now)
        : ctx(make_context(std::move(options), random, now)), requests(ctx), flow_manager(ctx, requests),
          agent_lifecycle(ctx)
    {
        agent_lifecycle.detect_pause(now);
    }

    static agent_context make_context(agent_options options, core::random_source random, core::time_point now)
    {
        agent_context result;
        result.options = std::move(options);
        result.random = random;
        result.started_at = now;
        return result;
    }

    void drop(agent_drop_reason reason) { ++counters.dropped.at(static_cast<std::size_t>(reason)); }
    void detect_pause(core::time_point now, action_list& actions);
    void on_open(core::time_point now, const wire::envelope& env, wire::bytes_view datagram, action_list& actions);
    void on_established(core::time_point now, const wire::envelope& env, wire::bytes_view datagram,
                        core::milliseconds age, action_list& actions);
    /// @brief Checks the key and MAC of a token and the service address. Counts a datagram that fails as dropped.
    bool check_token(const wire::envelope& env, const wire::packet_header& header);
    void dispatch(core::time_point now, const flow_address& from, wire::packet_bodyUnion& body, core::milliseconds age,
                  action_list& actions);
    /// @brief Makes a configuration the current one. Returns whether it lists this host.
    bool apply_snapshot(config::snapshot_ptr snapshot);
    void update_peer_zones();
    /// @brief Runs after every event: updates the lifecycle state, sends load reports, detects the end of a drain.
    void finish_event(core::time_point now, action_list& actions);
    [[nodiscard]] wire::load_reportT report() const;

    agent_context ctx;
    work requests;
    flows flow_manager;
    detail::lifecycle agent_lifecycle;
    detail::load_reporter reporter;
    agent_counters counters;
    /// Last configuration that lists this host. Its entries stay in use after the removal of the host, until all flows
    /// have moved to peers.
    config::snapshot_ptr last_listing_snapshot;
    bool drain_reported = false;
};

void agent_core::impl::detect_pause(core::time_point now, action_list& actions)
{
    if (agent_lifecycle.detect_pause(now)) {
        actions.emplace_back(refresh_configuration{});
        // Refuses requests that expired during the pause, before a later event can start them.
        requests.on_tick(now, actions);
    }
}

void agent_core::impl::on_open(core::time_point now, const wire::envelope& env, wire::bytes_view datagram,
                               action_list& actions)
{
    const auto decoded =
        wire::decode_packet({datagram.data + sizeof(wire::envelope), datagram.size - sizeof(wire::envelope)});
    if (!decoded) {
        drop(agent_drop_reason::malformed);
        return;
    }
    const auto* body = decoded->packet.body.Asopen();
    if (body == nullptr) {
        drop(agent_drop_reason::unexpected_kind);
        return;
    }
    if (ctx.service == nullptr || ctx.signer == nullptr || ctx.own.awaiting_confirmation) {
        drop(agent_drop_reason::no_configuration);
        wire::refusalT refusal;
        refusal.kind = wire::refusal_kind::not_run;
        refusal.reason = wire::refusal_reason::no_configuration;
        refusal.retry_after_ms = static_cast<std::uint32_t>(core::confirmation_timeout.count());
        const wire::packet_header header(wire::packet_magic, wire::packet_class::reply, decoded->header.attempt(),
                                         decoded->header.flow_hash(), {});
        actions.emplace_back(send_datagram{
            wire::encode_datagram(reply_envelope_of(env, ctx.version()), header, wire::make_packet(refusal))});
        return;
    }
    if (wire::from_wire(env.service_address()) != ctx.service->address) {
        drop(agent_drop_reason::wrong_service);
        return;
    }
    flow_manager.on_open(now, env, decoded->header, *body, datagram, actions);
}

bool agent_core::impl::check_token(const wire::envelope& env, const wire::packet_header& header)
{
    if (ctx.service == nullptr || ctx.signer == nullptr) {
        drop(agent_drop_reason::no_configuration);
        return false;
    }
    const auto& token = header.token();
    const auto verdict = ctx.signer->verify(token);
    if (verdict == wire::token_status::unknown_key) {
        drop(agent_drop_reason::unknown_key);
        return false;
    }
    if (verdict == wire::token_status::bad_mac && !core::is_active(core::fault::skip_mac_check)) {
        drop(agent_drop_reason::bad_mac);
        return false;
    }
    if (wire::from_wire(env.service_address()) != ctx.service->address) {
        drop(agent_drop_reason::wrong_service);
        return false;
    }
    return true;
}

void agent_core::impl::on_established(core::time_point now, const wire::envelope& env, wire::bytes_view datagram,
                                      core::milliseconds age, action_list& actions)
{
    if (!check_token(env, *wire::header_of(datagram))) {
        return;
    }
    auto decoded =
        wire::decode_packet({datagram.data + sizeof(wire::envelope), datagram.size - sizeof(wire::envelope)});
    if (!decoded) {
        drop(agent_drop_reason::malformed);
        return;
    }
    auto& body = decoded->packet.body;
    if (body.type < wire::packet_body::request || body.type > wire::packet_body::close) {
        drop(agent_drop_reason::unexpected_kind);
        return;
    }
    const auto& token = decoded->header.token();
    const bool own_token =
        (token.service() == core::raw(ctx.options.service) || core::is_active(core::fault::ignore_token_service)) &&
        token.host() == core::raw(ctx.options.host);
    if (!own_token) {
        // The address was reassigned to this service, or the host to this agent: find() answers `flow_gone`.
        drop(agent_drop_reason::wrong_service);
    }
    const auto from = flow_manager.find(now, env, decoded->header, body, actions);
    if (from && own_token) {
        dispatch(now, *from, body, age, actions);
    }
}

void agent_core::impl::dispatch(core::time_point now, const flow_address& from, wire::packet_bodyUnion& body,
                                core::milliseconds age, action_list& actions)
{
    if (auto* request = body.Asrequest()) {
        age_deadline(*request, age);
        requests.on_request(now, from, *request, actions);
    } else if (const auto* fetch = body.Asfetch()) {
        requests.on_fetch(now, from, *fetch, actions);
    } else if (const auto* cancel = body.Ascancel()) {
        requests.on_cancel(now, from, *cancel, actions);
    } else {
        flow_manager.on_packet(now, from, body, actions);
    }
}

bool agent_core::impl::apply_snapshot(config::snapshot_ptr snapshot)
{
    const auto find_service = [this](const config::snapshot& source) -> const config::service* {
        const auto it = std::find_if(source.services.begin(), source.services.end(),
                                     [this](const auto& item) { return item.id == ctx.options.service; });
        return it == source.services.end() ? nullptr : &*it;
    };
    const auto find_self = [this](const config::service& service) -> const config::host* {
        const auto it = std::find_if(service.hosts.begin(), service.hosts.end(),
                                     [this](const auto& item) { return item.id == ctx.options.host; });
        return it == service.hosts.end() ? nullptr : &*it;
    };
    ctx.snapshot = std::move(snapshot);
    const auto* service = find_service(*ctx.snapshot);
    const auto* self = service != nullptr ? find_self(*service) : nullptr;
    if (self == nullptr && last_listing_snapshot != nullptr) {
        // This host was removed: its last entry stays in use until the drain has finished.
        ctx.service = service != nullptr ? service : find_service(*last_listing_snapshot);
        return false;
    }
    ctx.service = service;
    ctx.self = self;
    last_listing_snapshot = self != nullptr ? ctx.snapshot : nullptr;
    return self != nullptr;
}

void agent_core::impl::update_peer_zones()
{
    for (auto& [id, peer] : ctx.peers) {
        const core::host_id host = id;
        if (ctx.service == nullptr) {
            break;
        }
        const auto& hosts = ctx.service->hosts;
        const auto it = std::find_if(hosts.begin(), hosts.end(), [host](const auto& item) { return item.id == host; });
        if (it != hosts.end() && it->zone < ctx.snapshot->zones.size()) {
            peer.zone = ctx.snapshot->zones[it->zone].name;
        }
    }
}

wire::load_reportT agent_core::impl::report() const
{
    wire::load_reportT result;
    result.state = ctx.own.state;
    result.free_slots = static_cast<std::uint32_t>(requests.free_slots());
    result.queued = static_cast<std::uint32_t>(requests.queued());
    result.held_flows = static_cast<std::uint32_t>(flow_manager.size());
    result.held_feeds = static_cast<std::uint32_t>(flow_manager.subscribers());
    return result;
}

void agent_core::impl::finish_event(core::time_point now, action_list& actions)
{
    agent_lifecycle.update(now, {requests.is_target_failing(), requests.is_warm()});
    reporter.update(now, ctx, report(), actions);
    if (ctx.own.state != wire::agent_state::draining) {
        drain_reported = false;
        return;
    }
    if (drain_reported) {
        return;
    }
    const auto elapsed = now - ctx.own.drain_started;
    const bool has_no_work = elapsed >= detail::drain_accept_window && flow_manager.size() == 0 &&
                             requests.in_flight() == 0 && requests.queued() == 0 &&
                             !requests.has_unacknowledged_results();
    if (has_no_work || elapsed >= ctx.options.drain_timeout) {
        drain_reported = true;
        actions.emplace_back(drain_finished{});
    }
}

agent_core::agent_core(agent_options options, core::random_source random, core::time_point now)
    : m_impl(std::make_unique<impl>(std::move(options), random, now))
{
}

agent_core::~agent_core() = default;

void agent_core::on_datagram(core::time_point now, wire::bytes_view datagram, core::milliseconds age,
                             action_list& actions)
{
    m_impl->detect_pause(now, actions);
    const auto* header = wire::header_of(datagram);
    if (header == nullptr) {
        m_impl->drop(agent_drop_reason::malformed);
        return;
    }
    wire::envelope env;
    std::memcpy(&env, datagram.data, sizeof env);
    const core::milliseconds waited = age + core::milliseconds{env.age_ms()};
    if (waited > core::max_datagram_age && !core::is_active(core::fault::accept_stale_datagram)) {
        m_impl->drop(agent_drop_reason::stale);
        return;
    }
    switch (header->packet_class()) {
    case wire::packet_class::open:
        m_impl->on_open(now, env, datagram, actions);
        break;
    case wire::packet_class::established:
        m_impl->on_established(now, env, datagram, waited, actions);
        break;
    default:
        m_impl->drop(agent_drop_reason::unexpected_kind);
        return;
    }
    m_impl->finish_event(now, actions);
}

void agent_core::on_peer_up(core::time_point now, core::host_id host, core::incarnation_id incarnation,
                            action_list& actions)
{
    m_impl->detect_pause(now, actions);
    auto& peer = m_impl->ctx.peers[host];
    if (peer.link_up) {
        // The new link replaces one whose loss was not reported.
        m_impl->flow_manager.on_peer_down(now, host, actions);
    }
    if (peer.incarnation != incarnation) {
        // The stored report is from the peer's earlier incarnation.
        peer.report = {};
        peer.reported_at = {};
    }
    peer.host = host;
    peer.link_up = true;
    peer.incarnation = incarnation;
    m_impl->update_peer_zones();
    m_impl->requests.on_peer_up(now, host, incarnation, actions);
    m_impl->reporter.force();
    m_impl->finish_event(now, actions);
}

void agent_core::on_peer_down(core::time_point now, core::host_id host, action_list& actions)
{
    m_impl->detect_pause(now, actions);
    const auto it = m_impl->ctx.peers.find(host);
    if (it == m_impl->ctx.peers.end()) {
        return;
    }
    it->second.link_up = false;
    m_impl->requests.on_peer_down(now, host, actions);
    m_impl->flow_manager.on_peer_down(now, host, actions);
    m_impl->finish_event(now, actions);
}

void agent_core::on_peer_message(core::time_point now, core::host_id host, const wire::peer_messageT& message,
                                 action_list& actions)
{
    m_impl->detect_pause(now, actions);
    const auto it = m_impl->ctx.peers.find(host);
    if (it == m_impl->ctx.peers.end()) {
        return;
    }
    if (const auto* report = message.body.Asload_report()) {
        it->second.report = *report;
        it->second.reported_at = now;
    }
    m_impl->requests.on_peer_message(now, host, message, actions);
    m_impl->flow_manager.on_peer_message(now, host, message, actions);
    m_impl->finish_event(now, actions);
}

void agent_core::on_exchange_result(core::time_point now, exchange_id id, exchange_result result, action_list& actions)
{
    m_impl->detect_pause(now, actions);
    m_impl->requests.on_exchange_result(now, id, std::move(result), actions);
    m_impl->finish_event(now, actions);
}

void agent_core::on_feed_event(core::time_point now, feed_connection_id id, core::event_id event,
                               std::vector<std::uint8_t> data, action_list& actions)
{
    m_impl->flow_manager.on_feed_event(now, id, event, std::move(data), actions);
}

void agent_core::on_feed_activity(core::time_point now, feed_connection_id id)
{
    m_impl->flow_manager.on_feed_activity(now, id);
}

void agent_core::on_feed_closed(core::time_point now, feed_connection_id id, action_list& actions)
{
    m_impl->flow_manager.on_feed_closed(now, id, actions);
}

void agent_core::on_configuration(core::time_point now, config::snapshot_ptr snapshot, action_list& actions)
{
    m_impl->detect_pause(now, actions);
    auto& ctx = m_impl->ctx;
    const bool older = snapshot == nullptr || snapshot->version < ctx.version();
    if (snapshot == nullptr || (older && !core::is_active(core::fault::accept_older_version))) {
        return;
    }
    ctx.keys.update(now, snapshot->keys);
    ctx.signer = std::make_unique<wire::token_signer>(ctx.keys.keys());
    const bool listed_before = m_impl->last_listing_snapshot != nullptr;
    const bool listed = m_impl->apply_snapshot(std::move(snapshot));
    m_impl->update_peer_zones();
    const bool removed = listed_before && !listed;
    m_impl->agent_lifecycle.on_configuration(now, removed || (ctx.self != nullptr && ctx.self->draining));
    m_impl->requests.on_tick(now, actions);
    m_impl->finish_event(now, actions);
}

void agent_core::on_fleet_view(core::time_point now, const config::fleet_view_ptr& view, action_list& actions)
{
    m_impl->detect_pause(now, actions);
    if (view != nullptr) {
        m_impl->agent_lifecycle.on_fleet_view(now, *view);
        m_impl->finish_event(now, actions);
    }
}

void agent_core::on_configuration_confirmed(core::time_point now, action_list& actions)
{
    m_impl->detect_pause(now, actions);
    m_impl->agent_lifecycle.on_confirmed();
    m_impl->requests.on_tick(now, actions);
    m_impl->finish_event(now, actions);
}

void agent_core::on_drain(core::time_point now, action_list& actions)
{
    m_impl->detect_pause(now, actions);
    m_impl->agent_lifecycle.drain(now);
    m_impl->finish_event(now, actions);
}

void agent_core::on_tick(core::time_point now, action_list& actions)
{
    m_impl->detect_pause(now, actions);
    if (m_impl->ctx.keys.expire(now)) {
        m_impl->ctx.signer = std::make_unique<wire::token_signer>(m_impl->ctx.keys.keys());
    }
    m_impl->requests.on_tick(now, actions);
    m_impl->flow_manager.on_tick(now, actions);
    m_impl->finish_event(now, actions);
}

const agent_counters& agent_core::counters() const noexcept
{
    auto& result = m_impl->counters;
    const auto& work_count = m_impl->requests.count();
    const auto& flow_count = m_impl->flow_manager.count();
    result.opens_answered = flow_count.opens_answered;
    result.opens_forwarded = flow_count.opens_forwarded;
    result.requests_accepted = work_count.accepted;
    result.requests_refused_not_run = work_count.refused_not_run;
    result.requests_unknown = work_count.unknown;
    result.handed_to_peers = work_count.handed_to_peers;
    result.accepted_from_peers = work_count.accepted_from_peers;
    result.flow_gone_replies = flow_count.flow_gone_replies;
    result.flows_moved = flow_count.flows_moved;
    result.events_sent = flow_count.events_sent;
    return result;
}

agent_gauges agent_core::gauges() const
{
    return {m_impl->flow_manager.size(),  m_impl->flow_manager.subscribers(), m_impl->requests.queued(),
            m_impl->requests.in_flight(), m_impl->requests.limit(),           m_impl->requests.records()};
}

const agent_context& agent_core::context() const noexcept { return m_impl->ctx; }

} // namespace daisydoor::agent
