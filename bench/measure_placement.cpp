#include "daisydoor/core/random.hpp"
#include "daisydoor/relay/host_work.hpp"
#include "daisydoor/relay/placement.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <map>
#include <random>
#include <string_view>
#include <vector>

/// @brief Answer times of ways to place requests on hosts of different speeds, in virtual time and without a network.
namespace
{

using namespace daisydoor;
using namespace daisydoor::relay;

constexpr std::size_t host_count = 36;
constexpr std::uint32_t slots = 2;
constexpr std::size_t known_peers = 16;
constexpr double report_ms = 100;
constexpr double wave = 0.55;
constexpr double wave_ms = 16'000;
constexpr double run_ms = 40'000;
constexpr double warm_up_ms = 8'000;
constexpr double aim_ms = 200;
constexpr double tail_share = 0.03;
constexpr double tail_factor = 7;
constexpr std::size_t long_flows = 2000;
constexpr double long_flow_ms = 10'000;
constexpr std::array<double, 3> route_ms{26, 33, 4.2};
constexpr std::array<double, 3> route_share{0.73, 0.2, 0.07};

enum class way
{
    counts,
    least_work,
    two_choices,
    weighted,
    probing,
    join_idle,
    work_left,
    central_queue,
};
constexpr std::array<std::string_view, 8> way_names{"counts",  "least work left", "two choices", "weighted by speed",
                                                    "probing", "join idle queue", "daisydoor",   "central queue"};

core::time_point at(double ms)
{
    return core::time_point{} +
           std::chrono::duration_cast<core::duration>(std::chrono::duration<double, std::milli>(ms + 1));
}

struct simulated_host
{
    double speed = 1;
    std::array<double, slots> free_at{};
    std::multimap<double, flow_key> ends;
    host_work work;
    host_load reported;
    double latency_ms = 40;

    [[nodiscard]] host_load load(bool with_work) const
    {
        host_load result{static_cast<std::uint32_t>(ends.size()), 0, slots, true};
        if (with_work && work.mean_ms() > 0) {
            result.work_us = static_cast<std::uint32_t>(work.work_left_ms() * 1000);
            result.mean_work_us = static_cast<std::uint32_t>(work.mean_ms() * 1000);
        }
        return result;
    }

    [[nodiscard]] double begin_of(double now) const
    {
        return std::max(now, *std::min_element(free_at.begin(), free_at.end()));
    }
};

class simulation
{
  public:
    simulation(way policy, std::array<double, 3> speeds, double load, bool is_long, std::uint64_t seed)
        : m_way(policy), m_is_long(is_long), m_random(seed), m_hosts(host_count),
          m_redirected(host_count, std::vector<std::uint32_t>(host_count))
    {
        double capacity = 0;
        for (std::size_t i = 0; i < host_count; ++i) {
            m_hosts[i].speed = speeds.at(i % speeds.size());
            capacity += slots * m_hosts[i].speed;
        }
        double mean = 0;
        for (std::size_t i = 0; i < route_ms.size(); ++i) {
            mean += route_ms.at(i) * route_share.at(i);
        }
        m_rate = load * capacity / mean;
    }

    void run()
    {
        struct pinned
        {
            std::size_t host = 0;
            double until = 0;
        };
        std::vector<pinned> flows(long_flows);
        double next_report = 0;
        double now = 0;
        while (now < run_ms) {
            now += std::exponential_distribution<>(m_rate * (1 + wave * std::sin(2 * M_PI * now / wave_ms)))(m_random);
            while (next_report <= now) {
                end_until(next_report);
                report();
                next_report += report_ms;
            }
            end_until(now);
            const std::size_t route =
                std::discrete_distribution<std::size_t>{route_share[0], route_share[1], route_share[2]}(m_random);
            const double base = route_ms.at(route) / (1 + tail_share * (tail_factor - 1));
            const double cost = base * (uniform() < tail_share ? tail_factor : 1) * (0.7 + 0.6 * uniform());
            if (!m_is_long) {
                serve(choose(now), route, cost, now);
                continue;
            }
            auto& flow = flows[static_cast<std::size_t>(uniform() * long_flows)];
            if (flow.until <= now && m_way != way::central_queue) {
                flow = {choose(now), now + long_flow_ms * (0.5 + uniform())};
            }
            serve(m_way == way::central_queue ? choose(now) : flow.host, route, cost, now);
        }
    }

