#include "daisydoor/runtime/detail/admin_task.hpp"

#include "daisydoor/runtime/detail/state_dump.hpp"

#include <charconv>
#include <cstring>

namespace daisydoor::runtime::detail
{

namespace
{

constexpr int status_ok = 200;

} // namespace

admin_task::admin_task(kernel& owner, const settings& process_settings)
    : m_kernel(owner), m_settings(process_settings), m_started_at(core::clock::now()),
      m_server(owner, process_settings.admin,
               [this](const std::string& path, const auto& query) { return handle_request(path, query("service")); })
{
}

admin_task::~admin_task() = default;

void admin_task::start()
{
    for (const char* name : {task_names::udp, task_names::links, task_names::platform, task_names::config,
                             task_names::target, task_names::role}) {
        if (auto found = m_kernel.find_optional_handler<collect_metrics>(name)) {
            m_tasks.emplace(name, std::move(found));
        }
    }
    m_state = m_kernel.find_handler<collect_state>(task_names::role);
}

http_response admin_task::handle_request(const std::string& path, const char* service)
{
    if (path == "/dump") {
        return {status_ok, json_type, dump(service)};
    }
    if (path == "/metrics") {
        return {status_ok, prometheus_type, metrics_text()};
    }
    return path_not_found();
}

std::string admin_task::dump(const char* service)
{
    dump_input input;
    input.process_settings = m_settings;
    input.uptime = std::chrono::duration_cast<core::seconds>(core::clock::now() - m_started_at);
    input.tasks = collect();
    m_state.call(input.state);
    std::uint32_t id = 0;
    if (service != nullptr && std::from_chars(service, service + std::strlen(service), id).ec == std::errc{}) {
        input.service = core::service_id{id};
    }
    return write_dump(input);
}

std::string admin_task::metrics_text()
{
    for (const auto& [name, message] : collect()) {
        m_metrics.update(message);
    }
    return m_metrics.text();
}

std::map<std::string, collect_metrics> admin_task::collect()
{
    std::map<std::string, collect_metrics> result;
    for (const auto& [name, task] : m_tasks) {
        task.call(result[name]);
    }
    return result;
}

} // namespace daisydoor::runtime::detail
