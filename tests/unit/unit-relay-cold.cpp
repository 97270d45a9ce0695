#include "daisydoor/relay/codec.hpp"
#include "daisydoor/relay/cold_budget.hpp"

#include "agent_relay_fixture.hpp"

#include <algorithm>
#include <random>

namespace daisydoor::relay
{
namespace
{

/// Agent 1 of three, whose service publishes a limit for cold hosts. Its host has just started.
class cold_host_test : public agent_relay_test
{
  protected:
    static constexpr double rate = 10;
    /// 10 a second, 1.5 times that, and 5 more.
    static constexpr std::size_t limit = 20;
    static constexpr core::milliseconds cold_time{30'000};
    static constexpr core::milliseconds tick_time{20};

    cold_host_test()
    {
        publish_rate(rate);
        make_cold(1, cold_time);
        restart_cold(false);
    }

    void apply(fleet_change value)
    {
        fleet_update update;
        update.revision = revision{static_cast<std::uint64_t>(m_view.revision()) + 1};
        value.revision = update.revision;
        update.changes.push_back(std::move(value));
        m_view.apply(update, m_now);
    }

    void publish_rate(double requests_per_second)
    {
        route_set value;
        value.version = route_version{static_cast<std::uint64_t>(m_view.version()) + 1};
        value.routes = {make_route({{"svc", 1}})};
        if (requests_per_second > 0) {
            value.cold_rates = {{"svc", requests_per_second}};
        }
        apply({{}, value});
    }

    void make_cold(std::uint32_t n, core::milliseconds time)
    {
        auto value = make_host(n);
        value.cold_remaining = time;
        apply({{}, value});
    }

    void restart_cold(bool host_may_have_earlier_flows)
    {
        agent_relay_options options;
        options.self = agent_address(1);
        options.service = "svc";
        options.started_at = m_now;
        options.host_may_have_earlier_flows = host_may_have_earlier_flows;
        options.cold = {1.5, 5};
        m_agent = std::make_unique<agent_relay>(options, m_view);
        m_actions.clear();
        m_agent->on_tick(m_now, m_actions);
    }

    /// Sends an opening packet from a new client; the host takes what it gets and closes it. @return whether it got the
    /// packet
    bool open_next(std::uint8_t hops = 0)
    {
        auto value = make_syn(make_flow(++m_port));
        value.hops = hops;
        on_packet(value);
        const bool delivered = !emitted<send_to_host>().empty();
        if (delivered) {
            m_openings.push_back(m_now);
            const auto kept = m_actions;
            on_host_packet(make_syn_ack(make_flow(m_port)));
            auto end = make_packet(make_flow(m_port));
            end.rst = true;
            on_host_packet(end);
            m_actions = kept;
        }
        return delivered;
    }

    /// Sends a request on an open flow, and the host's answer if it gets the request.
    void request(std::uint16_t port)
    {
        auto value = make_packet(make_flow(port));
        value.payload_size = 10;
        value.sequence = 101 + m_sequence[port];
        m_sequence[port] += 10;
        on_packet(value);
        answer_delivered();
    }

    /// The host answers at once all requests that the last call delivered.
    void answer_delivered()
    {
        for (auto n = emitted<send_to_host>().size(); n > 0;) {
            m_requests.insert(m_requests.end(), n, m_now);
            auto value = make_packet(make_flow(m_requester));
            value.payload_size = 10;
            value.sequence = 5001 + (m_answered += 10);
            on_host_packet(value);
            // The answer may release the next request.
            n = emitted<send_to_host>().size();
        }
    }

    static std::size_t most_in_a_window(const std::vector<core::time_point>& times)
    {
        std::size_t result = 0;
        for (auto it = times.begin(); it != times.end(); ++it) {
            const auto end = std::upper_bound(it, times.end(), *it + cold_window);
            result = std::max(result, static_cast<std::size_t>(end - it));
        }
        return result;
    }

    core::time_point m_cold_until = m_now + cold_time;
    std::uint16_t m_port = 1000;
    std::uint16_t m_requester = 1001;
    std::uint32_t m_answered = 0;
    std::map<std::uint16_t, std::uint32_t> m_sequence;
    std::vector<core::time_point> m_openings;
    std::vector<core::time_point> m_requests;
};

// Guards against a burst that opens more flows at a cold host than it bears in some second, and against flows that wait
// although another host takes them.
TEST_F(cold_host_test, burst_beyond_budget_goes_elsewhere_at_once)
{
    std::mt19937_64 random(1);
    for (int i = 0; i < 1500 && m_now < m_cold_until; ++i) {
        on_message(agent_address(2), host_load{0, 0, 5, true});
        if (!open_next()) {
            EXPECT_EQ(emitted<send_to_agent>().size(), 1U);
            EXPECT_TRUE(emitted<reset_client>().empty());
        }
        // Bursts, and pauses of up to half a second.
        if (random() % 20 == 0) {
            tick(core::milliseconds(random() % 500));
        }
    }
    EXPECT_EQ(most_in_a_window(m_openings), limit);
    EXPECT_GT(m_openings.size(), 10 * limit) << "the budget is used";
}

// Guards against flows that wait or are opened when no host has budget left.
TEST_F(cold_host_test, burst_is_refused_at_once_when_every_host_is_closed)
{
    for (std::uint32_t n = 2; n <= 3; ++n) {
        on_message(agent_address(n), host_load{0, 0, 5, false});
    }
    std::size_t refused = 0;
    for (std::size_t i = 0; i < 3 * limit; ++i) {
        const bool opened = open_next();
        refused += emitted<reset_client>().size();
        EXPECT_EQ(opened, emitted<reset_client>().empty());
    }
    EXPECT_EQ(m_openings.size(), limit);
    EXPECT_EQ(refused, 2 * limit);
}

// Guards against peers that redirect flows to a host without budget.
TEST_F(cold_host_test, load_report_says_that_no_more_is_taken)
{
    EXPECT_TRUE(m_agent->load().accepts);
    while (open_next()) {
    }
    EXPECT_FALSE(m_agent->load().accepts);
    tick(report_interval);
    const auto reports = sent_messages<host_load>();
    ASSERT_FALSE(reports.empty());
    EXPECT_FALSE(reports[0].second.accepts);
    tick(cold_window + cold_window_slack);
    EXPECT_TRUE(m_agent->load().accepts);
}

// Guards against requests on open flows that exceed the budget, or that are lost in place of delayed.
TEST_F(cold_host_test, requests_on_open_flows_wait_for_the_budget)
{
    constexpr std::size_t requests = 3 * limit;
    open(make_flow(m_requester));
    std::size_t sent = 0;
    for (int i = 0; i < 500; ++i) {
        if (sent < requests && m_requests.size() == sent) {
            ++sent;
            request(m_requester);
        }
        tick(tick_time);
        answer_delivered();
    }
    EXPECT_EQ(m_requests.size(), requests);
    EXPECT_EQ(most_in_a_window(m_requests), limit);
}

// Guards against an agent that starts again while its host is cold, and gives it a second's budget once more.
TEST_F(cold_host_test, restarted_agent_takes_last_second_for_used_up)
{
    while (open_next()) {
    }
    restart_cold(true);
    const auto before = m_openings.size();
    for (auto time = tick_time; time < cold_window; time += tick_time) {
        tick(tick_time);
        EXPECT_FALSE(open_next());
        on_packet([this] {
            auto value = make_packet(make_flow(900));
            value.payload_size = 10;
            return value;
        }());
        EXPECT_TRUE(emitted<send_to_host>().empty()) << "a request of a flow that is not known yet";
    }
    EXPECT_EQ(m_openings.size(), before);
    tick(2 * tick_time);
    EXPECT_TRUE(open_next());
    EXPECT_LE(most_in_a_window(m_openings), limit);
}

// Guards against a limit that nobody published, and against one that outlasts the warm-up time.
TEST_F(cold_host_test, without_limit_or_after_warm_up_everything_is_taken)
{
    while (open_next()) {
    }
    publish_rate(0);
    EXPECT_TRUE(open_next());
    publish_rate(rate);
    for (std::size_t i = 0; i < limit; ++i) {
        EXPECT_TRUE(open_next()) << "counted from the publication on";
    }
    EXPECT_FALSE(open_next());
    tick(cold_time);
    for (std::size_t i = 0; i < limit; ++i) {
        EXPECT_TRUE(open_next(1));
    }
    EXPECT_TRUE(open_next(1));
    EXPECT_FALSE(m_agent->cold().limit());
}

// Guards against a zone that returns with cold hosts and gets its whole share at once.
TEST_F(cold_host_test, zone_that_returns_cold_gets_no_more_than_the_budget)
{
    add_host(m_view, make_host(4, "svc", "b"));
    apply({{}, zone_evacuated{"a"}});
    EXPECT_FALSE(open_next());
    advance(cold_time);
    make_cold(1, cold_time);
    apply({{}, evacuation_ended{"a"}});
    for (int i = 0; i < 300; ++i) {
        open_next();
        tick(core::milliseconds(10));
    }
    EXPECT_EQ(most_in_a_window(m_openings), limit);
}

// Guards against a budget that two requests use at the edges of a window, and against one that loses room.
TEST(cold_budget_test, windows_slide)
{
    const ipv4 self{1};
    fleet_view view("a");
    host value;
    value.id = "i";
    value.service = "s";
    value.availability_zone = "a";
    value.address = self;
    value.slots = 1;
    value.cold_remaining = core::milliseconds(100'000);
    route_set routes;
    routes.version = route_version{1};
    routes.cold_rates = {{"s", 2}};
    fleet_update update;
    update.revision = revision{1};
    update.changes = {{update.revision, value}, {update.revision, routes}};
    core::time_point now{core::seconds(5)};
    view.apply(update, now);
    cold_budget budget({1, 1}, core::time_point{});
    budget.update(view, self, "s", now);
    EXPECT_EQ(budget.limit(), 3U);
    EXPECT_TRUE(budget.try_request(now));
    EXPECT_TRUE(budget.try_request(now + core::milliseconds(900)));
    EXPECT_TRUE(budget.try_request(now + core::milliseconds(1000)));
    EXPECT_FALSE(budget.try_request(now + cold_window));
    EXPECT_FALSE(budget.try_request(now + cold_window + cold_window_slack));
    EXPECT_TRUE(budget.try_request(now + cold_window + cold_window_slack + core::milliseconds(1)));
    EXPECT_FALSE(budget.try_request(now + core::milliseconds(1900)));
    EXPECT_TRUE(budget.try_request(now + core::milliseconds(1921)));
    budget.update(view, self, "s", now + core::milliseconds(1921));
    EXPECT_FALSE(budget.may_open(0)) << "no request could follow";
    budget.update(view, self, "s", now + core::milliseconds(4000));
    EXPECT_TRUE(budget.may_open(2));
    EXPECT_FALSE(budget.may_open(3)) << "those that wait come first";
}

// Guards against a full queue whose overflow passes the budget.
TEST_F(cold_host_test, full_queue_drops_what_the_budget_refuses)
{
    admission_queue queue;
    queue.set_condition([](core::time_point) { return false; });
    for (std::uint16_t port = 1; port <= max_waiting_requests; ++port) {
        EXPECT_FALSE(queue.on_request(make_flow(port), {}, 1, bytes(), 5, m_now));
    }
    EXPECT_FALSE(queue.on_request(make_flow(9000), {}, 1, bytes(), 5, m_now));
    EXPECT_EQ(queue.waiting(), max_waiting_requests);
    ASSERT_EQ(queue.take_dropped().size(), 1U) << "it is a request again when its client retransmits it";
    EXPECT_TRUE(queue.release(5, m_now).empty());
}

// Guards against a limit that overflows, or is rounded up.
TEST(cold_budget_test, limit_is_rounded_down_and_bounded)
{
    EXPECT_EQ((cold_allowance{1.5, 5}.limit(10)), 20U);
    EXPECT_EQ((cold_allowance{1.5, 0}.limit(1)), 1U);
    EXPECT_EQ((cold_allowance{}.limit(0.5)), 0U);
    EXPECT_EQ((cold_allowance{1000, 1e6}.limit(1e6)), 100'000U);
}

// Guards against a warm-up time that starts anew at each process that hears of the host, and a limit that is lost on
// the way.
TEST_F(cold_host_test, view_tells_the_remaining_time_and_the_rates)
{
    advance(core::milliseconds(10'000));
    const auto bytes = encode_update(m_view.snapshot(m_now));
    fleet_view other("b");
    other.apply(*decode_update({bytes.data(), bytes.size()}), m_now);
    EXPECT_EQ(other.find_host(agent_address(1))->cold_until, m_view.find_host(agent_address(1))->cold_until);
    EXPECT_EQ(other.cold_rate_of("svc"), rate);
    const auto before = m_view.position();
    publish_rate(20);
    const auto news = encode_update(*m_view.changes_after(before));
    other.apply(*decode_update({news.data(), news.size()}), m_now);
    EXPECT_EQ(other.cold_rate_of("svc"), 20);
    EXPECT_EQ(other.cold_rate_of("other"), std::nullopt);
}

} // namespace
} // namespace daisydoor::relay
