#include "daisydoor/config/config_sync.hpp"
#include "daisydoor/config/error.hpp"
#include "support/config_network.hpp"

#include <gtest/gtest.h>

namespace daisydoor::config
{
namespace
{

using test::config_network;
using test::fleet_text;
using test::published_text;
using test::two_service_deployment;

/// Time in which every process must accept a published version.
constexpr core::milliseconds in_force_limit{15000};

class config_sync_test : public ::testing::Test
{
  protected:
    /// @brief Three entries and the agents of both services, with a fleet view.
    void start_fleet(const published_text& text)
    {
        net.publish(text);
        net.publish_value("fleet", 1, fleet_text(1, text, 3));
        for (std::uint32_t i = 1; i <= 3; ++i) {
            net.add_entry(i, text.zones[i - 1].first);
        }
        net.add_agents(text);
        net.run(in_force_limit);
        ASSERT_TRUE(net.all_have_version(text.version));
    }

    config_network net;
};

// Guards against a violation of R8 without any failure: all processes of both roles must accept a new version in time.
TEST_F(config_sync_test, publish_reaches_all_within_limit)
{
    start_fleet(two_service_deployment(1));
    auto next = two_service_deployment(2);
    next.parts[1][0].preset = "peak";
    net.publish(next);
    net.run(in_force_limit);
    EXPECT_TRUE(net.all_have_version(2));
    EXPECT_EQ(net.node(test::agent_address(21)).current()->services.at(0).preset, preset::peak);
    EXPECT_EQ(net.node(test::agent_address(11)).current()->services.at(0).id, core::service_id{1});
    EXPECT_EQ(net.node(test::entry_address(1)).current()->services.size(), 2U);
    EXPECT_EQ(net.rejections(), 0U);
}

// Guards against a change that never arrives because all notices are lost: the periodic pulls must fetch it.
TEST_F(config_sync_test, publish_lost_notices_pulled_within_limit)
{
    start_fleet(two_service_deployment(1));
    net.filter = [](const core::endpoint&, const core::endpoint&, const wire::peer_messageT& message) {
        return message.body.Asconfig_notice() == nullptr;
    };
    net.publish(two_service_deployment(2));
    net.run(in_force_limit);
    EXPECT_TRUE(net.all_have_version(2));
}

// Guards against a transfer that never completes because messages are lost.
TEST_F(config_sync_test, publish_half_of_messages_lost_converges)
{
    start_fleet(two_service_deployment(1));
    net.filter = [this](const auto&, const auto&, const auto&) { return net.random() % 2 == 0; };
    auto next = two_service_deployment(2);
    next.parts[0][0].hosts[0].slots = 9;
    net.publish(next);
    net.run(2 * in_force_limit);
    EXPECT_TRUE(net.all_have_version(2));
}

// Guards against more than two platform readers in a zone, which R13 forbids at the size expected in two years.
TEST_F(config_sync_test, readers_two_per_zone_entries_first)
{
    auto text = test::uniform_fleet(4, 40, 2, 2);
    net.publish(text);
    net.publish_value("fleet", 1, fleet_text(1, text, 6));
    for (std::uint32_t i = 1; i <= 6; ++i) {
        net.add_entry(i, text.zones[(i - 1) % 2].first);
    }
    net.add_agents(text);
    net.run(core::seconds(10));
    ASSERT_TRUE(net.all_have_version(1));
    EXPECT_EQ(net.reader_count(), 4U);
    EXPECT_TRUE(std::none_of(text.parts[0][0].hosts.begin(), text.parts[0][0].hosts.end(),
                             [this](const auto& host) { return net.node(test::agent_address(host.id)).is_reader(); }));
    const auto before = net.platform_calls();
    net.run(core::seconds(60));
    // Four readers watch two keys for 20 s at a time; in each zone, two other processes on average read both keys every
    // 5 s.
    EXPECT_LT(net.platform_calls() - before, 4U * 2 * 4 + 2U * 2 * 2 * 12 * 2);
    EXPECT_GT(net.platform_calls() - before, 0U);
}

// Guards against all entries reading a changed part from the platform at once, because the peers that notified them
// lack it.
TEST_F(config_sync_test, publish_many_processes_few_platform_reads)
{
    auto text = test::uniform_fleet(16, 160, 3, 2);
    net.publish(text);
    net.publish_value("fleet", 1, fleet_text(1, text, 30));
    for (std::uint32_t i = 1; i <= 30; ++i) {
        net.add_entry(i, text.zones[(i - 1) % 3].first);
    }
    net.add_agents(text);
    net.run(in_force_limit);
    ASSERT_TRUE(net.all_have_version(1));
    const auto before = net.part_reads();
    text.version = 2;
    text.parts[7][0].hosts[0].slots = 9;
    net.publish(text);
    net.run(in_force_limit);
    EXPECT_TRUE(net.all_have_version(2));
    EXPECT_LE(net.part_reads() - before, net.reader_count());
}

// Guards against processes that can only start with the platform, though peers have the configuration.
TEST_F(config_sync_test, start_platform_down_peers_serve)
{
    start_fleet(two_service_deployment(3));
    net.is_platform_up = false;
    auto& entry = net.add_entry(9, "zone-b", {test::entry_address(1)});
    auto& agent = net.add_agent(17, 1, "zone-c", {test::agent_address(16)});
    net.run(core::seconds(5));
    ASSERT_TRUE(entry.current() && agent.current());
    EXPECT_EQ(entry.current()->version, core::config_version{3});
    EXPECT_EQ(entry.current()->services.size(), 2U);
    EXPECT_EQ(agent.current()->services.at(0).id, core::service_id{1});
    EXPECT_TRUE(entry.fleet());
}

// Guards against processes that do not accept a version published after an outage of the platform.
TEST_F(config_sync_test, platform_returns_newer_version_accepted)
{
    start_fleet(two_service_deployment(1));
    net.is_platform_up = false;
    net.run(core::seconds(120));
    EXPECT_TRUE(net.all_have_version(1));
    net.is_platform_up = true;
    net.publish(two_service_deployment(2));
    // The readers' backoff may reach 16 s in the outage.
    net.run(core::seconds(16) + in_force_limit);
    EXPECT_TRUE(net.all_have_version(2));
}

// Guards against a return to an older version (R8) when the platform, or a replica of it, serves an older state.
TEST_F(config_sync_test, platform_stale_never_back)
{
    start_fleet(two_service_deployment(5));
    net.publish(two_service_deployment(4));
    net.publish_value("fleet", 9, fleet_text(0, two_service_deployment(4), 1));
    net.run(core::seconds(30));
    EXPECT_TRUE(net.all_have_version(5));
    EXPECT_EQ(net.lowest_after_acceptance_of(5), 5U);
    EXPECT_TRUE(net.has_rejection(errc::version_decreased));
    // A process that starts with the stale platform must get the newer version from its peers.
    auto& entry = net.add_entry(9, "zone-b", {test::entry_address(1)});
    net.run(core::seconds(10));
    EXPECT_EQ(entry.current()->version, core::config_version{5});
}

// Guards against a version that is never in force because the platform, restored from an older copy, gives it a value
// version that was read before.
TEST_F(config_sync_test, value_version_given_out_again_after_restore_is_read)
{
    // No other process can help out with a read of its own.
    net.publish(two_service_deployment(1));
    net.add_entry(1, "zone-a");
    net.run(in_force_limit);
    for (std::uint64_t version = 2; version <= 5; ++version) {
        net.publish(two_service_deployment(version));
        net.run(in_force_limit);
    }
    ASSERT_TRUE(net.all_have_version(5));
    net.is_platform_up = false;
    net.run(core::seconds(2));
    for (const auto& [key, content] : two_service_deployment(2).values()) {
        net.publish_value(key, 2, content);
    }
    net.is_platform_up = true;
    net.run(core::seconds(5));
    EXPECT_TRUE(net.all_have_version(5)) << "the copy is older than what is in force";
    net.publish(two_service_deployment(6));
    net.run(in_force_limit);
    EXPECT_TRUE(net.all_have_version(6));
    EXPECT_TRUE(net.versions_never_decreased());
}

// Guards against processes that use different contents under the same version.
TEST_F(config_sync_test, publish_same_version_other_content_rejected)
{
    start_fleet(two_service_deployment(2));
    auto other = two_service_deployment(2);
    other.parts[0][0].preset = "maintenance";
    net.publish(other);
    net.run(core::seconds(20));
    EXPECT_TRUE(net.has_rejection(errc::content_changed));
    for (const auto& service : net.node(test::entry_address(1)).current()->services) {
        EXPECT_EQ(service.preset, preset::ordinary);
    }
}

// Guards against a bad version taking effect in part, and against one that blocks the next good version.
TEST_F(config_sync_test, publish_bad_version_keeps_last_good)
{
    start_fleet(two_service_deployment(1));
    auto bad = two_service_deployment(2);
    bad.zones[0].second = "0.9";
    net.publish(bad);
    net.run(core::seconds(10));
    EXPECT_TRUE(net.has_rejection(errc::bad_entry_shares));
    bad = two_service_deployment(3);
    bad.parts[0][0].hosts[1].zone = "zone-x";
    net.publish(bad);
    net.run(core::seconds(10));
    EXPECT_TRUE(net.has_rejection(errc::unknown_name));
    EXPECT_EQ(net.node(test::entry_address(1)).current()->version, core::config_version{1});
    EXPECT_EQ(net.node(test::agent_address(11)).current()->version, core::config_version{1});
    net.publish(two_service_deployment(4));
    net.run(in_force_limit);
    EXPECT_TRUE(net.all_have_version(4));
}

// Guards against accepting a part whose digest differs from the index (a corrupted read, or a part of another version).
TEST_F(config_sync_test, publish_wrong_digest_not_accepted)
{
    start_fleet(two_service_deployment(1));
    auto next = two_service_deployment(2);
    next.parts[0][0].hosts[0].slots = 7;
    net.publish(next);
    next.parts[0][0].hosts[0].slots = 8;
    net.publish_value("services/0", 50, next.part_text(0));
    net.run(in_force_limit);
    EXPECT_TRUE(net.has_rejection(errc::bad_digest));
    EXPECT_EQ(net.node(test::entry_address(1)).current()->version, core::config_version{1});
    EXPECT_EQ(net.node(test::agent_address(11)).current()->version, core::config_version{1});
}

// Guards against an index whose part no source has: it must be reported and not block a later version.
TEST_F(config_sync_test, publish_missing_part_reported)
{
    start_fleet(two_service_deployment(1));
    auto next = two_service_deployment(2);
    next.parts[0][0].hosts[0].slots = 7;
    net.publish(next);
    net.remove_value("services/0");
    net.run(in_force_limit);
    EXPECT_TRUE(net.has_rejection(errc::missing_part));
    EXPECT_EQ(net.node(test::entry_address(1)).current()->version, core::config_version{1});
    net.publish(two_service_deployment(3));
    net.run(in_force_limit);
    EXPECT_TRUE(net.all_have_version(3));
}

// Guards against mixing versions published in quick succession: the index of one is read with the parts of the next.
TEST_F(config_sync_test, publish_crossing_versions_higher_wins)
{
    start_fleet(two_service_deployment(1));
    for (std::uint64_t version = 2; version <= 12; ++version) {
        auto next = two_service_deployment(version);
        next.parts[0][0].hosts[0].slots = static_cast<std::uint16_t>(version);
        next.parts[1][0].hosts[0].slots = static_cast<std::uint16_t>(version);
        net.publish(next);
        net.run(core::milliseconds(net.random() % 60));
    }
    net.run(in_force_limit);
    EXPECT_TRUE(net.all_have_version(12));
    EXPECT_TRUE(net.versions_never_decreased());
    EXPECT_EQ(net.node(test::entry_address(2)).current()->services.at(0).hosts.at(0).slots, 12);
}

// Guards against a process that keeps its older version after a network partition has ended.
TEST_F(config_sync_test, publish_during_partition_catches_up_after)
{
    start_fleet(two_service_deployment(1));
    const auto isolated = core::parse_endpoint(test::entry_address(3));
    net.filter = [isolated](const auto& from, const auto& to, const auto&) {
        return from != isolated && to != isolated;
    };
    net.platform_filter = [isolated](const auto& reader) { return reader != isolated; };
    net.publish(two_service_deployment(2));
    net.run(in_force_limit);
    EXPECT_EQ(net.node(test::entry_address(3)).current()->version, core::config_version{1});
    EXPECT_EQ(net.node(test::entry_address(1)).current()->version, core::config_version{2});
    net.filter = nullptr;
    net.platform_filter = nullptr;
    net.run(in_force_limit);
    EXPECT_TRUE(net.all_have_version(2));
}

// Guards against agents that do not find their service after it has moved to another part.
TEST_F(config_sync_test, publish_service_moves_to_other_part_found)
{
    start_fleet(two_service_deployment(1));
    auto next = two_service_deployment(2);
    next.parts[1].push_back(next.parts[0][0]);
    next.parts[0].clear();
    net.publish(next);
    net.run(in_force_limit);
    ASSERT_TRUE(net.all_have_version(2));
    EXPECT_EQ(net.node(test::agent_address(11)).current()->services.size(), 2U);
    EXPECT_EQ(net.node(test::agent_address(21)).current()->services.size(), 2U);
}

// Guards against reused parts that refer to the old order of zones after the index has changed it.
TEST_F(config_sync_test, publish_zone_order_changes_parts_follow)
{
    start_fleet(two_service_deployment(1));
    auto next = two_service_deployment(2);
    std::swap(next.zones[0], next.zones[2]);
    net.publish(next);
    net.run(in_force_limit);
    ASSERT_TRUE(net.all_have_version(2));
    const auto current = net.node(test::entry_address(1)).current();
    EXPECT_EQ(current->zones.at(current->services.at(0).hosts.at(0).zone).name, "zone-a");
}

// Guards against no process reading the platform after both readers of the only zone have failed undetected.
TEST_F(config_sync_test, publish_after_readers_failed_accepted)
{
    auto text = two_service_deployment(1);
    for (auto& service : text.parts) {
        for (auto& host : service[0].hosts) {
            host.zone = "zone-a";
        }
    }
    net.publish(text);
    net.publish_value("fleet", 1, fleet_text(1, text, 0));
    net.add_agents(text);
    net.run(in_force_limit);
    ASSERT_EQ(net.reader_count(), 2U);
    net.remove_readers();
    text.version = 2;
    net.publish(text);
    net.run(core::seconds(60));
    EXPECT_TRUE(net.all_have_version(2));
}

// Guards against an answer from before a pause confirming the configuration after it (design 7.5).
TEST_F(config_sync_test, revalidate_old_answer_does_not_confirm)
{
    start_fleet(two_service_deployment(1));
    auto& entry = net.node(test::entry_address(1));
    std::vector<sync_action> actions;
    wire::config_pushT push;
    push.version = 1;
    push.sequence = 1;
    net.is_platform_up = false;
    entry.revalidate(net.now, actions);
    const auto pulls = actions;
    actions.clear();
    const auto peer = core::parse_endpoint(test::agent_address(11));
    entry.on_peer_message(net.now, peer, wire::make_peer_message(core::config_version{1}, push), actions);
    EXPECT_FALSE(test::has_action<confirm_configuration>(actions));
    for (const auto& action : pulls) {
        if (const auto* message = std::get_if<send_config_message>(&action)) {
            push.sequence = message->message.body.Asconfig_pull()->sequence;
        }
    }
    entry.on_peer_message(net.now, peer, wire::make_peer_message(core::config_version{1}, push), actions);
    EXPECT_TRUE(test::has_action<confirm_configuration>(actions));
}

// Guards against a peer with an outdated version confirming it, and against missing a newer version.
TEST_F(config_sync_test, refresh_after_pause_fetches_newer_then_confirms)
{
    start_fleet(two_service_deployment(1));
    const auto paused = core::parse_endpoint(test::entry_address(2));
    net.pause(paused);
    net.publish(two_service_deployment(2));
    net.run(in_force_limit);
    net.resume(paused);
    net.revalidate(paused);
    net.run(core::seconds(2));
    EXPECT_TRUE(net.all_have_version(2));
    EXPECT_EQ(net.confirmations(paused), 1U);
}

// Guards against a peer that announces versions it does not have, and so causes pulls that use up the bandwidth.
TEST_F(config_sync_test, version_seen_repeated_false_announcement_bounded_pulls)
{
    start_fleet(two_service_deployment(1));
    auto& entry = net.node(test::entry_address(1));
    std::vector<sync_action> actions;
    const auto peer = core::parse_endpoint(test::agent_address(11));
    for (int i = 0; i < 1000; ++i) {
        entry.on_version_seen(net.now + core::milliseconds(i), peer, core::config_version{99}, actions);
    }
    EXPECT_EQ(actions.size(), 1U);
    EXPECT_EQ(entry.current()->version, core::config_version{1});
}

// Guards against a push with missing or unknown values crashing the receiver.
TEST_F(config_sync_test, push_malformed_ignored)
{
    start_fleet(two_service_deployment(1));
    auto& entry = net.node(test::entry_address(1));
    std::vector<sync_action> actions;
    wire::config_pushT push;
    push.version = 9;
    push.values.push_back(nullptr);
    for (const auto* key : {"", "services/", "services/7", "index", "fleet", "other"}) {
        push.values.push_back(std::make_unique<wire::config_valueT>());
        push.values.back()->key = key;
    }
    entry.on_peer_message(net.now, core::endpoint{}, wire::make_peer_message(core::config_version{9}, push), actions);
    EXPECT_EQ(entry.current()->version, core::config_version{1});
}

} // namespace
} // namespace daisydoor::config
