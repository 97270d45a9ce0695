#include "view_sync_fixture.hpp"

namespace daisydoor::relay
{
namespace
{

class view_history_test : public view_sync_test
{
  protected:
    static constexpr std::size_t lost_services = 100;

    /// Gives many routes another service; these losses do not fit a datagram.
    void lose_many_services()
    {
        std::vector<route> routes;
        for (std::size_t i = 0; i < lost_services; ++i) {
            routes.push_back(make_route({{"svc", 1}}, static_cast<std::uint16_t>(service_port + i)));
        }
        set_routes(m_platform, routes);
        run(default_flow_ttl + late_view_time + core::milliseconds(100));
        for (auto& it : routes) {
            it.services = {{"new", 1}};
        }
        set_routes(m_platform, routes);
    }
};

// Guards against a reset of a flow at a former service's host by processes that started after the change: each read the
// platform itself, so that it fetches no view.
TEST_F(view_history_test, processes_restarted_in_turn_know_former_service)
{
    run(default_flow_ttl + late_view_time + core::milliseconds(100));
    set_routes(m_platform, {make_route({{"new", 1}})});
    run(core::milliseconds(1000));
    for (const auto& [address, it] : m_processes) {
        restart(address);
        EXPECT_TRUE(knows_former(address, "svc"));
        run(core::milliseconds(900));
    }
}

// Guards against a search that leaves hosts out after all processes were killed at once: nobody knows the former
// services before the flows of their time have ended.
TEST_F(view_history_test, processes_restarted_at_once_know_no_former_services_for_lifetime_of_flow)
{
    run(core::milliseconds(500));
    for (const auto& [address, it] : m_processes) {
        read(add_process(address));
    }
    run(default_flow_ttl);
    EXPECT_FALSE(at(entry_address).view.knows_former_services(m_now));
    run(late_view_time);
    EXPECT_TRUE(at(entry_address).view.knows_former_services(m_now));
}

// Guards against former services that are lost because they do not fit a datagram.
TEST_F(view_history_test, many_former_services_are_fetched)
{
    lose_many_services();
    run(core::milliseconds(500));
    m_fetches = 0;
    restart(entry_address);
    EXPECT_TRUE(knows_former(entry_address, "svc"));
    EXPECT_EQ(m_fetches, 1);
    run(core::milliseconds(2000));
    EXPECT_EQ(m_fetches, 1);
}

// Guards against former services that a started process takes for unknown to all, since the latest ones of a datagram
// reach back further than the lifetime of a flow.
TEST_F(view_history_test, many_old_former_services_are_fetched)
{
    lose_many_services();
    run(default_flow_ttl + late_view_time + core::milliseconds(1000));
    restart(entry_address);
    EXPECT_TRUE(knows_former(entry_address, "svc"));
    EXPECT_EQ(at(entry_address).view.history().former().size(), lost_services);
}

// Guards against bytes for processes that need them no more, or that run an earlier build.
TEST_F(view_history_test, only_short_history_is_extended)
{
    run(default_flow_ttl + late_view_time + core::milliseconds(100));
    auto& source = at(at(entry_address).sync->sources()[0]);
    const auto told = [&](core::milliseconds past) {
        m_actions.clear();
        source.sync->on_subscribe(entry_address, {source.view.revision(), 0, {}, past}, m_now, m_actions);
        return sent_messages<fleet_news>().at(0).second.update.past.complete_for.count() > 0;
    };
    EXPECT_TRUE(told(core::milliseconds(1)));
    EXPECT_FALSE(told(core::milliseconds(0)));
    EXPECT_FALSE(told(default_flow_ttl + late_view_time));
}

} // namespace
} // namespace daisydoor::relay
