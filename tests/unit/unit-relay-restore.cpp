#include "support/sync_fleet.hpp"

#include "relay_fixture.hpp"

#include <algorithm>

namespace daisydoor::relay
{
namespace
{

using support::sync_fleet;

/// A fleet whose store comes back from an older copy.
class restored_store_test : public relay_fixture
{
  protected:
    static constexpr std::uint32_t agents = 6;

    restored_store_test()
    {
        publish({443});
        for (std::uint32_t n = 1; n <= agents; ++n) {
            m_fleet.store.put(make_host(n, "svc", n <= 3 ? "a" : "b"));
        }
        m_fleet.run(core::milliseconds(2000));
    }

    /// The operator publishes a version with routes at these ports.
    void publish(const std::vector<std::uint16_t>& ports)
    {
        m_published.version = route_version{static_cast<std::uint64_t>(m_published.version) + 3};
        m_published.routes.clear();
        for (const auto it : ports) {
            m_published.routes.push_back(make_route({{"svc", 1}}, it));
        }
        m_fleet.store.publish(m_published);
    }

    /// The store is away for a moment and returns to its copy. The operator writes again what the copy lacks.
    void restore(core::milliseconds away = core::milliseconds(500))
    {
        m_fleet.is_store_down = true;
        m_fleet.run(away);
        m_fleet.store.restore();
        m_fleet.is_store_down = false;
    }

    void rewrite_routes()
    {
        if (m_fleet.store.routes().version != m_published.version) {
            m_fleet.store.publish(m_published);
        }
    }

    void expect_newest_routes_everywhere()
    {
        for (const auto& [address, it] : m_fleet.processes()) {
            EXPECT_EQ(it->view.version(), m_published.version) << static_cast<std::uint32_t>(address);
            EXPECT_EQ(it->view.era(), m_fleet.store.era()) << static_cast<std::uint32_t>(address);
            EXPECT_EQ(it->regressions, 0U) << static_cast<std::uint32_t>(address);
        }
    }

