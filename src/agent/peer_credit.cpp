#include "daisydoor/agent/detail/peer_credit.hpp"

#include <algorithm>

namespace daisydoor::agent::detail
{

namespace
{

bool takes_work_in(wire::agent_state state) noexcept
{
    return state == wire::agent_state::active || state == wire::agent_state::cold;
}

} // namespace

void peer_credit::on_report(core::host_id host, const wire::load_reportT& report)
{
    m_peers[host].credit = takes_work_in(report.state) ? report.free_slots : 0;
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

bool peer_credit::takes_work(core::time_point now, const peer_status& peer) const
{
    return m_context.is_peer_alive(peer, now) && takes_work_in(peer.report.state);
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
        if (rank.second == 0 || (!rank.first && !cross) || !takes_work(now, peer) || record.was_tried(host)) {
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
        if (!takes_work(now, peer) || record.was_tried(host)) {
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
        return credit_of(host) > 0 && takes_work(now, peer) && (cross || peer.zone == m_context.options.zone);
    });
}

const peer_status* peer_credit::take_busy_peer(core::time_point now)
{
    const peer_status* best = nullptr;
    for (const auto& [host, peer] : m_context.peers) {
        const bool near = peer.zone == m_context.options.zone;
        const auto it = m_peers.find(host);
        const bool asked = it != m_peers.end() && it->second.asked_at != core::time_point{} &&
                           now - it->second.asked_at < report_min_gap;
        if (peer.report.queued == 0 || asked || !m_context.is_peer_alive(peer, now) ||
            (!near && !may_cross_zones(peer.report.queued))) {
            continue;
        }
        if (best == nullptr || peer.report.queued > best->report.queued) {
            best = &peer;
        }
    }
    if (best != nullptr) {
        m_peers[best->host].asked_at = now;
    }
    return best;
}

} // namespace daisydoor::agent::detail
