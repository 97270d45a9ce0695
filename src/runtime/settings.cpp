#include "daisydoor/runtime/settings.hpp"

#include "relay_settings_reader.hpp"
#include "settings_reader.hpp"

#include <fstream>
#include <sstream>

namespace daisydoor::runtime
{

namespace
{

using detail::settings_reader;

constexpr std::uint64_t max_id = 0xffffffff;
constexpr std::uint64_t max_drain_timeout_s = 86'400;

agent_settings read_agent(settings_reader& reader, const YAML::Node& node)
{
    agent_settings result;
    if (!reader.check_map(node, "agent", {"host", "service", "target", "drain_timeout_s"})) {
        return result;
    }
    result.host = core::host_id{static_cast<std::uint32_t>(reader.integer(node, "agent", "host", true, 1, max_id))};
    result.service =
        core::service_id{static_cast<std::uint32_t>(reader.integer(node, "agent", "service", true, 1, max_id))};
    result.target = reader.endpoint(node, "agent", "target");
    if (node["drain_timeout_s"].IsDefined()) {
        result.drain_timeout = core::seconds(
            static_cast<std::int64_t>(reader.integer(node, "agent", "drain_timeout_s", false, 1, max_drain_timeout_s)));
    }
    return result;
}

settings read_root(settings_reader& reader, const YAML::Node& node)
{
    settings result;
    if (!reader.check_map(
            node, "",
            {"role", "zone", "listen", "admin", "return_path", "platform", "bootstrap_peers", "log_level", "agent"})) {
        return result;
    }
    const auto found_role = reader.enum_name(node, "role", true, role_names);
    result.role = static_cast<role>(found_role.value_or(0));
    result.zone = reader.short_string(node, "", "zone");
    result.listen = reader.endpoint(node, "", "listen");
    result.admin = reader.endpoint(node, "", "admin");
    result.return_path = reader.endpoint(node, "", "return_path");
    result.platform = reader.endpoint(node, "", "platform");
    result.bootstrap_peers = reader.endpoint_list(node, "bootstrap_peers");
    result.log_level = static_cast<log_level>(reader.enum_name(node, "log_level", false, log_level_names).value_or(0));
    if (!result.admin.empty() && result.admin == result.listen) {
        reader.report(settings_errc::duplicate, node["admin"], "admin", "must differ from listen");
    }
    const YAML::Node section = node["agent"];
    if (section.IsDefined()) {
        result.agent = read_agent(reader, section);
    }
    if (found_role && (result.role == role::agent) != section.IsDefined()) {
        reader.report(settings_errc::role_mismatch, section.IsDefined() ? section : node, "agent",
                      section.IsDefined() ? "allowed only with role agent" : "required with role agent");
    }
    return result;
}

settings_errc overall_code(const std::vector<settings_problem>& problems)
{
    return problems.size() == 1 ? problems.front().code : settings_errc::multiple_problems;
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

namespace
{

/// Parses a text as YAML, calls `read` and throws all collected problems in one exception.
template <typename Result>
Result read_settings(const std::string& text, const std::string& file,
                     Result (*read)(settings_reader&, const YAML::Node&))
{
    settings_reader reader;
    Result result;
    try {
        result = read(reader, YAML::Load(text));
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

std::string read_file(const std::string& file)
{
    std::ifstream stream(file, std::ios::binary);
    std::ostringstream text;
    // Opening a directory succeeds; only reading it fails.
    if (!stream || !(text << stream.rdbuf())) {
        throw settings_error(file, {{settings_errc::unreadable_file, 0, "", "the file cannot be read or is empty"}});
    }
    return text.str();
}

} // namespace

settings parse_settings(const std::string& text, const std::string& file)
{
    return read_settings(text, file, &read_root);
}

relay_settings parse_relay_settings(const std::string& text, const std::string& file)
{
    return read_settings(text, file, &detail::read_relay_settings);
}

any_settings load_settings(const std::string& file)
{
    const std::string text = read_file(file);
    if (detail::is_relay_text(text)) {
        return parse_relay_settings(text, file);
    }
    return parse_settings(text, file);
}

} // namespace daisydoor::runtime
