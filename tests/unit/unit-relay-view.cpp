#include "daisydoor/relay/fleet_view.hpp"
#include "daisydoor/relay/placement.hpp"
#include "daisydoor/relay/store_reader.hpp"

#include "relay_fixture.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <random>

namespace daisydoor::relay
{
namespace
{

class fleet_view_test : public relay_fixture
{
  protected:
    fleet_view_test()
    {
        set_routes(m_view, {make_route({{"svc", 1}})});
        add_host(m_view, make_host(1));
    }

    bool has_host(const std::string& id) const { return m_view.hosts().count(id) != 0; }

    fleet_view m_view{"a"};
};

// Guards against a configuration that reverts when an older one arrives late.
TEST_F(fleet_view_test, older_routes_change_nothing)
{
    set_routes(m_view, {make_route({{"newer", 1}})});
    route_set older;
    older.version = route_version{1};
    fleet_update update;
    update.revision = revision{100};
    update.changes.push_back({update.revision, older});
    m_view.apply(update, m_now);
    EXPECT_EQ(m_view.version(), route_version{2});
    EXPECT_NE(m_view.find_route(service_address, service_port), nullptr);
}

// Guards against a removed host that reappears with a repeated, older message.
TEST_F(fleet_view_test, older_update_does_not_restore_removed_host)
{
    fleet_update older = m_view.snapshot(m_now);
    remove_host(m_view, "i-1");
    m_view.apply(older, m_now);
    EXPECT_FALSE(has_host("i-1"));
}

// Guards against hosts that stay after the history between two whole reads was lost.
TEST_F(fleet_view_test, whole_update_removes_hosts_that_it_does_not_name)
{
    fleet_update update;
    update.revision = revision{100};
    update.whole = true;
    update.changes.push_back({revision{50}, make_host(2)});
    m_view.apply(update, m_now);
    EXPECT_FALSE(has_host("i-1"));
    EXPECT_TRUE(has_host("i-2"));
}

// Guards against the loss of live hosts whose entries lapsed during an outage of the platform.
TEST_F(fleet_view_test, entry_that_lapsed_during_outage_is_used_until_grace_ends)
{
    m_view.on_platform_regained(m_now);
    advance(core::milliseconds(100));
    remove_host(m_view, "i-1");
    EXPECT_TRUE(has_host("i-1"));
    advance(lapsed_entry_grace);
    EXPECT_EQ(m_view.expire(m_now), 1U);
    EXPECT_FALSE(has_host("i-1"));
}

// Guards against a host that is dropped although its entry is back.
TEST_F(fleet_view_test, entry_that_returns_is_kept)
{
    m_view.on_platform_regained(m_now);
    remove_host(m_view, "i-1");
    add_host(m_view, make_host(1));
    advance(lapsed_entry_grace);
    EXPECT_EQ(m_view.expire(m_now), 0U);
    EXPECT_TRUE(has_host("i-1"));
}

// Guards against flows at a host that was draining before the outage.
TEST_F(fleet_view_test, draining_host_that_vanishes_is_removed_at_once)
{
    auto value = make_host(1);
    value.state = host_state::draining;
    add_host(m_view, value);
    m_view.on_platform_regained(m_now);
    remove_host(m_view, "i-1");
    EXPECT_FALSE(has_host("i-1"));
}

// Guards against a former host that is found at an address which a new host of another service has.
TEST_F(fleet_view_test, reused_address_names_newest_incarnation)
{
    auto value = make_host(9, "other");
    value.address = agent_address(1);
    value.born = 5000;
    add_host(m_view, value);
    EXPECT_EQ(m_view.find_host(agent_address(1))->value.id, "i-9");
}

// Guards against open flows that cannot be found after their route was given to another service.
TEST_F(fleet_view_test, changed_route_remembers_former_service)
{
    set_routes(m_view, {make_route({{"other", 1}})});
    const auto* route = m_view.find_route(service_address, service_port);
    ASSERT_EQ(route->former_services.size(), 1U);
    EXPECT_EQ(m_view.hosts_of(route->former_services[0]).size(), 1U);
}

// Guards against a dropped route that is mistaken for one that is not known yet.
TEST_F(fleet_view_test, dropped_route_is_remembered_until_it_returns)
{
    set_routes(m_view, {});
    EXPECT_TRUE(m_view.is_dropped_route(service_address, service_port));
    EXPECT_FALSE(m_view.is_dropped_route(service_address, 1));
    set_routes(m_view, {make_route({{"svc", 1}})});
    EXPECT_FALSE(m_view.is_dropped_route(service_address, service_port));
}

// Guards against weights that are ignored, and against processes that choose differently.
TEST_F(fleet_view_test, services_of_route_get_their_weights)
{
    set_routes(m_view, {make_route({{"svc", 90}, {"other", 10}})});
    const auto* route = m_view.find_route(service_address, service_port);
    const auto first = m_view.find_service("svc");
    int n = 0;
    for (std::uint16_t i = 0; i < 10'000; ++i) {
        n += fleet_view::choose_service(*route, hash_of(make_flow(i))) == *first ? 1 : 0;
    }
    EXPECT_NEAR(n, 9000, 200);
}

class placement_test : public relay_fixture
{
  protected:
    static bool never(ipv4 /*agent*/) { return false; }

