#pragma once

#include "daisydoor/agent/detail/concurrency_limiter.hpp"
#include "daisydoor/agent/detail/fair_queue.hpp"
#include "daisydoor/agent/detail/peer_credit.hpp"
#include "daisydoor/agent/detail/request_table.hpp"
#include "daisydoor/agent/work.hpp"

#include <map>

namespace daisydoor::agent
{

namespace detail
{

/// Time after the start of a drain in which the agent still runs requests of its flows.
constexpr core::milliseconds drain_accept_window{2000};
/// Wait for a peer's answer to an outcome query after the deadline; several round trips between zones.
constexpr core::milliseconds query_timeout{500};
/// Wait for the driver's result after an exchange's timeout, before its slot is freed without one.
constexpr core::milliseconds overdue_result_wait{1000};
/// The same after a cancellation. The connection is closed by then, so only a result that the driver had queued before
/// can still arrive.
constexpr core::milliseconds cancelled_result_wait{100};
constexpr core::milliseconds probe_interval{1000};
/// Interval between scans of all records for those past their retention, which is far longer.
constexpr core::milliseconds retention_sweep_interval{1000};
/// Requests of peers that are queued here in advance, so that a slot that becomes free is not idle for a round trip.
constexpr std::size_t max_prefetched_work = 2;
/// Minimum queue length of a peer to prefetch from: a shorter queue empties there before a hand-over would save time.
constexpr std::uint32_t min_prefetch_queue = 2;
/// Shortest exchange timeout that counts as a failure of the target; a shorter one is due to the caller's deadline.
constexpr core::milliseconds min_failure_timeout{100};
/// Largest answer that fits into a frame between agents.
constexpr std::size_t max_peer_answer_size = std::size_t{1024} * 1024;
/// Segments of an answer that are sent without a fetch; the caller fetches the rest.
constexpr std::size_t max_unrequested_segments = 1024;

/// @brief One exchange with the target that has not ended.
struct exchange_state
{
    work_key key;
    bool probe = false;
    bool cancelled = false;
    core::time_point started_at{};
    core::time_point ends_at{};
    core::milliseconds timeout{0};
};

} // namespace detail

/// @brief State of work. Its member functions are defined by subject in src/agent/work*.cpp.
struct work::impl
{
    explicit impl(agent_context& context) : ctx(context), credit(context) {}

    // work.cpp: acceptance, repeats, acknowledgements
    void accept(core::time_point now, const flow_address& from, const wire::requestT& body, action_list& actions);
    /// @brief Sends the recorded answer or refusal to `from`, which becomes the reply address. Sends nothing if the
    /// record is not final.
    void resend_outcome(detail::work_record& record, const flow_address& from, action_list& actions) const;
    [[nodiscard]] wire::refusal_reason reason_to_refuse(core::time_point now, const detail::work_record& record) const;
    /// @brief Queues the request, or refuses it or a queued one if the queue is full.
    /// @param to_front whether it goes before the queued requests, as a retry does
    void admit(core::time_point now, detail::work_record& record, bool to_front, action_list& actions);
    void cancel(core::time_point now, const flow_address& from, core::request_number number, action_list& actions);
    void cancel_record(core::time_point now, detail::work_record& record, action_list& actions);
    void abandon(const detail::work_key& key);
    void finish_answered(core::time_point now, detail::work_record& record, std::uint16_t status,
                         std::vector<std::uint8_t> payload, action_list& actions);
    /// @brief Ends the record with a refusal. The kind is always `unknown` if an earlier try may have run.
    void finish_refused(core::time_point now, detail::work_record& record, wire::refusal_kind kind,
                        wire::refusal_reason reason, action_list& actions);
    [[nodiscard]] core::milliseconds retry_after(wire::refusal_reason reason) const;
    [[nodiscard]] detail::work_key home_key(core::flow_id flow, core::request_number number) const;
    [[nodiscard]] std::size_t slots() const noexcept { return ctx.self != nullptr ? ctx.self->slots : 1; }
    [[nodiscard]] std::size_t bound() const { return ctx.policy().queue_per_slot * slots(); }

    // work_exchange.cpp: exchanges with the target
    [[nodiscard]] bool can_run(core::time_point now) const;
    [[nodiscard]] bool is_past_drain_window(core::time_point now) const;
    [[nodiscard]] std::size_t free_slots() const noexcept;
    /// @brief Starts, hands over and requests work as far as slots and peers allow.
    void dispatch_work(core::time_point now, action_list& actions);
    void start(core::time_point now, detail::work_record& record, action_list& actions);
    void cancel_exchange_of(core::time_point now, const detail::work_record& record, action_list& actions);
    void on_result(core::time_point now, exchange_id id, exchange_result result, action_list& actions);
    void update_limiter(core::time_point now, const detail::exchange_state& exchange, const exchange_result& result);
    void end_not_run(core::time_point now, detail::work_record& record, wire::refusal_reason reason,
                     action_list& actions);
    void end_unknown(core::time_point now, detail::work_record& record, wire::refusal_reason reason,
                     action_list& actions);
    void expire_queued(core::time_point now, action_list& actions);
    void end_overdue_exchanges(core::time_point now, action_list& actions);
    void probe(core::time_point now, action_list& actions);

    // work_home.cpp: hand-over as the home agent
    void hand_over(core::time_point now, detail::work_record& record, const peer_status& peer, action_list& actions);
    void hand_over_queued(core::time_point now, action_list& actions);
    void hand_over_or_refuse_queued(core::time_point now, action_list& actions);
    void request_work(core::time_point now, action_list& actions);
    void on_peer_result(core::time_point now, core::host_id host, const wire::handover_resultT& body,
                        action_list& actions);
    void on_peer_not_run(core::time_point now, detail::work_record& record, wire::refusal_reason reason,
                         action_list& actions);
    void send_outcome_query(const detail::work_record& record, action_list& actions) const;
    void resolve_after_link_up(core::time_point now, core::host_id host, core::incarnation_id incarnation,
                               action_list& actions);
    void retry_after_link_loss(core::time_point now, core::host_id host, action_list& actions);
    void expire_handed_to_peer(core::time_point now, action_list& actions);

    // work_executor.cpp: hand-over as the executing peer
    void on_handover(core::time_point now, core::host_id host, const wire::handoverT& body, action_list& actions);
    [[nodiscard]] wire::refusal_reason reason_to_reject(core::time_point now, core::host_id host,
                                                        const wire::handoverT& body) const;
    void on_query(core::time_point now, core::host_id host, const wire::outcome_queryT& body, action_list& actions);
    void on_result_ack(core::host_id host, const wire::result_ackT& body);
    void send_result(const detail::work_record& record, action_list& actions) const;
    void reject(core::host_id host, const detail::work_key& key, wire::refusal_reason reason,
                action_list& actions) const;
    void drop_work_of_old_incarnation(core::host_id host, core::incarnation_id incarnation);
    void expire_peer_records(core::time_point now);

    [[nodiscard]] bool is_link_up(core::host_id host) const;

    agent_context& ctx;
    detail::request_table table;
    detail::fair_queue queue;
    detail::concurrency_limiter limiter;
    detail::retry_budget budget;
    detail::peer_credit credit;
    std::map<exchange_id, detail::exchange_state> exchanges;
    std::uint64_t last_exchange = 0;
    core::time_point last_probe_at{};
    core::time_point next_retention_sweep{};
    bool drain_window_end_handled = false;
    counters count;
};

} // namespace daisydoor::agent