    void print()
    {
        std::vector<double> all;
        for (auto& it : m_answers) {
            std::sort(it.begin(), it.end());
            all.insert(all.end(), it.begin(), it.end());
        }
        std::sort(all.begin(), all.end());
        const auto in_aim = std::lower_bound(all.begin(), all.end(), aim_ms) - all.begin();
        const auto quantile = [](const std::vector<double>& values, double q) {
            return values[static_cast<std::size_t>(q * static_cast<double>(values.size() - 1))];
        };
        std::printf("| %s | %.0f | %.0f | %.3f | %.0f, %.0f, %.0f |\n",
                    way_names.at(static_cast<std::size_t>(m_way)).data(), quantile(all, 0.5), quantile(all, 0.99),
                    static_cast<double>(in_aim) / static_cast<double>(all.size()), quantile(m_answers[0], 0.99),
                    quantile(m_answers[1], 0.99), quantile(m_answers[2], 0.99));
    }

  private:
    double uniform() { return std::uniform_real_distribution<>()(m_random); }
    std::size_t any_host() { return std::uniform_int_distribution<std::size_t>(0, host_count - 1)(m_random); }

    void end_until(double now)
    {
        for (auto& host : m_hosts) {
            while (!host.ends.empty() && host.ends.begin()->first <= now) {
                const auto [ended, flow] = *host.ends.begin();
                host.work.on_answered(flow, at(ended));
                host.work.on_ended(flow, slots, at(ended));
                host.ends.erase(host.ends.begin());
            }
            host.work.advance(at(now));
        }
    }

    void report()
    {
        for (auto& host : m_hosts) {
            host.reported = host.load(m_way != way::counts);
        }
        for (auto& it : m_redirected) {
            std::fill(it.begin(), it.end(), 0);
        }
    }

    void serve(std::size_t chosen, std::size_t route, double cost, double now)
    {
        auto& host = m_hosts[chosen];
        flow_key flow;
        flow.client = ipv4{++m_requests};
        flow.service_port = static_cast<std::uint16_t>(route);
        auto& slot = *std::min_element(host.free_at.begin(), host.free_at.end());
        slot = std::max(now, slot) + cost / host.speed;
        host.ends.emplace(slot, flow);
        host.work.on_delivered(flow, m_is_long, slots, at(now));
        host.latency_ms += (slot - now - host.latency_ms) / 32;
        if (now > warm_up_ms) {
            m_answers.at(route).push_back(slot - now);
        }
    }

    /// Peers on a ring, half on each side.
    std::vector<peer_load> peers_of(std::size_t self)
    {
        std::vector<peer_load> result;
        for (std::size_t i = 1; i <= known_peers; ++i) {
            const auto n = (self + (i % 2 == 0 ? i / 2 : host_count - (i + 1) / 2)) % host_count;
            result.push_back(
                {ipv4{static_cast<std::uint32_t>(n)}, m_hosts[n].reported, true, m_redirected[self][n], true});
        }
        return result;
    }

    std::size_t redirect(std::size_t self, std::size_t peer)
    {
        ++m_redirected[self][peer];
        return peer;
    }

    std::size_t choose_by_load(std::size_t self)
    {
        const auto own = m_hosts[self].load(m_way != way::counts);
        const auto peers = peers_of(self);
        const auto* found = choose_less_busy(own, peers, m_random());
        return found != nullptr ? redirect(self, static_cast<std::size_t>(found->agent)) : self;
    }

    std::size_t choose_least_work(std::size_t self)
    {
        const auto work = [](const host_load& it, std::uint32_t redirected) {
            return it.work_us + static_cast<double>(redirected) * it.mean_work_us;
        };
        std::size_t result = self;
        double least = work(m_hosts[self].load(true), 0);
        for (const auto& it : peers_of(self)) {
            if (const double found = work(it.load, it.flows_redirected); found < least) {
                least = found;
                result = static_cast<std::size_t>(it.agent);
            }
        }
        return result == self ? self : redirect(self, result);
    }