    fleet_view m_view{"a"};
};

// Guards against traffic between availability zones although the entry's zone has hosts.
TEST_F(placement_test, choose_host_prefers_own_zone)
{
    set_routes(m_view, {make_route({{"svc", 1}})});
    add_host(m_view, make_host(1, "svc", "b"));
    add_host(m_view, make_host(2, "svc", "a"));
    const auto* route = m_view.find_route(service_address, service_port);
    for (std::uint16_t i = 0; i < 50; ++i) {
        EXPECT_EQ(choose_host(m_view, *route, hash_of(make_flow(i)), never, never)->value.id, "i-2");
    }
    const auto* other = choose_host(
        m_view, *route, 1, [](ipv4 agent) { return agent == agent_address(2); }, never);
    EXPECT_EQ(other->value.id, "i-1");
}

// Guards against new flows at draining hosts, and against a choice when no host accepts flows.
TEST_F(placement_test, choose_host_skips_draining_hosts)
{
    set_routes(m_view, {make_route({{"svc", 1}})});
    auto value = make_host(1);
    value.state = host_state::draining;
    add_host(m_view, value);
    const auto* route = m_view.find_route(service_address, service_port);
    EXPECT_EQ(choose_host(m_view, *route, 1, never, never), nullptr);
    EXPECT_NE(choose_likely_owner(m_view, *route, 1, never), nullptr);
}

// Guards against load reports that grow with the square of a service's hosts, and against an agent that waits for
// reports of a peer which does not send it any.
TEST_F(placement_test, load_peers_are_few_and_mutual)
{
    constexpr std::uint32_t hosts = 60;
    std::map<ipv4, std::vector<ipv4>> peers;
    for (const auto* zone : {"a", "b", "c"}) {
        fleet_view view(zone);
        for (std::uint32_t n = 1; n <= hosts; ++n) {
            add_host(view, make_host(n, "svc", n % 3 == 0 ? "a" : n % 3 == 1 ? "b" : "c"));
        }
        auto again = make_host(hosts + 1, "svc", "b");
        again.address = agent_address(1);
        add_host(view, again);
        for (const auto& [id, entry] : view.hosts()) {
            if (entry.in_own_zone) {
                peers[entry.value.address] = load_peers(view.hosts_of(*view.find_service("svc")), entry.value.address);
            }
        }
    }
    for (const auto& [agent, of_agent] : peers) {
        EXPECT_LE(of_agent.size(), 4 * load_ring_reach);
        EXPECT_GE(of_agent.size(), 2 * load_ring_reach);
        for (const auto peer : of_agent) {
            const auto& of_peer = peers.at(peer);
            EXPECT_TRUE(std::binary_search(of_peer.begin(), of_peer.end(), agent));
        }
    }
}

// Guards against hosts of a small service that do not know each other's load.
TEST_F(placement_test, load_peers_of_small_service_are_all)
{
    for (std::uint32_t n = 1; n <= 2 * load_ring_reach + 1; ++n) {
        add_host(m_view, make_host(n));
    }
    const auto& hosts = m_view.hosts_of(*m_view.find_service("svc"));
    EXPECT_EQ(load_peers(hosts, agent_address(1)).size(), 2 * load_ring_reach);
    EXPECT_EQ(load_peers(hosts, agent_address(99)).size(), hosts.size());
}

// Guards against equally busy hosts that redirect flows to each other by reports that are 100 ms old.
TEST_F(placement_test, choose_less_busy_keeps_flow_among_equals)
{
    const host_load own{3, 40, 5, true};
    EXPECT_EQ(choose_less_busy(own, {{agent_address(2), {2, 42, 5, true}, true, 0, true}}, 1), nullptr);
    EXPECT_NE(choose_less_busy(own, {{agent_address(2), {0, 40, 5, true}, true, 0, true}}, 1), nullptr);
    EXPECT_EQ(choose_less_busy(own, {{agent_address(2), {0, 40, 5, true}, false, 0, true}}, 1), nullptr);
}

// Guards against all flows of a burst going to the peer that was free at the last report.
TEST_F(placement_test, choose_less_busy_counts_flows_redirected_since_report)
{
    const host_load own{5, 0, 5, true};
    EXPECT_EQ(choose_less_busy(own, {{agent_address(2), {0, 0, 5, true}, true, 5, true}}, 1), nullptr);
}

// Guards against a new host that all agents choose at the same moment: it got 27 requests for 2 slots at once. Fifty
// agents with full hosts see one empty peer and eleven with a slot left.
TEST_F(placement_test, choose_less_busy_spreads_over_all_less_busy_peers)
{
    const host_load own{3, 10, 2, true};
    std::vector<peer_load> peers{{agent_address(1), {0, 0, 2, true}, true, 0, true}};
    for (std::uint32_t n = 2; n <= 12; ++n) {
        peers.push_back({agent_address(n), {1, 10, 2, true}, true, 0, true});
    }
    int at_empty = 0;
    for (std::uint16_t agent = 0; agent < 50; ++agent) {
        const auto* chosen = choose_less_busy(own, peers, hash_of(make_flow(agent)));
        ASSERT_NE(chosen, nullptr);
        at_empty += chosen->agent == agent_address(1) ? 1 : 0;
    }
    EXPECT_LE(at_empty, 12);
    EXPECT_GE(at_empty, 2);
}

class store_reader_test : public relay_fixture
{
  protected:
    void answer(store_call call, std::uint64_t at, bool has_more = false)
    {
        const auto request = m_reader.next(m_now);
        ASSERT_TRUE(request);
        ASSERT_EQ(request->call, call);
        fleet_update update;
        update.revision = revision{at};
        m_progress = m_reader.on_result(store_result::answered, update, has_more, "servers/x", m_now);
    }

