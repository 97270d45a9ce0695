#include "daisydoor/agent/agent_core.hpp"
#include "support/work_harness.hpp"

#include <gtest/gtest.h>

namespace daisydoor::agent
{
namespace
{

using wire::refusal_kind;
using wire::refusal_reason;

constexpr std::uint64_t incarnation = 7;

class agent_core_test : public ::testing::Test
{
  protected:
    explicit agent_core_test(std::uint32_t hosts = 4) : snapshot(support::make_work_snapshot(hosts, 2))
    {
        core.on_configuration(now, snapshot, actions);
    }

    static agent_options options()
    {
        agent_options result;
        result.host = core::host_id{1};
        result.service = core::service_id{1};
        result.zone = "zone-a";
        result.incarnation = core::incarnation_id{incarnation};
        return result;
    }

    template <typename Body>
    wire::buffer datagram(const wire::flow_token& with, Body body, std::uint32_t age_ms = 0)
    {
        const wire::envelope env(wire::to_wire(address), wire::to_wire(core::parse_endpoint("127.0.0.9:5000")), 1,
                                 age_ms, 0);
        const auto packet = wire::make_packet(std::move(body));
        const bool is_open = packet.body.type == wire::packet_body::open;
        const wire::packet_header header(
            wire::packet_magic, is_open ? wire::packet_class::open : wire::packet_class::established, 0, 3, with);
        return wire::encode_datagram(env, header, packet);
    }

    void deliver(const wire::buffer& bytes, core::milliseconds age = core::milliseconds{0})
    {
        core.on_datagram(now, {bytes.data(), bytes.size()}, age, actions);
    }

    static wire::requestT request(std::uint64_t number, std::uint32_t deadline_ms = 1000)
    {
        wire::requestT body;
        body.number = number;
        body.kind = wire::request_kind::non_idempotent;
        body.path = "/p";
        body.deadline_ms = deadline_ms;
        return body;
    }

    /// Opens a flow and returns its token.
    wire::flow_token open()
    {
        deliver(datagram({}, wire::openT{}));
        wire::flow_token result;
        for (const auto& packet : replies()) {
            if (const auto* body = packet.body.Asopen_reply()) {
                result = *body->token;
            }
        }
        return result;
    }

    std::vector<wire::packetT> replies()
    {
        std::vector<wire::packetT> result;
        for (const auto& item : actions) {
            if (const auto* sent = std::get_if<send_datagram>(&item)) {
                result.push_back(wire::decode_packet({sent->bytes.data() + sizeof(wire::envelope),
                                                      sent->bytes.size() - sizeof(wire::envelope)})
                                     ->packet);
            }
        }
        return result;
    }

    /// Removes all actions and returns how many were of the type.
    template <typename Action>
    std::size_t take()
    {
        const auto n = std::count_if(actions.begin(), actions.end(),
                                     [](const auto& item) { return std::holds_alternative<Action>(item); });
        actions.clear();
        return static_cast<std::size_t>(n);
    }

    refusal_reason refused_for()
    {
        for (const auto& packet : replies()) {
            if (const auto* body = packet.body.Asrefusal()) {
                EXPECT_EQ(body->kind, refusal_kind::not_run);
                return body->reason;
            }
        }
        return refusal_reason::none;
    }

    void advance(core::milliseconds time, core::milliseconds period = core::milliseconds{100})
    {
        for (const auto end = now + time; now < end;) {
            now += period;
            core.on_tick(now, actions);
        }
    }

    void report_from(std::uint32_t host, wire::agent_state state)
    {
        wire::load_reportT report;
        report.state = state;
        core.on_peer_message(now, core::host_id{host}, wire::make_peer_message(core::config_version{1}, report),
                             actions);
    }

    void connect_peers(std::uint32_t last)
    {
        for (std::uint32_t host = 2; host <= last; ++host) {
            core.on_peer_up(now, core::host_id{host}, core::incarnation_id{host}, actions);
            report_from(host, wire::agent_state::active);
        }
    }

    void fail_target()
    {
        const auto token = open();
        for (std::uint64_t number = 1; number <= 3; ++number) {
            actions.clear();
            deliver(datagram(token, request(number)));
            for (const auto& item : action_list(actions)) {
                if (const auto* start = std::get_if<start_exchange>(&item)) {
                    core.on_exchange_result(now, start->id, {exchange_status::connect_failed, 0, {}}, actions);
                }
            }
        }
    }

    std::shared_ptr<config::snapshot> publish(const std::function<void(config::snapshot&)>& change)
    {
        auto next = std::make_shared<config::snapshot>(*snapshot);
        next->version = core::config_version{core::raw(snapshot->version) + 1};
        change(*next);
        snapshot = next;
        core.on_configuration(now, next, actions);
        return next;
    }