    sync_fleet m_fleet{agents, 3};
    route_set m_published;
};

// Guards against a change that is never in force because the former era had used its revision.
TEST_F(restored_store_test, revision_given_out_again_with_other_content_is_applied)
{
    m_fleet.store.save_copy();
    publish({443, 444});
    publish({443, 445});
    m_fleet.run(core::milliseconds(500));
    restore();
    rewrite_routes();
    m_fleet.run(core::milliseconds(1500));
    publish({443, 446});
    m_fleet.run(core::milliseconds(1000));
    expect_newest_routes_everywhere();
    EXPECT_NE(m_fleet.at(sync_fleet::entry(1)).view.find_route(service_address, 446), nullptr);
}

// Guards against every process of a fleet fetching the whole view when the era changes.
TEST_F(restored_store_test, new_era_is_told_as_difference)
{
    m_fleet.store.save_copy();
    publish({443, 444});
    m_fleet.run(core::milliseconds(500));
    const auto before = m_fleet.fetches();
    restore();
    rewrite_routes();
    m_fleet.run(core::milliseconds(2000));
    expect_newest_routes_everywhere();
    EXPECT_EQ(m_fleet.fetches(), before);
}

// Guards against a second return to the same copy that is taken for the first.
TEST_F(restored_store_test, second_restore_in_a_row_is_followed)
{
    m_fleet.store.save_copy();
    publish({443, 444});
    publish({443, 445});
    m_fleet.run(core::milliseconds(500));
    restore();
    m_fleet.run(core::milliseconds(300));
    restore(core::milliseconds(200));
    rewrite_routes();
    publish({443, 446});
    m_fleet.run(core::milliseconds(2000));
    expect_newest_routes_everywhere();
}

// Guards against an old configuration at a process that cannot reach the store and hears of its return from peers.
TEST_F(restored_store_test, process_cut_off_from_store_follows_its_peers)
{
    m_fleet.store.save_copy();
    publish({443, 444});
    publish({443, 445});
    m_fleet.run(core::milliseconds(500));
    m_fleet.at(sync_fleet::entry(1)).is_cut_from_store = true;
    m_fleet.at(sync_fleet::agent(6)).is_cut_from_store = true;
    restore();
    rewrite_routes();
    publish({443, 446});
    m_fleet.run(core::milliseconds(2500));
    expect_newest_routes_everywhere();
}

// Guards against a process that was cut off from everything and continues with positions of the former era.
TEST_F(restored_store_test, process_cut_off_from_everything_catches_up)
{
    auto& value = m_fleet.at(sync_fleet::entry(1));
    m_fleet.store.save_copy();
    publish({443, 444});
    m_fleet.run(core::milliseconds(500));
    value.is_cut_from_store = true;
    value.is_cut_from_peers = true;
    publish({443, 445});
    restore();
    rewrite_routes();
    publish({443, 446});
    m_fleet.run(core::milliseconds(3000));
    value.is_cut_from_store = false;
    value.is_cut_from_peers = false;
    m_fleet.run(core::milliseconds(3500));
    expect_newest_routes_everywhere();
}

// Guards against a process that wakes up with news of the former era in its sockets.
TEST_F(restored_store_test, paused_process_catches_up)
{
    m_fleet.store.save_copy();
    publish({443, 444});
    m_fleet.at(sync_fleet::entry(1)).is_paused = true;
    m_fleet.at(sync_fleet::agent(1)).is_paused = true;
    publish({443, 445});
    m_fleet.run(core::milliseconds(500));
    restore();
    rewrite_routes();
    publish({443, 446});
    m_fleet.run(core::milliseconds(2000));
    m_fleet.resume(sync_fleet::entry(1));
    m_fleet.resume(sync_fleet::agent(1));
    m_fleet.run(core::milliseconds(2000));
    expect_newest_routes_everywhere();
}

// Guards against old routes at a process that first reads a store which refuses, is compacted or has just returned.
TEST_F(restored_store_test, store_that_refuses_or_is_without_history_is_read_again)
{
    m_fleet.store.save_copy();
    publish({443, 444});
    m_fleet.run(core::milliseconds(500));
    restore(core::milliseconds(3000));
    m_fleet.run(core::milliseconds(100));
    m_fleet.is_store_down = true;
    m_fleet.run(core::milliseconds(1000));
    m_fleet.is_store_down = false;
    rewrite_routes();
    publish({443, 445});
    m_fleet.store.compact();
    m_fleet.run(core::milliseconds(2500));
    expect_newest_routes_everywhere();
}

// Guards against a confirmation by a source that is still in the former era.
TEST_F(restored_store_test, late_news_of_former_era_change_and_confirm_nothing)
{
    m_fleet.store.save_copy();
    publish({443, 444});
    publish({443, 445});
    m_fleet.run(core::milliseconds(500));
    auto& value = m_fleet.at(sync_fleet::entry(1));
    fleet_news late;
    late.update = value.view.snapshot(m_now);
    late.update.whole = false;
    late.update.revision = revision{100};
    late.after = value.view.revision();
    late.after_era = value.view.era();
    late.regained = core::milliseconds(100'000);
    restore();
    rewrite_routes();
    m_fleet.run(core::milliseconds(2000));
    const auto position = value.view.position();
    value.sync->on_pause();
    m_fleet.deliver(sync_fleet::agent(1), sync_fleet::entry(1), late);
    EXPECT_EQ(value.view.position(), position);
    EXPECT_TRUE(value.sync->should_read(m_fleet.now()));
}

// Guards against a view that returns to the former era with an answer that a slow connection delivers late.
TEST_F(restored_store_test, late_answer_of_former_era_changes_and_confirms_nothing)
{
    m_fleet.store.save_copy();
    publish({443, 444});
    m_fleet.run(core::milliseconds(500));
    auto late = m_fleet.store.read_all();
    late.whole = true;
    restore();
    rewrite_routes();
    m_fleet.run(core::milliseconds(2000));
    auto& value = m_fleet.at(sync_fleet::agent(1));
    value.sync->on_pause();
    const auto change = value.sync->on_platform_state(late, m_fleet.now(), m_fleet.now());
    EXPECT_TRUE(change.is_from_former_era);
    EXPECT_EQ(value.view.era(), m_fleet.store.era());
    EXPECT_GT(value.sync->age(m_fleet.now()), confirmation_limit);
}

// Guards against processes of a build without eras that pull others back, or count as confirmation.
TEST_F(restored_store_test, processes_without_eras_do_not_hold_back_others)
{
    for (const auto address : {sync_fleet::agent(1), sync_fleet::agent(4), sync_fleet::entry(1)}) {
        m_fleet.at(address).is_without_eras = true;
    }
    m_fleet.run(core::milliseconds(1000));
    m_fleet.store.save_copy();
    publish({443, 444});
    publish({443, 445});
    m_fleet.run(core::milliseconds(500));
    restore();
    rewrite_routes();
    publish({443, 446});
    m_fleet.run(core::milliseconds(2500));
    for (const auto& [address, it] : m_fleet.processes()) {
        if (!it->is_without_eras) {
            EXPECT_EQ(it->view.version(), m_published.version) << static_cast<std::uint32_t>(address);
        }
    }
}

// Guards against a process that starts with the copy and serves a dropped route, or not an added one, although its
// peers have the newer version.
TEST_F(restored_store_test, process_that_starts_with_the_copy_gets_newer_routes_from_peers)
{
    publish({443, 444});
    m_fleet.run(core::milliseconds(500));
    m_fleet.store.save_copy();
    publish({443, 445});
    m_fleet.run(core::milliseconds(500));
    restore();
    for (const auto address : {sync_fleet::entry(1), sync_fleet::agent(1), sync_fleet::agent(6)}) {
        m_fleet.restart(address);
    }
    m_fleet.run(core::milliseconds(1200));
    expect_newest_routes_everywhere();
    const auto& view = m_fleet.at(sync_fleet::entry(1)).view;
    EXPECT_EQ(view.find_route(service_address, 444), nullptr);
    EXPECT_NE(view.find_route(service_address, 445), nullptr);
}

// Guards against a process without any routes because the copy was made before the operator's first version.
TEST_F(restored_store_test, process_that_starts_with_a_copy_without_routes_gets_them_from_peers)
{
    m_fleet.store = {};
    m_fleet.store.save_copy();
    m_fleet.store.publish(m_published);
    restore();
    m_fleet.restart(sync_fleet::entry(1));
    m_fleet.run(core::milliseconds(1500));
    EXPECT_EQ(m_fleet.at(sync_fleet::entry(1)).view.version(), m_published.version);
}

// Guards against newer routes that are lost because the only process that has them is still in the former era.
TEST_F(restored_store_test, newer_routes_of_process_in_former_era_are_taken_alone)
{
    m_fleet.store.save_copy();
    fleet_update former = m_fleet.store.read_all();
    former.whole = true;
    former.revision = revision{100};
    auto routes = m_published;
    routes.version = route_version{50};
    former.changes.push_back({revision{100}, routes});
    former.changes.push_back({revision{99}, make_host(9)});
    restore();
    m_fleet.run(core::milliseconds(1500));
    auto& value = m_fleet.at(sync_fleet::entry(1));
    const auto position = value.view.position();
    value.sync->on_fetched(former, m_fleet.now());
    EXPECT_EQ(value.view.version(), routes.version);
    EXPECT_EQ(value.view.position(), position);
    EXPECT_EQ(value.view.hosts().count("i-9"), 0U);
}

/// Hosts whose entries the copy lacks or still has.
class restored_hosts_test : public restored_store_test
{
  protected:
    static host written(std::uint32_t n, std::uint64_t sequence, host_state state = host_state::ready)
    {
        auto result = make_host(n, "svc", n <= 3 ? "a" : "b");
        result.sequence = sequence;
        result.state = state;
        return result;
    }

    /// Number of processes that place new flows on a host.
    std::size_t users_of(const std::string& id)
    {
        std::size_t result = 0;
        for (const auto& [address, it] : m_fleet.processes()) {
            const auto service = it->view.find_service("svc");
            const auto& hosts = it->view.hosts_of(*service);
            result += std::any_of(hosts.begin(), hosts.end(),
                                  [&id](const auto* host) { return host->value.id == id && host->accepts_new_flows(); })
                          ? 1
                          : 0;
        }
        return result;
    }

    std::size_t all() { return m_fleet.processes().size(); }
};

// Guards against flows at a host that has left and is only named by the copy.
TEST_F(restored_hosts_test, host_that_has_left_is_not_used_because_copy_names_it)
{
    m_fleet.store.put(written(5, 4));
    m_fleet.store.save_copy();
    m_fleet.store.remove("i-5");
    m_fleet.run(core::milliseconds(3000));
    ASSERT_EQ(users_of("i-5"), 0U);
    restore();
    for (int i = 0; i < 30; ++i) {
        m_fleet.run(core::milliseconds(100));
        ASSERT_EQ(users_of("i-5"), 0U);
    }
    m_fleet.store.remove("i-5");
    m_fleet.run(core::milliseconds(5000));
    EXPECT_EQ(users_of("i-5"), 0U);
}

// Guards against a dispute that a second return to the copy ends.
TEST_F(restored_hosts_test, host_that_has_left_is_not_used_after_second_restore)
{
    m_fleet.store.put(written(5, 4));
    m_fleet.store.save_copy();
    m_fleet.store.remove("i-5");
    m_fleet.run(core::milliseconds(3000));
    restore();
    m_fleet.run(core::milliseconds(1000));
    restore();
    for (int i = 0; i < 30; ++i) {
        m_fleet.run(core::milliseconds(100));
        ASSERT_EQ(users_of("i-5"), 0U);
    }
}

// Guards against a live host that is never used again because its entry was removed before the store was restored.
TEST_F(restored_hosts_test, host_whose_entry_stays_is_used_again)
{
    m_fleet.store.put(written(5, 4));
    m_fleet.store.save_copy();
    m_fleet.store.remove("i-5");
    m_fleet.run(core::milliseconds(3000));
    restore();
    m_fleet.run(heartbeats_until_removal * default_host_heartbeat + lapsed_entry_grace + core::milliseconds(1500));
    EXPECT_EQ(users_of("i-5"), all());
}

// Guards against a live host that is not used although it wrote its entry again.
TEST_F(restored_hosts_test, host_that_writes_again_is_used_at_once)
{
    m_fleet.store.put(written(5, 4));
    m_fleet.store.save_copy();
    m_fleet.store.remove("i-5");
    m_fleet.run(core::milliseconds(3000));
    restore();
    m_fleet.run(core::milliseconds(1000));
    m_fleet.store.put(written(5, 9));
    m_fleet.run(core::milliseconds(500));
    EXPECT_EQ(users_of("i-5"), all());
}

// Guards against new flows at a draining host that the copy names as ready.
TEST_F(restored_hosts_test, draining_host_does_not_become_ready_because_copy_says_so)
{
    m_fleet.store.put(written(5, 4));
    m_fleet.store.save_copy();
    m_fleet.store.put(written(5, 5, host_state::draining));
    m_fleet.run(core::milliseconds(500));
    restore();
    for (int i = 0; i < 30; ++i) {
        m_fleet.run(core::milliseconds(100));
        ASSERT_EQ(users_of("i-5"), 0U);
    }
    m_fleet.store.put(written(5, 7, host_state::draining));
    m_fleet.run(core::milliseconds(2000));
    EXPECT_EQ(users_of("i-5"), 0U);
}

// Guards against a restarted host that keeps the state of the incarnation before, whose count was higher.
TEST_F(restored_hosts_test, new_incarnation_counts_from_the_start)
{
    m_fleet.store.put(written(5, 40, host_state::draining));
    m_fleet.run(core::milliseconds(500));
    m_fleet.store.save_copy();
    restore();
    auto restarted = written(5, 1);
    restarted.born += 5000;
    m_fleet.store.put(restarted);
    m_fleet.run(core::milliseconds(1500));
    EXPECT_EQ(users_of("i-5"), all());
}

// Guards against the loss of live hosts that the copy lacks; draining ones still serve their flows.
TEST_F(restored_hosts_test, host_that_copy_lacks_stays_until_it_is_written_again)
{
    m_fleet.store.save_copy();
    m_fleet.store.put(written(7, 1));
    m_fleet.store.put(written(8, 2, host_state::draining));
    m_fleet.run(core::milliseconds(500));
    restore();
    m_fleet.run(core::milliseconds(1200));
    EXPECT_EQ(users_of("i-7"), all());
    for (const auto& [address, it] : m_fleet.processes()) {
        EXPECT_EQ(it->view.hosts().count("i-8"), 1U);
    }
    m_fleet.store.put(written(7, 3));
    m_fleet.run(core::milliseconds(3000));
    EXPECT_EQ(users_of("i-7"), all());
    for (const auto& [address, it] : m_fleet.processes()) {
        EXPECT_EQ(it->view.hosts().count("i-8"), 0U) << "was not written again";
    }
}

// Guards against a process that gets the view from a peer while a host is missing, and keeps that host for ever.
TEST_F(restored_hosts_test, grace_ends_at_process_that_fetched_the_view)
{
    m_fleet.store.save_copy();
    m_fleet.store.put(written(7, 1));
    m_fleet.run(core::milliseconds(500));
    restore();
    m_fleet.run(core::milliseconds(1000));
    m_fleet.at(sync_fleet::entry(1)).is_cut_from_store = true;
    m_fleet.restart(sync_fleet::entry(1));
    m_fleet.run(core::milliseconds(300));
    EXPECT_EQ(users_of("i-7"), all()) << "a host in its grace time is told with it";
    m_fleet.run(core::milliseconds(2500));
    EXPECT_EQ(users_of("i-7"), 0U);
}

// Guards against a dispute that ends while the store, restored again, still counts the time without a write.
TEST_F(restored_hosts_test, dispute_lasts_until_the_last_restore_is_over)
{
    m_fleet.store.put(written(5, 4));
    m_fleet.store.save_copy();
    m_fleet.store.remove("i-5");
    m_fleet.run(core::milliseconds(3000));
    restore();
    m_fleet.run(core::milliseconds(3500));
    restore();
    for (int i = 0; i < 35; ++i) {
        m_fleet.run(core::milliseconds(100));
        ASSERT_EQ(users_of("i-5"), 0U);
    }
}

} // namespace
} // namespace daisydoor::relay
