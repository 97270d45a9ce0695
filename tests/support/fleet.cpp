#include "support/fleet.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace daisydoor::support
{

namespace
{

/// Last byte of the loopback address of each kind of process; hosts, services and entries add their id or index.
constexpr int platform_host = 2;
constexpr int fabric_host = 3;
constexpr int callers_host = 4;
constexpr int first_service_host = 10;
constexpr int first_entry_host = 30;
constexpr int first_agent_host = 100;
constexpr int first_published_host = 170;
/// Offsets from the base port; offset 0 is the process's own service.
constexpr int control_port = 1;
constexpr int target_port = 2;
constexpr int target_control_port = 3;

std::string read_file(const std::filesystem::path& path)
{
    std::ifstream in(path);
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

} // namespace

fleet::fleet(fleet_plan plan, std::filesystem::path binaries) : m_plan(std::move(plan)), m_binaries(std::move(binaries))
{
    std::string name = (std::filesystem::temp_directory_path() / "daisydoor-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr) {
        throw std::runtime_error("cannot create a folder from the template " + name);
    }
    m_folder = name;
}

fleet::~fleet()
{
    m_callers.stop();
    // All are signalled before the first wait, so that they exit at the same time. SIGKILL, since agents drain on
    // SIGTERM.
    for (auto* group : {&m_agents, &m_targets}) {
        for (auto& [host, process] : *group) {
            process.send_signal(SIGKILL);
        }
    }
    for (auto& [index, process] : m_entries) {
        process.send_signal(SIGKILL);
    }
    m_entries.clear();
    m_agents.clear();
    m_targets.clear();
    m_fabric.stop();
    m_platform.stop();
    std::error_code ec;
    if (!m_preserves_folder) {
        std::filesystem::remove_all(m_folder, ec);
    }
}

std::string fleet::standin_path(const std::string& name) const
{
    return m_binaries / "tests" / "standins" / ("standin_" + name);
}

child_process fleet::launch(const std::vector<std::string>& command, const std::string& name) const
{
    if (!std::filesystem::exists(command.front())) {
        throw std::runtime_error(command.front() + " does not exist; build it first");
    }
    return {command, m_folder / (name + ".log")};
}

void fleet::start()
{
    publish();
    start_platform();
    start_fabric();
    for (const auto& service : m_plan.services) {
        for (const auto& it : service.hosts) {
            start_target(it.id);
            start_agent(it.id);
        }
    }
    for (std::size_t i = 0; i < m_plan.entry_zones.size(); ++i) {
        start_entry(i);
    }
}

void fleet::start_platform()
{
    m_platform = launch({standin_path("platform"), "--listen", m_addresses.address(platform_host), "--control",
                         m_addresses.address(platform_host, control_port), "--folder", m_folder / "values"},
                        "platform");
}

void fleet::start_fabric()
{
    std::vector<std::string> command{standin_path("fabric"),
                                     "--return",
                                     m_addresses.address(fabric_host),
                                     "--control",
                                     m_addresses.address(fabric_host, control_port),
                                     "--seed",
                                     std::to_string(m_plan.seed)};
    for (const auto& service : m_plan.services) {
        command.insert(command.end(), {"--service", service_address(service)});
        for (const auto& it : service.hosts) {
            std::string text = std::to_string(it.id) + ',' + it.zone + ',' + agent_address(it.id);
            if (m_plan.relays_agent_traffic) {
                text += ',' + published_agent_address(it.id);
            }
            command.insert(command.end(), {"--agent", text});
        }
    }
    for (std::size_t i = 0; i < m_plan.entry_zones.size(); ++i) {
        command.insert(command.end(), {"--entry", zone_of_entry(i) + ',' + entry_address(i)});
    }
    command.insert(command.end(), m_plan.fabric_options.begin(), m_plan.fabric_options.end());
    m_fabric = launch(command, "fabric");
}

void fleet::start_entry(std::size_t index)
{
    const std::string name = "entry-" + std::to_string(index);
    write_settings(name, zone_of_entry(index), entry_address(index),
                   m_addresses.address(first_entry_host + static_cast<int>(index), control_port), "role: entry\n");
    m_entries[index] = launch({m_binaries / "apps" / "daisydoor", "--config", m_folder / (name + ".yaml")}, name);
}

void fleet::start_agent(std::uint32_t host)
{
    const std::string name = "agent-" + std::to_string(host);
    const int number = first_agent_host + static_cast<int>(host);
    std::ostringstream rest;
    rest << "role: agent\nagent:\n  host: " << host << "\n  service: " << service_of(host).id
         << "\n  target: " << m_addresses.address(number, target_port)
         << "\n  drain_timeout_s: " << m_plan.drain_timeout_s << '\n';
    write_settings(name, this->host(host).zone, agent_address(host), m_addresses.address(number, control_port),
                   rest.str());
    m_agents[host] = launch({m_binaries / "apps" / "daisydoor", "--config", m_folder / (name + ".yaml")}, name);
}

void fleet::start_target(std::uint32_t host)
{
    const std::string name = "target-" + std::to_string(host);
    const int number = first_agent_host + static_cast<int>(host);
    m_targets[host] =
        launch({standin_path("target"), "--listen", m_addresses.address(number, target_port), "--control",
                m_addresses.address(number, target_control_port), "--service", service_of(host).name, "--slots",
                std::to_string(m_plan.slots), "--service-time-ms", std::to_string(m_plan.service_time_ms),
                "--exponential", "--seed", std::to_string(m_plan.seed + host), "--execution-log",
                m_folder / ("executions-" + std::to_string(host))},
               name);
}

void fleet::start_callers(const std::vector<std::string>& options)
{
    std::vector<std::string> command{standin_path("callers"),
                                     "--record",
                                     record_path(),
                                     "--control",
                                     m_addresses.address(callers_host, control_port),
                                     "--seed",
                                     std::to_string(m_plan.seed)};
    for (const auto& service : m_plan.services) {
        command.insert(command.end(), {"--service", service.name + '=' + service_address(service)});
    }
    command.insert(command.end(), options.begin(), options.end());
    m_callers = launch(command, "callers");
}

std::string fleet::finish_callers()
{
    m_callers.send_signal(SIGTERM);
    const auto exit_code = m_callers.wait(core::milliseconds(60'000));
    if (!exit_code || *exit_code != 0) {
        return "";
    }
    const std::string log = read_file(m_folder / "callers.log");
    const auto begin = log.rfind("callers: ");
    return begin == std::string::npos ? "" : log.substr(begin, log.find('\n', begin) - begin);
}

bool fleet::await_progress_of_all_sessions(core::milliseconds time) const
{
    http_call("POST", m_addresses.address(callers_host, control_port), "/mark");
    return await(
        [this] {
            const auto stats = caller_stats();
            return json_number(stats, "sessions_without_answer") == 0 && json_number(stats, "feeds_without_event") == 0;
        },
        time);
}

std::vector<std::string> fleet::execution_logs() const
{
    std::vector<std::string> result;
    for (const auto& service : m_plan.services) {
        for (const auto& it : service.hosts) {
            const auto path = m_folder / ("executions-" + std::to_string(it.id));
            if (std::filesystem::exists(path)) {
                result.push_back(path);
            }
        }
    }
    return result;
}

const fleet_service& fleet::service_of(std::uint32_t host) const
{
    for (const auto& service : m_plan.services) {
        for (const auto& it : service.hosts) {
            if (it.id == host) {
                return service;
            }
        }
    }
    throw std::runtime_error("no host " + std::to_string(host));
}

fleet_host& fleet::host(std::uint32_t id)
{
    for (auto& service : m_plan.services) {
        for (auto& it : service.hosts) {
            if (it.id == id) {
                return it;
            }
        }
    }
    throw std::runtime_error("no host " + std::to_string(id));
}

std::string fleet::service_address(const fleet_service& service) const
{
    return m_addresses.address(first_service_host + static_cast<int>(service.id));
}

std::string fleet::entry_address(std::size_t index) const
{
    return m_addresses.address(first_entry_host + static_cast<int>(index));
}

std::uint64_t fleet::entry_version(std::size_t index) const
{
    const auto dump =
        http_call("GET", m_addresses.address(first_entry_host + static_cast<int>(index), control_port), "/dump");
    const auto begin = dump.find("\"configuration\": {");
    const double version = begin == std::string::npos ? 0 : json_number(dump.substr(begin), "version");
    return version > 0 ? static_cast<std::uint64_t>(version) : 0;
}

std::string fleet::agent_address(std::uint32_t host) const
{
    return m_addresses.address(first_agent_host + static_cast<int>(host));
}

std::string fleet::published_agent_address(std::uint32_t host) const
{
    return m_plan.relays_agent_traffic ? m_addresses.address(first_published_host + static_cast<int>(host))
                                       : agent_address(host);
}

bool fleet::control_platform(const std::string& query) const
{
    return !http_call("POST", m_addresses.address(platform_host, control_port), "/control?" + query).empty();
}

bool fleet::control_fabric(const std::string& query) const
{
    return !http_call("POST", m_addresses.address(fabric_host, control_port), "/control?" + query).empty();
}

bool fleet::control_target(std::uint32_t host, const std::string& query) const
{
    const auto address = m_addresses.address(first_agent_host + static_cast<int>(host), target_control_port);
    return !http_call("POST", address, "/control?" + query).empty();
}

std::string fleet::fabric_stats() const
{
    return http_call("GET", m_addresses.address(fabric_host, control_port), "/stats");
}

std::string fleet::platform_stats() const
{
    return http_call("GET", m_addresses.address(platform_host, control_port), "/stats");
}

std::string fleet::target_stats(std::uint32_t host) const
{
    return http_call("GET", m_addresses.address(first_agent_host + static_cast<int>(host), target_control_port),
                     "/stats");
}

std::string fleet::caller_stats() const
{
    return http_call("GET", m_addresses.address(callers_host, control_port), "/stats");
}

} // namespace daisydoor::support
