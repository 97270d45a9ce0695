#include "daisydoor/runtime/detail/config_task.hpp"

#include "daisydoor/runtime/events.hpp"

namespace daisydoor::runtime::detail
{

namespace
{
constexpr core::milliseconds config_tick{100};
} // namespace

config_task::config_task(kernel& owner, config::sync_options options, core::random_source random)
    : m_kernel(owner), m_sync(std::move(options), random), m_timer(owner.base(), -1, EV_PERSIST, [this] {
          handle([this](auto now, auto& actions) { m_sync.on_tick(now, actions); });
      })
{
    const std::string name = task_names::config;
    owner.register_handler<peer_message_received>(name, [this](peer_message_received& message) {
        handle([&](auto now, auto& actions) { m_sync.on_peer_message(now, message.peer, *message.message, actions); });
    });
    owner.register_handler<version_seen>(name, [this](version_seen& message) {
        handle([&](auto now, auto& actions) { m_sync.on_version_seen(now, message.peer, message.version, actions); });
    });
    owner.register_handler<refresh_request>(name, [this](refresh_request&) {
        handle([this](auto now, auto& actions) { m_sync.revalidate(now, actions); });
    });
    owner.register_handler<platform_result>(name, [this](platform_result& message) {
        handle([&](auto now, auto& actions) {
            if (message.has_content) {
                m_sync.on_platform_value(now, message.key, message.version, message.content, actions);
            } else {
                m_sync.on_platform_failure(now, message.key, message.unchanged, actions);
            }
        });
    });
    owner.register_handler<collect_metrics>(name, [this](collect_metrics& message) { collect(message); });
}

void config_task::start()
{
    m_send_to_endpoint = m_kernel.find_handler<send_to_endpoint>(task_names::links);
    m_platform = m_kernel.find_handler<platform_read>(task_names::platform);
    m_configuration = m_kernel.find_handler<configuration_accepted>(task_names::role);
    m_fleet_view = m_kernel.find_handler<fleet_view_accepted>(task_names::role);
    m_confirmed = m_kernel.find_handler<configuration_confirmed>(task_names::role);
    m_timer.add(config_tick);
    // Deferred until all tasks have looked up their handlers, because the first actions reach other tasks.
    m_kernel.defer([this] { handle([this](auto now, auto& actions) { m_sync.on_start(now, actions); }); });
}

void config_task::collect(collect_metrics& message) const
{
    const auto current = m_sync.current();
    const auto fleet = m_sync.fleet();
    message.samples = {
        {"configuration_version", "", current ? static_cast<double>(core::raw(current->version)) : 0, false},
        {"fleet_version", "", fleet ? static_cast<double>(fleet->version) : 0, false},
        {"configuration_reader", "", m_sync.is_reader() ? 1.0 : 0.0, false},
        {"configurations_accepted", "", static_cast<double>(m_accepted)},
        {"configurations_rejected", "", static_cast<double>(m_rejected)}};
}

void config_task::handle(const sync_handler& event)
{
    std::vector<config::sync_action> actions;
    event(core::clock::now(), actions);
    for (auto& action : actions) {
        std::visit([this](auto& value) { perform(value); }, action);
    }
}

void config_task::perform(config::send_config_message& action)
{
    m_send_to_endpoint.post({action.peer, std::move(action.message)});
}

void config_task::perform(const config::read_platform_value& action)
{
    m_platform.post({action.key, action.after, action.wait});
}

void config_task::perform(const config::accept_configuration& action)
{
    ++m_accepted;
    write_log(log_event::configuration_accepted, "version " + std::to_string(core::raw(action.configuration->version)));
    m_configuration.post({action.configuration});
}

void config_task::perform(const config::accept_fleet_view& action)
{
    write_log(log_event::fleet_view_accepted, "version " + std::to_string(action.view->version));
    m_fleet_view.post({action.view});
}

void config_task::perform(const config::confirm_configuration& /*action*/) { m_confirmed.post({}); }

void config_task::perform(const config::reject_configuration& action)
{
    ++m_rejected;
    write_log(log_event::configuration_rejected, action.what);
}

} // namespace daisydoor::runtime::detail
