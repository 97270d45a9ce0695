#include "daisydoor/runtime/daemon.hpp"
#include "daisydoor/runtime/detail/relay_task.hpp"
#include "daisydoor/runtime/detail/store_task.hpp"

#include <csignal>

namespace daisydoor::runtime
{

namespace
{

/// Reads the settings again and applies the log level; other changes need a restart.
void reload(const std::string& file)
{
    try {
        const auto process_settings = load_settings(file);
        const auto* relay = std::get_if<relay_settings>(&process_settings);
        if (relay == nullptr) {
            write_log(log_event::settings_rejected, "reason=role_changed");
            return;
        }
        detail::set_log_level(relay->log_level);
        write_log(log_event::settings_reloaded, "file=" + file);
    } catch (const settings_error& e) {
        write_log(log_event::settings_rejected, e.lines().front());
    }
}

class relay_signal_task : public task
{
  public:
    relay_signal_task(kernel& owner, detail::relay_task& role, std::string file)
        : m_interrupt(owner.base(), SIGINT, EV_SIGNAL | EV_PERSIST, [&owner] { owner.stop(0); }),
          m_terminate(owner.base(), SIGTERM, EV_SIGNAL | EV_PERSIST, [&role] { role.start_drain(); }),
          m_hang_up(owner.base(), SIGHUP, EV_SIGNAL | EV_PERSIST, [file = std::move(file)] { reload(file); })
    {
    }

    void start() override
    {
        m_interrupt.add();
        m_terminate.add();
        m_hang_up.add();
    }

  private:
    detail::io_event m_interrupt;
    detail::io_event m_terminate;
    detail::io_event m_hang_up;
};

} // namespace

int run_relay_daemon(const relay_settings& process_settings, const std::string& file)
{
    detail::set_log_level(process_settings.log_level);
    std::signal(SIGPIPE, SIG_IGN);
    kernel owner;
    const auto& log = owner.add(std::make_unique<detail::log_task>(owner));
    auto& store = owner.add(std::make_unique<detail::store_task>(owner, process_settings.platform));
    auto& role = owner.add(std::make_unique<detail::relay_task>(owner, process_settings, store, log.output()));
    owner.add(std::make_unique<relay_signal_task>(owner, role, file));
    write_log(log_event::process_started,
              "name=" + process_settings.name +
                  " role=" + std::string(relay_role_names.at(static_cast<std::size_t>(process_settings.role))) +
                  " packets=" + core::to_string(process_settings.packets));
    const int result = owner.run();
    write_log(log_event::process_stopped, "exit_code=" + std::to_string(result));
    return result;
}

} // namespace daisydoor::runtime
