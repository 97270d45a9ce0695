#include "daisydoor/runtime/events.hpp"

#include <gtest/gtest.h>

#include <fstream>
#include <map>
#include <regex>
#include <set>
#include <sstream>

namespace daisydoor::runtime
{
namespace
{

std::string read_file(const std::string& path)
{
    std::ifstream stream(std::string(DAISYDOOR_SOURCE_DIR) + '/' + path);
    EXPECT_TRUE(stream) << path;
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

/// First three cells of each table row whose first cell is a number.
std::map<int, std::string> rows_of(const std::string& path)
{
    std::map<int, std::string> result;
    const std::string text = read_file(path);
    const std::regex row(R"(\n\| (\d+) \| ([^|]+) \| ([^|]+) \|)");
    for (std::sregex_iterator it(text.begin(), text.end(), row), end; it != end; ++it) {
        const bool added = result.emplace(std::stoi((*it)[1]), (*it)[2].str() + '/' + (*it)[3].str()).second;
        EXPECT_TRUE(added) << path << " lists " << (*it)[1] << " twice";
    }
    return result;
}

/// Adds the enumerators `name = number` of one enumeration in a header to `result`.
void add_errors_of(const std::string& header, const std::string& family, const std::string& enumeration,
                   std::map<int, std::string>& result)
{
    const std::string text = read_file("include/daisydoor/" + header);
    const auto begin = text.find("enum class " + enumeration);
    ASSERT_NE(begin, std::string::npos) << header;
    const std::string body = text.substr(begin, text.find("};", begin) - begin);
    const std::regex enumerator(R"((\w+) = (\d+))");
    for (std::sregex_iterator it(body.begin(), body.end(), enumerator), end; it != end; ++it) {
        const bool added = result.emplace(std::stoi((*it)[2]), family + '/' + (*it)[1].str()).second;
        EXPECT_TRUE(added) << "error number " << (*it)[2] << " is used twice";
    }
}

// Guards against log events that are missing in docs/events.md, and against two events with the same number.
TEST(catalogue_test, events_page_equals_table)
{
    std::map<int, std::string> expected;
    for (const auto& info : log_events) {
        const std::string row =
            std::string(severity_names.at(static_cast<std::size_t>(info.severity))) + '/' + std::string(info.text);
        EXPECT_TRUE(expected.emplace(info.number, row).second) << info.number << " is used twice";
    }
    EXPECT_EQ(rows_of("docs/events.md"), expected);
}

// Guards against an event that is logged with another event's number, because a row was inserted in the wrong place.
TEST(catalogue_test, event_table_order_matches_enumeration)
{
    EXPECT_EQ(info_of(log_event::process_started).number, 1001);
    EXPECT_EQ(info_of(log_event::unexpected_exception).number, 1099);
    EXPECT_EQ(info_of(log_event::configuration_rejected).number, 1102);
    EXPECT_EQ(info_of(log_event::link_refused).number, 1305);
    EXPECT_EQ(info_of(log_event::datagram_send_failed).number, 1402);
    EXPECT_EQ(info_of(log_event::target_draining).number, 1503);
    EXPECT_EQ(info_of(log_event::admin_bad_request).number, 1701);
    EXPECT_EQ(info_of(log_event::flow_decision).number, 1403);
    EXPECT_EQ(info_of(log_event::settings_rejected).number, 1008);
    EXPECT_EQ(info_of(log_event::view_fetch_failed).number, 1108);
    EXPECT_EQ(info_of(log_event::platform_restored).number, 1205);
    EXPECT_EQ(info_of(log_event::platform_read_stalled).number, 1206);
    EXPECT_EQ(info_of(log_event::zone_evacuated).number, 1110);
    EXPECT_EQ(static_cast<std::size_t>(log_event::evacuation_ended) + 1, log_events.size());
}

// Guards against errors that are missing in docs/errors.md, and against a number used by two families.
TEST(catalogue_test, errors_page_equals_headers)
{
    std::map<int, std::string> expected;
    add_errors_of("core/error.hpp", "core", "errc", expected);
    add_errors_of("wire/error.hpp", "wire", "errc", expected);
    add_errors_of("config/error.hpp", "config", "errc", expected);
    add_errors_of("runtime/settings.hpp", "settings", "settings_errc", expected);
    add_errors_of("runtime/error.hpp", "runtime", "errc", expected);
    add_errors_of("caller/error.hpp", "caller", "errc", expected);
    EXPECT_EQ(rows_of("docs/errors.md"), expected);
}

// Guards against one log line per datagram during an attack.
TEST(rate_limit_test, allow_within_period_counts_suppressed)
{
    rate_limit limit(1000);
    std::uint64_t suppressed = 99;
    EXPECT_TRUE(limit.allow(0, suppressed));
    EXPECT_EQ(suppressed, 0U);
    EXPECT_FALSE(limit.allow(1, suppressed));
    EXPECT_FALSE(limit.allow(999, suppressed));
    EXPECT_TRUE(limit.allow(1000, suppressed));
    EXPECT_EQ(suppressed, 2U);
}

} // namespace
} // namespace daisydoor::runtime
