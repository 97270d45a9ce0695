#include "daisydoor/relay/codec.hpp"
#include "daisydoor/relay/entry_relay.hpp"
#include "support/sync_fleet.hpp"

#include "agent_relay_fixture.hpp"

#include <algorithm>
#include <random>

namespace daisydoor::relay
{
namespace
{

using support::sync_fleet;

/// Processes that follow the operator's evacuations of the zones `a` and `b`.
class evacuated_fleet_test : public relay_fixture
{
  protected:
    static constexpr std::uint32_t agents = 6;
    /// Time in which an evacuation must be in force (EvacuateMs).
    static constexpr core::milliseconds evacuation_time{3000};

    evacuated_fleet_test()
    {
        publish();
        for (std::uint32_t n = 1; n <= agents; ++n) {
            m_fleet.store.put(make_host(n, "svc", zone_of(n)));
        }
        m_fleet.run(core::milliseconds(2000));
    }

    static std::string zone_of(std::uint32_t n) { return n <= 3 ? "a" : "b"; }

    void publish()
    {
        m_routes.version = route_version{static_cast<std::uint64_t>(m_routes.version) + 2};
        m_routes.routes = {make_route({{"svc", 1}})};
        m_fleet.store.publish(m_routes);
    }

    void restore()
    {
        m_fleet.is_store_down = true;
        m_fleet.run(core::milliseconds(500));
        m_fleet.store.restore();
        m_fleet.is_store_down = false;
    }

    /// Zones whose hosts get nothing new at a process.
    std::string closed_zones(const fleet_view& view) const
    {
        std::string result;
        for (const auto& [id, entry] : view.hosts()) {
            const auto& zone = entry.value.availability_zone;
            if (!entry.accepts_new_flows() && result.find(zone) == std::string::npos) {
                result += zone;
            }
            EXPECT_EQ(entry.accepts_new_flows(), result.find(zone) == std::string::npos) << id;
        }
        return result;
    }

    void expect_closed_everywhere(const std::string& zones)
    {
        for (const auto& [address, it] : m_fleet.processes()) {
            EXPECT_EQ(closed_zones(it->view), zones) << std::hex << static_cast<std::uint32_t>(address);
        }
    }