    /// Three probes a request, of which 16 are kept; the quickest of those that have no more requests than 84% of them.
    std::size_t choose_by_probes()
    {
        for (int i = 0; i < 3; ++i) {
            const auto host = any_host();
            m_probes.push_back({host, m_hosts[host].ends.size(), m_hosts[host].latency_ms});
        }
        m_probes.erase(m_probes.begin(), m_probes.size() > 16 ? m_probes.end() - 16 : m_probes.begin());
        std::vector<std::size_t> counts;
        for (const auto& it : m_probes) {
            counts.push_back(it.requests);
        }
        std::sort(counts.begin(), counts.end());
        const auto limit = counts[static_cast<std::size_t>(0.84 * static_cast<double>(counts.size() - 1))];
        const auto best = std::min_element(m_probes.begin(), m_probes.end(), [limit](const probe& a, const probe& b) {
            const auto rank = [limit](const probe& it) {
                return it.requests < limit ? std::make_pair(0.0, it.latency_ms)
                                           : std::make_pair(1.0 + static_cast<double>(it.requests), it.latency_ms);
            };
            return rank(a) < rank(b);
        });
        const auto result = best->host;
        m_probes.erase(best);
        return result;
    }

    std::size_t choose(double now)
    {
        const auto self = any_host();
        switch (m_way) {
        case way::counts:
        case way::work_left:
            return choose_by_load(self);
        case way::least_work:
            return choose_least_work(self);
        case way::two_choices: {
            const auto other = any_host();
            return m_hosts[other].ends.size() < m_hosts[self].ends.size() ? other : self;
        }
        case way::weighted: {
            std::vector<double> speeds;
            for (const auto& it : m_hosts) {
                speeds.push_back(it.speed);
            }
            return std::discrete_distribution<std::size_t>(speeds.begin(), speeds.end())(m_random);
        }
        case way::probing:
            return choose_by_probes();
        case way::join_idle: {
            std::vector<std::size_t> idle;
            for (std::size_t i = 0; i < host_count; ++i) {
                if (m_hosts[i].ends.size() < slots) {
                    idle.push_back(i);
                }
            }
            return idle.empty() ? self : idle[static_cast<std::size_t>(uniform() * static_cast<double>(idle.size()))];
        }
        case way::central_queue:
            break;
        }
        const auto first = std::min_element(m_hosts.begin(), m_hosts.end(), [now](const auto& a, const auto& b) {
            return std::make_pair(a.begin_of(now), -a.speed) < std::make_pair(b.begin_of(now), -b.speed);
        });
        return static_cast<std::size_t>(first - m_hosts.begin());
    }

    struct probe
    {
        std::size_t host = 0;
        std::size_t requests = 0;
        double latency_ms = 0;
    };

    way m_way;
    bool m_is_long = false;
    std::mt19937_64 m_random;
    std::vector<simulated_host> m_hosts;
    /// Flows that an agent redirected to a peer since its report.
    std::vector<std::vector<std::uint32_t>> m_redirected;
    std::vector<probe> m_probes;
    std::array<std::vector<double>, 3> m_answers;
    double m_rate = 0;
    std::uint32_t m_requests = 0;
};

} // namespace

/// Plays a flow for each request or, with any argument, long flows.
int main(int argc, char** /*argv*/)
{
    const bool is_long = argc > 1;
    for (const auto& speeds : {std::array<double, 3>{0.6, 1, 1.6}, std::array<double, 3>{0.3, 1, 3}}) {
        for (const double load : {0.6, 0.8, 0.95, 1.2}) {
            std::printf("\n%s, speeds %.1f : %.1f : %.1f, load %.0f%%\n\n| way | p50 ms | p99 ms | in aim | p99 ms by "
                        "route |\n| --- | --- | --- | --- | --- |\n",
                        is_long ? "long flows" : "a flow each", speeds[0], speeds[1], speeds[2], load * 100);
            for (std::size_t i = 0; i < way_names.size(); ++i) {
                simulation it(static_cast<way>(i), speeds, load, is_long, 1);
                it.run();
                it.print();
            }
            std::fflush(stdout);
        }
    }
    return 0;
}
