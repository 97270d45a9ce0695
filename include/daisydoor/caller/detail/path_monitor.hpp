#pragma once

#include "daisydoor/caller/detail/session_flow.hpp"

namespace daisydoor::caller::detail
{

/// @brief Sends keepalives and detects a path that no longer works.
///
/// After `max_missed_acks` it requests another socket by a `replace_socket` action, and after as many on that socket it
/// reports the path as unreachable.
class path_monitor
{
  public:
    enum class path_status
    {
        usable,
        /// No acknowledgements on the old socket: the flow is tried over a new one.
        replace_socket,
        /// No acknowledgements on the new socket either: the flow's agent cannot be reached.
        unreachable,
    };

    /// @brief Schedules the next keepalive one interval from now and clears the missed acknowledgements.
    void restart(core::time_point now) noexcept;
    /// @brief Sets the keepalive interval that the agent asked for, limited to 1 to 10 s; 0 selects the default.
    void set_interval(core::milliseconds value) noexcept;
    /// @brief Sends the next keepalive early, because requests on the path get no reply.
    void probe(core::time_point now) noexcept;
    /// @brief Sends the keepalive that is due and counts missing acknowledgements. @return the status after that
    path_status on_tick(core::time_point now, const session_flow& flow, core::event_id last_event,
                        session_actions& actions);
    void on_ack(core::time_point now, std::uint32_t sequence) noexcept;

    /// A third of the 30 s after which middleboxes commonly drop the state of an idle UDP flow.
    static constexpr core::milliseconds default_interval{10000};
    static constexpr core::milliseconds ack_timeout{500};
    /// Without it, a request whose answer takes long would cause a keepalive on every tick.
    static constexpr core::milliseconds min_probe_interval{1000};
    /// Consecutive ones; a single lost packet must not make the session open another flow.
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
