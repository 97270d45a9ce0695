#include "platform/store.hpp"

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>
#include <sys/resource.h>

namespace daisydoor::platform
{
namespace
{

using nlohmann::json;

class platform_store_test : public ::testing::Test
{
  protected:
    static std::string base64(const std::string& text)
    {
        std::string result(4 * ((text.size() + 2) / 3) + 1, '\0');
        const int n =
            EVP_EncodeBlock(reinterpret_cast<unsigned char*>(result.data()),
                            reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
        result.resize(static_cast<std::size_t>(n));
        return result;
    }

    static json item(const std::string& key, const std::string& value, int revision = 7)
    {
        return {{"Key", key}, {"Value", base64(value)}, {"Revision", revision}, {"CreatedRev", 1}, {"Lease", 0}};
    }

    static store_page decode(const json& body)
    {
        const auto text = body.dump();
        return decode_page({reinterpret_cast<const std::uint8_t*>(text.data()), text.size()});
    }

    static json page(const json& items) { return {{"items", items}, {"HasMore", false}, {"StoreRevision", 530}}; }

    json m_host{{"Service", "huvo11a"},  {"Address", "10.128.0.9:8080"},
                {"Zone", "ub"},          {"Version", "v1"},
                {"Concurrency", 5},      {"State", "ready"},
                {"ColdRemainingMs", 40}, {"Sequence", 4},
                {"born", 1700000000000}};
    json m_config{{"Version", 7},
                  {"Routes",
                   {{{"Name", "r1"},
                     {"Host", "198.18.0.1"},
                     {"Prefix", "/8443/"},
                     {"Type", "idempotent"},
                     {"TimeoutMs", 3000},
                     {"TargetLatencyMs", 200},
                     {"Priority", 2},
                     {"Backends", {{{"Service", "a"}, {"Weight", 90}}, {{"Service", "b"}, {"Weight", 10}}}}},
                    {{"Name", "r2"},
                     {"Host", "198.18.0.1"},
                     {"Prefix", "/8080/"},
                     {"Type", "non_idempotent"},
                     {"Service", "a"}}}},
                  {"Limits", {{"IdleTimeoutMs", 15000}}}};
};

// Guards against hosts that are missing or decoded with wrong values.
TEST_F(platform_store_test, decode_page_host_returns_its_fields)
{
    const auto result = decode(page(json::array({item("servers/i-1", m_host.dump())})));
    ASSERT_EQ(result.update.changes.size(), 1U);
    EXPECT_EQ(result.update.revision, relay::revision{530});
    EXPECT_EQ(result.update.changes[0].revision, relay::revision{7});
    const auto& value = std::get<relay::host>(result.update.changes[0].value);
    EXPECT_EQ(value.id, "i-1");
    EXPECT_EQ(value.service, "huvo11a");
    EXPECT_EQ(value.address, relay::ipv4{0x0a800009});
    EXPECT_EQ(value.port, 8080);
    EXPECT_EQ(value.slots, 5U);
    EXPECT_EQ(value.cold_remaining.count(), 40);
    EXPECT_EQ(value.born, 1700000000000);
    EXPECT_EQ(value.sequence, 4U);
}

// Guards against an era that is taken from a header that is not a number.
TEST_F(platform_store_test, decode_era_accepts_numbers_only)
{
    EXPECT_EQ(decode_era("12"), relay::store_era{12});
    EXPECT_EQ(decode_era(""), relay::store_era{});
    EXPECT_EQ(decode_era("12a"), relay::store_era{});
    EXPECT_EQ(decode_era("-1"), relay::store_era{});
}

// Guards against routes that are missing or send flows to the wrong service.
TEST_F(platform_store_test, decode_page_configuration_returns_routes)
{
    const auto result = decode(page(json::array({item("op/config", m_config.dump())})));
    ASSERT_EQ(result.update.changes.size(), 1U);
    const auto& value = std::get<relay::route_set>(result.update.changes[0].value);
    EXPECT_EQ(value.version, relay::route_version{7});
    EXPECT_EQ(value.idle_timeout.count(), 15000);
    ASSERT_EQ(value.routes.size(), 2U);
    EXPECT_EQ(value.routes[0].port, 8443);
    ASSERT_EQ(value.routes[0].services.size(), 2U);
    EXPECT_EQ(value.routes[0].services[1].service, "b");
    EXPECT_EQ(value.routes[0].services[1].weight, 10U);
    EXPECT_EQ(value.routes[1].kind, relay::request_kind::non_idempotent);
    EXPECT_EQ(value.routes[1].services.at(0).service, "a");
}

// Guards against one invalid entry that prevents others from being decoded, and against a host that stays in use after
// its entry was replaced by an invalid one.
TEST_F(platform_store_test, decode_page_invalid_entries_rejected_others_decoded)
{
    json items = json::array();
    for (const char* field :
         {"Service", "Address", "Zone", "Version", "Concurrency", "State", "ColdRemainingMs", "Sequence", "born"}) {
        json missing = m_host;
        missing.erase(field);
        items.push_back(item("servers/missing", missing.dump()));
        json mistyped = m_host;
        mistyped[field] = json::array();
        items.push_back(item("servers/mistyped", mistyped.dump()));
    }
    json other_state = m_host;
    other_state["State"] = "sleeping";
    items.push_back(item("servers/state", other_state.dump()));
    items.push_back(item("servers/bytes", "\xff\xfe{"));
    items.push_back({{"Key", "servers/base64"}, {"Value", "***"}, {"Revision", 3}});
    items.push_back({{"Key", 5}});
    const auto damaged = items.size();
    items.push_back(item("servers/good", m_host.dump()));
    const auto result = decode(page(items));
    EXPECT_EQ(result.update.rejected.size(), damaged);
    std::size_t hosts = 0;
    for (const auto& it : result.update.changes) {
        hosts += std::holds_alternative<relay::host>(it.value) ? 1 : 0;
    }
    EXPECT_EQ(hosts, 1U);
    EXPECT_EQ(result.update.changes.size(), damaged) << "each invalid entry with a key removes its host";
}

struct odd_entry
{
    const char* name;
    std::string value;
};

std::ostream& operator<<(std::ostream& out, const odd_entry& it) { return out << it.name; }

/// Entries that another writer left under the key of a host.
class odd_entry_test : public platform_store_test, public ::testing::WithParamInterface<odd_entry>
{
  protected:
    static std::string repeated(const std::string& part, std::size_t bytes)
    {
        std::string result;
        result.reserve(bytes + part.size());
        while (result.size() < bytes) {
            result += part;
        }
        return result;
    }

