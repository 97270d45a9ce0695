#pragma once

#include "daisydoor/caller/detail/session_flow.hpp"

#include <optional>

namespace daisydoor::caller::detail
{

/// @brief Opens a flow by retransmitting `open` with one random flow hash.
///
/// The attempt number is 0, 1, 2, ...: it increases with each retransmission. The hash gives a ranking of the agents,
/// and the attempt number selects the rank, so that a retransmission reaches another agent.
class flow_opener
{
  public:
    /// @param restart_on_timeout whether to start again with a new hash after `timeout`, as for a session that lost its
    /// flow; otherwise on_tick() reports the failure
    void start(core::time_point now, core::random_source& random, core::milliseconds timeout, bool restart_on_timeout);
    void stop() noexcept { m_active = false; }
    [[nodiscard]] bool is_active() const noexcept { return m_active; }
    /// @brief Retransmits the open when it is due. @return once the open has timed out, the last
    /// refusal, with the reason `none` if there was none
    std::optional<open_failed> on_tick(core::time_point now, core::random_source& random, core::workspace_id workspace,
                                       session_actions& actions);
    /// @brief Whether the packet is a reply to the last open, including a late or duplicate one after its completion.
    [[nodiscard]] bool is_open_answer(const wire::packet_header& header) const noexcept
    {
        return m_flow_hash != 0 && header.flow_hash() == m_flow_hash;
    }
    void on_refusal(const wire::refusalT& body) noexcept;

  private:
    bool m_active = false;
    bool m_restarts_on_timeout = false;
    std::uint64_t m_flow_hash = 0;
    unsigned m_attempt = 0;
    core::milliseconds m_timeout{0};
    core::time_point m_started{};
    retransmit_timer m_timer;
    open_failed m_last_refusal;
};

} // namespace daisydoor::caller::detail
