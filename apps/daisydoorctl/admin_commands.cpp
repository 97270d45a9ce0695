#include "commands.hpp"
#include "daisydoor/runtime/admin_client.hpp"
#include "daisydoor/runtime/daemon.hpp"
#include "daisydoor/runtime/published_check.hpp"

#include <filesystem>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>

namespace daisydoorctl
{

namespace
{

using namespace daisydoor;
using runtime::exit_code;
using json = nlohmann::ordered_json;

/// Reads the section `configuration` of a process's state dump: services and preset policies.
/// @throws runtime_error with errc::bad_admin_answer if the process has no configuration, or the response is not a
/// dump.
json read_configuration(const std::string& admin)
{
    const auto dump = json::parse(runtime::read_admin(core::parse_endpoint(admin), "/dump"), nullptr, false);
    if (!dump.is_object() || !dump.contains("configuration")) {
        throw runtime::runtime_error(runtime::errc::bad_admin_answer,
                                     admin + ": the response to /dump is not a state dump of daisydoor");
    }
    const auto& configuration = dump["configuration"];
    if (configuration.is_null()) {
        throw runtime::runtime_error(runtime::errc::bad_admin_answer, admin + " has not received a configuration yet");
    }
    return configuration;
}

int check_values(const std::string& folder)
{
    const auto report = runtime::check_published_values(folder);
    for (const auto& problem : report.problems) {
        std::cerr << problem << '\n';
    }
    if (!report.problems.empty()) {
        return static_cast<int>(exit_code::bad_settings);
    }
    std::cout << folder << ": version " << report.version << " is valid: " << report.services << " services, "
              << report.hosts << " hosts" << (report.has_fleet ? ", fleet view" : "") << '\n';
    return static_cast<int>(exit_code::ok);
}

int check_settings(const std::string& file)
{
    try {
        runtime::load_settings(file);
    } catch (const runtime::settings_error& e) {
        for (const auto& line : e.lines()) {
            std::cerr << line << '\n';
        }
        return static_cast<int>(exit_code::bad_settings);
    }
    std::cout << file << ": settings are valid\n";
    return static_cast<int>(exit_code::ok);
}

} // namespace

int dump(const std::string& admin, const std::string& service)
{
    const std::string path = service.empty() ? "/dump" : "/dump?service=" + service;
    std::cout << runtime::read_admin(core::parse_endpoint(admin), path);
    return static_cast<int>(exit_code::ok);
}

int metrics(const std::string& admin)
{
    std::cout << runtime::read_admin(core::parse_endpoint(admin), "/metrics");
    return static_cast<int>(exit_code::ok);
}

int check(const std::string& path)
{
    return std::filesystem::is_directory(path) ? check_values(path) : check_settings(path);
}

int services(const std::string& admin)
{
    const auto configuration = read_configuration(admin);
    std::cout << std::left << std::setw(8) << "ID" << std::setw(24) << "NAME" << std::setw(24) << "ADDRESS"
              << std::setw(13) << "PRESET"
              << "HOSTS\n";
    for (const auto& service : configuration["services"]) {
        std::cout << std::setw(8) << service["id"].get<std::uint32_t>() << std::setw(24)
                  << service["name"].get<std::string>() << std::setw(24) << service["address"].get<std::string>()
                  << std::setw(13) << service["preset"].get<std::string>() << service["host_count"] << '\n';
    }
    return static_cast<int>(exit_code::ok);
}

int preset(const std::string& admin, const std::string& service)
{
    const auto configuration = read_configuration(admin);
    for (const auto& it : configuration["services"]) {
        if (it["name"] != service && std::to_string(it["id"].get<std::uint32_t>()) != service) {
            continue;
        }
        const auto name = it["preset"].get<std::string>();
        std::cout << "service " << it["name"].get<std::string>() << ": preset " << name
                  << " is in force, configuration version " << configuration["version"] << '\n';
        for (const auto& [key, value] : configuration["presets"][name].items()) {
            std::cout << "  " << key << ": " << (value.is_string() ? value.get<std::string>() : value.dump()) << '\n';
        }
        return static_cast<int>(exit_code::ok);
    }
    throw runtime::runtime_error(runtime::errc::unknown_published_service, "the configuration of " + admin +
                                                                               " has no service with the name or id '" +
                                                                               service + "'");
}

} // namespace daisydoorctl