    /// A valid entry in which a text replaces another one.
    static std::string host_with(const std::string& former, const std::string& text)
    {
        std::string result =
            R"({"Service":"huvo11a","Address":"10.128.0.9:8080","Zone":"ub","Version":"v1",)"
            R"("Concurrency":5,"State":"ready","ColdRemainingMs":40,"Sequence":4,"born":1700000000000})";
        return result.replace(result.find(former), former.size(), text);
    }

    /// Largest value that the store accepts.
    static constexpr std::size_t value_bytes = 1'048'576;
    /// Memory of a node at the two-year size (docs/design.md, section 2).
    static constexpr rlim_t node_bytes = rlim_t{64} * 1024 * 1024;
    /// Covers the key and the reason of a rejected entry in the log.
    static constexpr std::size_t max_log_bytes = 400;

    /// Whether both kinds of response are decoded as if the odd entry were missing.
    bool is_only_entry_rejected() const
    {
        const json items = json::array({item("servers/a", m_host.dump()), item("servers/odd", GetParam().value),
                                        item("servers/z", m_host.dump())});
        const auto whole = decode(page(items)).update;
        const auto text = json{{"events", items}, {"StoreRevision", 530}}.dump();
        const auto events = decode_events({reinterpret_cast<const std::uint8_t*>(text.data()), text.size()});
        const auto is_expected = [](const relay::fleet_update& value) {
            return value.changes.size() == 3 && std::holds_alternative<relay::host>(value.changes[0].value) &&
                   std::holds_alternative<relay::host_removed>(value.changes[1].value) &&
                   std::holds_alternative<relay::host>(value.changes[2].value) && value.rejected.size() == 1 &&
                   value.rejected[0].size() <= max_log_bytes &&
                   std::all_of(value.rejected[0].begin(), value.rejected[0].end(),
                               [](unsigned char c) { return std::isprint(c) != 0; });
        };
        return is_expected(whole) && is_expected(events);
    }

    [[noreturn]] void decode_and_exit() const
    {
        const rlimit limit{node_bytes, node_bytes};
        setrlimit(RLIMIT_DATA, &limit);
        std::_Exit(is_only_entry_rejected() ? 0 : 1);
    }

