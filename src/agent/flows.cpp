#include "daisydoor/agent/flows.hpp"

#include "daisydoor/agent/detail/flow_table.hpp"
#include "daisydoor/core/fault.hpp"

namespace daisydoor::agent
{

namespace
{

/// A third of the 30 s after which middleboxes commonly forget UDP flows.
constexpr core::milliseconds keepalive_interval{10000};
/// Flows without any datagram from the caller for this long are dropped.
constexpr core::milliseconds flow_idle_timeout{600000};
constexpr core::milliseconds idle_sweep_interval{1000};
constexpr core::milliseconds refused_open_retry{1000};

} // namespace

struct flows::impl
{
    agent_context& context;
    work& requests;
    detail::flow_table table;
    counters count;
    core::time_point next_sweep{};

    impl(agent_context& shared, work& records) : context(shared), requests(records), table(shared) {}

    void answer_open(core::time_point now, const wire::envelope& env, const wire::packet_header& header,
                     core::tenant_id tenant, action_list& actions)
    {
        const auto& entry = table.create(now, tenant, env.service_address(), env.caller_address());
        wire::open_replyT body;
        body.token = std::make_unique<wire::flow_token>(entry.token);
        body.keepalive_ms = static_cast<std::uint32_t>(keepalive_interval.count());
        body.config_version = core::raw(context.version());
        detail::reply(detail::reply_envelope(context, env.service_address(), env.caller_address()), entry.token,
                      header.flow_hash(), std::move(body), actions);
        ++count.opens_answered;
    }

    void refuse_open(const wire::envelope& env, const wire::packet_header& header, wire::refusal_reason reason,
                     action_list& actions) const
    {
        wire::refusalT body;
        body.kind = wire::refusal_kind::not_run;
        body.reason = reason;
        body.retry_after_ms = static_cast<std::uint32_t>(refused_open_retry.count());
        detail::reply(detail::reply_envelope(context, env.service_address(), env.caller_address()), header.token(),
                      header.flow_hash(), body, actions);
    }

    /// A request on a lost flow may have run under its lost record, so that `unknown` is the only truthful refusal.
    void answer_gone(const wire::envelope& env, const wire::packet_header& header, const wire::packet_bodyUnion& body,
                     action_list& actions)
    {
        const auto back = detail::reply_envelope(context, env.service_address(), env.caller_address());
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
        ++count.flows_gone;
    }

    [[nodiscard]] bool is_own(const wire::flow_token& token) const
    {
        const auto& own = context.options;
        const bool same_run =
            token.incarnation() == core::raw(own.incarnation) || core::is_active(core::fault::skip_incarnation_check);
        return same_run && token.host() == core::raw(own.host) && token.service() == core::raw(own.service);
    }

    void remove(core::flow_id flow, action_list& /*actions*/)
    {
        requests.forget_flow(flow);
        table.erase(flow);
    }

    void on_keepalive(core::time_point now, const flow_address& from, const wire::keepaliveT& body,
                      action_list& actions)
    {
        auto* entry = table.find(from.flow);
        if (entry == nullptr) {
            return;
        }
        requests.acknowledge(from.flow, core::request_number{body.acknowledged});
        table.renew_token(now, *entry);
        wire::keepalive_ackT ack;
        ack.sequence = body.sequence;
        ack.token = std::make_unique<wire::flow_token>(entry->token);
        detail::send_to_flow(context, *entry, std::move(ack), actions);
    }
};

flows::flows(agent_context& context, work& requests) : m_impl(std::make_unique<impl>(context, requests)) {}
flows::~flows() = default;

void flows::on_open(core::time_point now, const wire::envelope& env, const wire::packet_header& header,
                    const wire::openT& body, wire::bytes_view /*datagram*/, action_list& actions)
{
    if (!m_impl->context.sealer || m_impl->context.service == nullptr) {
        m_impl->refuse_open(env, header, wire::refusal_reason::no_configuration, actions);
        return;
    }
    m_impl->answer_open(now, env, header, core::tenant_id{body.tenant}, actions);
}

std::optional<flow_address> flows::find(core::time_point now, const wire::envelope& env,
                                        const wire::packet_header& header, const wire::packet_bodyUnion& body,
                                        action_list& actions)
{
    const auto& token = header.token();
    auto* entry = m_impl->is_own(token) ? m_impl->table.find(core::flow_id{token.flow()}) : nullptr;
    if (entry == nullptr) {
        m_impl->answer_gone(env, header, body, actions);
        return std::nullopt;
    }
    entry->caller_address = env.caller_address();
    entry->last_seen = now;
    return flow_address{entry->id, entry->tenant,
                        detail::reply_envelope(m_impl->context, entry->service_address, entry->caller_address),
                        entry->token};
}

void flows::on_packet(core::time_point now, const flow_address& from, const wire::packet_bodyUnion& body,
                      action_list& actions)
{
    if (const auto* keepalive = body.Askeepalive()) {
        m_impl->on_keepalive(now, from, *keepalive, actions);
    } else if (body.Asclose() != nullptr) {
        m_impl->remove(from.flow, actions);
        // Confirms the close; the caller repeats it until then.
        detail::reply(from.reply_envelope, from.token, 0, wire::flow_goneT{}, actions);
    }
}

void flows::on_peer_message(core::time_point, core::host_id, const wire::peer_messageT&, action_list&) {}
void flows::on_peer_down(core::time_point, core::host_id, action_list&) {}
void flows::on_feed_event(core::time_point, feed_connection_id, core::event_id, std::vector<std::uint8_t>, action_list&)
{
}
void flows::on_feed_activity(core::time_point, feed_connection_id) {}
void flows::on_feed_closed(core::time_point, feed_connection_id, action_list&) {}

void flows::on_tick(core::time_point now, action_list& actions)
{
    if (now < m_impl->next_sweep) {
        return;
    }
    m_impl->next_sweep = now + idle_sweep_interval;
    for (const auto flow : m_impl->table.idle_since(now - flow_idle_timeout)) {
        m_impl->remove(flow, actions);
    }
}

std::size_t flows::held() const noexcept { return m_impl->table.size(); }
std::size_t flows::subscribers() const noexcept { return 0; }
const flows::counters& flows::count() const noexcept { return m_impl->count; }

} // namespace daisydoor::agent
