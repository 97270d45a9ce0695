#pragma once

#include "daisydoor/agent/context.hpp"

namespace daisydoor::agent::detail
{

/// Part of a service's hosts that may be ejected at once: the others must carry the load.
constexpr std::size_t eject_ceiling_percent = 30;

/// @brief What the target's results say about it.
struct target_health
{
    bool failing = false;
    bool warm = false;
};

/// @brief Decides on the transitions of own_status: cold, active, draining, ejected, and the wait after a pause.
class lifecycle
{
  public:
    explicit lifecycle(agent_context& context) : m_context(context) {}

    /// @brief Drains for good: SIGTERM, or the target's own announcement.
    void drain(core::time_point now);
    /// @brief Applies the draining flag of the configuration, or that it no longer lists this host.
    void on_configuration(core::time_point now, bool drains);
    void on_fleet_view(core::time_point now, const config::fleet_view& view);
    /// @brief Detects a pause of the process by the time since the last event. Returns whether one has just ended.
    bool note_time(core::time_point now);
    void on_confirmed() noexcept { m_context.own.awaiting_confirmation = false; }
    /// @brief Ends the wait for a confirmation, and ejects or returns this agent.
    void update(core::time_point now, const target_health& target);

    /// @brief Whether the own target's failures lead to ejection under the ceiling and the isolation doubt.
    [[nodiscard]] bool should_eject(core::time_point now) const;

  private:
    void apply_drain(core::time_point now);

    agent_context& m_context;
    core::time_point m_last_tick{};
    core::time_point m_woke_at{};
    bool m_drain_requested = false;
    bool m_configuration_drains = false;
    bool m_fleet_drains = false;
};

} // namespace daisydoor::agent::detail
