#pragma once

#include "daisydoor/agent/context.hpp"

namespace daisydoor::agent::detail
{

/// Percentage of a service's hosts that may be ejected at once, because the others must carry the load.
constexpr std::size_t eject_ceiling_percent = 30;

/// @brief State of the target, derived from its recent results.
struct target_health
{
    bool failing = false;
    bool warm = false;
};

/// @brief Performs the state transitions of own_status (cold, active, draining, ejected) and detects pauses of the
/// process.
class lifecycle
{
  public:
    explicit lifecycle(agent_context& context) : m_context(context) {}

    /// @brief Starts a drain that cannot be reversed: on SIGTERM, or when the target reports that it drains.
    void drain(core::time_point now);
    /// @brief Applies the draining flag of the configuration, or that it no longer lists this host.
    void on_configuration(core::time_point now, bool drains);
    void on_fleet_view(core::time_point now, const config::fleet_view& view);
    /// @brief Returns whether the process was paused, which shows in the time since the last event. If so, sets
    /// `awaiting_confirmation`.
    bool detect_pause(core::time_point now);
    void on_confirmed() noexcept { m_context.own.awaiting_confirmation = false; }
    /// @brief Ends the wait for a confirmation after its timeout, and ejects this agent or returns it to service.
    void update(core::time_point now, const target_health& target);

    /// @brief Whether this agent may eject itself: it is not isolated, a peer can carry its load, and fewer agents than
    /// eject_ceiling_percent allows are ejected.
    [[nodiscard]] bool should_eject(core::time_point now) const;

  private:
    void apply_drain(core::time_point now);

    agent_context& m_context;
    core::time_point m_last_event_at{};
    core::time_point m_pause_ended_at{};
    bool m_drain_requested = false;
    bool m_configuration_drains = false;
    bool m_fleet_drains = false;
};

} // namespace daisydoor::agent::detail
