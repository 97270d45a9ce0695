#include "daisydoor/agent/detail/work_impl.hpp"
#include "daisydoor/core/fault.hpp"

namespace daisydoor::agent
{

using detail::record_state;
using detail::work_key;
using detail::work_record;
using wire::refusal_kind;
using wire::refusal_reason;

namespace
{

wire::work_outcome outcome_of(const work_record& record) noexcept
{
    switch (record.state) {
    case record_state::answered:
        return wire::work_outcome::answered;
    case record_state::refused:
        return record.refusal.kind == refusal_kind::not_run ? wire::work_outcome::not_run : wire::work_outcome::unknown;
    default:
        return wire::work_outcome::running;
    }
}

} // namespace

void work::impl::send_result(const work_record& record, action_list& actions) const
{
    if (!is_link_up(record.key.home)) {
        // The home agent queries the outcome when the link is up again.
        return;
    }
    wire::handover_resultT body;
    body.id = std::make_unique<wire::work_id>(detail::to_wire(record.key));
    body.outcome = outcome_of(record);
    if (record.state == record_state::refused) {
        body.reason = record.refusal.reason;
    } else if (record.state == record_state::answered) {
        body.status = record.status;
        body.payload = record.answer;
    }
    ctx.send_to_peer(record.key.home, wire::make_peer_message(ctx.version(), std::move(body)), actions);
}

void work::impl::reject(core::host_id host, const work_key& key, refusal_reason reason, action_list& actions) const
{
    wire::handover_resultT body;
    body.id = std::make_unique<wire::work_id>(detail::to_wire(key));
    body.outcome = wire::work_outcome::not_run;
    body.reason = reason;
    ctx.send_to_peer(host, wire::make_peer_message(ctx.version(), std::move(body)), actions);
}

refusal_reason work::impl::reason_to_reject(core::time_point now, core::host_id host, const wire::handoverT& body) const
{
    const work_key key = detail::from_wire(*body.id);
    const auto peer = ctx.peers.find(host);
    if (key.home != host || peer == ctx.peers.end() || peer->second.incarnation != key.incarnation) {
        return refusal_reason::peer_lost;
    }
    if (!can_run(now)) {
        return ctx.own.state == wire::agent_state::ejected ? refusal_reason::no_target
                                                           : refusal_reason::no_configuration;
    }
    if (ctx.own.state == wire::agent_state::draining) {
        return refusal_reason::draining;
    }
    if (body.deadline_ms == 0) {
        return refusal_reason::deadline;
    }
    if (body.kind == wire::request_kind::non_idempotent && !ctx.policy().accept_postings) {
        return refusal_reason::maintenance;
    }
    // If the free slot was used in the meantime, the request may wait for one exchange at most. A longer wait belongs
    // in the home agent's queue, from which other peers can accept the request. A home agent that cannot run requests
    // has no such queue, so its callers' requests may use the whole queue here.
    const auto home = peer->second.report.state;
    const bool home_runs = home == wire::agent_state::active || home == wire::agent_state::cold;
    const bool full = queue.size() >= bound() || (home_runs && queue.size() >= limiter.limit());
    return free_slots() == 0 && full ? refusal_reason::queue_full : refusal_reason::none;
}

void work::impl::on_handover(core::time_point now, core::host_id host, const wire::handoverT& body,
                             action_list& actions)
{
    if (!body.id) {
        return;
    }
    const work_key key = detail::from_wire(*body.id);
    if (const auto* existing = table.find(key)) {
        // An outcome query overtook this hand-over and fenced it, or the message was delivered twice.
        if (existing->is_final() && existing->is_for_peer) {
            send_result(*existing, actions);
        }
        return;
    }
    credit.on_work_received(host);
    const refusal_reason reason = reason_to_reject(now, host, body);
    if (reason != refusal_reason::none) {
        reject(host, key, reason, actions);
        return;
    }
    work_record record;
    record.key = key;
    record.is_for_peer = true;
    record.workspace = core::workspace_id{body.tenant};
    record.kind = body.kind;
    record.path = body.path;
    record.payload = body.payload;
    record.deadline = now + core::milliseconds{body.deadline_ms};
    ++count.accepted_from_peers;
    queue.push({key, record.workspace, record.kind});
    table.insert(std::move(record));
}

void work::impl::on_query(core::time_point now, core::host_id host, const wire::outcome_queryT& body,
                          action_list& actions)
{
    if (!body.id || core::host_id{body.id->home_host()} != host) {
        return;
    }
    const work_key key = detail::from_wire(*body.id);
    auto* record = table.find(key);
    const bool fence = !core::is_active(core::fault::skip_fence);
    if (record == nullptr) {
        if (fence) {
            work_record fenced;
            fenced.key = key;
            fenced.is_for_peer = true;
            fenced.fenced_before_handover = true;
            finish_refused(now, table.insert(std::move(fenced)), refusal_kind::not_run, refusal_reason::peer_lost,
                           actions);
        } else {
            reject(host, key, refusal_reason::peer_lost, actions);
        }
        return;
    }
    if (record->state == record_state::queued) {
        if (fence) {
            queue.erase(key);
            finish_refused(now, *record, refusal_kind::not_run, refusal_reason::peer_lost, actions);
        } else {
            reject(host, key, refusal_reason::peer_lost, actions);
        }
        return;
    }
    if (record->state == record_state::sent_to_target && body.cancel_work) {
        record->cancelled = true;
        cancel_exchange_of(now, *record, actions);
    }
    send_result(*record, actions);
}

void work::impl::on_result_ack(core::host_id host, const wire::result_ackT& body)
{
    if (!body.id || core::host_id{body.id->home_host()} != host) {
        return;
    }
    const work_key key = detail::from_wire(*body.id);
    const auto* record = table.find(key);
    if (record != nullptr && record->is_for_peer && record->is_final() && !record->fenced_before_handover) {
        table.erase(key);
    }
}

void work::impl::drop_work_of_old_incarnation(core::host_id host, core::incarnation_id incarnation)
{
    const auto old = table.keys_if([&](const work_record& record) {
        return record.is_for_peer && record.key.home == host && record.key.incarnation != incarnation;
    });
    for (const auto& key : old) {
        abandon(key);
    }
}

void work::impl::expire_peer_records(core::time_point now)
{
    if (now < next_retention_sweep) {
        return;
    }
    next_retention_sweep = now + detail::retention_sweep_interval;
    const auto expired = table.keys_if([now](const work_record& record) {
        return record.is_for_peer && record.is_final() && now - record.finished_at >= detail::peer_record_retention;
    });
    for (const auto& key : expired) {
        table.erase(key);
    }
}

} // namespace daisydoor::agent
