#pragma once

#include "daisydoor/agent/actions.hpp"
#include "daisydoor/agent/work.hpp"

#include <algorithm>
#include <array>
#include <string_view>
#include <tuple>

namespace daisydoor::agent::detail
{

/// @brief Identifies a request within the service. The home agent is the one that has the caller's flow.
struct work_key
{
    core::host_id home{};
    core::incarnation_id incarnation{};
    core::flow_id flow{};
    core::request_number number{};

    friend bool operator<(const work_key& a, const work_key& b) noexcept
    {
        return std::tie(a.home, a.incarnation, a.flow, a.number) < std::tie(b.home, b.incarnation, b.flow, b.number);
    }
    friend bool operator==(const work_key& a, const work_key& b) noexcept
    {
        return std::tie(a.home, a.incarnation, a.flow, a.number) == std::tie(b.home, b.incarnation, b.flow, b.number);
    }
};

wire::work_id to_wire(const work_key& key) noexcept;
work_key from_wire(const wire::work_id& id) noexcept;

enum class record_state
{
    queued,
    /// An exchange with this agent's target was started, and its result is pending.
    sent_to_target,
    /// A hand-over was sent to `work_record::peer`, and its result is pending.
    handed_to_peer,
    answered,
    refused,
};
constexpr std::array<std::string_view, 5> record_state_names{"queued", "handed_over", "handed_to_peer", "answered",
                                                             "refused"};

/// @brief Recorded refusal, so that a repeated request gets the same one.
struct recorded_refusal
{
    wire::refusal_kind kind = wire::refusal_kind::not_run;
    wire::refusal_reason reason = wire::refusal_reason::none;
    core::milliseconds retry_after{0};
};

/// @brief Record of one request, at its home agent or at the peer that executes it.
///
/// The home agent keeps it until the caller acknowledges the number, a peer until the home agent acknowledges the
/// result or the retention time (peer_record_retention) has passed.
struct work_record
{
    work_key key;
    core::workspace_id workspace{};
    wire::request_kind kind = wire::request_kind::idempotent;
    std::string path;
    std::vector<std::uint8_t> payload;
    core::time_point deadline{};
    record_state state = record_state::queued;
    /// Whether another agent is the home agent.
    bool is_for_peer = false;
    /// The caller no longer needs the outcome: the flow is closed or the number is acknowledged.
    bool abandoned = false;
    bool cancelled = false;
    /// An earlier try had an unknown outcome, so that no later refusal may claim `not_run`.
    bool may_have_run = false;
    /// An outcome query arrived before the hand-over and was answered `not_run`, so that the hand-over must never start
    /// (a fence). Kept for the whole retention time, because the hand-over may still be in the buffer of a broken link.
    bool fenced_before_handover = false;
    /// The target shed it or could not be reached, and it was handed over to one peer; it is not offered to another.
    bool offered_to_peer = false;
    /// Peers that were sent the hand-over. Each gets it at most once, so that a fence at a peer stays final.
    std::vector<core::host_id> tried_peers;
    core::host_id peer{};
    core::incarnation_id peer_incarnation{};
    /// When a hand-over past its deadline is refused as `unknown`; unset until the outcome query after the deadline is
    /// sent.
    std::optional<core::time_point> query_deadline;
    exchange_id exchange{};
    /// Reply address of the caller; set only at the home agent.
    flow_address from;
    std::uint16_t status = 0;
    std::vector<std::uint8_t> answer;
    recorded_refusal refusal;
    core::time_point finished_at{};

    [[nodiscard]] bool is_final() const noexcept
    {
        return state == record_state::answered || state == record_state::refused;
    }
    [[nodiscard]] bool is_idempotent() const noexcept { return kind == wire::request_kind::idempotent; }
    [[nodiscard]] bool was_tried(core::host_id host) const
    {
        return std::find(tried_peers.begin(), tried_peers.end(), host) != tried_peers.end();
    }
};

} // namespace daisydoor::agent::detail
