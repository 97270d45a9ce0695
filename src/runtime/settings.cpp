#include "daisydoor/runtime/settings.hpp"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <set>
#include <sstream>
#include <yaml-cpp/yaml.h>

namespace daisydoor::runtime
{

namespace
{

constexpr std::uint64_t max_id = 0xffffffff;
constexpr std::uint64_t max_drain_timeout_s = 86'400;
constexpr std::size_t max_zone_size = 64;
/// First bytes of an IPv4-mapped address; the rest of an unspecified address is zero.
constexpr std::size_t ipv4_offset = 12;

/// Reads fields of a settings file and collects every problem instead of stopping at the first.
class settings_reader
{
  public:
    std::vector<settings_problem> problems;

    void report(settings_errc code, const YAML::Node& node, const std::string& field, const std::string& what)
    {
        const int line = node.IsDefined() && node.Mark().line >= 0 ? node.Mark().line + 1 : 0;
        problems.push_back({code, line, field, what});
    }

    /// Checks that a node is a map with known keys, each at most once.
    bool check_map(const YAML::Node& node, const std::string& path, const std::vector<std::string>& allowed)
    {
        if (!node.IsMap()) {
            report(settings_errc::wrong_type, node, path, "must be a map");
            return false;
        }
        std::set<std::string> seen;
        for (const auto& pair : node) {
            const std::string key = pair.first.IsScalar() ? pair.first.Scalar() : "?";
            const std::string field = join(path, key);
            if (std::find(allowed.begin(), allowed.end(), key) == allowed.end()) {
                report(settings_errc::unknown_key, pair.first, field, "unknown key; allowed are " + list(allowed));
            } else if (!seen.insert(key).second) {
                report(settings_errc::duplicate, pair.first, field, "the key stands twice; allowed is once");
            }
        }
        return true;
    }

    /// Returns the scalar at a key, or an undefined node after reporting what is wrong with it.
    YAML::Node scalar(const YAML::Node& map, const std::string& path, const std::string& key, bool required,
                      const std::string& allowed)
    {
        const YAML::Node node = map[key];
        if (!node.IsDefined()) {
            if (required) {
                report(settings_errc::missing_key, map, join(path, key), "missing; must be " + allowed);
            }
            return YAML::Node(YAML::NodeType::Undefined);
        }
        if (!node.IsScalar()) {
            report(settings_errc::wrong_type, node, join(path, key), "must be " + allowed);
            return YAML::Node(YAML::NodeType::Undefined);
        }
        return node;
    }

    core::endpoint endpoint(const YAML::Node& map, const std::string& path, const std::string& key)
    {
        const auto node = scalar(map, path, key, true, "A.B.C.D:PORT or [IPV6]:PORT");
        return node.IsDefined() ? endpoint_of(node, join(path, key)) : core::endpoint{};
    }

    core::endpoint endpoint_of(const YAML::Node& node, const std::string& field)
    {
        try {
            const auto value = core::parse_endpoint(node.Scalar());
            const auto* first = value.address.data() + (value.is_ipv4() ? ipv4_offset : 0);
            if (std::any_of(first, value.address.data() + value.address.size(), [](auto byte) { return byte != 0; })) {
                return value;
            }
            report(settings_errc::bad_address, node, field,
                   "'" + node.Scalar() + "' names no host; must be the IP address of one host, with a port");
        } catch (const core::core_error&) {
            report(settings_errc::bad_address, node, field,
                   "'" + node.Scalar() + "' must be A.B.C.D:PORT or [IPV6]:PORT with a port from 1 to 65535");
        }
        return {};
    }

    std::uint64_t number(const YAML::Node& map, const std::string& path, const std::string& key, bool required,
                         std::uint64_t low, std::uint64_t high)
    {
        const std::string allowed = "an integer from " + std::to_string(low) + " to " + std::to_string(high);
        const auto node = scalar(map, path, key, required, allowed);
        if (!node.IsDefined()) {
            return 0;
        }
        const std::string& text = node.Scalar();
        std::uint64_t value = 0;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
        const bool is_negative = text.size() > 1 && text.front() == '-' &&
                                 std::all_of(text.begin() + 1, text.end(), [](char c) { return c >= '0' && c <= '9'; });
        if (!is_negative && ec != std::errc::result_out_of_range &&
            (ec != std::errc{} || end != text.data() + text.size())) {
            report(settings_errc::wrong_type, node, join(path, key), "'" + text + "' must be " + allowed);
            return 0;
        }
        if (is_negative || ec != std::errc{} || value < low || value > high) {
            report(settings_errc::out_of_range, node, join(path, key), "'" + text + "' must be " + allowed);
            return 0;
        }
        return value;
    }

    template <std::size_t N>
    std::optional<std::size_t> name(const YAML::Node& map, const std::string& key, bool required,
                                    const std::array<std::string_view, N>& names)
    {
        const std::string allowed = list(std::vector<std::string>(names.begin(), names.end()));
        const auto node = scalar(map, "", key, required, "one of " + allowed);
        if (!node.IsDefined()) {
            return std::nullopt;
        }
        const auto it = std::find(names.begin(), names.end(), node.Scalar());
        if (it == names.end()) {
            report(settings_errc::unknown_name, node, key, "'" + node.Scalar() + "' must be one of " + allowed);
            return std::nullopt;
        }
        return static_cast<std::size_t>(it - names.begin());
    }

    std::string zone(const YAML::Node& map)
    {
        const std::string allowed = "a name of 1 to " + std::to_string(max_zone_size) + " characters";
        const auto node = scalar(map, "", "zone", true, allowed);
        if (!node.IsDefined()) {
            return {};
        }
        if (node.Scalar().empty() || node.Scalar().size() > max_zone_size) {
            report(settings_errc::out_of_range, node, "zone", "must be " + allowed);
        }
        return node.Scalar();
    }

