#include "daisydoor/relay/codec.hpp"
#include "daisydoor/relay/fleet_view.hpp"
#include "daisydoor/relay/placement.hpp"
#include "daisydoor/relay/route_history.hpp"

#include "relay_fixture.hpp"

#include <string>

namespace daisydoor::relay
{
namespace
{

/// Time after which a process that saw every version knows all former services.
constexpr core::milliseconds memory = default_flow_ttl + late_view_time;

class route_history_test : public relay_fixture
{
  protected:
    void lose(const std::string& service, std::uint16_t port = service_port)
    {
        m_history.add({service_address, port, service}, m_now);
    }

    void restart(bool begins_with_system = false)
    {
        m_history = route_history(default_flow_ttl, begins_with_system);
        m_history.on_version(route_version{5}, false, m_now);
    }

    route_history m_history;
};

// Guards against a search that a process narrows although it has just started and knows no former service.
TEST_F(route_history_test, started_process_knows_all_after_lifetime_of_flow)
{
    restart();
    EXPECT_FALSE(m_history.is_complete(m_now));
    advance(memory);
    EXPECT_TRUE(m_history.is_complete(m_now));
}

// Guards against searches of the whole fleet although no flow can be older than the process.
TEST_F(route_history_test, first_start_of_system_knows_all)
{
    restart(true);
    EXPECT_TRUE(m_history.is_complete(m_now));
}

// Guards against a service that only a version named which the process did not see.
TEST_F(route_history_test, left_out_version_begins_anew)
{
    restart();
    advance(memory);
    m_history.on_version(route_version{6}, true, m_now);
    EXPECT_TRUE(m_history.is_complete(m_now));
    m_history.on_version(route_version{9}, false, m_now);
    EXPECT_FALSE(m_history.is_complete(m_now));
}

// Guards against a restart after which the former services are unknown although peers know them.
TEST_F(route_history_test, knowledge_of_peer_is_taken_over)
{
    restart();
    routes_past peer{route_version{5}, memory, {{service_address, service_port, "svc", core::milliseconds(2000)}}};
    EXPECT_TRUE(m_history.merge(peer, m_now));
    EXPECT_TRUE(m_history.is_complete(m_now));
    EXPECT_EQ(m_history.former().size(), 1U);
    const auto told = m_history.describe(m_now);
    ASSERT_EQ(told.former.size(), 1U);
    EXPECT_EQ(told.former[0].age, core::milliseconds(2000)) << "counts from the loss as the peer saw it";
}

// Guards against a peer whose routes are older than the process's first ones: what was lost in between is in neither.
TEST_F(route_history_test, peer_with_older_routes_teaches_nothing)
{
    restart();
    EXPECT_FALSE(m_history.merge({route_version{4}, memory, {}}, m_now));
    EXPECT_FALSE(m_history.is_complete(m_now));
}

// Guards against a peer of an earlier build, which tells nothing, that counts as one that knows of no former service.
TEST_F(route_history_test, peer_that_tells_nothing_is_not_complete)
{
    restart();
    const auto bytes = encode_update({});
    const auto update = decode_update({bytes.data(), bytes.size()});
    ASSERT_TRUE(update);
    m_history.merge(update->past, m_now);
    EXPECT_FALSE(m_history.is_complete(m_now));
}

// Guards against a shortened list that is taken for all that is known.
TEST_F(route_history_test, shortened_list_is_complete_since_latest_service_left_out)
{
    restart(true);
    lose("first");
    advance(core::milliseconds(500));
    lose("second");
    advance(core::milliseconds(300));
    const auto told = m_history.describe(m_now, 1);
    ASSERT_EQ(told.former.size(), 1U);
    EXPECT_EQ(told.former[0].service, "second");
    EXPECT_EQ(told.complete_for, core::milliseconds(800));
    EXPECT_TRUE(told.is_partial);
}

// Guards against memory that grows with each change of the routes, and against forgotten services that count as known.
TEST_F(route_history_test, number_of_services_is_bounded)
{
    restart(true);
    for (std::size_t i = 0; i <= max_former_services; ++i) {
        lose("svc-" + std::to_string(i));
        advance(core::milliseconds(1));
    }
    EXPECT_EQ(m_history.former().size(), max_former_services);
    EXPECT_FALSE(m_history.is_complete(m_now));
}

class former_services_test : public relay_fixture
{
  protected:
    former_services_test()
    {
        set_routes(m_view, {make_route({{"old", 1}})});
        add_host(m_view, make_host(1, "old"));
        add_host(m_view, make_host(2, "new"));
        advance(memory);
    }

