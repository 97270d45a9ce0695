#include "support/fleet.hpp"

#include <cstdio>
#include <fstream>
#include <iomanip>
#include <set>
#include <sstream>
#include <xxhash.h>

namespace daisydoor::support
{

namespace
{

constexpr int platform_host = 2;
constexpr int fabric_host = 3;

std::string digest(const std::string& text)
{
    std::ostringstream out;
    out << std::hex << std::setw(16) << std::setfill('0') << XXH3_64bits(text.data(), text.size());
    return out.str();
}

} // namespace

void fleet::write_settings(const std::string& name, const std::string& zone, const std::string& listen,
                           const std::string& admin, const std::string& rest) const
{
    std::ofstream out(m_folder / (name + ".yaml"));
    out << "zone: " << zone << "\nlisten: " << listen << "\nadmin: " << admin
        << "\nreturn_path: " << m_addresses.address(fabric_host) << "\nplatform: " << m_addresses.address(platform_host)
        << "\nbootstrap_peers: [";
    const char* separator = "";
    for (std::size_t i = 0; i < m_plan.entry_zones.size(); ++i) {
        if (entry_address(i) != listen) {
            out << separator << entry_address(i);
            separator = ", ";
        }
    }
    out << "]\n" << rest;
}

void fleet::write_value(const std::string& key, const std::string& content) const
{
    const auto path = m_folder / "values" / key;
    std::filesystem::create_directories(path.parent_path());
    const auto temporary = path.string() + ".tmp";
    std::ofstream(temporary) << content;
    std::filesystem::rename(temporary, path);
}

void fleet::publish()
{
    ++m_version;
    std::map<std::string, std::string> parts;
    for (const auto& service : m_plan.services) {
        parts["services/" + std::to_string(service.id)] = part_value(service);
    }
    for (const auto& [key, content] : parts) {
        write_value(key, content);
    }
    write_value("index", index_value(parts));
    write_value("fleet", fleet_value());
}

std::string fleet::index_value(const std::map<std::string, std::string>& parts) const
{
    std::map<std::string, int> entries;
    for (const auto& zone : m_plan.entry_zones) {
        ++entries[zone];
    }
    for (const auto& service : m_plan.services) {
        for (const auto& it : service.hosts) {
            entries.try_emplace(it.zone, 0);
        }
    }
    std::ostringstream out;
    out << "version: " << m_version << "\nzones:\n";
    for (const auto& [zone, count] : entries) {
        out << "  - {name: " << zone << ", entry_share: " << std::fixed << std::setprecision(6)
            << static_cast<double>(count) / static_cast<double>(m_plan.entry_zones.size()) << "}\n";
    }
    out << "keys:\n  - {id: 1, secret: 000102030405060708090a0b0c0d0e0f, signing: true}\nparts:\n";
    for (const auto& [key, content] : parts) {
        out << "  - {key: " << key << ", digest: " << digest(content) << "}\n";
    }
    return out.str();
}

std::string fleet::part_value(const fleet_service& service) const
{
    std::ostringstream out;
    out << "services:\n  - id: " << service.id << "\n    name: " << service.name
        << "\n    address: " << service_address(service) << "\n    preset: ordinary\n    hosts:\n";
    for (const auto& it : service.hosts) {
        out << "      - {id: " << it.id << ", name: " << service.name << '-' << it.id << ", zone: " << it.zone
            << ", agent: " << published_agent_address(it.id) << ", slots: " << m_plan.slots
            << (it.draining ? ", draining: true" : "") << "}\n";
    }
    return out.str();
}

std::string fleet::fleet_value() const
{
    std::ostringstream out;
    out << "version: " << m_version << "\ninstances:\n";
    for (std::size_t i = 0; i < m_plan.entry_zones.size(); ++i) {
        out << "  - {role: entry, zone: " << zone_of_entry(i) << ", address: " << entry_address(i)
            << ", state: live}\n";
    }
    for (const auto& service : m_plan.services) {
        for (const auto& it : service.hosts) {
            if (it.is_listed) {
                out << "  - {role: agent, host: " << it.id << ", zone: " << it.zone
                    << ", address: " << agent_address(it.id) << ", state: live}\n";
            }
        }
    }
    return out.str();
}

} // namespace daisydoor::support
