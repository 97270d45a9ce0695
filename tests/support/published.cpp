#include "support/published.hpp"

#include "daisydoor/core/endpoint.hpp"

#include <iomanip>
#include <sstream>
#include <xxhash.h>

namespace daisydoor::support
{

namespace
{

std::string digest(const std::string& text)
{
    std::ostringstream out;
    out << std::hex << std::setw(16) << std::setfill('0') << XXH3_64bits(text.data(), text.size());
    return out.str();
}

std::string secret(const wire::token_key& key)
{
    std::ostringstream out;
    for (const auto byte : key.secret) {
        out << std::hex << std::setw(2) << std::setfill('0') << static_cast<unsigned>(byte);
    }
    return out.str();
}

std::string part(const publication& value, const config::service& service)
{
    std::ostringstream out;
    out << "services:\n  - id: " << core::raw(service.id) << "\n    name: " << service.name
        << "\n    address: " << core::to_string(service.address)
        << "\n    preset: " << config::preset_names.at(static_cast<std::size_t>(service.preset)) << "\n    hosts:\n";
    for (const auto& host : service.hosts) {
        out << "      - {id: " << core::raw(host.id) << ", name: " << host.name
            << ", zone: " << value.zones.at(host.zone).name << ", agent: " << core::to_string(host.agent)
            << ", slots: " << host.slots << (host.draining ? ", draining: true" : "") << "}\n";
    }
    return out.str();
}

std::string fleet(const publication& value)
{
    std::ostringstream out;
    out << "version: " << value.fleet_version << "\ninstances:\n";
    for (const auto& it : value.fleet) {
        out << "  - {role: " << (it.is_entry ? "entry" : "agent");
        if (!it.is_entry) {
            out << ", host: " << core::raw(it.host);
        }
        out << ", zone: " << it.zone << ", address: " << core::to_string(it.address)
            << ", state: " << config::instance_state_names.at(static_cast<std::size_t>(it.state)) << "}\n";
    }
    return out.str();
}

} // namespace

std::map<std::string, std::string> to_values(const publication& value)
{
    std::map<std::string, std::string> result;
    std::ostringstream index;
    index << "version: " << value.version << "\nzones:\n";
    for (const auto& zone : value.zones) {
        index << "  - {name: " << zone.name << ", entry_share: " << zone.entry_share << "}\n";
    }
    index << "keys:\n";
    for (const auto& key : value.keys) {
        index << "  - {id: " << core::raw(key.id) << ", secret: \"" << secret(key)
              << "\", signing: " << (key.signing ? "true" : "false") << "}\n";
    }
    index << "parts:\n";
    for (std::size_t i = 0; i < value.services.size(); ++i) {
        const std::string key = "services/" + std::to_string(i);
        result[key] = part(value, value.services[i]);
        index << "  - {key: " << key << ", digest: \"" << digest(result[key]) << "\"}\n";
    }
    result["index"] = index.str();
    result["fleet"] = fleet(value);
    return result;
}

wire::token_key make_key(std::uint32_t id, std::uint8_t fill, bool signing)
{
    wire::token_key result{core::key_id{id}, {}, signing};
    result.secret.fill(fill);
    return result;
}

} // namespace daisydoor::support
