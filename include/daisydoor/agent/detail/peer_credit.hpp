#pragma once

#include "daisydoor/agent/detail/work_record.hpp"

#include <map>

namespace daisydoor::agent::detail
{

/// Time after which work that was asked for is no longer expected; above the round trip between zones.
constexpr core::milliseconds work_request_timeout{20};

/// @brief Peer to ask for work, and how much of it.
struct work_source
{
    core::host_id host{};
    std::uint32_t count = 0;
};

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
    /// @brief Chooses the peer to ask for work, by reported queues less what was asked for since, and notes the
    /// request.
    /// @param wanted number of requests that this agent could take in
    /// @param least_queue peers with a shorter queue are not asked
    [[nodiscard]] std::optional<work_source> take_source(core::time_point now, std::size_t wanted,
                                                         std::uint32_t least_queue);
    /// @brief Work arrived that was asked for.
    void on_work_received(core::host_id host);

  private:
    struct entry
    {
        std::uint32_t credit = 0;
        /// Queue in the last report, less the work asked for since.
        std::uint32_t expected_queue = 0;
        /// Work asked for that has not arrived.
        std::uint32_t pending = 0;
        core::time_point asked_at{};
    };

    [[nodiscard]] bool takes_work(core::time_point now, const peer_status& peer) const;
    [[nodiscard]] std::uint32_t credit_of(core::host_id host) const;
    [[nodiscard]] bool may_cross_zones(std::size_t queued) const;

    const agent_context& m_context;
    std::map<core::host_id, entry> m_peers;
};

} // namespace daisydoor::agent::detail
