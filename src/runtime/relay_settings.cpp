#include "relay_settings_reader.hpp"

namespace daisydoor::runtime::detail
{

namespace
{

constexpr std::uint64_t max_port = 65'535;
constexpr std::uint64_t max_flow_ttl_s = 86'400;
constexpr std::uint64_t max_grace_s = 3600;
constexpr std::uint64_t max_host_heartbeat_ms = 60'000;
constexpr double max_cold_factor = 1000;
constexpr double max_cold_extra = 1'000'000;

relay_agent_settings read_relay_agent(settings_reader& reader, const YAML::Node& node)
{
    relay_agent_settings result;
    if (!reader.check_map(node, "agent", {"service", "host", "outbound", "cold_factor", "cold_extra"})) {
        return result;
    }
    result.service = reader.short_string(node, "agent", "service");
    result.host = reader.endpoint(node, "agent", "host");
    result.outbound = reader.endpoint(node, "agent", "outbound");
    result.cold.factor = reader.decimal(node, "agent", "cold_factor", result.cold.factor, max_cold_factor);
    result.cold.extra = reader.decimal(node, "agent", "cold_extra", result.cold.extra, max_cold_extra);
    return result;
}

core::endpoint read_ipv4(settings_reader& reader, const YAML::Node& node, const std::string& key)
{
    const auto result = reader.endpoint(node, "", key);
    if (!result.empty() && !result.is_ipv4()) {
        reader.report(settings_errc::bad_address, node[key], key,
                      "'" + node[key].Scalar() + "' must be an IPv4 address with a port, A.B.C.D:PORT");
    }
    return result;
}

void read_times(settings_reader& reader, const YAML::Node& node, relay_settings& result)
{
    if (node["flow_ttl_s"].IsDefined()) {
        const auto value = reader.integer(node, "", "flow_ttl_s", false, 1, max_flow_ttl_s);
        result.flow_ttl = core::seconds(static_cast<std::int64_t>(value));
    }
    if (node["grace_s"].IsDefined()) {
        const auto value = reader.integer(node, "", "grace_s", false, 1, max_grace_s);
        result.grace = core::seconds(static_cast<std::int64_t>(value));
    }
    if (node["host_heartbeat_ms"].IsDefined()) {
        const auto value = reader.integer(node, "", "host_heartbeat_ms", false, 1, max_host_heartbeat_ms);
        result.host_heartbeat = core::milliseconds(static_cast<std::int64_t>(value));
    }
}

} // namespace

bool is_relay_text(const std::string& text)
{
    try {
        const auto node = YAML::Load(text);
        const auto role = node.IsMap() ? node["role"] : YAML::Node(YAML::NodeType::Undefined);
        return role.IsDefined() && role.IsScalar() &&
               std::find(relay_role_names.begin(), relay_role_names.end(), role.Scalar()) != relay_role_names.end();
    } catch (const YAML::Exception&) {
        // The settings are then parsed as those of an entry or agent, which reports the error with its line.
        return false;
    }
}

relay_settings read_relay_settings(settings_reader& reader, const YAML::Node& node)
{
    relay_settings result;
    if (!reader.check_map(node, "",
                          {"role", "name", "zone", "packets", "admin", "peer_port", "platform", "seeds", "first_start",
                           "flow_ttl_s", "grace_s", "host_heartbeat_ms", "log_level", "agent"})) {
        return result;
    }
    const auto found_role = reader.enum_name(node, "role", true, relay_role_names);
    result.role = static_cast<relay_role>(found_role.value_or(0));
    result.name = reader.short_string(node, "", "name");
    result.zone = reader.short_string(node, "", "zone");
    result.packets = read_ipv4(reader, node, "packets");
    result.admin = read_ipv4(reader, node, "admin");
    result.peer_port = static_cast<std::uint16_t>(reader.integer(node, "", "peer_port", true, 1, max_port));
    result.platform = read_ipv4(reader, node, "platform");
    result.seeds = reader.endpoint_list(node, "seeds");
    result.first_start = reader.boolean(node, "", "first_start");
    read_times(reader, node, result);
    result.log_level = static_cast<log_level>(reader.enum_name(node, "log_level", false, log_level_names).value_or(0));
    const YAML::Node section = node["agent"];
    if (section.IsDefined()) {
        result.agent = read_relay_agent(reader, section);
    }
    if (found_role && (result.role == relay_role::relay_agent) != section.IsDefined()) {
        reader.report(settings_errc::role_mismatch, section.IsDefined() ? section : node, "agent",
                      section.IsDefined() ? "allowed only with role relay_agent" : "required with role relay_agent");
    }
    return result;
}

} // namespace daisydoor::runtime::detail
