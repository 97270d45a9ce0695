#include "support/published_text.hpp"

#include "daisydoor/config/published.hpp"

#include <algorithm>
#include <cstdio>

namespace daisydoor::test
{

namespace
{

std::string hexadecimal(std::uint64_t value)
{
    char buf[17];
    std::snprintf(buf, sizeof buf, "%016llx", static_cast<unsigned long long>(value));
    return buf;
}

std::string ip(std::uint32_t first, std::uint32_t id)
{
    return std::to_string(first) + '.' + std::to_string(id >> 16U & 255U) + '.' + std::to_string(id >> 8U & 255U) +
           '.' + std::to_string(id & 255U);
}

bool contains(const std::vector<std::uint32_t>& list, std::uint32_t id)
{
    return std::find(list.begin(), list.end(), id) != list.end();
}

} // namespace

std::string service_address(std::uint32_t id) { return ip(10, id) + ":9001"; }
std::string agent_address(std::uint32_t id) { return ip(11, id) + ":7100"; }
std::string entry_address(std::uint32_t number) { return ip(12, number) + ":7000"; }

std::string published_text::part_text(std::size_t part) const
{
    std::string text = parts.at(part).empty() ? "services: []\n" : "services:\n";
    for (const auto& service : parts.at(part)) {
        text += "  - id: " + std::to_string(service.id) + "\n    name: service-" + std::to_string(service.id) +
                "\n    address: " + service_address(service.id) + "\n    preset: " + service.preset +
                "\n    hosts:" + (service.hosts.empty() ? " []\n" : "\n");
        for (const auto& host : service.hosts) {
            text += "      - {id: " + std::to_string(host.id) + ", name: h" + std::to_string(host.id) +
                    ", zone: " + host.zone + ", agent: " + agent_address(host.id) +
                    ", slots: " + std::to_string(host.slots) + (host.draining ? ", draining: true}\n" : "}\n");
        }
    }
    return text;
}

std::map<std::string, std::string> published_text::values() const
{
    std::map<std::string, std::string> result;
    std::string index = "version: " + std::to_string(version) + "\nzones:\n";
    for (const auto& [name, share] : zones) {
        index.append("  - {name: ").append(name).append(", entry_share: ").append(share).append("}\n");
    }
    index += "keys:\n";
    for (const auto key : keys) {
        index += "  - {id: " + std::to_string(key) + ", secret: " + std::string(32, static_cast<char>('0' + key % 10)) +
                 (key == signing_key ? ", signing: true}\n" : "}\n");
    }
    index += "parts:\n";
    for (std::size_t i = 0; i < parts.size(); ++i) {
        const std::string key = "services/" + std::to_string(i);
        auto text = part_text(i);
        index += "  - {key: " + key + ", digest: " + hexadecimal(config::content_digest(text)) + "}\n";
        result.emplace(key, std::move(text));
    }
    result.emplace("index", std::move(index));
    return result;
}

published_text two_service_deployment(std::uint64_t version)
{
    published_text result;
    result.version = version;
    result.parts = {{{1,
                      {{11, "zone-a"},
                       {12, "zone-a"},
                       {13, "zone-a"},
                       {14, "zone-b"},
                       {15, "zone-b"},
                       {16, "zone-c"},
                       {17, "zone-c"}}}},
                    {{2, {{21, "zone-a"}, {22, "zone-b"}, {23, "zone-c"}}}}};
    return result;
}

published_text uniform_fleet(std::size_t services, std::size_t hosts, std::size_t zones, std::size_t services_per_part)
{
    published_text result;
    result.zones.clear();
    for (std::size_t i = 0; i < zones; ++i) {
        result.zones.emplace_back("zone-" + std::to_string(i), std::to_string(1.0 / static_cast<double>(zones)));
    }
    std::uint32_t host = 0;
    for (std::size_t i = 0; i < services; ++i) {
        if (i % services_per_part == 0) {
            result.parts.emplace_back();
        }
        text_service service{static_cast<std::uint32_t>(i + 1), {}};
        const auto end = static_cast<std::uint32_t>(hosts * (i + 1) / services);
        while (host < end) {
            ++host;
            service.hosts.push_back({host, result.zones.at(host % result.zones.size()).first});
        }
        result.parts.back().push_back(std::move(service));
    }
    return result;
}

std::string fleet_text(std::uint64_t version, const published_text& configuration, std::size_t entries,
                       const std::vector<std::uint32_t>& leaving, const std::vector<std::uint32_t>& missing)
{
    std::string text = "version: " + std::to_string(version) + "\ninstances:\n";
    for (std::size_t i = 0; i < entries; ++i) {
        const auto& zone = configuration.zones[i % configuration.zones.size()].first;
        text += "  - {role: entry, zone: " + zone + ", address: " + entry_address(static_cast<std::uint32_t>(i + 1)) +
                ", state: live}\n";
    }
    for (const auto& part : configuration.parts) {
        for (const auto& service : part) {
            for (const auto& host : service.hosts) {
                if (!contains(missing, host.id)) {
                    text += "  - {role: agent, host: " + std::to_string(host.id) + ", zone: " + host.zone +
                            ", address: " + agent_address(host.id) +
                            ", state: " + (contains(leaving, host.id) ? "leaving}\n" : "live}\n");
                }
            }
        }
    }
    return text;
}

} // namespace daisydoor::test
