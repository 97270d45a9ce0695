#pragma once

#include "daisydoor/agent/detail/work_record.hpp"

#include <map>

namespace daisydoor::agent::detail
{

/// @brief Tracks how much work each peer is ready to take, and chooses the peer for a hand-over.
///
/// Free slots in a report are a standing request for work; each hand-over uses one up until the next report.
class peer_credit
{
  public:
    explicit peer_credit(const agent_context& context) : m_context(context) {}

    void on_report(core::host_id host, const wire::load_reportT& report);
    void on_work_request(core::host_id host, std::uint32_t count);
    void on_link_change(core::host_id host) { m_peers.erase(host); }
    void on_hand_over(core::host_id host);

    /// @brief The peer that asked for work, in this agent's availability zone if possible.
    /// @param queued number of queued requests here, which decides whether work may cross zones
    [[nodiscard]] const peer_status* choose(core::time_point now, const work_record& record, std::size_t queued) const;
    /// @brief Any active peer, for work that cannot run here; prefers free slots, then short queues.
    [[nodiscard]] const peer_status* choose_any(core::time_point now, const work_record& record) const;
    /// @brief Whether some peer has free slots that this agent may use.
    [[nodiscard]] bool has_free_peer(core::time_point now, std::size_t queued) const;
    /// @brief The peer with the longest reported queue that was not asked for work recently; marks it as asked.
    const peer_status* take_busy_peer(core::time_point now);

  private:
    struct entry
    {
        std::uint32_t credit = 0;
        core::time_point asked_at{};
    };

    [[nodiscard]] bool takes_work(core::time_point now, const peer_status& peer) const;
    [[nodiscard]] std::uint32_t credit_of(core::host_id host) const;
    [[nodiscard]] bool may_cross_zones(std::size_t queued) const;

    const agent_context& m_context;
    std::map<core::host_id, entry> m_peers;
};

} // namespace daisydoor::agent::detail