    sync_fleet m_fleet{agents, 3};
    route_set m_routes;
};

// Guards against an evacuation that does not reach processes that never read the store, or does not end there.
TEST_F(evacuated_fleet_test, evacuations_together_and_taken_back_reach_every_process)
{
    m_fleet.store.evacuate("b");
    m_fleet.run(core::milliseconds(1000));
    expect_closed_everywhere("b");
    publish();
    m_fleet.store.evacuate("a");
    m_fleet.run(core::milliseconds(1000));
    expect_closed_everywhere("ab");
    m_fleet.store.end_evacuation("b");
    m_fleet.store.evacuate("b");
    m_fleet.store.end_evacuation("a");
    m_fleet.run(core::milliseconds(1000));
    expect_closed_everywhere("b");
    m_fleet.store.end_evacuation("b");
    m_fleet.run(core::milliseconds(1000));
    expect_closed_everywhere("");
}

// Guards against other processes reading the platform because a zone is evacuated.
TEST_F(evacuated_fleet_test, readers_stay_the_same)
{
    const auto readers = [this] {
        std::string result;
        for (const auto& [address, it] : m_fleet.processes()) {
            result += it->sync->is_reader() ? 'r' : '-';
        }
        return result;
    };
    const auto before = readers();
    m_fleet.store.evacuate("a");
    m_fleet.store.evacuate("b");
    m_fleet.run(core::milliseconds(1000));
    EXPECT_EQ(readers(), before);
}

// Guards against a process that starts while a zone is evacuated and the store is down, and sends flows there.
TEST_F(evacuated_fleet_test, process_that_starts_during_outage_learns_from_peers)
{
    m_fleet.store.evacuate("b");
    m_fleet.run(core::milliseconds(1000));
    m_fleet.is_store_down = true;
    m_fleet.restart(sync_fleet::entry(1));
    m_fleet.restart(sync_fleet::agent(5));
    m_fleet.run(core::milliseconds(3000));
    EXPECT_TRUE(m_fleet.at(sync_fleet::entry(1)).view.is_ready());
    expect_closed_everywhere("b");
}

// Guards against a zone that stays closed because the end of its evacuation was only in the history that was dropped.
TEST_F(evacuated_fleet_test, whole_state_without_key_ends_evacuation)
{
    m_fleet.store.evacuate("b");
    m_fleet.run(core::milliseconds(1000));
    m_fleet.is_store_down = true;
    m_fleet.run(core::milliseconds(1000));
    m_fleet.store.end_evacuation("b");
    m_fleet.store.evacuate("a");
    m_fleet.store.compact();
    m_fleet.is_store_down = false;
    m_fleet.run(evacuation_time);
    expect_closed_everywhere("a");
}

// Guards against zones that are closed or open against what the store has after its return from an older copy.
TEST_F(evacuated_fleet_test, restored_store_decides)
{
    m_fleet.store.evacuate("a");
    m_fleet.run(core::milliseconds(500));
    m_fleet.store.save_copy();
    m_fleet.store.end_evacuation("a");
    m_fleet.store.evacuate("b");
    m_fleet.run(core::milliseconds(1000));
    expect_closed_everywhere("b");
    restore();
    m_fleet.run(evacuation_time);
    expect_closed_everywhere("a");
    m_fleet.store.end_evacuation("a");
    m_fleet.run(core::milliseconds(1000));
    expect_closed_everywhere("");
}

// Guards against a process of this build that misses an evacuation because its sources are of an earlier build.
TEST_F(evacuated_fleet_test, sources_of_earlier_build_do_not_hide_evacuations)
{
    for (const auto& [address, it] : m_fleet.processes()) {
        it->is_without_evacuations = address < sync_fleet::entry(1) || it->sync->is_reader();
    }
    m_fleet.store.evacuate("b");
    m_fleet.run(core::milliseconds(300));
    publish();
    m_fleet.run(evacuation_time);
    expect_closed_everywhere("b");
    m_fleet.store.end_evacuation("b");
    publish();
    m_fleet.run(evacuation_time);
    expect_closed_everywhere("");
    m_fleet.restart(sync_fleet::entry(2));
    m_fleet.store.evacuate("a");
    m_fleet.run(evacuation_time);
    expect_closed_everywhere("a");
}

class random_evacuation_test : public evacuated_fleet_test, public ::testing::WithParamInterface<int>
{
};

// Guards against an order of evacuations, configurations and faults after which a process does not have what the store
// has.
TEST_P(random_evacuation_test, any_order_ends_as_the_store_has_it)
{
    constexpr int rounds = 25;
    const auto seed = static_cast<std::uint64_t>(GetParam());
    std::mt19937_64 random(seed);
    const auto pick = [&random](std::uint64_t n) { return random() % n; };
    m_fleet.store.save_copy();
    for (int round = 0; round < rounds; ++round) {
        const std::string zone = pick(2) == 0 ? "a" : "b";
        const auto n = static_cast<std::uint32_t>(1 + pick(agents));
        switch (pick(8)) {
        case 0:
        case 1:
            m_fleet.store.evacuate(zone);
            break;
        case 2:
            m_fleet.store.end_evacuation(zone);
            break;
        case 3:
            publish();
            break;
        case 4:
            m_fleet.store.compact();
            break;
        case 5:
            pick(2) == 0 ? m_fleet.store.save_copy() : restore();
            break;
        case 6:
            m_fleet.restart(sync_fleet::agent(n));
            break;
        default:
            m_fleet.at(sync_fleet::agent(n)).is_without_evacuations = pick(2) == 0;
            break;
        }
        m_fleet.run(core::milliseconds(20 * pick(30)));
    }
    m_fleet.run(evacuation_time + core::milliseconds(1000));
    std::string expected;
    for (const auto& [name, at] : m_fleet.store.evacuated()) {
        expected += name;
    }
    expect_closed_everywhere(expected);
}

INSTANTIATE_TEST_SUITE_P(seeds, random_evacuation_test, ::testing::Range(1, 41));

/// A view that gets updates one by one, in zone `a`.
class evacuated_view_test : public relay_fixture
{
  protected:
    void apply(const fleet_update& value) { m_view.apply(value, m_now); }

