#include "view_sync_fixture.hpp"

namespace daisydoor::relay
{
namespace
{

// Guards against a platform that refuses calls because every process watches it.
TEST_F(view_sync_test, only_readers_read_without_faults)
{
    run(core::milliseconds(2000));
    EXPECT_EQ(readers(), 2U) << "one for each availability zone";
    m_reads.clear();
    run(core::milliseconds(5000));
    EXPECT_EQ(m_reads.size(), 2U);
}

// Guards against processes that all read the platform since another writer's entries take the places of the readers.
TEST_F(view_sync_test, entries_of_unconfigured_service_are_no_readers)
{
    set_routes(m_platform, {make_route({{"svc", 1}})}, {"svc"});
    for (std::uint32_t n = 20; n < 60; ++n) {
        add_host(m_platform, make_host(n, "product", n % 2 == 0 ? "a" : "b"));
    }
    run(core::milliseconds(2000));
    EXPECT_EQ(readers(), 2U);
    m_reads.clear();
    run(core::milliseconds(5000));
    EXPECT_EQ(m_reads.size(), 2U);
}

// Guards against processes that keep an older configuration.
TEST_F(view_sync_test, change_reaches_every_process_at_once)
{
    run(core::milliseconds(2000));
    set_routes(m_platform, {make_route({{"svc", 1}}), make_route({{"svc", 1}}, 444)});
    run(core::milliseconds(50));
    for (const auto& [address, it] : m_processes) {
        EXPECT_NE(it->view.find_route(service_address, 444), nullptr);
    }
    EXPECT_EQ(m_fetches, 0) << "a difference of one route fits a datagram";
}

// Guards against changes that are lost because they do not fit a datagram.
TEST_F(view_sync_test, large_change_is_fetched)
{
    run(core::milliseconds(2000));
    std::vector<route> routes;
    for (std::uint16_t i = 0; i < 400; ++i) {
        routes.push_back(make_route({{"svc", 1}}, static_cast<std::uint16_t>(443 + i)));
    }
    set_routes(m_platform, routes);
    run(core::milliseconds(100));
    EXPECT_GT(m_fetches, 0);
    EXPECT_NE(at(entry_address).view.find_route(service_address, 842), nullptr);
}

// Guards against whole views that every process fetches while hosts restart after an outage: 928 fetches in 2 s by 85
// processes, most from one small seed.
TEST_F(view_sync_test, many_host_changes_are_sent_in_parts)
{
    run(core::milliseconds(2000));
    for (std::uint32_t n = 10; n < 40; ++n) {
        add_host(m_platform, make_host(n));
    }
    run(core::milliseconds(100));
    EXPECT_EQ(m_fetches, 0);
    EXPECT_EQ(at(entry_address).view.hosts().size(), 36U);
}

// Guards against a state that counts as confirmed although its second part was lost.
TEST_F(view_sync_test, first_part_alone_confirms_nothing)
{
    run(core::milliseconds(2000));
    auto& source = at(at(entry_address).sync->sources()[0]);
    auto& entry = at(entry_address);
    entry.is_disconnected = true;
    run(core::milliseconds(500));
    for (std::uint32_t n = 10; n < 40; ++n) {
        add_host(m_platform, make_host(n));
    }
    run(core::milliseconds(100));
    actions out;
    source.sync->on_subscribe(entry_address, {entry.view.revision()}, m_now, out);
    const auto* first = std::get_if<send_message>(&out.front());
    ASSERT_NE(first, nullptr);
    const auto age = entry.sync->age(m_now);
    entry.sync->on_news(address_of(source), std::get<fleet_news>(first->value), m_now, out);
    EXPECT_GT(entry.view.hosts().size(), 6U);
    EXPECT_LT(entry.view.hosts().size(), 36U);
    EXPECT_EQ(entry.sync->age(m_now), age);
}

// Guards against hosts that are missing between parts: a source that fetched a whole view has its changes in no order.
TEST_F(view_sync_test, changes_from_whole_view_are_sent_completely)
{
    run(core::milliseconds(2000));
    auto& source = at(at(entry_address).sync->sources()[0]);
    for (std::uint32_t n = 39; n >= 10; --n) {
        add_host(m_platform, make_host(n));
    }
    source.sync->on_fetched(m_platform.snapshot(m_now), m_now);
    actions out;
    source.sync->on_change(m_now, out);
    deliver(address_of(source), out);
    EXPECT_EQ(m_fetches, 0);
    EXPECT_EQ(at(entry_address).view.hosts().size(), 36U);
}

// Guards against a seed that makes a new process fetch the whole view again with every change.
TEST_F(view_sync_test, new_process_fetches_once)
{
    run(core::milliseconds(2000));
    m_is_platform_up = false;
    const ipv4 newcomer{0x0a010009};
    auto& value = add_process(newcomer);
    value.sync = std::make_unique<view_sync>(newcomer, std::vector<ipv4>{entry_address, agent_address(1)}, value.view,
                                             [](const fleet_update& update) { return encode_update(update).size(); });
    run(core::milliseconds(50));
    m_is_platform_up = true;
    for (std::uint32_t n = 10; n < 30; ++n) {
        add_host(m_platform, make_host(n, "svc", "c"));
        run(core::milliseconds(50));
    }
    EXPECT_EQ(value.view.hosts().size(), 26U);
    EXPECT_LE(m_fetches, 2);
}

// Guards against a configuration that stays old because its sources are cut off from the platform but still answer.
TEST_F(view_sync_test, sources_without_platform_are_not_trusted)
{
    run(core::milliseconds(2000));
    for (const auto& [address, it] : m_processes) {
        if (it->sync->is_reader()) {
            m_without_platform[address] = 1;
        }
    }
    set_routes(m_platform, {make_route({{"svc", 1}}, 444)});
    run(confirmation_limit + core::milliseconds(100));
    EXPECT_NE(at(entry_address).view.find_route(service_address, 444), nullptr);
}

// Guards against a process that keeps waiting for a source that died.
TEST_F(view_sync_test, dead_source_is_replaced)
{
    run(core::milliseconds(2000));
    const auto sources = at(entry_address).sync->sources();
    ASSERT_EQ(sources.size(), 2U);
    at(sources[0]).is_disconnected = true;
    run(core::milliseconds(2000));
    m_reads.clear();
    run(core::milliseconds(3000));
    EXPECT_EQ(m_reads.count(entry_address), 0U) << "the other source is enough";
}

// Guards against a view that reverts to an older state when a source that missed changes answers.
TEST_F(view_sync_test, source_that_is_behind_changes_nothing)
{
    run(core::milliseconds(2000));
    auto& behind = at(agent_address(1));
    behind.is_disconnected = true;
    set_routes(m_platform, {make_route({{"svc", 1}}, 444)});
    run(core::milliseconds(500));
    fleet_news news;
    news.update = behind.view.snapshot(m_now);
    actions out;
    at(entry_address).sync->on_news(agent_address(1), news, m_now, out);
    EXPECT_NE(at(entry_address).view.find_route(service_address, 444), nullptr);
}

// Guards against a call of the platform by every agent that lost a flow: 80 agents made 970 calls in the 10 s after a
// loss of power, and at the required fleet size they would exceed the platform's rate a hundredfold.
TEST_F(view_sync_test, confirmation_is_asked_of_reader)
{
    run(core::milliseconds(2000));
    auto& asker = at(entry_address);
    auto& reader = at(asker.sync->sources()[0]);
    const auto asked_at = m_now;
    actions out;
    EXPECT_FALSE(asker.sync->request_confirmation(m_now, out));
    deliver(entry_address, out);
    EXPECT_TRUE(reader.sync->has_pending_questions());
    advance(core::milliseconds(30));
    read(reader);
    EXPECT_FALSE(reader.sync->has_pending_questions());
    EXPECT_EQ(asker.sync->take_confirmed_since(), asked_at);
    EXPECT_EQ(asker.sync->take_confirmed_since(), std::nullopt);
}

// Guards against the reset of a flow after a platform call that began before the question and may lack its host.
TEST_F(view_sync_test, answer_to_earlier_call_confirms_nothing)
{
    run(core::milliseconds(2000));
    auto& asker = at(entry_address);
    auto& reader = at(asker.sync->sources()[0]);
    const auto call_begins = m_now;
    advance(core::milliseconds(5));
    actions out;
    EXPECT_FALSE(asker.sync->request_confirmation(m_now, out));
    deliver(entry_address, out);
    advance(core::milliseconds(5));
    read(reader, call_begins);
    EXPECT_TRUE(reader.sync->has_pending_questions());
    EXPECT_EQ(asker.sync->take_confirmed_since(), std::nullopt);
}

// Guards against flows that are never reset because the reader is down.
TEST_F(view_sync_test, unanswered_question_makes_process_read)
{
    run(core::milliseconds(2000));
    auto& asker = at(entry_address);
    at(asker.sync->sources()[0]).is_disconnected = true;
    actions out;
    EXPECT_FALSE(asker.sync->request_confirmation(m_now, out));
    advance(question_timeout + core::milliseconds(1));
    EXPECT_TRUE(asker.sync->request_confirmation(m_now, out));
    asker.sync->on_platform_answer(m_now, m_now, out);
    EXPECT_FALSE(asker.sync->request_confirmation(m_now, out)) << "a later question has a timeout of its own";
}

// Guards against a new process that serves nothing while the platform is unreachable.
TEST_F(view_sync_test, new_process_gets_view_from_seed_while_platform_is_unreachable)
{
    run(core::milliseconds(2000));
    m_is_platform_up = false;
    const ipv4 newcomer{0x0a010009};
    auto& value = add_process(newcomer);
    value.sync = std::make_unique<view_sync>(newcomer, std::vector<ipv4>{entry_address}, value.view,
                                             [](const fleet_update& update) { return encode_update(update).size(); });
    run(core::milliseconds(1000));
    EXPECT_TRUE(value.view.is_ready());
    EXPECT_GT(value.sync->age(m_now).count(), 500) << "the age of the state is passed on";
}

// Guards against a check of the platform by every process of a fleet whose hosts have not registered yet.
TEST_F(view_sync_test, only_seeds_read_while_no_host_is_known)
{
    m_processes.clear();
    m_platform = fleet_view{"a"};
    set_routes(m_platform, {make_route({{"svc", 1}})});
    for (std::uint32_t n = 1; n <= 6; ++n) {
        auto& value = add_process(agent_address(n));
        value.sync =
            std::make_unique<view_sync>(agent_address(n), std::vector<ipv4>{agent_address(1), agent_address(2)},
                                        value.view, [](const auto& update) { return encode_update(update).size(); });
    }
    run(core::milliseconds(500));
    m_reads.clear();
    run(core::milliseconds(5000));
    EXPECT_EQ(m_reads.size(), 2U);
    EXPECT_EQ(m_reads.count(agent_address(1)), 1U);
    EXPECT_EQ(m_reads.count(agent_address(2)), 1U);
}

// Guards against a process that knows half of the hosts for 500 ms after a common start: hosts register one after the
// other, and changes come only with a subscription.
TEST_F(view_sync_test, process_subscribes_to_new_sources_at_once)
{
    run(core::milliseconds(2000));
    auto& newcomer = add_process(ipv4{0x0a010009});
    actions out;
    newcomer.sync->on_tick(m_now, out);
    EXPECT_TRUE(out.empty()) << "no source is known yet";
    advance(core::milliseconds(20));
    read(newcomer);
    advance(core::milliseconds(20));
    newcomer.sync->on_tick(m_now, out);
    EXPECT_EQ(out.size(), source_count);
}

// Guards against decisions on old state by a process that was paused.
TEST_F(view_sync_test, pause_makes_process_read)
{
    run(core::milliseconds(2000));
    at(entry_address).sync->on_pause();
    EXPECT_TRUE(at(entry_address).sync->should_read(m_now));
}

// Guards against live hosts that are dropped by processes which did not see the platform's outage themselves.
TEST_F(view_sync_test, return_of_platform_reaches_all_processes)
{
    run(core::milliseconds(2000));
    for (auto& [address, it] : m_processes) {
        if (it->sync->is_reader()) {
            it->view.on_platform_regained(m_now);
        }
    }
    remove_host(m_platform, "i-5");
    run(core::milliseconds(600));
    EXPECT_EQ(at(entry_address).view.hosts().count("i-5"), 1U);
}

} // namespace
} // namespace daisydoor::relay
