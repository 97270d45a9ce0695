#include "daisydoor/agent/work.hpp"

#include "daisydoor/agent/detail/answer_segments.hpp"
#include "daisydoor/agent/detail/work_impl.hpp"
#include "daisydoor/core/fault.hpp"

#include <algorithm>

namespace daisydoor::agent
{

using detail::number_position;
using detail::record_state;
using detail::work_key;
using detail::work_record;
using wire::refusal_kind;
using wire::refusal_reason;

namespace
{

constexpr core::milliseconds shortest_retry_after{50};
constexpr core::milliseconds longest_retry_after{5000};

detail::queued_work entry_of(const work_record& record) { return {record.key, record.workspace, record.kind}; }

} // namespace

work_key work::impl::home_key(core::flow_id flow, core::request_number number) const
{
    return {ctx.options.host, ctx.options.incarnation, flow, number};
}

bool work::impl::is_link_up(core::host_id host) const
{
    const auto it = ctx.peers.find(host);
    return it != ctx.peers.end() && it->second.link_up;
}

core::milliseconds work::impl::retry_after(refusal_reason reason) const
{
    if (reason == refusal_reason::cancelled || reason == refusal_reason::outside_window) {
        return core::milliseconds{0};
    }
    const auto wait = std::chrono::duration_cast<core::milliseconds>(limiter.estimated_wait(queue.size()));
    return std::clamp(wait, shortest_retry_after, longest_retry_after);
}

void work::impl::accept(core::time_point now, const flow_address& from, const wire::requestT& body,
                        action_list& actions)
{
    const core::request_number number{body.number};
    const auto position = table.position(from.flow, number);
    if (position == number_position::acknowledged || position == number_position::far_beyond) {
        // There is no record of this number, so an earlier or later copy of the request may run.
        detail::send_refusal(from, number, {refusal_kind::unknown, refusal_reason::outside_window, {}}, actions);
        return;
    }
    const work_key key = home_key(from.flow, number);
    auto* existing = table.find(key);
    if (existing != nullptr && !core::is_active(core::fault::rerun_repeated_number)) {
        resend_outcome(*existing, from, actions);
        return;
    }
    work_record fresh;
    fresh.key = key;
    fresh.workspace = from.workspace;
    fresh.kind = body.kind;
    fresh.path = body.path;
    fresh.payload = body.payload;
    fresh.deadline = now + core::milliseconds{body.deadline_ms};
    fresh.from = from;
    work_record& record = table.insert(std::move(fresh));
    const refusal_reason reason =
        position == number_position::beyond ? refusal_reason::outside_window : reason_to_refuse(now, record);
    if (reason != refusal_reason::none) {
        finish_refused(now, record, refusal_kind::not_run, reason, actions);
        return;
    }
    ++count.accepted;
    if (record.is_idempotent()) {
        budget.on_first_try();
    }
    admit(now, record, false, actions);
    dispatch_work(now, actions);
}

void work::impl::resend_outcome(work_record& record, const flow_address& from, action_list& actions) const
{
    record.from = from;
    if (record.state == record_state::answered) {
        detail::send_segments(record, from, 0, detail::max_resent_segments, actions);
    } else if (record.state == record_state::refused) {
        detail::send_refusal(from, record.key.number, record.refusal, actions);
    }
}

refusal_reason work::impl::reason_to_refuse(core::time_point now, const work_record& record) const
{
    if (ctx.service == nullptr || ctx.own.awaiting_confirmation) {
        return refusal_reason::no_configuration;
    }
    if (record.deadline <= now) {
        return refusal_reason::deadline;
    }
    if (!record.is_idempotent() && !ctx.policy().accept_postings) {
        return refusal_reason::maintenance;
    }
    if (can_run(now) && free_slots() == 0 && !credit.has_free_peer(now, queue.size() + 1) &&
        limiter.estimated_wait(queue.ahead_of(record.workspace) + 1) > record.deadline - now) {
        return refusal_reason::deadline;
    }
    return refusal_reason::none;
}

void work::impl::admit(core::time_point now, work_record& record, bool to_front, action_list& actions)
{
    const auto entry = entry_of(record);
    const bool full = queue.size() >= bound() && !core::is_active(core::fault::ignore_queue_bound);
    // If a slot is free, the request starts at once and needs no place in the queue.
    if (full && (free_slots() == 0 || !can_run(now))) {
        const auto victim = queue.choose_victim(entry, ctx.policy().shed_first);
        if (!victim) {
            finish_refused(now, record, refusal_kind::not_run, refusal_reason::queue_full, actions);
            return;
        }
        queue.erase(victim->key);
        if (auto* shed = table.find(victim->key)) {
            finish_refused(now, *shed, refusal_kind::not_run, refusal_reason::queue_full, actions);
        }
    }
    record.state = record_state::queued;
    if (to_front) {
        queue.push_front(entry);
    } else {
        queue.push(entry);
    }
}

void work::impl::cancel(core::time_point now, const flow_address& from, core::request_number number,
                        action_list& actions)
{
    const work_key key = home_key(from.flow, number);
    if (auto* record = table.find(key)) {
        if (record->is_final()) {
            resend_outcome(*record, from, actions);
        } else {
            record->from = from;
            cancel_record(now, *record, actions);
        }
        return;
    }
    const auto position = table.position(from.flow, number);
    if (position != number_position::inside && position != number_position::beyond) {
        return;
    }
    // The request itself may still arrive; this record ensures that it never runs.
    work_record fresh;
    fresh.key = key;
    fresh.from = from;
    finish_refused(now, table.insert(std::move(fresh)), refusal_kind::not_run, refusal_reason::cancelled, actions);
}

void work::impl::cancel_record(core::time_point now, work_record& record, action_list& actions)
{
    switch (record.state) {
    case record_state::queued:
        queue.erase(record.key);
        finish_refused(now, record, refusal_kind::not_run, refusal_reason::cancelled, actions);
        break;
    case record_state::sent_to_target:
        record.cancelled = true;
        cancel_exchange_of(now, record, actions);
        break;
    case record_state::handed_to_peer:
        record.cancelled = true;
        if (is_link_up(record.peer)) {
            send_outcome_query(record, actions);
        }
        break;
    case record_state::answered:
    case record_state::refused:
        break;
    }
}

void work::impl::abandon(const work_key& key)
{
    auto* record = table.find(key);
    if (record == nullptr) {
        return;
    }
    if (record->state == record_state::sent_to_target || record->state == record_state::handed_to_peer) {
        record->abandoned = true;
        return;
    }
    queue.erase(key);
    table.erase(key);
}

void work::impl::finish_answered(core::time_point now, work_record& record, std::uint16_t status,
                                 std::vector<std::uint8_t> payload, action_list& actions)
{
    const std::size_t largest = record.is_for_peer ? detail::max_peer_answer_size : detail::max_answer_size;
    if (payload.size() > largest) {
        finish_refused(now, record, refusal_kind::unknown, refusal_reason::too_large, actions);
        return;
    }
    if (record.abandoned) {
        table.erase(record.key);
        return;
    }
    record.state = record_state::answered;
    record.finished_at = now;
    table.close(record.key);
    record.status = status;
    record.answer = std::move(payload);
    record.payload = {};
    if (record.is_for_peer) {
        send_result(record, actions);
    } else {
        detail::send_segments(record, record.from, 0, detail::max_unrequested_segments, actions);
    }
}

void work::impl::finish_refused(core::time_point now, work_record& record, refusal_kind kind, refusal_reason reason,
                                action_list& actions)
{
    if (record.abandoned) {
        table.erase(record.key);
        return;
    }
    record.state = record_state::refused;
    record.finished_at = now;
    table.close(record.key);
    record.refusal = {record.may_have_run ? refusal_kind::unknown : kind, reason, retry_after(reason)};
    record.payload = {};
    if (record.is_for_peer) {
        send_result(record, actions);
        return;
    }
    ++(record.refusal.kind == refusal_kind::unknown ? count.unknown : count.refused_not_run);
    detail::send_refusal(record.from, record.key.number, record.refusal, actions);
}

work::work(agent_context& context) : m_impl(std::make_unique<impl>(context)) {}

work::~work() = default;

void work::on_request(core::time_point now, const flow_address& from, const wire::requestT& body, action_list& actions)
{
    acknowledge(from.flow, core::request_number{body.acknowledged});
    m_impl->accept(now, from, body, actions);
}

void work::on_fetch(core::time_point /*now*/, const flow_address& from, const wire::fetchT& body, action_list& actions)
{
    auto* record = m_impl->table.find(m_impl->home_key(from.flow, core::request_number{body.number}));
    if (record == nullptr) {
        return;
    }
    if (record->state != record_state::answered || body.segments.empty()) {
        m_impl->resend_outcome(*record, from, actions);
        return;
    }
    record->from = from;
    const std::size_t n = std::min(body.segments.size(), detail::max_resent_segments);
    for (std::size_t i = 0; i < n; ++i) {
        detail::send_segments(*record, from, body.segments[i], 1, actions);
    }
}

void work::on_cancel(core::time_point now, const flow_address& from, const wire::cancelT& body, action_list& actions)
{
    m_impl->cancel(now, from, core::request_number{body.number}, actions);
    m_impl->dispatch_work(now, actions);
}

void work::acknowledge(core::flow_id flow, core::request_number acknowledged)
{
    if (!m_impl->table.raise_acknowledged(flow, acknowledged)) {
        return;
    }
    for (const auto& key :
         m_impl->table.keys_of_flow(m_impl->ctx.options.host, m_impl->ctx.options.incarnation, flow)) {
        if (key.number <= acknowledged) {
            m_impl->abandon(key);
        }
    }
}

void work::forget_flow(core::flow_id flow)
{
    for (const auto& key :
         m_impl->table.keys_of_flow(m_impl->ctx.options.host, m_impl->ctx.options.incarnation, flow)) {
        m_impl->abandon(key);
    }
    m_impl->table.erase_acknowledged(flow);
}

bool work::has_records(core::flow_id flow) const
{
    const auto keys = m_impl->table.keys_of_flow(m_impl->ctx.options.host, m_impl->ctx.options.incarnation, flow);
    return !keys.empty() && keys.back().number > m_impl->table.acknowledged(flow);
}

bool work::has_unacknowledged_results() const
{
    const auto keys = m_impl->table.keys_if([this](const work_record& record) {
        return record.is_for_peer && record.is_final() && !record.fenced_before_handover &&
               m_impl->is_link_up(record.key.home);
    });
    return !keys.empty();
}

void work::on_peer_up(core::time_point now, core::host_id host, core::incarnation_id incarnation, action_list& actions)
{
    m_impl->credit.on_link_change(host);
    m_impl->drop_work_of_old_incarnation(host, incarnation);
    m_impl->resolve_after_link_up(now, host, incarnation, actions);
    m_impl->dispatch_work(now, actions);
}

void work::on_peer_down(core::time_point now, core::host_id host, action_list& actions)
{
    m_impl->credit.on_link_change(host);
    m_impl->retry_after_link_loss(now, host, actions);
    m_impl->dispatch_work(now, actions);
}

void work::on_peer_message(core::time_point now, core::host_id host, const wire::peer_messageT& message,
                           action_list& actions)
{
    if (const auto* report = message.body.Asload_report()) {
        m_impl->credit.on_report(host, *report);
    } else if (const auto* request = message.body.Aswork_request()) {
        m_impl->credit.on_work_request(host, request->count);
    } else if (const auto* handover = message.body.Ashandover()) {
        m_impl->on_handover(now, host, *handover, actions);
    } else if (const auto* result = message.body.Ashandover_result()) {
        m_impl->on_peer_result(now, host, *result, actions);
    } else if (const auto* query = message.body.Asoutcome_query()) {
        m_impl->on_query(now, host, *query, actions);
    } else if (const auto* ack = message.body.Asresult_ack()) {
        m_impl->on_result_ack(host, *ack);
    }
    m_impl->dispatch_work(now, actions);
}

void work::on_exchange_result(core::time_point now, exchange_id id, exchange_result result, action_list& actions)
{
    m_impl->on_result(now, id, std::move(result), actions);
    m_impl->dispatch_work(now, actions);
}

void work::on_tick(core::time_point now, action_list& actions)
{
    m_impl->limiter.set_slots(m_impl->slots());
    m_impl->expire_queued(now, actions);
    m_impl->expire_handed_to_peer(now, actions);
    m_impl->end_overdue_exchanges(now, actions);
    m_impl->expire_peer_records(now);
    m_impl->probe(now, actions);
    m_impl->dispatch_work(now, actions);
}

bool work::is_target_failing() const noexcept { return m_impl->limiter.is_failing(); }

bool work::is_warm() const noexcept { return m_impl->limiter.is_warm(); }

std::size_t work::queued() const noexcept { return m_impl->queue.size(); }

std::size_t work::in_flight() const noexcept { return m_impl->exchanges.size(); }

std::size_t work::limit() const noexcept { return m_impl->limiter.limit(); }

std::size_t work::free_slots() const noexcept
{
    const auto state = m_impl->ctx.own.state;
    const bool accepts_work = state == wire::agent_state::active || state == wire::agent_state::cold;
    return accepts_work && m_impl->ctx.service != nullptr && !m_impl->ctx.own.awaiting_confirmation
               ? m_impl->free_slots()
               : 0;
}

std::size_t work::records() const noexcept { return m_impl->table.size(); }

const work::counters& work::count() const noexcept { return m_impl->count; }

} // namespace daisydoor::agent