    static fleet_update make_update(std::uint64_t at, std::vector<fleet_change> changes, bool whole = false)
    {
        fleet_update result;
        result.era = store_era{1};
        result.revision = revision{at};
        result.whole = whole;
        result.changes = std::move(changes);
        return result;
    }

    bool accepts(std::uint32_t n) const { return m_view.hosts().at("i-" + std::to_string(n)).accepts_new_flows(); }

    fleet_view m_view{"a"};
};

// Guards against a host that gets flows since its entry came after the evacuation, and one of an unknown zone that does
// not.
TEST_F(evacuated_view_test, hosts_added_to_evacuated_zone_are_closed_others_are_not)
{
    apply(make_update(10, {{revision{1}, zone_evacuated{"a"}}, {revision{2}, make_host(1)}}, true));
    apply(make_update(11, {{revision{11}, make_host(2)}}));
    apply(make_update(12, {{revision{12}, make_host(3, "svc", "unheard-of")}}));
    EXPECT_FALSE(accepts(1));
    EXPECT_FALSE(accepts(2));
    EXPECT_TRUE(accepts(3));
    EXPECT_TRUE(m_view.is_evacuated(agent_address(1)));
    EXPECT_FALSE(m_view.is_evacuated(agent_address(3)));
    EXPECT_TRUE(m_view.is_evacuated(agent_address(9))) << "an unknown agent counts as of this process's zone";
    // The host moves to another zone.
    apply(make_update(13, {{revision{13}, make_host(2, "svc", "b")}}));
    EXPECT_TRUE(accepts(2));
}

// Guards against an evacuation that comes back with a change that was overtaken.
TEST_F(evacuated_view_test, older_change_and_repeated_request_change_nothing)
{
    apply(make_update(10, {{revision{2}, make_host(1)}, {revision{9}, zone_evacuated{"a"}}}, true));
    m_now += core::milliseconds(500);
    const auto since = m_view.evacuated_zones().at("a").since;
    const auto repeated = m_view.apply(make_update(11, {{revision{11}, zone_evacuated{"a"}}}), m_now);
    EXPECT_FALSE(repeated.evacuations());
    EXPECT_EQ(m_view.evacuated_zones().at("a").since, since);
    EXPECT_FALSE(m_view.apply(make_update(10, {{revision{10}, evacuation_ended{"a"}}}), m_now).evacuations());
    EXPECT_FALSE(accepts(1));
    const auto ended = m_view.apply(make_update(12, {{revision{12}, evacuation_ended{"a"}}}), m_now);
    EXPECT_EQ(ended.zones_returned, std::vector<std::string>{"a"});
    apply(make_update(11, {{revision{11}, zone_evacuated{"a"}}}));
    EXPECT_TRUE(accepts(1));
}

// Guards against evacuations that are lost on the way between processes, and against a build without them that is
// taken for one that has none.
TEST_F(evacuated_view_test, codec_keeps_evacuations_and_says_whether_there_are_any)
{
    apply(make_update(10, {{revision{9}, zone_evacuated{"b"}}}, true));
    auto bytes = encode_update(m_view.snapshot(m_now));
    auto decoded = decode_update({bytes.data(), bytes.size()});
    ASSERT_TRUE(decoded);
    EXPECT_FALSE(decoded->lacks_evacuations);
    ASSERT_EQ(decoded->changes.size(), 1U);
    EXPECT_EQ(std::get<zone_evacuated>(decoded->changes[0].value).availability_zone, "b");
    bytes = encode_update(make_update(11, {{revision{11}, evacuation_ended{"b"}}}));
    decoded = decode_update({bytes.data(), bytes.size()});
    EXPECT_EQ(std::get<evacuation_ended>(decoded->changes.at(0).value).availability_zone, "b");
    auto earlier = make_update(12, {});
    earlier.lacks_evacuations = true;
    bytes = encode_update(earlier);
    EXPECT_TRUE(decode_update({bytes.data(), bytes.size()})->lacks_evacuations);
}

/// Agent 1 of three in zone `a`; host 4 is in zone `b`.
class evacuated_agent_test : public agent_relay_test
{
  protected:
    evacuated_agent_test() { add_host(m_view, make_host(4, "svc", "b")); }