    [[nodiscard]] std::uint64_t dropped(agent_drop_reason reason) const
    {
        return core.counters().dropped.at(static_cast<std::size_t>(reason));
    }

    [[nodiscard]] wire::agent_state state() const { return core.context().own.state; }

    core::time_point now = support::work_epoch;
    core::endpoint address = core::parse_endpoint("127.0.100.1:9001");
    std::shared_ptr<config::snapshot> snapshot;
    agent_core core{options(), core::random_source(1), support::work_epoch};
    action_list actions;
};

// Guards against faults between the parts of the path from an open to the answer of a request.
TEST_F(agent_core_test, open_and_request_answered)
{
    const auto token = open();
    actions.clear();
    deliver(datagram(token, request(1)));
    ASSERT_EQ(actions.size(), 1U);
    const auto start = std::get<start_exchange>(actions[0]);
    EXPECT_EQ(start.request_id, "1-7-" + std::to_string(token.flow()) + "-1");
    actions.clear();
    core.on_exchange_result(now, start.id, {exchange_status::answered, 200, {42}}, actions);
    const auto packets = replies();
    ASSERT_EQ(packets.size(), 1U);
    ASSERT_NE(packets[0].body.Asanswer(), nullptr);
    EXPECT_EQ(packets[0].body.Asanswer()->payload, std::vector<std::uint8_t>{42});
}

// Guards against stale, forged or misrouted datagrams that start work.
TEST_F(agent_core_test, datagram_unfit_dropped_and_counted)
{
    auto token = open();
    actions.clear();
    deliver(datagram(token, request(1), 600), core::milliseconds{401});
    EXPECT_EQ(dropped(agent_drop_reason::stale), 1U);
    auto forged = token;
    forged.mutate_flow(token.flow() + 1);
    deliver(datagram(forged, request(1)));
    EXPECT_EQ(dropped(agent_drop_reason::bad_mac), 1U);
    forged.mutate_key(9);
    deliver(datagram(forged, request(1)));
    EXPECT_EQ(dropped(agent_drop_reason::unknown_key), 1U);
    deliver(datagram(token, wire::answerT{}));
    EXPECT_EQ(dropped(agent_drop_reason::unexpected_kind), 1U);
    address = core::parse_endpoint("127.0.100.2:9001");
    deliver(datagram(token, request(1)));
    EXPECT_EQ(dropped(agent_drop_reason::wrong_service), 1U);
    EXPECT_TRUE(actions.empty());
}

// Guards against a request that reaches another service's target after its address was reassigned.
TEST_F(agent_core_test, token_of_other_service_or_run_flow_gone)
{
    wire::token_signer signer(snapshot->keys);
    const std::vector<wire::token_fields> others{
        {core::service_id{2}, core::host_id{1}, core::incarnation_id{incarnation}, core::flow_id{1}, 0},
        {core::service_id{1}, core::host_id{2}, core::incarnation_id{incarnation}, core::flow_id{1}, 0},
        {core::service_id{1}, core::host_id{1}, core::incarnation_id{incarnation + 1}, core::flow_id{1}, 0}};
    open();
    for (const auto& fields : others) {
        actions.clear();
        deliver(datagram(signer.sign(fields), request(1)));
        bool gone = false;
        for (const auto& packet : replies()) {
            gone = gone || packet.body.Asflow_gone() != nullptr;
        }
        EXPECT_TRUE(gone);
        EXPECT_EQ(take<start_exchange>(), 0U);
    }
    EXPECT_EQ(dropped(agent_drop_reason::wrong_service), 2U);
}

// Guards against a deadline that restarts at each hop.
TEST_F(agent_core_test, request_deadline_reduced_by_age)
{
    const auto token = open();
    actions.clear();
    deliver(datagram(token, request(1, 900), 200), core::milliseconds{100});
    EXPECT_EQ(std::get<start_exchange>(actions.at(0)).timeout, core::milliseconds{600});
    actions.clear();
    deliver(datagram(token, request(2, 300), 200), core::milliseconds{100});
    EXPECT_EQ(refused_for(), refusal_reason::deadline);
}

// Guards against a process that was paused and then acts on an outdated configuration.
TEST_F(agent_core_test, pause_work_refused_until_confirmed)
{
    const auto token = open();
    for (std::uint64_t number = 1; number <= 3; ++number) {
        deliver(datagram(token, request(number, 500)));
    }
    actions.clear();
    now += core::milliseconds{1001};
    deliver(datagram(token, request(4)));
    EXPECT_EQ(take<refresh_configuration>(), 1U);
    deliver(datagram(token, request(4)));
    EXPECT_EQ(refused_for(), refusal_reason::no_configuration);
    deliver(datagram({}, wire::openT{}));
    EXPECT_EQ(take<start_exchange>(), 0U);
    core.on_configuration_confirmed(now, actions);
    EXPECT_FALSE(core.context().own.awaiting_confirmation);
    EXPECT_EQ(core.gauges().queued, 0U);

    now += core::milliseconds{1001};
    core.on_tick(now, actions);
    EXPECT_TRUE(core.context().own.awaiting_confirmation);
    advance(core::confirmation_timeout);
    EXPECT_FALSE(core.context().own.awaiting_confirmation);
}

// Guards against an older configuration that replaces a newer one, and against flows that break at a key rotation.
TEST_F(agent_core_test, configuration_older_ignored_rotation_keeps_flow)
{
    const auto first = snapshot;
    const auto token = open();
    publish([](config::snapshot& next) {
        next.keys.front().signing = false;
        next.keys.push_back({core::key_id{2}, {9}, true});
    });
    core.on_configuration(now, first, actions);
    EXPECT_EQ(core.context().version(), core::config_version{2});
    actions.clear();
    deliver(datagram(token, request(1)));
    EXPECT_EQ(take<start_exchange>(), 1U);
}

// Guards against a drain that never ends, that ends while flows remain, or that does not start when the host is
// removed.
TEST_F(agent_core_test, configuration_without_host_drains_until_no_flow_remains)
{
    const auto token = open();
    publish([](config::snapshot& next) {
        auto& hosts = next.services.front().hosts;
        hosts.erase(hosts.begin());
    });
    EXPECT_EQ(state(), wire::agent_state::draining);
    actions.clear();
    deliver(datagram(token, request(1, 10000)));
    const auto id = std::get<start_exchange>(actions.at(0)).id;
    advance(core::seconds{5});
    EXPECT_EQ(take<drain_finished>(), 0U);
    core.on_exchange_result(now, id, {exchange_status::answered, 200, {}}, actions);
    EXPECT_EQ(take<send_datagram>(), 1U);
    deliver(datagram(token, wire::closeT{}));
    advance(core::seconds{1});
    EXPECT_EQ(take<drain_finished>(), 1U);
}

// Guards against a drain by configuration that cannot be reversed, and against a drain by SIGTERM that can.
TEST_F(agent_core_test, drain_by_flag_reversible_by_signal_final)
{
    publish([](config::snapshot& next) { next.services.front().hosts.front().draining = true; });
    EXPECT_EQ(state(), wire::agent_state::draining);
    publish([](config::snapshot& next) { next.services.front().hosts.front().draining = false; });
    EXPECT_EQ(state(), wire::agent_state::cold);
    const auto token = open();
    core.on_drain(now, actions);
    publish([](config::snapshot&) {});
    EXPECT_EQ(state(), wire::agent_state::draining);
    // The flow stays, because no peer can adopt it.
    for (int i = 0; i < 299; ++i) {
        advance(core::seconds{1}, core::milliseconds{500});
        deliver(datagram(token, wire::keepaliveT{}));
        ASSERT_EQ(take<drain_finished>(), 0U);
    }
    advance(core::seconds{1}, core::milliseconds{500});
    EXPECT_EQ(take<drain_finished>(), 1U);
}

// Guards against a drain of many hosts due to a wrong fleet view.
TEST_F(agent_core_test, fleet_view_leaving_drains_unless_untrusted)
{
    auto view = std::make_shared<config::fleet_view>();
    for (std::uint32_t host = 1; host <= 4; ++host) {
        const bool leaves = host <= 2;
        view->instances.push_back({false,
                                   core::host_id{host},
                                   "zone-a",
                                   {},
                                   leaves ? config::instance_state::leaving : config::instance_state::live});
    }
    core.on_fleet_view(now, view, actions);
    EXPECT_EQ(state(), wire::agent_state::cold);
    view->instances[1].state = config::instance_state::live;
    core.on_fleet_view(now, view, actions);
    EXPECT_EQ(state(), wire::agent_state::draining);
}

// Guards against a failing target that stays in service, and against a recovered one that does not return to service.
TEST_F(agent_core_test, target_failing_ejected_until_probe_succeeds)
{
    connect_peers(4);
    fail_target();
    EXPECT_EQ(state(), wire::agent_state::ejected);
    actions.clear();
    core.on_tick(now, actions);
    const auto it = std::find_if(actions.begin(), actions.end(),
                                 [](const auto& item) { return std::holds_alternative<start_exchange>(item); });
    ASSERT_NE(it, actions.end());
    core.on_exchange_result(now, std::get<start_exchange>(*it).id, {exchange_status::answered, 200, {}}, actions);
    EXPECT_EQ(state(), wire::agent_state::cold);
}

// Guards against a common fault that ejects so many hosts that the others cannot carry the load.
TEST_F(agent_core_test, target_failing_ceiling_reached_stays)
{
    connect_peers(4);
    report_from(2, wire::agent_state::ejected);
    fail_target();
    EXPECT_NE(state(), wire::agent_state::ejected);
    report_from(2, wire::agent_state::active);
    EXPECT_EQ(state(), wire::agent_state::ejected);
    // Two agents ejected themselves at the same time: the one with the higher host id returns.
    report_from(3, wire::agent_state::ejected);
    EXPECT_EQ(state(), wire::agent_state::ejected);
}

// Guards against an isolated agent that ejects itself.
TEST_F(agent_core_test, target_failing_isolated_stays)
{
    connect_peers(2);
    fail_target();
    EXPECT_NE(state(), wire::agent_state::ejected);
    connect_peers(4);
    EXPECT_EQ(state(), wire::agent_state::ejected);
    advance(peer_timeout);
    EXPECT_NE(state(), wire::agent_state::ejected);
}

// Guards against load reports that are sent too often, and against reports that stop.
TEST_F(agent_core_test, report_on_change_and_interval)
{
    connect_peers(2);
    const auto token = open();
    advance(core::milliseconds{40}, core::milliseconds{20});
    actions.clear();
    advance(core::milliseconds{440}, core::milliseconds{20});
    EXPECT_EQ(take<send_peer>(), 0U);
    advance(core::milliseconds{20}, core::milliseconds{20});
    EXPECT_EQ(take<send_peer>(), 1U);
    now += core::milliseconds{19};
    deliver(datagram(token, request(1)));
    EXPECT_EQ(take<send_peer>(), 0U);
    now += core::milliseconds{1};
    core.on_tick(now, actions);
    EXPECT_EQ(take<send_peer>(), 1U);
}

class mutated_datagram_test : public agent_core_test
{
  protected:
    std::vector<wire::buffer> samples(const wire::flow_token& token)
    {
        wire::fetchT fetch;
        fetch.number = 1;
        fetch.segments = {0, 1};
        wire::subscribeT subscribe;
        subscribe.path = "/feed";
        return {datagram(token, request(1)),          datagram(token, std::move(fetch)),
                datagram(token, wire::cancelT{}),     datagram(token, std::move(subscribe)),
                datagram(token, wire::feed_ackT{}),   datagram(token, wire::keepaliveT{}),
                datagram(token, wire::closeT{}),      datagram(token, wire::move_confirmT{}),
                datagram(token, wire::open_replyT{}), datagram({}, wire::openT{})};
    }