    bool may_be_at(const fleet_view& view, const std::string& service) const
    {
        const auto* route = view.find_route(service_address, service_port);
        const auto index = view.find_service(service);
        const auto is_same = [&](const known_route::choice& it) { return it.service == *index; };
        return route != nullptr && index &&
               (std::any_of(route->services.begin(), route->services.end(), is_same) ||
                std::count(route->former_services.begin(), route->former_services.end(), *index) > 0);
    }

    /// The view as a process has it that fetches it now, over the codec.
    fleet_view fetched() const
    {
        const auto bytes = encode_update(m_view.snapshot(m_now));
        fleet_view result("a");
        result.apply(*decode_update({bytes.data(), bytes.size()}), m_now);
        return result;
    }

    fleet_view m_view{"a"};
};

// Guards against a process that starts after the change and fetches a view without the former service.
TEST_F(former_services_test, fetched_view_knows_former_service)
{
    set_routes(m_view, {make_route({{"new", 1}})});
    const auto view = fetched();
    EXPECT_TRUE(may_be_at(view, "old"));
    EXPECT_TRUE(view.knows_former_services(m_now));
}

// Guards against open flows that are looked for nowhere while their service has no weight, and after it has one again.
TEST_F(former_services_test, service_without_weight_stays_possible)
{
    set_routes(m_view, {make_route({{"old", 0}, {"new", 1}})});
    EXPECT_TRUE(may_be_at(fetched(), "old"));
    set_routes(m_view, {make_route({{"old", 1}, {"new", 0}})});
    EXPECT_TRUE(may_be_at(fetched(), "new"));
    set_routes(m_view, {make_route({{"old", 1}})});
    EXPECT_TRUE(may_be_at(fetched(), "new"));
}

// Guards against a route that was dropped and is back with another service.
TEST_F(former_services_test, services_of_dropped_route_are_former_ones)
{
    set_routes(m_view, {});
    const auto meanwhile = fetched();
    set_routes(m_view, {make_route({{"new", 1}})});
    EXPECT_TRUE(may_be_at(m_view, "old"));
    EXPECT_TRUE(may_be_at(fetched(), "old"));
    EXPECT_TRUE(meanwhile.knows_former_services(m_now));
}

// Guards against flows that a process without news opened at a former service, and that are looked for there no more
// when they are younger than a flow's lifetime.
TEST_F(former_services_test, former_service_stays_possible_beyond_lifetime_of_flow)
{
    set_routes(m_view, {make_route({{"new", 1}})});
    advance(memory * 10);
    m_view.expire(m_now);
    EXPECT_TRUE(may_be_at(m_view, "old"));
    EXPECT_TRUE(may_be_at(fetched(), "old"));
}

// Guards against a process that read the store anew after a gap in its history: the versions between are unknown.
TEST_F(former_services_test, whole_read_over_left_out_version_excludes_no_service)
{
    route_set routes{route_version{7}, {make_route({{"new", 1}})}, {}};
    fleet_update update;
    update.revision = revision{100};
    update.whole = true;
    update.changes.push_back({revision{90}, routes});
    m_view.apply(update, m_now);
    EXPECT_TRUE(may_be_at(m_view, "old"));
    EXPECT_FALSE(m_view.knows_former_services(m_now));
}

// Guards against a restored store that erases what is known of former services.
TEST_F(former_services_test, new_era_keeps_former_services)
{
    set_routes(m_view, {make_route({{"new", 1}})});
    fleet_update copy;
    copy.era = store_era{2};
    copy.revision = revision{2};
    copy.whole = true;
    copy.changes.push_back({revision{1}, route_set{route_version{1}, {make_route({{"old", 1}})}, {}}});
    m_view.apply(copy, m_now);
    EXPECT_TRUE(may_be_at(m_view, "old"));
    EXPECT_TRUE(m_view.knows_former_services(m_now));
}

// Guards against packets of unknown flows that reach no agent because the present services have no host.
TEST_F(former_services_test, flow_of_route_without_hosts_goes_to_any_agent)
{
    set_routes(m_view, {make_route({{"empty", 1}})});
    const auto never = [](ipv4) { return false; };
    const auto* route = m_view.find_route(service_address, service_port);
    EXPECT_EQ(choose_likely_owner(m_view, *route, 1, never)->value.address, agent_address(1));
    remove_host(m_view, "i-1");
    EXPECT_EQ(choose_likely_owner(m_view, *route, 1, never)->value.address, agent_address(2));
}

} // namespace
} // namespace daisydoor::relay