    void evacuate(const std::string& zone) { change(zone_evacuated{zone}); }

    template <typename Change>
    void change(Change value)
    {
        fleet_update update;
        update.revision = revision{static_cast<std::uint64_t>(m_view.revision()) + 1};
        update.changes.push_back({update.revision, std::move(value)});
        m_view.apply(update, m_now);
    }

    std::size_t delivered() const { return emitted<send_to_host>().size(); }

    /// Whether the client was told that the flow was not opened, and nothing else happened with the packet.
    bool is_refused() const
    {
        return delivered() == 0 && emitted<send_to_agent>().empty() && emitted<reset_client>().size() == 1;
    }
};

// Guards against flows that are opened in an evacuated zone because an entry does not know of it yet.
TEST_F(evacuated_agent_test, opening_goes_to_peer_of_other_zone)
{
    evacuate("a");
    on_packet(make_syn(make_flow()));
    EXPECT_EQ(delivered(), 0U);
    ASSERT_EQ(emitted<send_to_agent>().size(), 1U);
    EXPECT_EQ(emitted<send_to_agent>()[0].agent, agent_address(4));
    EXPECT_FALSE(m_agent->load().accepts);
}

// Guards against an opening that is left without an answer, or opened, when no zone is left.
TEST_F(evacuated_agent_test, opening_is_refused_at_once_when_all_zones_are_evacuated)
{
    evacuate("a");
    evacuate("b");
    on_packet(make_syn(make_flow()));
    EXPECT_TRUE(is_refused());
    change(evacuation_ended{"a"});
    on_packet(make_syn(make_flow(40002)));
    EXPECT_EQ(delivered(), 1U);
}

// Guards against open flows that lose their host, or their later requests, to an evacuation.
TEST_F(evacuated_agent_test, open_flow_is_served)
{
    open(make_flow());
    evacuate("a");
    auto request = make_packet(make_flow());
    request.payload_size = 10;
    on_packet(request);
    EXPECT_EQ(delivered(), 1U);
    on_packet(make_syn(make_flow()));
    EXPECT_EQ(delivered(), 1U) << "a copy lets the host answer again";
}

// Guards against a copy of an opening packet that opens a flow after the evacuation came into force.
TEST_F(evacuated_agent_test, copy_of_unanswered_opening_is_not_delivered)
{
    on_packet(make_syn(make_flow()));
    EXPECT_EQ(delivered(), 1U);
    evacuate("a");
    on_packet(make_syn(make_flow(), 1));
    EXPECT_EQ(delivered(), 0U);
    tick(opening_timeout);
    ASSERT_EQ(emitted<send_to_agent>().size(), 1U);
    EXPECT_EQ(emitted<send_to_agent>()[0].agent, agent_address(4));
}

// Guards against an opening packet for a flow that a restarted agent only searches, delivered to the host.
TEST_F(evacuated_agent_test, opening_of_searched_flow_is_not_delivered)
{
    evacuate("a");
    restart(true);
    on_packet(make_packet(make_flow()));
    EXPECT_EQ(delivered(), 1U) << "the host may have the flow";
    on_packet(make_syn(make_flow()));
    EXPECT_EQ(delivered(), 0U);
}

// Guards against a suspected host that still gets flows as the last resort, or as a probe.
TEST_F(evacuated_agent_test, suspected_host_is_neither_probed_nor_last_resort)
{
    for (std::uint16_t port = 1; port <= max_unanswered_openings; ++port) {
        on_packet(make_syn(make_flow(port)));
        tick(opening_timeout);
    }
    evacuate("a");
    advance(probe_interval);
    on_packet(make_syn(make_flow(40002)));
    EXPECT_EQ(delivered(), 0U) << "a copy would probe the host";
    evacuate("b");
    on_packet(make_syn(make_flow(40003)));
    EXPECT_TRUE(is_refused());
}

// Guards against failing hosts that get their full share because the closed hosts of an evacuated zone use up the share
// that may be avoided.
TEST_F(evacuated_agent_test, hosts_of_evacuated_zone_do_not_count_as_avoided)
{
    for (std::uint32_t n = 5; n <= 8; ++n) {
        add_host(m_view, make_host(n, "svc", "b"));
        on_message(agent_address(n), host_load{0, 0, 5, false});
    }
    tick(core::milliseconds(20));
    evacuate("b");
    tick(core::milliseconds(20));
    for (std::uint16_t port = 1; port < 100; ++port) {
        run_request(port, false);
    }
    EXPECT_FALSE(m_agent->load().accepts);
}

// Guards against a failing host that gets a probe in an evacuated zone.
TEST_F(evacuated_agent_test, failing_host_is_not_probed)
{
    for (std::uint16_t port = 1; m_agent->load().accepts && port < 100; ++port) {
        run_request(port, false);
    }
    ASSERT_FALSE(m_agent->load().accepts);
    evacuate("a");
    evacuate("b");
    for (std::uint16_t port = 200; port < 210; ++port) {
        tick(core::milliseconds(500));
        on_packet(make_syn(make_flow(port)));
        EXPECT_TRUE(is_refused());
    }
}

// Guards against packets that wait for the view and are then opened in an evacuated zone.
TEST_F(evacuated_agent_test, opening_that_waited_for_the_view_obeys)
{
    fleet_view view("a");
    agent_relay_options options;
    options.self = agent_address(1);
    options.service = "svc";
    agent_relay agent(options, view);
    actions out;
    agent.on_packet(make_syn(make_flow()), bytes(), entry_address, m_now, out);
    evacuate("a");
    view.apply(m_view.snapshot(m_now), m_now);
    agent.on_view_ready(m_now, out);
    EXPECT_TRUE(std::none_of(out.begin(), out.end(),
                             [](const action& it) { return std::holds_alternative<send_to_host>(it); }));
}

// Guards against an entry that places flows, or flows that wait for a confirmation, in an evacuated zone.
TEST_F(evacuated_agent_test, entry_places_elsewhere_or_refuses)
{
    entry_relay entry(entry_address, m_view);
    entry.on_packet(make_syn(make_flow()), bytes(), m_now, m_actions);
    EXPECT_NE(emitted<send_to_agent>().at(0).agent, agent_address(4)) << "the own zone is first";
    evacuate("a");
    m_actions.clear();
    entry.on_tick(m_now + placement_timeout, m_actions);
    EXPECT_EQ(emitted<send_to_agent>().at(0).agent, agent_address(4));
    evacuate("b");
    m_actions.clear();
    entry.on_packet(make_syn(make_flow(40002)), bytes(), m_now, m_actions);
    EXPECT_TRUE(is_refused());
    EXPECT_NE(m_view.find_route(service_address, service_port), nullptr);
}

} // namespace
} // namespace daisydoor::relay