    void fail()
    {
        ASSERT_TRUE(m_reader.next(m_now));
        m_progress = m_reader.on_result(store_result::failed, {}, false, "", m_now);
    }

    void read_all()
    {
        answer(store_call::read_all, 10, true);
        answer(store_call::read_all, 12, true);
        answer(store_call::read_all, 14);
        advance(watch_pause);
    }

    store_reader m_reader;
    store_progress m_progress;
};

// Guards against changes that fall between the pages of a read, which are no snapshot.
TEST_F(store_reader_test, watch_continues_from_first_page)
{
    read_all();
    ASSERT_TRUE(m_progress.update);
    EXPECT_TRUE(m_progress.update->whole);
    EXPECT_EQ(m_progress.update->revision, revision{10});
    const auto request = m_reader.next(m_now);
    ASSERT_TRUE(request);
    EXPECT_EQ(request->call, store_call::watch);
    EXPECT_EQ(request->revision, revision{10});
}

// Guards against a start that costs more than one call of the platform: a kill of all processes of a large fleet made
// two calls for each of them.
TEST_F(store_reader_test, start_of_fleet_that_fits_a_page_takes_one_call)
{
    answer(store_call::read_all, 10);
    ASSERT_TRUE(m_progress.update);
    EXPECT_TRUE(m_progress.update->whole);
}

// Guards against a view that lacks the first pages because a later one failed.
TEST_F(store_reader_test, failed_page_starts_read_from_first_page)
{
    answer(store_call::read_all, 10, true);
    EXPECT_EQ(m_reader.next(m_now)->after, "servers/x");
    m_progress = m_reader.on_result(store_result::failed, {}, false, "", m_now);
    advance(retry_pause);
    const auto again = m_reader.next(m_now);
    ASSERT_TRUE(again);
    EXPECT_EQ(again->call, store_call::read_all);
    EXPECT_TRUE(again->after.empty());
}

// Guards against a watch by every new process, cancelled as soon as the process learns that others read.
TEST_F(store_reader_test, whole_read_leaves_time_to_stop_reading)
{
    answer(store_call::read_all, 10);
    EXPECT_FALSE(m_reader.next(m_now));
    m_reader.set_mode(read_mode::off, {store_era{}, revision{10}}, m_now);
    advance(watch_pause);
    EXPECT_FALSE(m_reader.next(m_now));
}

// Guards against a process that stops reading when the platform has dropped its history.
TEST_F(store_reader_test, lost_history_reads_everything_again)
{
    read_all();
    ASSERT_TRUE(m_reader.next(m_now));
    m_reader.on_result(store_result::history_lost, {}, false, "", m_now);
    EXPECT_EQ(m_reader.next(m_now)->call, store_call::read_all);
}

// Guards against many processes that call a failing platform without a pause.
TEST_F(store_reader_test, failures_back_off_and_report_once)
{
    fail();
    EXPECT_TRUE(m_progress.became_unreachable);
    EXPECT_FALSE(m_reader.next(m_now));
    advance(retry_pause);
    fail();
    EXPECT_FALSE(m_progress.became_unreachable);
    advance(retry_pause);
    EXPECT_FALSE(m_reader.next(m_now));
    advance(retry_pause);
    answer(store_call::read_all, 1);
    EXPECT_TRUE(m_progress.became_reachable);
}

// Guards against many processes that all watch the platform, and against one that misses the changes of the time in
// which it did not read.
TEST_F(store_reader_test, check_after_mode_off_continues_from_known_revision)
{
    read_all();
    m_reader.set_mode(read_mode::off, {store_era{}, revision{14}}, m_now);
    EXPECT_FALSE(m_reader.next(m_now));
    m_reader.set_mode(read_mode::check, {store_era{}, revision{40}}, m_now);
    const auto request = m_reader.next(m_now);
    ASSERT_TRUE(request);
    EXPECT_EQ(request->call, store_call::watch);
    EXPECT_EQ(request->revision, revision{40});
    EXPECT_EQ(request->wait, check_wait);
}

// Guards against a process that waits for an answer which was lost while the process was paused.
TEST_F(store_reader_test, pause_starts_call_at_once)
{
    read_all();
    ASSERT_TRUE(m_reader.next(m_now));
    EXPECT_FALSE(m_reader.next(m_now));
    EXPECT_TRUE(m_reader.on_pause(m_now)) << "the caller aborts the call in flight";
    EXPECT_EQ(m_reader.next(m_now)->call, store_call::watch);
}

// Guards against a reader that waits for a retry of a failed call which a check has cancelled.
TEST_F(store_reader_test, check_gives_up_retry_after_failure)
{
    read_all();
    fail();
    advance(retry_pause);
    EXPECT_EQ(m_reader.next(m_now)->wait, watch_wait);
    EXPECT_TRUE(m_reader.check_now(m_now)) << "the caller aborts the retry";
    const auto request = m_reader.next(m_now);
    ASSERT_TRUE(request);
    EXPECT_EQ(request->wait, check_wait);
}

// Guards against a check that gives up the call that answers it.
TEST_F(store_reader_test, check_keeps_call_that_returns_at_once)
{
    EXPECT_EQ(m_reader.next(m_now)->call, store_call::read_all);
    EXPECT_FALSE(m_reader.check_now(m_now));
    EXPECT_TRUE(m_reader.is_in_flight());
    m_reader.on_result(store_result::answered, {}, false, "", m_now);
    advance(watch_pause);
    EXPECT_FALSE(m_reader.check_now(m_now)) << "no call is in flight";
    EXPECT_EQ(m_reader.next(m_now)->wait, check_wait);
    EXPECT_FALSE(m_reader.check_now(m_now));
    EXPECT_TRUE(m_reader.is_in_flight());
}

// Guards against any order of events after which a process that should read has neither a call in flight nor one that
// is due within the longest pause.
TEST_F(store_reader_test, random_events_leave_call_in_flight_or_due)
{
    constexpr int seeds = 500;
    constexpr int events = 200;
    for (int seed = 0; seed < seeds; ++seed) {
        std::mt19937 random(static_cast<unsigned>(seed));
        const auto pick = [&random](int n) { return static_cast<int>(random() % static_cast<unsigned>(n)); };
        store_reader reader;
        /// The call that the caller has in flight.
        std::optional<store_request> call;
        std::uint64_t position = 10;
        for (int i = 0; i < events; ++i) {
            advance(core::milliseconds(pick(300)));
            bool gives_up = false;
            switch (pick(6)) {
            case 0:
                gives_up = reader.check_now(m_now);
                break;
            case 1:
                gives_up = reader.on_pause(m_now);
                break;
            case 2:
                reader.set_mode(static_cast<read_mode>(pick(3)), {store_era{}, revision{position}}, m_now);
                break;
            default:
                if (call) {
                    fleet_update update;
                    update.revision = revision{position += static_cast<std::uint64_t>(pick(2))};
                    update.era = store_era{static_cast<std::uint64_t>(1 + i * pick(2) / 100)};
                    call.reset();
                    reader.on_result(static_cast<store_result>(pick(3)), update, pick(3) == 0, "servers/x", m_now);
                }
            }
            EXPECT_TRUE(!gives_up || call) << "gives up a call that is not in flight";
            if (gives_up) {
                call.reset();
            }
            if (const auto next = reader.next(m_now)) {
                ASSERT_FALSE(call) << "seed " << seed << ": two calls in flight after event " << i;
                call = next;
            }
            ASSERT_EQ(reader.is_in_flight(), call.has_value()) << "seed " << seed << ", event " << i;
            ASSERT_TRUE(call || reader.mode() == read_mode::off || reader.due_at() <= m_now + max_check_pause)
                << "seed " << seed << ": nothing is due after event " << i;
        }
    }
}

} // namespace
} // namespace daisydoor::relay
