#include "daisydoor/config/published.hpp"
#include "daisydoor/runtime/detail/admin_task.hpp"
#include "daisydoor/runtime/detail/http_client.hpp"
#include "daisydoor/runtime/published_check.hpp"
#include "support/loopback.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>
#include <unistd.h>

namespace daisydoor::runtime::detail
{
namespace
{

class admin_test : public ::testing::Test
{
  protected:
    void SetUp() override
    {
        owner.register_handler<collect_metrics>(task_names::role, [this](collect_metrics& message) {
            message.samples = {{"entry_forwarded", "", forwarded}, {"entry_dropped", "stale", 2}};
        });
        owner.register_handler<collect_state>(task_names::role,
                                              [this](collect_state& message) { message.snapshot = snapshot; });
        settings process_settings;
        process_settings.admin = core::parse_endpoint(admin_address);
        owner.add(std::make_unique<admin_task>(owner, process_settings)).start();
    }

    http_result get(const std::string& path, evhttp_cmd_type method = EVHTTP_REQ_GET)
    {
        http_result result;
        http_client client(owner, core::parse_endpoint(admin_address));
        http_request request;
        request.method = method;
        request.path = path;
        request.timeout = core::milliseconds(5000);
        client.start(std::move(request), [&](http_result response) {
            result = std::move(response);
            owner.stop(0);
        });
        owner.run();
        return result;
    }

    static std::string body_of(const http_result& response) { return {response.body.begin(), response.body.end()}; }

    /// Two services of 1500 hosts each.
    static config::snapshot_ptr large_snapshot()
    {
        config::snapshot result;
        result.version = core::config_version{12};
        result.zones.push_back({"zone-a", 1.0});
        result.keys.push_back({core::key_id{1}, {0xde, 0xad, 0xbe, 0xef}, true});
        for (const std::uint32_t id : {1, 2}) {
            config::service service;
            service.id = core::service_id{id};
            service.name = id == 1 ? "ledger" : "bad \xff name";
            service.hosts.resize(1500);
            result.services.push_back(service);
        }
        return std::make_shared<const config::snapshot>(result);
    }

    support::loopback_range range;
    const std::string admin_address = range.address(2);
    kernel owner;
    double forwarded = 5;
    config::snapshot_ptr snapshot;
};

// Guards against metrics that scrapers cannot parse, and against counters that each scrape adds to again.
TEST_F(admin_test, get_metrics_twice_returns_current_values)
{
    EXPECT_NE(body_of(get("/metrics")).find("\ndaisydoor_entry_forwarded_total 5\n"), std::string::npos);
    forwarded = 6;
    const std::string text = body_of(get("/metrics"));
    EXPECT_NE(text.find("\ndaisydoor_entry_forwarded_total 6\n"), std::string::npos) << text;
    EXPECT_NE(text.find("\ndaisydoor_entry_dropped_total{kind=\"stale\"} 2\n"), std::string::npos) << text;
}

// Guards against a dump that fails before the first configuration arrives, when operators most need it to find out why.
TEST_F(admin_test, get_dump_without_configuration_valid)
{
    const auto dump = nlohmann::json::parse(body_of(get("/dump")));
    EXPECT_TRUE(dump["configuration"].is_null());
    EXPECT_EQ(dump["tasks"]["role"]["entry_dropped"]["stale"], 2);
}

// Guards against a dump of several megabytes with 62,000 hosts (the size planned for in two years), a dump that fails
// on a name that is not UTF-8, and a dump that contains a secret.
TEST_F(admin_test, get_dump_large_configuration_hosts_only_by_service)
{
    snapshot = large_snapshot();
    const std::string text = body_of(get("/dump"));
    const auto whole = nlohmann::json::parse(text);
    EXPECT_EQ(whole["configuration"]["services"].size(), 2U);
    EXPECT_EQ(whole["configuration"]["services"][0]["host_count"], 1500);
    EXPECT_FALSE(whole["configuration"]["services"][0].contains("hosts"));
    EXPECT_EQ(whole["configuration"]["keys"][0].size(), 2U);
    EXPECT_EQ(text.find("deadbeef"), std::string::npos);
    const auto one = nlohmann::json::parse(body_of(get("/dump?service=1")));
    ASSERT_EQ(one["configuration"]["services"].size(), 1U);
    EXPECT_EQ(one["configuration"]["services"][0]["hosts"].size(), 1500U);
}

// Guards against an admin server that fails on, or acts on, any request other than GET /dump and GET /metrics.
TEST_F(admin_test, get_other_path_or_method_rejected)
{
    EXPECT_EQ(get("/drain").status, 404);
    EXPECT_EQ(get("/").status, 404);
    EXPECT_EQ(get("/dump/x?%00=%ff").status, 404);
    EXPECT_EQ(get("/dump", EVHTTP_REQ_POST).status, 405);
    EXPECT_EQ(get("/dump?service=x").status, 200);
}

// Guards against a second process that binds the admin address of the first one without an error.
TEST_F(admin_test, construct_address_in_use_throws)
{
    kernel other;
    settings process_settings;
    process_settings.admin = core::parse_endpoint(admin_address);
    EXPECT_THROW(admin_task(other, process_settings), runtime_error);
}

class published_check_test : public ::testing::Test
{
  protected:
    published_check_test()
        : folder(std::filesystem::path(::testing::TempDir()) /
                 ("daisydoor-published-check-" + std::to_string(getpid())))
    {
        std::filesystem::create_directories(folder / "services");
    }

