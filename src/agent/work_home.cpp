#include "daisydoor/agent/detail/work_impl.hpp"
#include "daisydoor/core/fault.hpp"

#include <algorithm>

namespace daisydoor::agent
{

using detail::queued_work;
using detail::record_state;
using detail::work_key;
using detail::work_record;
using wire::refusal_kind;
using wire::refusal_reason;

void work::impl::hand_over(core::time_point now, work_record& record, const peer_status& peer, action_list& actions)
{
    // The record stores peer and incarnation before the hand-over is sent.
    record.state = record_state::handed_to_peer;
    record.peer = peer.host;
    record.peer_incarnation = peer.incarnation;
    record.query_deadline.reset();
    record.tried_peers.push_back(peer.host);
    credit.on_hand_over(peer.host);
    ++count.handed_to_peers;
    wire::handoverT body;
    body.id = std::make_unique<wire::work_id>(detail::to_wire(record.key));
    body.tenant = core::raw(record.workspace);
    body.kind = record.kind;
    body.path = record.path;
    body.payload = record.payload;
    body.deadline_ms = static_cast<std::uint32_t>(
        std::max<std::int64_t>(std::chrono::duration_cast<core::milliseconds>(record.deadline - now).count(), 0));
    ctx.send_to_peer(peer.host, wire::make_peer_message(ctx.version(), std::move(body)), actions);
}

void work::impl::hand_over_queued(core::time_point now, action_list& actions)
{
    while (!queue.empty() && credit.has_free_peer(now, queue.size())) {
        const std::size_t queued = queue.size();
        const auto next = queue.pop_if([&](const queued_work& entry) {
            const auto* record = table.find(entry.key);
            const bool owned = record != nullptr && (!record->is_for_peer || core::is_active(core::fault::second_hop));
            return owned && record->deadline > now && credit.choose(now, *record, queued) != nullptr;
        });
        if (!next) {
            return;
        }
        auto& record = *table.find(next->key);
        hand_over(now, record, *credit.choose(now, record, queued), actions);
    }
}

void work::impl::hand_over_or_refuse_queued(core::time_point now, action_list& actions)
{
    const bool drained = is_past_drain_window(now);
    const auto queued =
        table.open_keys_if([](const work_record& record) { return record.state == record_state::queued; });
    for (const auto& key : queued) {
        auto& record = *table.find(key);
        const auto* peer = record.is_for_peer ? nullptr : credit.choose_any(now, record);
        if (peer != nullptr) {
            queue.erase(key);
            hand_over(now, record, *peer, actions);
        } else if (drained || record.is_for_peer) {
            queue.erase(key);
            finish_refused(now, record, refusal_kind::not_run, refusal_reason::draining, actions);
        } else if (!record.tried_peers.empty()) {
            // Every usable peer has rejected the request; waiting for the deadline would only delay the refusal.
            queue.erase(key);
            finish_refused(now, record, refusal_kind::not_run, refusal_reason::target_failed, actions);
        }
    }
}

void work::impl::request_work(core::time_point now, action_list& actions)
{
    const bool accepts_work = ctx.own.state == wire::agent_state::active || ctx.own.state == wire::agent_state::cold;
    if (!accepts_work || queue.size() >= detail::max_prefetched_work) {
        return;
    }
    // If all slots are busy, work is prefetched only from queues of at least min_prefetch_queue.
    const bool idle = free_slots() > 0;
    const std::size_t wanted = free_slots() + detail::max_prefetched_work - queue.size();
    const auto source = credit.reserve_source(now, wanted, idle ? 1 : detail::min_prefetch_queue);
    if (!source) {
        return;
    }
    wire::work_requestT body;
    body.count = source->count;
    ctx.send_to_peer(source->host, wire::make_peer_message(ctx.version(), body), actions);
}

void work::impl::send_outcome_query(const work_record& record, action_list& actions) const
{
    wire::outcome_queryT body;
    body.id = std::make_unique<wire::work_id>(detail::to_wire(record.key));
    body.cancel_work = record.cancelled;
    ctx.send_to_peer(record.peer, wire::make_peer_message(ctx.version(), std::move(body)), actions);
}

void work::impl::on_peer_result(core::time_point now, core::host_id host, const wire::handover_resultT& body,
                                action_list& actions)
{
    if (!body.id || body.outcome == wire::work_outcome::running) {
        return;
    }
    const work_key key = detail::from_wire(*body.id);
    wire::result_ackT ack;
    ack.id = std::make_unique<wire::work_id>(*body.id);
    ctx.send_to_peer(host, wire::make_peer_message(ctx.version(), std::move(ack)), actions);
    auto* record = table.find(key);
    if (record == nullptr || record->is_for_peer || record->state != record_state::handed_to_peer ||
        record->peer != host) {
        return;
    }
    switch (body.outcome) {
    case wire::work_outcome::answered:
        finish_answered(now, *record, body.status, body.payload, actions);
        break;
    case wire::work_outcome::not_run:
        on_peer_not_run(now, *record, body.reason, actions);
        break;
    case wire::work_outcome::unknown:
    case wire::work_outcome::running:
        end_unknown(now, *record, body.reason, actions);
        break;
    }
}

void work::impl::on_peer_not_run(core::time_point now, work_record& record, refusal_reason reason, action_list& actions)
{
    if (record.abandoned) {
        table.erase(record.key);
        return;
    }
    if (record.cancelled || record.deadline <= now) {
        finish_refused(now, record, refusal_kind::not_run,
                       record.cancelled ? refusal_reason::cancelled : refusal_reason::deadline, actions);
        return;
    }
    const bool target_refused = reason == refusal_reason::target_shed || reason == refusal_reason::target_failed;
    if (target_refused || reason == refusal_reason::deadline || reason == refusal_reason::maintenance ||
        record.offered_to_peer) {
        finish_refused(now, record, refusal_kind::not_run, reason, actions);
        return;
    }
    // The peer had no capacity or never received the request: it runs here, or at a peer that was not tried.
    admit(now, record, true, actions);
}

void work::impl::resolve_after_link_up(core::time_point now, core::host_id host, core::incarnation_id incarnation,
                                       action_list& actions)
{
    const auto open = table.open_keys_if([host](const work_record& record) {
        return record.state == record_state::handed_to_peer && record.peer == host;
    });
    for (const auto& key : open) {
        auto& record = *table.find(key);
        if (record.peer_incarnation == incarnation) {
            send_outcome_query(record, actions);
        } else if (record.abandoned) {
            table.erase(key);
        } else {
            end_unknown(now, record, refusal_reason::peer_lost, actions);
        }
    }
}

void work::impl::retry_after_link_loss(core::time_point now, core::host_id host, action_list& actions)
{
    // A non-idempotent request waits for the link, because only the peer knows its outcome. An idempotent one is
    // retried.
    const auto open = table.open_keys_if([host](const work_record& record) {
        return record.state == record_state::handed_to_peer && record.peer == host && record.is_idempotent() &&
               !record.cancelled && !record.abandoned;
    });
    for (const auto& key : open) {
        auto& record = *table.find(key);
        if (record.deadline > now && budget.try_spend()) {
            record.may_have_run = true;
            admit(now, record, true, actions);
        }
    }
}

void work::impl::expire_handed_to_peer(core::time_point now, action_list& actions)
{
    const auto expired = table.open_keys_if([now](const work_record& record) {
        return record.state == record_state::handed_to_peer && record.deadline <= now;
    });
    for (const auto& key : expired) {
        auto& record = *table.find(key);
        if (is_link_up(record.peer) && !record.query_deadline) {
            record.query_deadline = now + detail::query_timeout;
            send_outcome_query(record, actions);
        } else if (!is_link_up(record.peer) || now >= *record.query_deadline) {
            const bool claim_not_run = core::is_active(core::fault::not_run_after_hand_over);
            finish_refused(now, record, claim_not_run ? refusal_kind::not_run : refusal_kind::unknown,
                           refusal_reason::peer_lost, actions);
        }
    }
}

} // namespace daisydoor::agent
