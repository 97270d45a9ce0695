#include "daisydoor/runtime/settings.hpp"

#include <gtest/gtest.h>

namespace daisydoor::runtime
{
namespace
{

constexpr const char* entry_text = R"(role: entry
zone: zone-a
listen: 127.0.0.2:7000
admin: 127.0.0.2:7001
return_path: 127.0.0.1:6000
platform: 127.0.0.1:5000
bootstrap_peers: [127.0.0.3:7000]
)";
constexpr const char* agent_section = R"(agent:
  host: 11
  service: 1
  target: 127.0.0.11:8000
)";

class settings_test : public ::testing::Test
{
  protected:
    /// Replaces the rest of the line from the text `from` on, or appends a line if `from` is empty.
    static std::string replace_line(std::string text, const std::string& from, const std::string& to)
    {
        if (from.empty()) {
            return text + to + '\n';
        }
        const auto begin = text.find(from);
        EXPECT_NE(begin, std::string::npos) << from;
        return text.replace(begin, text.find('\n', begin) - begin, to);
    }

    static std::string agent_text() { return replace_line(entry_text, "role:", "role: agent") + agent_section; }

    static std::vector<settings_problem> problems_of(const std::string& text)
    {
        try {
            parse_settings(text, "x.yaml");
        } catch (const settings_error& e) {
            return e.problems();
        }
        return {};
    }

    static void expect_single_problem(const std::string& text, settings_errc code, int line, const std::string& field)
    {
        const auto problems = problems_of(text);
        ASSERT_EQ(problems.size(), 1U) << text;
        EXPECT_EQ(problems[0].code, code) << text << problems[0].what;
        EXPECT_EQ(problems[0].line, line) << text;
        EXPECT_EQ(problems[0].field, field) << text;
        EXPECT_FALSE(problems[0].what.empty());
    }
};

// Guards against a parser that rejects the documented settings or reads wrong values.
TEST_F(settings_test, parse_valid_settings_returns_values)
{
    const auto entry = parse_settings(entry_text, "x.yaml");
    EXPECT_EQ(entry.role, role::entry);
    EXPECT_EQ(entry.zone, "zone-a");
    EXPECT_EQ(core::to_string(entry.admin), "127.0.0.2:7001");
    ASSERT_EQ(entry.bootstrap_peers.size(), 1U);
    EXPECT_FALSE(entry.agent);
    const auto agent = parse_settings(agent_text() + "  drain_timeout_s: 7\nlog_level: error\n", "x.yaml");
    EXPECT_EQ(agent.role, role::agent);
    EXPECT_EQ(agent.log_level, log_level::error);
    ASSERT_TRUE(agent.agent);
    EXPECT_EQ(core::raw(agent.agent->host), 11U);
    EXPECT_EQ(agent.agent->drain_timeout, core::seconds(7));
    EXPECT_EQ(parse_settings(agent_text(), "x.yaml").agent->drain_timeout, core::seconds(300));
}

// Guards against a misspelt key that is ignored, so that the default stays in force.
TEST_F(settings_test, parse_unknown_or_repeated_key_rejected)
{
    expect_single_problem(replace_line(entry_text, "", "logg_level: info"), settings_errc::unknown_key, 8,
                          "logg_level");
    expect_single_problem(agent_text() + "  hosts: 3\n", settings_errc::unknown_key, 12, "agent.hosts");
    expect_single_problem(replace_line(entry_text, "", "zone: zone-b"), settings_errc::duplicate, 8, "zone");
    expect_single_problem(replace_line(entry_text, "bootstrap", "bootstrap_peers: [127.0.0.3:7000, 127.0.0.3:7000]"),
                          settings_errc::duplicate, 7, "bootstrap_peers[1]");
    expect_single_problem(replace_line(entry_text, "admin", "admin: 127.0.0.2:7000"), settings_errc::duplicate, 4,
                          "admin");
}

// Guards against a process that starts without an address or a zone.
TEST_F(settings_test, parse_missing_key_rejected)
{
    for (const char* key : {"role", "zone", "listen", "admin", "return_path", "platform"}) {
        std::string text = replace_line(entry_text, std::string(key) + ":", "# removed");
        const auto problems = problems_of(text);
        ASSERT_EQ(problems.size(), 1U) << key;
        EXPECT_EQ(problems[0].code, settings_errc::missing_key);
        EXPECT_EQ(problems[0].field, key);
    }
    expect_single_problem(replace_line(agent_text(), "  target:", "  # removed"), settings_errc::missing_key, 9,
                          "agent.target");
}

// Guards against host names, wildcard addresses and ports that no peer can reach.
TEST_F(settings_test, parse_address_not_of_one_host_rejected)
{
    for (const char* text : {"localhost:7000", "127.0.0.2", "127.0.0.2:0", "127.0.0.2:65536", "127.0.0.256:1",
                             "0.0.0.0:7000", "'[::]:7000'", "''"}) {
        expect_single_problem(replace_line(entry_text, "listen", std::string("listen: ") + text),
                              settings_errc::bad_address, 3, "listen");
    }
    EXPECT_TRUE(problems_of(replace_line(entry_text, "listen", "listen: '[::1]:7000'")).empty());
}

// Guards against numbers that are truncated or wrap around when they are stored.
TEST_F(settings_test, parse_number_outside_range_rejected)
{
    for (const char* text : {"0", "-1", "4294967296", "99999999999999999999"}) {
        expect_single_problem(replace_line(agent_text(), "  host:", std::string("  host: ") + text),
                              settings_errc::out_of_range, 9, "agent.host");
    }
    expect_single_problem(agent_text() + "  drain_timeout_s: 86401\n", settings_errc::out_of_range, 12,
                          "agent.drain_timeout_s");
}

