#include "support/relay_fleet.hpp"

#include <gtest/gtest.h>

namespace daisydoor::support
{
namespace
{

constexpr core::milliseconds before_outage{3000};
constexpr core::milliseconds after_outage{5000};
/// Failed share of requests that the customers accept: three nines are served.
constexpr double max_failed_share = 0.001;

/// Customers of very different work on one build: requests of 15 and 20 ms with deadlines of half a second, and of 40
/// and 52 ms with deadlines of seconds. Both keep about 45% of the slots busy.
class relay_fleet_test : public ::testing::TestWithParam<std::uint64_t>
{
  protected:
    static relay_fleet_options short_requests(std::uint64_t seed)
    {
        traffic card;
        card.requests_per_second = 292;
        traffic score;
        score.requests_per_second = 83;
        score.mean_work = core::milliseconds(20);
        score.target_latency = core::milliseconds(150);
        score.deadline = core::milliseconds(600);
        score.repeatable = false;
        score.priority = 0;
        relay_fleet_options result;
        result.seed = seed;
        result.traffics = {card, score};
        return result;
    }

    static relay_fleet_options long_requests(std::uint64_t seed)
    {
        auto result = short_requests(seed);
        result.host.slots = 5;
        auto& feed = result.traffics[0];
        feed.mean_work = core::milliseconds(40);
        feed.target_latency = core::milliseconds(200);
        feed.deadline = core::milliseconds(3000);
        auto& post = result.traffics[1];
        post.mean_work = core::milliseconds(52);
        post.target_latency = core::milliseconds(250);
        post.deadline = core::milliseconds(4000);
        return result;
    }

    /// Every request that is sent after `back` must be served, and none that may not be repeated runs twice.
    static void expect_service_from(const relay_fleet& fleet, core::milliseconds back)
    {
        const auto after = fleet.count(back, before_outage + after_outage);
        ASSERT_GT(after.sent, 500U);
        EXPECT_LE(after.failed_share(), max_failed_share) << after.failed << " of " << after.sent;
        EXPECT_LE(fleet.most_runs_of_unrepeatable(), 1U);
    }
};

// Guards against an overload that lasts after a loss of power: agents counted requests that nobody waited for, refused
// new ones and let the host run the retransmissions of clients that had given up; no request was served again.
TEST_P(relay_fleet_test, power_loss_with_short_requests_recovers)
{
    relay_fleet fleet(short_requests(GetParam()));
    fleet.run(before_outage);
    fleet.lose_power(core::milliseconds(1300), core::milliseconds(200));
    fleet.run(after_outage);
    fleet.finish();
    // The last process has its view 1.54 s after the loss, and the routers find it within 0.5 s.
    expect_service_from(fleet, before_outage + core::milliseconds(2040));
}

// Guards against the same after a kill of all processes, whose hosts and flows live on.
TEST_P(relay_fleet_test, kill_of_all_processes_with_short_requests_recovers)
{
    relay_fleet fleet(short_requests(GetParam()));
    fleet.run(before_outage);
    fleet.kill_processes(core::milliseconds(700), core::milliseconds(200));
    fleet.run(after_outage);
    fleet.finish();
    expect_service_from(fleet, before_outage + core::milliseconds(1440));
}

// Guards against a rule for short requests that costs those with long ones.
TEST_P(relay_fleet_test, kill_of_all_processes_with_long_requests_recovers)
{
    relay_fleet fleet(long_requests(GetParam()));
    fleet.run(before_outage);
    fleet.kill_processes(core::milliseconds(700), core::milliseconds(200));
    fleet.run(after_outage);
    fleet.finish();
    expect_service_from(fleet, before_outage + core::milliseconds(1440));
}

// Guards against clients that lose their flows when half of the entries are killed for longer than the routers need to
// notice.
TEST_P(relay_fleet_test, kill_of_half_of_the_entries_ends_with_their_removal)
{
    relay_fleet fleet(short_requests(GetParam()));
    fleet.run(before_outage);
    fleet.kill_entries(0.5, core::milliseconds(3000));
    fleet.run(after_outage);
    fleet.finish();
    expect_service_from(fleet, before_outage + core::milliseconds(1000));
}

// Guards against a lost zone whose agents the entries of an evacuated zone find one by one: each lost agent delays two
// flows of each entry, and a flow can meet several of them.
TEST_P(relay_fleet_test, loss_of_zone_with_another_evacuated_is_learned_at_once)
{
    auto options = short_requests(GetParam());
    options.hosts = 45;
    options.host.slots = 1;
    options.evacuated_zone = 0;
    relay_fleet fleet(options);
    fleet.run(before_outage);
    const auto before = fleet.decisions(relay::decision::placed_again);
    fleet.lose_zone(1, core::milliseconds(3000));
    fleet.run(core::milliseconds(2500));
    // Two entries place half of 62 flows a second each in the lost zone until three of its agents were silent for 60
    // ms, and one flow each 100 ms afterwards; the two entries of the third zone place none there. Each of its 15
    // agents redirects one flow to each peer of the lost zone, a third of its 8 neighbours on the ring of all and
    // chance.
    constexpr std::size_t by_entries = std::size_t{2} * (12 + 25);
    constexpr std::size_t by_agents = std::size_t{15} * 4;
    EXPECT_LE(fleet.decisions(relay::decision::placed_again) - before, by_entries + by_agents);
    fleet.run(after_outage);
    fleet.finish();
    expect_service_from(fleet, before_outage + core::milliseconds(1100));
}

INSTANTIATE_TEST_SUITE_P(seeds, relay_fleet_test, ::testing::Range<std::uint64_t>(1, 6));

} // namespace
} // namespace daisydoor::support
