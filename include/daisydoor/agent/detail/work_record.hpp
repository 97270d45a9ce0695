#pragma once

#include "daisydoor/agent/actions.hpp"
#include "daisydoor/agent/work.hpp"

#include <algorithm>
#include <array>
#include <string_view>
#include <tuple>

namespace daisydoor::agent::detail
{

/// @brief Names one piece of work in the whole service: a number of one flow of one home incarnation.
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
    handed_over,
    handed_to_peer,
    answered,
    refused,
};
constexpr std::array<std::string_view, 5> record_state_names{"queued", "handed_over", "handed_to_peer", "answered",
                                                             "refused"};

/// @brief Refusal as recorded, so that a repeat gets the same one.
struct recorded_refusal
{
    wire::refusal_kind kind = wire::refusal_kind::not_run;
    wire::refusal_reason reason = wire::refusal_reason::none;
    core::milliseconds retry_after{0};
};

/// @brief One piece of work, at its home agent or at the peer that executes it.
///
/// At the home agent it stays until the caller acknowledges the number, at a peer until the home agent acknowledges
/// the result or the retention ends.
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
    bool foreign = false;
    /// The caller no longer waits: the flow is closed or the number acknowledged.
    bool abandoned = false;
    bool cancelled = false;
    /// An earlier try had an unknown outcome, so that no later refusal may claim `not_run`.
    bool may_have_run = false;
    /// A query fenced this work before its hand-over arrived here. Kept for the whole retention, because the
    /// hand-over may still wait in the buffer of a broken link.
    bool fenced_unseen = false;
    /// The target shed it or could not be reached, and it has had its one try at a peer.
    bool offered_to_peer = false;
    /// Peers that were sent the hand-over. Each peer gets it at most once, so that a fence at a peer stays final.
    std::vector<core::host_id> tried;
    core::host_id peer{};
    core::incarnation_id peer_incarnation{};
    /// When an expired or cancelled hand-over is given up as unknown; unset while no query is under way.
    std::optional<core::time_point> query_ends;
    exchange_id exchange{};
    /// Where the caller's answer goes; only at the home agent.
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
        return std::find(tried.begin(), tried.end(), host) != tried.end();
    }
};

} // namespace daisydoor::agent::detail