    void mutate(wire::buffer& bytes)
    {
        const auto changes = 1 + random() % 4;
        for (std::uint64_t i = 0; i < changes; ++i) {
            bytes[random() % bytes.size()] = static_cast<std::uint8_t>(random());
        }
        if (random() % 4 == 0) {
            bytes.resize(random() % (bytes.size() + 1));
        }
    }

    core::random_source random{20261204};
};

// Guards against a parser that crashes on malformed input, and against work that starts although the token's MAC is
// wrong.
TEST_F(mutated_datagram_test, bad_mac_no_crash_no_work)
{
    auto token = open();
    token.mutate_mac(token.mac() ^ 1);
    const auto all = samples(token);
    for (int i = 0; i < 50000; ++i) {
        auto bytes = all[random() % all.size()];
        mutate(bytes);
        deliver(bytes);
        ASSERT_EQ(take<start_exchange>(), 0U) << i;
    }
    EXPECT_EQ(core.counters().requests_accepted, 0U);
}

// Guards against a crash on a mutated body with a valid MAC, and against one that runs a request of another flow.
TEST_F(mutated_datagram_test, valid_mac_no_crash_own_work_only)
{
    auto token = open();
    auto all = samples(token);
    const auto prefix_of = [](const wire::flow_token& value) { return "1-7-" + std::to_string(value.flow()) + "-"; };
    auto prefix = prefix_of(token);
    for (int i = 0; i < 50000; ++i) {
        auto bytes = all[random() % all.size()];
        mutate(bytes);
        deliver(bytes);
        for (const auto& item : action_list(actions)) {
            if (const auto* start = std::get_if<start_exchange>(&item)) {
                ASSERT_EQ(start->request_id.substr(0, prefix.size()), prefix) << i;
                core.on_exchange_result(now, start->id, {exchange_status::answered, 200, {}}, actions);
            }
        }
        actions.clear();
        if (i % 1000 == 999) {
            // A mutated close may have ended the flow.
            token = open();
            all = samples(token);
            prefix = prefix_of(token);
        }
    }
}

} // namespace
} // namespace daisydoor::agent
