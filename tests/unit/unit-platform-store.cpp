#include "platform/store.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

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

// Guards against one invalid route that makes the whole configuration be rejected.
TEST_F(platform_store_test, decode_page_invalid_route_rejected_others_decoded)
{
    m_config["Routes"][0]["Prefix"] = "/x/";
    const auto result = decode(page(json::array({item("op/config", m_config.dump())})));
    ASSERT_EQ(result.update.changes.size(), 1U);
    EXPECT_EQ(std::get<relay::route_set>(result.update.changes[0].value).routes.size(), 1U);
    EXPECT_EQ(result.update.rejected.size(), 1U);
}

// Guards against a host that stays in use after its entry was removed.
TEST_F(platform_store_test, decode_events_tombstone_removes_host)
{
    const std::string text = R"({"events":[{"Key":"servers/i-1","Revision":9,"Tombstone":true}],"StoreRevision":9})";
    const auto result = decode_events({reinterpret_cast<const std::uint8_t*>(text.data()), text.size()});
    ASSERT_EQ(result.changes.size(), 1U);
    EXPECT_EQ(std::get<relay::host_removed>(result.changes[0].value).id, "i-1");
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
