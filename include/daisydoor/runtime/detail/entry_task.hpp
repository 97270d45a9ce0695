#pragma once

#include "daisydoor/entry/entry_core.hpp"
#include "daisydoor/runtime/detail/io_event.hpp"
#include "daisydoor/runtime/events.hpp"
#include "daisydoor/runtime/messages.hpp"

namespace daisydoor::runtime::detail
{

/// @brief Passes datagrams and configurations to entry_core, and forwards, refuses or drops each datagram as it
/// decides.
class entry_task : public task
{
  public:
    /// @param return_path endpoint of the fabric to which refusals are sent
    entry_task(kernel& owner, entry::entry_options options, const core::endpoint& return_path);

    void start() override;

  private:
    void on_datagram(const received_datagram& message);
    void on_tick();
    void collect(collect_metrics& message) const;

    kernel& m_kernel;
    entry::entry_core m_core;
    core::endpoint m_return_path;
    io_event m_timer;
    core::time_point m_last_tick;
    rate_limit m_drop_log_limit{log_interval_ns};
    config::snapshot_ptr m_snapshot;
    config::fleet_view_ptr m_fleet;
    handler_ref<outgoing_datagram> m_udp;
    handler_ref<refresh_request> m_refresh;
};

} // namespace daisydoor::runtime::detail
