#pragma once

#include "daisydoor/agent/detail/work_record.hpp"

#include <map>

namespace daisydoor::agent::detail
{

/// Time after which requested work is no longer expected; longer than the round trip between zones.
constexpr core::milliseconds work_request_timeout{20};

/// @brief Peer to request work from, and the number of requests to ask for.
struct work_source
{
    core::host_id host{};
    std::uint32_t count = 0;
};

/// @brief Tracks how many requests each peer can accept (its credit), and chooses the peer for a hand-over.
///
/// A load report sets the credit to the peer's free slots. Each hand-over uses one credit until the next report.
class peer_credit
{
  public:
    explicit peer_credit(const agent_context& context) : m_context(context) {}

    void on_report(core::host_id host, const wire::load_reportT& report);
    void on_work_request(core::host_id host, std::uint32_t count);
    void on_link_change(core::host_id host) { m_peers.erase(host); }
    void on_hand_over(core::host_id host);

    /// @brief The peer with the most credit, preferably in this agent's availability zone; nullptr if none has credit.
    /// @param queued number of queued requests here, which decides whether work may cross zones
    [[nodiscard]] const peer_status* choose(core::time_point now, const work_record& record, std::size_t queued) const;
    /// @brief Any peer that accepts work, also without credit, for requests that cannot run here. Prefers the most
    /// credit, then the shortest queue.
    [[nodiscard]] const peer_status* choose_any(core::time_point now, const work_record& record) const;
    /// @brief Whether any peer that this agent may hand work to has credit.
    [[nodiscard]] bool has_free_peer(core::time_point now, std::size_t queued) const;
    /// @brief Chooses the peer with the longest expected queue to request work from, and records the request.
    /// @param wanted number of requests that this agent could accept
    /// @param least_queue minimum expected queue of the peer
    [[nodiscard]] std::optional<work_source> reserve_source(core::time_point now, std::size_t wanted,
                                                            std::uint32_t least_queue);
    /// @brief Records the arrival of a request that this agent had asked for.
    void on_work_received(core::host_id host);

  private:
    struct entry
    {
        std::uint32_t credit = 0;
        /// Queue length in the peer's last report, minus the requests asked for since.
        std::uint32_t expected_queue = 0;
        /// Requests asked for that have not arrived.
        std::uint32_t pending = 0;
        core::time_point asked_at{};
    };

    [[nodiscard]] bool accepts_work(core::time_point now, const peer_status& peer) const;
    [[nodiscard]] std::uint32_t credit_of(core::host_id host) const;
    [[nodiscard]] bool may_cross_zones(std::size_t queued) const;

    const agent_context& m_context;
    std::map<core::host_id, entry> m_peers;
};

} // namespace daisydoor::agent::detail