    ~published_check_test() override { std::filesystem::remove_all(folder); }

    void write(const std::string& key, const std::string& content) const
    {
        std::ofstream(folder / key, std::ios::binary) << content;
    }

    void write_index(std::uint64_t digest) const
    {
        std::ostringstream text;
        text << "version: 12\nzones:\n  - {name: zone-a, entry_share: 1.0}\nkeys:\n"
                "  - {id: 1, secret: 000102030405060708090a0b0c0d0e0f, signing: true}\nparts:\n"
                "  - {key: services/0, digest: "
             << std::hex << std::setw(16) << std::setfill('0') << digest << "}\n";
        write("index", text.str());
    }

    const std::string part = "services:\n  - id: 1\n    name: ledger\n    address: 127.0.100.1:9001\n"
                             "    preset: ordinary\n    hosts:\n"
                             "      - {id: 11, name: a, zone: zone-a, agent: 127.0.0.11:7100, slots: 5}\n";
    std::filesystem::path folder;
};

// Guards against a check that rejects values which the daemon accepts.
TEST_F(published_check_test, check_valid_values_no_problem)
{
    write("services/0", part);
    write_index(config::content_digest(part));
    const auto report = check_published_values(folder);
    EXPECT_TRUE(report.problems.empty()) << report.problems.front();
    EXPECT_EQ(report.version, 12U);
    EXPECT_EQ(report.hosts, 1U);
}

// Guards against a check that stops at the first problem, or accepts values which the daemon rejects.
TEST_F(published_check_test, check_bad_digest_part_and_fleet_all_reported)
{
    write("services/0", part + "      - {id: 12, name: b, zone: zone-x, agent: 127.0.0.12:7100, slots: 5}\n");
    write_index(1);
    write("fleet", "version: x\ninstances: []\n");
    const auto report = check_published_values(folder);
    ASSERT_EQ(report.problems.size(), 3U);
    EXPECT_NE(report.problems[0].find("[config.309]"), std::string::npos) << report.problems[0];
    EXPECT_NE(report.problems[1].find("services/0:8"), std::string::npos) << report.problems[1];
    EXPECT_NE(report.problems[2].find("fleet:1"), std::string::npos) << report.problems[2];
}

// Guards against a check that succeeds for a folder without an index, or without a part that the index lists.
TEST_F(published_check_test, check_missing_index_or_part_reported)
{
    EXPECT_THROW(check_published_values(folder), runtime_error);
    write_index(1);
    const auto report = check_published_values(folder);
    ASSERT_FALSE(report.problems.empty());
    EXPECT_NE(report.problems[0].find("[config.310]"), std::string::npos) << report.problems[0];
}

} // namespace
} // namespace daisydoor::runtime::detail
