#include "daisydoor/runtime/daemon.hpp"

#include "daisydoor/runtime/detail/admin_task.hpp"
#include "daisydoor/runtime/detail/agent_task.hpp"
#include "daisydoor/runtime/detail/config_task.hpp"
#include "daisydoor/runtime/detail/entry_task.hpp"
#include "daisydoor/runtime/detail/link_task.hpp"
#include "daisydoor/runtime/detail/log_output.hpp"
#include "daisydoor/runtime/detail/platform_task.hpp"
#include "daisydoor/runtime/detail/target_task.hpp"
#include "daisydoor/runtime/detail/udp_task.hpp"
#include "daisydoor/runtime/events.hpp"

#include <array>
#include <csignal>

namespace daisydoor::runtime
{

namespace
{

core::random_source make_random()
{
    std::random_device device;
    std::array<std::uint32_t, 8> words{};
    for (auto& word : words) {
        word = device();
    }
    std::seed_seq seed(words.begin(), words.end());
    return core::random_source(seed);
}

wire::helloT make_hello(const settings& process_settings, core::incarnation_id incarnation)
{
    wire::helloT hello;
    hello.role = process_settings.role == role::agent ? wire::process_role::agent : wire::process_role::entry;
    hello.zone = process_settings.zone;
    hello.incarnation = core::raw(incarnation);
    if (process_settings.agent) {
        hello.host = core::raw(process_settings.agent->host);
        hello.service = core::raw(process_settings.agent->service);
    }
    return hello;
}

config::sync_options make_sync_options(const settings& process_settings)
{
    config::sync_options options;
    options.self = process_settings.listen;
    options.zone = process_settings.zone;
    options.bootstrap_peers = process_settings.bootstrap_peers;
    if (process_settings.agent) {
        options.service = process_settings.agent->service;
    }
    return options;
}

void add_role_task(kernel& owner, const settings& process_settings, core::incarnation_id incarnation)
{
    if (!process_settings.agent) {
        owner.add(std::make_unique<detail::entry_task>(owner, entry::entry_options{process_settings.zone},
                                                       process_settings.return_path));
        return;
    }
    agent::agent_options options;
    options.host = process_settings.agent->host;
    options.service = process_settings.agent->service;
    options.zone = process_settings.zone;
    options.incarnation = incarnation;
    options.drain_timeout = process_settings.agent->drain_timeout;
    owner.add(std::make_unique<detail::target_task>(owner, process_settings.agent->target));
    owner.add(std::make_unique<detail::agent_task>(owner, options, process_settings.return_path, make_random()));
}

/// Stops the kernel on SIGINT and posts drain_request on SIGTERM.
class signal_task : public task
{
  public:
    explicit signal_task(kernel& owner)
        : m_kernel(owner), m_interrupt(owner.base(), SIGINT, EV_SIGNAL | EV_PERSIST, [this] { m_kernel.stop(0); }),
          m_terminate(owner.base(), SIGTERM, EV_SIGNAL | EV_PERSIST, [this] { m_drain.post({}); })
    {
    }

    void start() override
    {
        m_drain = m_kernel.find_handler<drain_request>(task_names::role);
        m_interrupt.add();
        m_terminate.add();
    }

  private:
    kernel& m_kernel;
    detail::io_event m_interrupt;
    detail::io_event m_terminate;
    handler_ref<drain_request> m_drain;
};

} // namespace

void add_tasks(kernel& owner, const settings& process_settings)
{
    auto random = make_random();
    core::incarnation_id incarnation{};
    while (core::raw(incarnation) == 0) {
        incarnation = core::incarnation_id{random()};
    }
    owner.add(std::make_unique<detail::udp_task>(owner, process_settings.listen));
    owner.add(std::make_unique<detail::link_task>(
        owner, detail::link_options{process_settings.listen, make_hello(process_settings, incarnation)},
        make_random()));
    owner.add(std::make_unique<detail::platform_task>(owner, process_settings.platform));
    owner.add(std::make_unique<detail::config_task>(owner, make_sync_options(process_settings), make_random()));
    add_role_task(owner, process_settings, incarnation);
    owner.add(std::make_unique<detail::admin_task>(owner, process_settings));
    owner.add(std::make_unique<signal_task>(owner));
}

int run_daemon(const settings& process_settings)
{
    detail::set_log_level(process_settings.log_level);
    // Writing to a connection that a peer or the target has closed must not terminate the process.
    std::signal(SIGPIPE, SIG_IGN);
    kernel owner;
    owner.add(std::make_unique<detail::log_task>(owner));
    add_tasks(owner, process_settings);
    write_log(log_event::process_started, std::string(role_names.at(static_cast<std::size_t>(process_settings.role))) +
                                              " at " + core::to_string(process_settings.listen));
    const int result = owner.run();
    write_log(log_event::process_stopped, "exit code " + std::to_string(result));
    return result;
}

} // namespace daisydoor::runtime
