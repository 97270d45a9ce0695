#pragma once

#include "daisydoor/caller/detail/session_flow.hpp"

namespace daisydoor::caller::detail
{

/// @brief Sends keepalives and decides when a path is silent: a fresh socket first, then a new flow.
class path_monitor
{
  public:
    enum class path_status
    {
        usable,
        /// Misses on the old socket: the same token is tried over a fresh one.
        replace_socket,
        /// Misses on the fresh socket too: the flow's agent is out of reach.
        unreachable,
    };

    /// @brief Starts over for a new flow.
    void restart(core::time_point now) noexcept;
    void set_interval(core::milliseconds value) noexcept;
    /// @brief Sends the next keepalive early, when something else suggests that the path is silent.
    void probe(core::time_point now) noexcept;
    path_status on_tick(core::time_point now, const session_flow& flow, core::event_id last_event,
                        session_actions& actions);
    void on_ack(core::time_point now, std::uint32_t sequence) noexcept;

    /// A third of the 30 s after which middleboxes commonly forget UDP flows.
    static constexpr core::milliseconds default_interval{10000};
    static constexpr core::milliseconds ack_timeout{500};
    /// A request that waits long for its answer suggests a silent path again and again.
    static constexpr core::milliseconds min_probe_interval{1000};
    /// One lost packet must not cause a resume.
    static constexpr unsigned max_missed_acks = 3;

  private:
    void send(core::time_point now, const session_flow& flow, core::event_id last_event, session_actions& actions);

    core::milliseconds m_interval = default_interval;
    core::time_point m_next_keepalive{};
    core::time_point m_last_keepalive_sent{};
    std::uint32_t m_sequence = 0;
    bool m_is_awaiting_ack = false;
    bool m_socket_was_replaced = false;
    unsigned m_missed_acks = 0;
};

} // namespace daisydoor::caller::detail
