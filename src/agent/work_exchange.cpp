#include "daisydoor/agent/detail/work_impl.hpp"
#include "daisydoor/core/fault.hpp"

#include <algorithm>

namespace daisydoor::agent
{

using detail::exchange_state;
using detail::record_state;
using detail::work_key;
using detail::work_record;
using wire::refusal_kind;
using wire::refusal_reason;

namespace
{

/// The contract with targets: a 503 means that the request was shed without running.
constexpr std::uint16_t http_shed = 503;
constexpr const char* probe_path = "/health";

std::string format_request_id(const work_key& key)
{
    return std::to_string(core::raw(key.home)) + '-' + std::to_string(core::raw(key.incarnation)) + '-' +
           std::to_string(core::raw(key.flow)) + '-' + std::to_string(core::raw(key.number));
}

} // namespace

bool work::impl::is_past_drain_window(core::time_point now) const
{
    return ctx.own.state == wire::agent_state::draining && now - ctx.own.drain_started >= detail::drain_accept_window &&
           !core::is_active(core::fault::skip_drain_forward);
}

bool work::impl::can_run(core::time_point now) const
{
    return ctx.service != nullptr && !ctx.own.awaiting_confirmation && ctx.own.state != wire::agent_state::ejected &&
           !is_past_drain_window(now);
}

std::size_t work::impl::free_slots() const noexcept
{
    const std::size_t limit = limiter.limit();
    return limit - std::min(limit, exchanges.size());
}

void work::impl::dispatch_work(core::time_point now, action_list& actions)
{
    if (ctx.service == nullptr || ctx.own.awaiting_confirmation) {
        return;
    }
    if (is_past_drain_window(now) || ctx.own.state == wire::agent_state::ejected) {
        hand_over_or_refuse_queued(now, actions);
        return;
    }
    while (free_slots() > 0) {
        const auto next = queue.pop();
        if (!next) {
            break;
        }
        auto* record = table.find(next->key);
        if (record == nullptr || record->state != record_state::queued) {
            continue;
        }
        if (record->deadline <= now) {
            finish_refused(now, *record, refusal_kind::not_run, refusal_reason::deadline, actions);
        } else {
            start(now, *record, actions);
        }
    }
    hand_over_queued(now, actions);
    request_work(now, actions);
}

void work::impl::start(core::time_point now, work_record& record, action_list& actions)
{
    const exchange_id id{++last_exchange};
    const auto timeout =
        std::max(std::chrono::duration_cast<core::milliseconds>(record.deadline - now), core::milliseconds{1});
    // The record changes state before the request is sent, so that a repeated request cannot start it again.
    record.state = record_state::sent_to_target;
    record.exchange = id;
    exchanges.emplace(id, exchange_state{record.key, false, false, now, now + timeout, timeout});
    start_exchange request;
    request.id = id;
    request.kind = record.kind;
    request.path = record.path;
    request.payload = record.payload;
    request.request_id = format_request_id(record.key);
    request.timeout = timeout;
    actions.emplace_back(std::move(request));
}

void work::impl::cancel_exchange_of(core::time_point now, const work_record& record, action_list& actions)
{
    const auto it = exchanges.find(record.exchange);
    if (it == exchanges.end() || it->second.cancelled) {
        return;
    }
    it->second.cancelled = true;
    it->second.ends_at = now;
    actions.emplace_back(cancel_exchange{it->first});
}

void work::impl::update_limiter(core::time_point now, const exchange_state& exchange, const exchange_result& result)
{
    switch (result.status) {
    case exchange_status::answered:
        if (result.http_status == http_shed) {
            limiter.on_shed();
        } else {
            limiter.on_success(now - exchange.started_at);
        }
        break;
    case exchange_status::connect_failed:
    case exchange_status::broken:
        if (!exchange.cancelled) {
            limiter.on_failure();
        }
        break;
    case exchange_status::timed_out:
        if (!exchange.cancelled) {
            limiter.on_timeout();
        }
        if (!exchange.cancelled && exchange.timeout >= detail::min_failure_timeout) {
            limiter.on_failure();
        }
        break;
    }
}

void work::impl::on_result(core::time_point now, exchange_id id, exchange_result result, action_list& actions)
{
    const auto it = exchanges.find(id);
    if (it == exchanges.end()) {
        return;
    }
    const exchange_state exchange = it->second;
    exchanges.erase(it);
    if (exchange.probe) {
        if (result.status == exchange_status::answered && result.http_status != http_shed) {
            limiter.restart();
        }
        return;
    }
    update_limiter(now, exchange, result);
    auto* record = table.find(exchange.key);
    if (record == nullptr || record->state != record_state::sent_to_target || record->exchange != id) {
        return;
    }
    switch (result.status) {
    case exchange_status::answered:
        if (result.http_status == http_shed) {
            end_not_run(now, *record, refusal_reason::target_shed, actions);
        } else {
            finish_answered(now, *record, result.http_status, std::move(result.payload), actions);
        }
        break;
    case exchange_status::connect_failed:
        end_not_run(now, *record, refusal_reason::target_failed, actions);
        break;
    case exchange_status::broken:
        end_unknown(now, *record, refusal_reason::target_failed, actions);
        break;
    case exchange_status::timed_out:
        end_unknown(now, *record, refusal_reason::deadline, actions);
        break;
    }
}

void work::impl::end_not_run(core::time_point now, work_record& record, refusal_reason reason, action_list& actions)
{
    if (record.cancelled) {
        finish_refused(now, record, refusal_kind::not_run, refusal_reason::cancelled, actions);
        return;
    }
    const bool may_offer = record.is_idempotent() && !record.is_for_peer && !record.abandoned &&
                           !record.offered_to_peer && record.deadline > now;
    const auto* peer = may_offer ? credit.choose_any(now, record) : nullptr;
    if (peer != nullptr) {
        record.offered_to_peer = true;
        hand_over(now, record, *peer, actions);
        return;
    }
    finish_refused(now, record, refusal_kind::not_run, reason, actions);
}

void work::impl::end_unknown(core::time_point now, work_record& record, refusal_reason reason, action_list& actions)
{
    const bool repeatable = record.is_idempotent() || core::is_active(core::fault::retry_posting);
    if (repeatable && !record.is_for_peer && !record.abandoned && !record.cancelled && record.deadline > now &&
        budget.try_spend()) {
        record.may_have_run = true;
        admit(now, record, true, actions);
        return;
    }
    const bool claim_not_run = core::is_active(core::fault::not_run_after_hand_over);
    finish_refused(now, record, claim_not_run ? refusal_kind::not_run : refusal_kind::unknown,
                   record.cancelled ? refusal_reason::cancelled : reason, actions);
}

void work::impl::expire_queued(core::time_point now, action_list& actions)
{
    const auto expired = table.open_keys_if(
        [now](const work_record& record) { return record.state == record_state::queued && record.deadline <= now; });
    for (const auto& key : expired) {
        queue.erase(key);
        finish_refused(now, *table.find(key), refusal_kind::not_run, refusal_reason::deadline, actions);
    }
}

void work::impl::end_overdue_exchanges(core::time_point now, action_list& actions)
{
    std::vector<exchange_id> overdue;
    for (const auto& [id, exchange] : exchanges) {
        if (now - exchange.ends_at >=
            (exchange.cancelled ? detail::cancelled_result_wait : detail::overdue_result_wait)) {
            overdue.push_back(id);
        }
    }
    for (const exchange_id id : overdue) {
        actions.emplace_back(cancel_exchange{id});
        on_result(now, id, {exchange_status::timed_out, 0, {}}, actions);
    }
    if (is_past_drain_window(now) && !drain_window_end_handled) {
        drain_window_end_handled = true;
        if (core::is_active(core::fault::cancel_in_flight_on_drain)) {
            for (const auto& [id, exchange] : exchanges) {
                actions.emplace_back(cancel_exchange{id});
            }
        }
    }
}

void work::impl::probe(core::time_point now, action_list& actions)
{
    if (ctx.own.state != wire::agent_state::ejected || !limiter.is_failing()) {
        return;
    }
    const bool running =
        std::any_of(exchanges.begin(), exchanges.end(), [](const auto& item) { return item.second.probe; });
    if (running || (last_probe_at != core::time_point{} && now - last_probe_at < detail::probe_interval)) {
        return;
    }
    last_probe_at = now;
    const exchange_id id{++last_exchange};
    exchange_state state;
    state.probe = true;
    state.started_at = now;
    state.ends_at = now + detail::probe_interval;
    exchanges.emplace(id, state);
    start_exchange request;
    request.id = id;
    request.path = probe_path;
    request.timeout = detail::probe_interval;
    actions.emplace_back(std::move(request));
}

} // namespace daisydoor::agent