// Guards against values of the wrong type that a lenient conversion would accept.
TEST_F(settings_test, parse_wrong_type_rejected)
{
    for (const char* text : {"11x", "1.5", "[11]", "0x0b", "''", "~x"}) {
        expect_single_problem(replace_line(agent_text(), "  host:", std::string("  host: ") + text),
                              settings_errc::wrong_type, 9, "agent.host");
    }
    expect_single_problem(replace_line(entry_text, "bootstrap", "bootstrap_peers: 127.0.0.3:7000"),
                          settings_errc::wrong_type, 7, "bootstrap_peers");
    expect_single_problem(replace_line(entry_text, "zone", "zone: {a: b}"), settings_errc::wrong_type, 2, "zone");
    expect_single_problem("- a\n", settings_errc::wrong_type, 1, "");
    expect_single_problem("", settings_errc::wrong_type, 0, "");
}

// Guards against a name outside its enumeration, and against agent settings that an entry would ignore.
TEST_F(settings_test, parse_bad_name_or_role_rejected)
{
    expect_single_problem(replace_line(entry_text, "role", "role: mux"), settings_errc::unknown_name, 1, "role");
    expect_single_problem(replace_line(entry_text, "", "log_level: loud"), settings_errc::unknown_name, 8, "log_level");
    expect_single_problem(std::string(entry_text) + agent_section, settings_errc::role_mismatch, 9, "agent");
    expect_single_problem(replace_line(entry_text, "role", "role: agent"), settings_errc::role_mismatch, 1, "agent");
}

// Guards against a parser that reports only the first error, so that an operator must fix a file one error at a time.
TEST_F(settings_test, parse_multiple_problems_all_reported)
{
    std::string text = replace_line(agent_text(), "zone", "zoned: a");
    text = replace_line(text, "  host:", "  host: 0");
    try {
        parse_settings(text, "x.yaml");
        FAIL() << "accepted";
    } catch (const settings_error& e) {
        EXPECT_EQ(e.number(), static_cast<int>(settings_errc::multiple_problems));
        ASSERT_EQ(e.lines().size(), 3U);
        EXPECT_EQ(e.lines()[0].substr(0, 35), "x.yaml:1: [settings.404] zone: miss");
        EXPECT_EQ(e.lines()[1].substr(0, 37), "x.yaml:2: [settings.403] zoned: unkno");
        EXPECT_EQ(e.lines()[2], "x.yaml:9: [settings.406] agent.host: '0' must be an integer from 1 to 4294967295");
    }
}

// Guards against a crash or an empty error message when the file is invalid YAML, unreadable or missing.
TEST_F(settings_test, load_unreadable_or_broken_file_rejected)
{
    expect_single_problem("role: [entry\nzone: a\n", settings_errc::bad_yaml, 2, "");
    for (const char* file : {"/nonexistent/x.yaml", "/"}) {
        try {
            load_settings(file);
            FAIL() << file << " accepted";
        } catch (const settings_error& e) {
            EXPECT_EQ(e.number(), static_cast<int>(settings_errc::unreadable_file));
        }
    }
}

// Guards against a heartbeat interval that is ignored, or taken although it is out of range.
TEST(relay_settings_test, host_heartbeat_is_read_and_checked)
{
    const std::string text = "role: relay_entry\nname: e\nzone: a\npackets: 10.0.0.1:80\nadmin: 10.0.0.1:81\n"
                             "peer_port: 82\nplatform: 10.0.0.2:83\nseeds: []\nfirst_start: true\n";
    EXPECT_EQ(parse_relay_settings(text, "f").host_heartbeat, relay::default_host_heartbeat);
    EXPECT_EQ(parse_relay_settings(text + "host_heartbeat_ms: 3000\n", "f").host_heartbeat, core::milliseconds(3000));
    EXPECT_THROW(parse_relay_settings(text + "host_heartbeat_ms: 0\n", "f"), settings_error);
}

// Guards against an allowance of cold hosts that is ignored, or taken although it is out of range.
TEST(relay_settings_test, cold_allowance_is_read_and_checked)
{
    const std::string text = "role: relay_agent\nname: e\nzone: a\npackets: 10.0.0.1:80\nadmin: 10.0.0.1:81\n"
                             "peer_port: 82\nplatform: 10.0.0.2:83\nseeds: []\nfirst_start: true\n"
                             "agent:\n  service: s\n  host: 10.0.0.1:84\n  outbound: 10.0.0.1:85\n";
    EXPECT_EQ(parse_relay_settings(text, "f").agent->cold.factor, 1);
    EXPECT_EQ(parse_relay_settings(text, "f").agent->cold.extra, 0);
    const auto result = parse_relay_settings(text + "  cold_factor: 1.5\n  cold_extra: 5\n", "f");
    EXPECT_EQ(result.agent->cold.factor, 1.5);
    EXPECT_EQ(result.agent->cold.extra, 5);
    for (const std::string line : {"cold_factor: -1", "cold_factor: .nan", "cold_extra: x", "cold_factor: 1001"}) {
        auto bad = text;
        bad.append("  ").append(line).append("\n");
        EXPECT_THROW(parse_relay_settings(bad, "f"), settings_error) << line;
    }
}

} // namespace
} // namespace daisydoor::runtime