    friend std::vector<odd_entry> odd_entries();
};

std::vector<odd_entry> odd_entries()
{
    using test = odd_entry_test;
    constexpr auto size = test::value_bytes;
    return {
        {"open_lists", test::repeated("[", size)},
        {"nested_lists", test::repeated("[", size / 2) + test::repeated("]", size / 2)},
        {"open_objects", test::repeated(R"({"a":)", size)},
        {"list_of_lists", "[" + test::repeated("[],", size - 3) + "[]]"},
        {"list_of_objects", "[" + test::repeated("{},", size - 3) + "{}]"},
        {"nested_service",
         test::host_with("\"huvo11a\"", test::repeated("[", size / 4) + test::repeated("]", size / 4))},
        {"lists_of_host_size", test::repeated("[", 16'000)},
        {"zone_beyond_datagram", test::host_with("ub", test::repeated("u", 1'100))},
        {"long_zone", test::host_with("ub", test::repeated("u", size / 2))},
        {"long_token", "\"" + test::repeated("t", size / 2) + "\n"},
        {"concurrency_beyond_double", test::host_with("5,", "1e999,")},
        {"concurrency_of_many_digits", test::host_with("5,", test::repeated("9", size / 2) + ",")},
        {"concurrency_beyond_64_bits", test::host_with("5,", "18446744073709551616,")},
        {"concurrency_of_64_bits", test::host_with("5,", "18446744073709551615,")},
        {"concurrency_negative", test::host_with("5,", "-9223372036854775808,")},
        {"sequence_beyond_64_bits", test::host_with("4,", "18446744073709551616,")},
        {"born_beyond_64_bits", test::host_with("1700000000000", "99999999999999999999")},
        {"cold_beyond_64_bits", test::host_with("40", "18446744073709551615")},
        {"port_beyond_16_bits", test::host_with("8080", "65536")},
        {"port_of_many_digits", test::host_with("8080", "99999999999999999999")},
        {"port_negative", test::host_with("8080", "-1")},
        {"port_missing", test::host_with(":8080", "")},
        {"address_of_numbers_too_large", test::host_with("10.128.0.9", "10.128.0.999")},
        {"line_breaks", "{\"Service\\n\": \n\n\x01"},
    };
}

// Guards against a process that ends or stops following the list of hosts because of one odd entry: memory beyond that
// of a node, an exception, or a log line of the size of the entry.
TEST_P(odd_entry_test, decode_rejects_only_the_entry_within_memory_of_a_node)
{
    EXPECT_EXIT(decode_and_exit(), ::testing::ExitedWithCode(0), "");
}

INSTANTIATE_TEST_SUITE_P(entries, odd_entry_test, ::testing::ValuesIn(odd_entries()),
                         [](const auto& value) { return value.param.name; });

// Guards against one invalid route that makes the whole configuration be rejected.
TEST_F(platform_store_test, decode_page_invalid_route_rejected_others_decoded)
{
    m_config["Routes"][0]["Prefix"] = "/x/";
    const auto result = decode(page(json::array({item("op/config", m_config.dump())})));
    ASSERT_EQ(result.update.changes.size(), 1U);
    EXPECT_EQ(std::get<relay::route_set>(result.update.changes[0].value).routes.size(), 1U);
    EXPECT_EQ(result.update.rejected.size(), 1U);
}

// Guards against a log line of the size of a response that is not JSON.
TEST_F(platform_store_test, decode_page_long_invalid_body_reports_short_reason)
{
    constexpr std::size_t max_reason_bytes = 400;
    const std::string text = "\"" + std::string(100'000, 't') + "\n";
    try {
        decode_page({reinterpret_cast<const std::uint8_t*>(text.data()), text.size()});
        FAIL() << "a string is not a page";
    } catch (const store_error& e) {
        EXPECT_LE(std::string(e.what()).size(), max_reason_bytes);
    }
}

// Guards against a host that stays in use after its entry was removed.
TEST_F(platform_store_test, decode_events_tombstone_removes_host)
{
    const std::string text = R"({"events":[{"Key":"servers/i-1","Revision":9,"Tombstone":true}],"StoreRevision":9})";
    const auto result = decode_events({reinterpret_cast<const std::uint8_t*>(text.data()), text.size()});
    ASSERT_EQ(result.changes.size(), 1U);
    EXPECT_EQ(std::get<relay::host_removed>(result.changes[0].value).id, "i-1");
}

// Guards against an evacuation that is overlooked because of its value, and against an odd key that closes a zone or
// hides the entries beside it.
TEST_F(platform_store_test, decode_page_evacuation_key_alone_counts)
{
    json items = json::array({item("op/evacuate/zone a", "{}"),
                              item("op/evacuate/b", "\xff{"),
                              {{"Key", "op/evacuate/c"}, {"Revision", 8}, {"Value", 5}},
                              item("op/evacuate/", "{}"),
                              item("op/evacuate/" + std::string(300, 'z'), "{}"),
                              item("op/evacuate/a\n", "{}"),
                              item("servers/i-1", m_host.dump())});
    const auto result = decode(page(items)).update;
    ASSERT_EQ(result.changes.size(), 4U);
    EXPECT_EQ(std::get<relay::zone_evacuated>(result.changes[0].value).availability_zone, "zone a");
    EXPECT_EQ(std::get<relay::zone_evacuated>(result.changes[1].value).availability_zone, "b");
    EXPECT_EQ(std::get<relay::zone_evacuated>(result.changes[2].value).availability_zone, "c");
    EXPECT_EQ(result.changes[2].revision, relay::revision{8});
    EXPECT_TRUE(std::holds_alternative<relay::host>(result.changes[3].value));
    EXPECT_EQ(result.rejected.size(), 3U);
}

// Guards against an evacuation that does not end when its key is removed.
TEST_F(platform_store_test, decode_events_tombstone_ends_evacuation)
{
    const std::string text = R"({"events":[{"Key":"op/evacuate/b","Revision":9,"Tombstone":true}],"StoreRevision":9})";
    const auto result = decode_events({reinterpret_cast<const std::uint8_t*>(text.data()), text.size()});
    ASSERT_EQ(result.changes.size(), 1U);
    EXPECT_EQ(std::get<relay::evacuation_ended>(result.changes[0].value).availability_zone, "b");
}

// Guards against a limit of cold hosts that is missing, or that an invalid service hides together with the routes.
TEST_F(platform_store_test, decode_page_configuration_returns_cold_rates)
{
    m_config["Services"] = {{{"Name", "a"}, {"ColdPerS", 12.5}, {"ColdStartS", 2.0}},
                            {{"Name", "b"}, {"ColdPerS", 0.0}},
                            {{"Name", "c"}},
                            {{"Name", "d"}, {"ColdPerS", -1}},
                            {{"Name", "e"}, {"ColdPerS", "3"}}};
    const auto result = decode(page(json::array({item("op/config", m_config.dump())}))).update;
    const auto& value = std::get<relay::route_set>(result.changes.at(0).value);
    EXPECT_EQ(value.routes.size(), 2U);
    ASSERT_EQ(value.cold_rates.size(), 1U);
    EXPECT_EQ(value.cold_rates[0].service, "a");
    EXPECT_EQ(value.cold_rates[0].requests_per_second, 12.5);
    EXPECT_EQ(value.services, (std::vector<std::string>{"a", "b", "c", "d", "e"}));
    EXPECT_EQ(result.rejected.size(), 2U);
}

// Guards against a malformed response that is treated as an empty one.
TEST_F(platform_store_test, decode_page_malformed_body_throws)
{
    for (const std::string text : {"", "[]", "{", R"({"items":5,"StoreRevision":1})", R"({"items":[]})"}) {
        EXPECT_THROW(decode_page({reinterpret_cast<const std::uint8_t*>(text.data()), text.size()}), store_error)
            << text;
    }
}

// Guards against an endless loop: without a last key, the next read would return the same page.
TEST_F(platform_store_test, decode_page_more_without_last_key_has_no_more)
{
    auto body = page(json::array());
    body["HasMore"] = true;
    EXPECT_FALSE(decode(body).has_more);
}

// Guards against request paths that the store rejects.
TEST_F(platform_store_test, range_path_and_watch_path_match_store_format)
{
    EXPECT_EQ(range_path("", false), "/-/kv-range?Prefix=");
    EXPECT_EQ(range_path("servers/i 1", true), "/-/kv-range?Prefix=&after=servers/i%201&StaleOk=1");
    EXPECT_EQ(watch_path(relay::revision{411}, core::milliseconds(1500)), "/-/kv-watch?Prefix=&after=411&WaitMs=1500");
}

} // namespace
} // namespace daisydoor::platform