    std::vector<core::endpoint> peers(const YAML::Node& map)
    {
        std::vector<core::endpoint> result;
        const YAML::Node node = map["bootstrap_peers"];
        if (!node.IsDefined()) {
            return result;
        }
        if (!node.IsSequence()) {
            report(settings_errc::wrong_type, node, "bootstrap_peers", "must be a list of IP addresses with ports");
            return result;
        }
        for (std::size_t i = 0; i < node.size(); ++i) {
            const std::string field = "bootstrap_peers[" + std::to_string(i) + "]";
            if (!node[i].IsScalar()) {
                report(settings_errc::wrong_type, node[i], field, "must be A.B.C.D:PORT or [IPV6]:PORT");
                continue;
            }
            const auto value = endpoint_of(node[i], field);
            if (!value.empty() && std::find(result.begin(), result.end(), value) != result.end()) {
                report(settings_errc::duplicate, node[i], field,
                       "'" + node[i].Scalar() + "' stands twice; allowed is once");
            }
            result.push_back(value);
        }
        return result;
    }

    agent_settings agent(const YAML::Node& node)
    {
        agent_settings result;
        if (!check_map(node, "agent", {"host", "service", "target", "drain_timeout_s"})) {
            return result;
        }
        result.host = core::host_id{static_cast<std::uint32_t>(number(node, "agent", "host", true, 1, max_id))};
        result.service =
            core::service_id{static_cast<std::uint32_t>(number(node, "agent", "service", true, 1, max_id))};
        result.target = endpoint(node, "agent", "target");
        if (node["drain_timeout_s"].IsDefined()) {
            result.drain_timeout = core::seconds(
                static_cast<std::int64_t>(number(node, "agent", "drain_timeout_s", false, 1, max_drain_timeout_s)));
        }
        return result;
    }

    settings root(const YAML::Node& node)
    {
        settings result;
        if (!check_map(node, "",
                       {"role", "zone", "listen", "admin", "return_path", "platform", "bootstrap_peers", "log_level",
                        "agent"})) {
            return result;
        }
        const auto found_role = name(node, "role", true, role_names);
        result.role = static_cast<role>(found_role.value_or(0));
        result.zone = zone(node);
        result.listen = endpoint(node, "", "listen");
        result.admin = endpoint(node, "", "admin");
        result.return_path = endpoint(node, "", "return_path");
        result.platform = endpoint(node, "", "platform");
        result.bootstrap_peers = peers(node);
        result.log_level = static_cast<log_level>(name(node, "log_level", false, log_level_names).value_or(0));
        if (!result.admin.empty() && result.admin == result.listen) {
            report(settings_errc::duplicate, node["admin"], "admin", "must differ from listen");
        }
        const YAML::Node section = node["agent"];
        if (section.IsDefined()) {
            result.agent = agent(section);
        }
        if (found_role && (result.role == role::agent) != section.IsDefined()) {
            report(settings_errc::role_mismatch, section.IsDefined() ? section : node, "agent",
                   section.IsDefined() ? "allowed only with role agent" : "required with role agent");
        }
        return result;
    }

  private:
    static std::string join(const std::string& path, const std::string& key)
    {
        return path.empty() ? key : path + '.' + key;
    }

    static std::string list(const std::vector<std::string>& names)
    {
        std::string result;
        for (const auto& it : names) {
            result += (result.empty() ? "" : ", ") + it;
        }
        return result;
    }
};

settings_errc overall_code(const std::vector<settings_problem>& problems)
{
    return problems.size() == 1 ? problems.front().code : settings_errc::several;
}

std::string line_of(const std::string& file, const settings_problem& problem)
{
    const std::string place = problem.line > 0 ? file + ':' + std::to_string(problem.line) : file;
    const std::string field = problem.field.empty() ? "" : problem.field + ": ";
    return place + ": [settings." + std::to_string(static_cast<int>(problem.code)) + "] " + field + problem.what;
}

std::string joined_lines(const std::string& file, const std::vector<settings_problem>& problems)
{
    std::string result;
    for (const auto& problem : problems) {
        result += (result.empty() ? "" : "\n") + line_of(file, problem);
    }
    return result;
}

} // namespace

settings_error::settings_error(const std::string& file, std::vector<settings_problem> problems)
    : error("settings", static_cast<int>(overall_code(problems)), joined_lines(file, problems)),
      m_problems(std::move(problems))
{
    for (const auto& problem : m_problems) {
        m_lines.push_back(line_of(file, problem));
    }
}

settings parse_settings(const std::string& text, const std::string& file)
{
    settings_reader reader;
    settings result;
    try {
        result = reader.root(YAML::Load(text));
    } catch (const YAML::Exception& e) {
        reader.problems.push_back(
            {settings_errc::bad_yaml, e.mark.line >= 0 ? e.mark.line + 1 : 0, "", "not valid YAML: " + e.msg});
    }
    if (!reader.problems.empty()) {
        std::stable_sort(reader.problems.begin(), reader.problems.end(),
                         [](const auto& a, const auto& b) { return a.line < b.line; });
        throw settings_error(file, std::move(reader.problems));
    }
    return result;
}

settings load_settings(const std::string& file)
{
    std::ifstream stream(file, std::ios::binary);
    std::ostringstream text;
    // Reading a folder opens without an error and fails only here.
    if (!stream || !(text << stream.rdbuf())) {
        throw settings_error(file, {{settings_errc::unreadable_file, 0, "", "cannot be read, or is empty"}});
    }
    return parse_settings(text.str(), file);
}

} // namespace daisydoor::runtime
