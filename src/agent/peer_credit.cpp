#include "daisydoor/agent/detail/peer_credit.hpp"

#include <algorithm>

namespace daisydoor::agent::detail
{

namespace
{

bool is_in_service(wire::agent_state state) noexcept
{
    return state == wire::agent_state::active || state == wire::agent_state::cold;
}

} // namespace

void peer_credit::on_report(core::host_id host, const wire::load_reportT& report)
{
    auto& peer = m_peers[host];
    peer.credit = is_in_service(report.state) ? report.free_slots : 0;
    peer.expected_queue = report.queued;
}

void peer_credit::on_work_request(core::host_id host, std::uint32_t count)
{
    auto& peer = m_peers[host];
    peer.credit = std::max(peer.credit, count);
}

void peer_credit::on_hand_over(core::host_id host)
{
    auto& peer = m_peers[host];
    peer.credit -= peer.credit > 0 ? 1 : 0;
}

bool peer_credit::accepts_work(core::time_point now, const peer_status& peer) const
{
    return m_context.is_peer_alive(peer, now) && is_in_service(peer.report.state);
}

std::uint32_t peer_credit::credit_of(core::host_id host) const
{
    const auto it = m_peers.find(host);
    return it == m_peers.end() ? 0 : it->second.credit;
}

bool peer_credit::may_cross_zones(std::size_t queued) const
{
    const std::size_t slots = m_context.self != nullptr ? m_context.self->slots : 1;
    return queued > std::size_t{m_context.policy().zone_spill_queue} * slots;
}

const peer_status* peer_credit::choose(core::time_point now, const work_record& record, std::size_t queued) const
{
    const bool cross = may_cross_zones(queued);
    const peer_status* best = nullptr;
    std::pair<bool, std::uint32_t> best_rank{};
    for (const auto& [host, peer] : m_context.peers) {
        const std::pair<bool, std::uint32_t> rank{peer.zone == m_context.options.zone, credit_of(host)};
        if (rank.second == 0 || (!rank.first && !cross) || !accepts_work(now, peer) || record.was_tried(host)) {
            continue;
        }
        if (best == nullptr || rank > best_rank) {
            best = &peer;
            best_rank = rank;
        }
    }
    return best;
}

const peer_status* peer_credit::choose_any(core::time_point now, const work_record& record) const
{
    const peer_status* best = nullptr;
    for (const auto& [host, peer] : m_context.peers) {
        if (!accepts_work(now, peer) || record.was_tried(host)) {
            continue;
        }
        if (best == nullptr || credit_of(host) > credit_of(best->host) ||
            (credit_of(host) == credit_of(best->host) && peer.report.queued < best->report.queued)) {
            best = &peer;
        }
    }
    return best;
}

bool peer_credit::has_free_peer(core::time_point now, std::size_t queued) const
{
    const bool cross = may_cross_zones(queued);
    return std::any_of(m_context.peers.begin(), m_context.peers.end(), [&](const auto& item) {
        const auto& [host, peer] = item;
        return credit_of(host) > 0 && accepts_work(now, peer) && (cross || peer.zone == m_context.options.zone);
    });
}

std::optional<work_source> peer_credit::reserve_source(core::time_point now, std::size_t wanted,
                                                       std::uint32_t least_queue)
{
    std::size_t pending = 0;
    entry* best = nullptr;
    work_source result;
    for (auto& [host, entry] : m_peers) {
        if (now - entry.asked_at >= work_request_timeout) {
            entry.pending = 0;
        }
        pending += entry.pending;
        const auto it = m_context.peers.find(host);
        if (entry.expected_queue < std::max<std::uint32_t>(least_queue, 1) || it == m_context.peers.end() ||
            !m_context.is_peer_alive(it->second, now)) {
            continue;
        }
        const bool near = it->second.zone == m_context.options.zone;
        if ((near || may_cross_zones(entry.expected_queue)) &&
            (best == nullptr || entry.expected_queue > best->expected_queue)) {
            best = &entry;
            result.host = host;
        }
    }
    if (best == nullptr || wanted <= pending) {
        return std::nullopt;
    }
    result.count = std::min(static_cast<std::uint32_t>(wanted - pending), best->expected_queue);
    best->expected_queue -= result.count;
    best->pending += result.count;
    best->asked_at = now;
    return result;
}

void peer_credit::on_work_received(core::host_id host)
{
    auto& peer = m_peers[host];
    peer.pending -= peer.pending > 0 ? 1 : 0;
}

} // namespace daisydoor::agent::detail
