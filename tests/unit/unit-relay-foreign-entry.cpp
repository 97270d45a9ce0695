#include "daisydoor/relay/codec.hpp"
#include "daisydoor/relay/fleet_view.hpp"
#include "daisydoor/relay/placement.hpp"

#include "relay_fixture.hpp"

#include <optional>

namespace daisydoor::relay
{
namespace
{

/// A view of host 1 and of the services "other" and "svc"; a test adds an entry with the host's address.
class foreign_entry_test : public relay_fixture
{
  protected:
    foreign_entry_test()
    {
        set_routes(m_view, {make_route({{"svc", 1}})}, {"other", "svc"});
        add_host(m_view, make_host(1));
    }

    /// An entry beside host 1 that started after it.
    static host make_entry_beside(const std::string& service, std::uint16_t port)
    {
        auto result = make_host(9, service, "b");
        result.address = agent_address(1);
        result.port = port;
        result.state = host_state::draining;
        result.born = 5000;
        return result;
    }

    static constexpr std::uint16_t host_port = 8080;
    static constexpr std::uint16_t foreign_port = 8120;

    fleet_view m_view{"a"};
};

// Guards against a host that gets no flows since another writer's entry with its address is newer.
TEST_F(foreign_entry_test, entry_of_unconfigured_service_hides_no_host)
{
    add_host(m_view, make_entry_beside("product", host_port));
    EXPECT_EQ(m_view.find_host(agent_address(1))->value.id, "i-1");
    EXPECT_FALSE(m_view.is_evacuated(agent_address(1)));
    EXPECT_EQ(m_view.unconfigured_host_count(), 1U);
    EXPECT_TRUE(m_view.may_have_host(agent_address(1), m_now));
}

// Guards against packets that are sent to a host that has left since another writer's entry has its address.
TEST_F(foreign_entry_test, entry_of_unconfigured_service_stands_for_no_host)
{
    advance(default_flow_ttl + late_view_time);
    add_host(m_view, make_entry_beside("product", host_port));
    remove_host(m_view, "i-1");
    EXPECT_FALSE(m_view.may_have_host(agent_address(1), m_now));
    set_routes(m_view, {make_route({{"product", 1}})}, {"other", "svc"});
    EXPECT_TRUE(m_view.may_have_host(agent_address(1), m_now)) << "a route names the service";
}

// Guards against a process that takes flows for another service's host at the address of its own, which has ended.
TEST_F(foreign_entry_test, host_of_named_service_takes_address_over)
{
    m_view.set_own_host({agent_address(1), host_port, "svc"});
    ASSERT_NE(m_view.find_host(agent_address(1)), nullptr);
    add_host(m_view, make_entry_beside("other", host_port));
    EXPECT_EQ(m_view.find_host(agent_address(1)), nullptr);
    remove_host(m_view, "i-9");
    EXPECT_EQ(m_view.find_host(agent_address(1))->value.id, "i-1");
}

// Guards against an entry for another port that closes the host beside an agent.
TEST_F(foreign_entry_test, own_host_is_known_by_its_port)
{
    auto own = make_host(1);
    own.port = host_port;
    add_host(m_view, own);
    add_host(m_view, make_entry_beside("svc", foreign_port));
    m_view.set_own_host({agent_address(2), host_port, "svc"});
    EXPECT_EQ(m_view.find_host(agent_address(1))->value.id, "i-9") << "the port is that of another machine's host";
    m_view.set_own_host({agent_address(1), host_port, "svc"});
    EXPECT_EQ(m_view.find_host(agent_address(1))->value.id, "i-1");
}

// Guards against a host that gets no flows since a process of an earlier build told its entry without the port.
TEST_F(foreign_entry_test, own_host_without_port_is_found)
{
    m_view.set_own_host({agent_address(1), host_port, "svc"});
    ASSERT_EQ(make_host(1).port, 0);
    add_host(m_view, make_entry_beside("svc", foreign_port));
    EXPECT_EQ(m_view.find_host(agent_address(1))->value.id, "i-1");
}

// Guards against hosts of a service that the configuration drops while flows are open there.
TEST_F(foreign_entry_test, former_service_of_route_stays_named)
{
    set_routes(m_view, {make_route({{"other", 1}})}, {"other"});
    EXPECT_EQ(m_view.unconfigured_host_count(), 0U);
}

// Guards against packets of unknown flows that go to an address without an agent.
TEST_F(foreign_entry_test, entry_of_unconfigured_service_is_no_likely_owner)
{
    constexpr std::uint16_t new_port = 444;
    set_routes(m_view, {make_route({{"svc", 1}}), make_route({{"empty", 1}}, new_port)}, {"empty", "other", "svc"});
    auto foreign = make_host(9, "product");
    foreign.born = 5000;
    add_host(m_view, foreign);
    const auto never = [](ipv4) { return false; };
    const auto* route = m_view.find_route(service_address, new_port);
    for (std::uint16_t client_port = 40'000; client_port < 40'050; ++client_port) {
        const auto flow_hash = hash_of(make_flow(client_port));
        EXPECT_EQ(choose_likely_owner(m_view, *route, flow_hash, never)->value.id, "i-1");
    }
}

// Guards against services that are lost or invented on the way to another process.
TEST_F(foreign_entry_test, differences_carry_services)
{
    fleet_view peer{"a"};
    const auto send = [&](std::optional<fleet_update> update) {
        ASSERT_TRUE(update);
        const auto bytes = encode_update(*update);
        peer.apply(*decode_update({bytes.data(), bytes.size()}), m_now);
    };
    send(m_view.snapshot(m_now));
    auto value = make_entry_beside("product", foreign_port);
    add_host(m_view, value);
    send(m_view.changes_after(peer.position()));
    EXPECT_EQ(peer.unconfigured_host_count(), 1U);
    EXPECT_EQ(peer.hosts().at("i-9").value.port, foreign_port);
    set_routes(m_view, {make_route({{"svc", 1}})}, {"product", "svc"});
    send(m_view.changes_after(peer.position()));
    EXPECT_EQ(peer.unconfigured_host_count(), 0U);
    EXPECT_EQ(std::get<route_set>(peer.snapshot(m_now).changes.back().value).services,
              (std::vector<std::string>{"product", "svc"}));
}

// Guards against hosts that are taken for entries of another writer since a process of an earlier build told no
// services.
TEST_F(foreign_entry_test, services_untold_by_earlier_build_are_unknown)
{
    add_host(m_view, make_host(2, "new"));
    EXPECT_EQ(m_view.unconfigured_host_count(), 1U);
    fleet_update update;
    update.revision = revision{100};
    update.changes.push_back({update.revision, route_delta{m_view.version(), route_version{9}, {}, {}, {}, {}}});
    const auto bytes = encode_update(update);
    m_view.apply(*decode_update({bytes.data(), bytes.size()}), m_now);
    EXPECT_EQ(m_view.version(), route_version{9});
    EXPECT_EQ(m_view.unconfigured_host_count(), 0U);
}

} // namespace
} // namespace daisydoor::relay
