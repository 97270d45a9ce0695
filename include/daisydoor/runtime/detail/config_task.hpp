#pragma once

#include "daisydoor/config/config_sync.hpp"
#include "daisydoor/runtime/detail/io_event.hpp"
#include "daisydoor/runtime/messages.hpp"

namespace daisydoor::runtime::detail
{

/// @brief Passes peer messages and platform values to config_sync, and performs its actions: messages to peers,
/// platform reads, and new configurations for the role task.
class config_task : public task
{
  public:
    config_task(kernel& owner, config::sync_options options, core::random_source random);

    void start() override;

  private:
    using sync_handler = std::function<void(core::time_point, std::vector<config::sync_action>&)>;

    void collect(collect_metrics& message) const;
    void handle(const sync_handler& event);
    void perform(config::send_config_message& action);
    void perform(const config::read_platform_value& action);
    void perform(const config::accept_configuration& action);
    void perform(const config::accept_fleet_view& action);
    void perform(const config::confirm_configuration& action);
    void perform(const config::reject_configuration& action);

    kernel& m_kernel;
    config::config_sync m_sync;
    io_event m_timer;
    std::uint64_t m_accepted = 0;
    std::uint64_t m_rejected = 0;
    handler_ref<send_to_endpoint> m_send_to_endpoint;
    handler_ref<platform_read> m_platform;
    handler_ref<configuration_accepted> m_configuration;
    handler_ref<fleet_view_accepted> m_fleet_view;
    handler_ref<configuration_confirmed> m_confirmed;
};

} // namespace daisydoor::runtime::detail
