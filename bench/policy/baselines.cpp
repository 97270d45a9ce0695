#include "policy/baselines.hpp"

#include <algorithm>
#include <deque>
#include <optional>
#include <queue>
#include <xxhash.h>

namespace daisydoor::policy
{

namespace
{

constexpr double load_report_interval_ms = 1000;
constexpr double sample_interval_ms = 50;

/// Hosts with slots and queues; `ideal_queue` uses one shared queue.
class queue_model
{
  public:
    queue_model(baseline policy, const deployment& where, std::uint64_t seed)
        : m_policy(policy), m_where(where), m_random(seed), m_queues(where.hosts()), m_busy(where.hosts()),
          m_reported_loads(where.hosts())
    {
    }

    result run(const std::vector<arrival>& arrivals)
    {
        double next_sample = 0;
        for (const auto& item : arrivals) {
            while (next_sample < item.at_ms) {
                finish_until(next_sample);
                update_reported_loads(next_sample);
                if (next_sample >= warm_up_ms) {
                    sample();
                }
                next_sample += sample_interval_ms;
            }
            finish_until(item.at_ms);
            accept(item);
        }
        finish_until(1e12);
        m_result.imbalance = m_samples > 0 ? m_imbalance / m_samples : 1;
        return std::move(m_result);
    }

  private:
    struct completion
    {
        double at_ms;
        std::size_t host;

        bool operator<(const completion& other) const noexcept { return at_ms > other.at_ms; }
    };

    [[nodiscard]] std::size_t load(std::size_t host) const { return m_queues[host].size() + m_busy[host]; }

    std::size_t choose(const arrival& item)
    {
        const std::size_t n = m_where.hosts();
        std::uniform_int_distribution<std::size_t> any(0, n - 1);
        if (m_policy == baseline::two_choices) {
            const std::size_t a = any(m_random);
            const std::size_t b = any(m_random);
            return load(a) <= load(b) ? a : b;
        }
        if (m_policy == baseline::lagging_least_load) {
            return static_cast<std::size_t>(std::min_element(m_reported_loads.begin(), m_reported_loads.end()) -
                                            m_reported_loads.begin());
        }
        return XXH3_64bits_withSeed(&item.flow, sizeof item.flow, 1) % n;
    }

    std::optional<std::size_t> free_host(std::size_t zone) const
    {
        std::optional<std::size_t> best;
        for (std::size_t host = 0; host < m_where.hosts(); ++host) {
            if (m_busy[host] < m_where.slots && (!best || m_where.zone_of(host) == zone)) {
                best = host;
            }
        }
        return best;
    }

    void accept(const arrival& item)
    {
        if (m_policy == baseline::ideal_queue) {
            if (const auto host = free_host(item.zone)) {
                start(*host, item, item.at_ms);
                return;
            }
            m_central.push_back(item);
            return;
        }
        const std::size_t host = choose(item);
        if (m_busy[host] < m_where.slots) {
            start(host, item, item.at_ms);
            return;
        }
        m_queues[host].push_back(item);
    }

    void start(std::size_t host, const arrival& item, double now)
    {
        ++m_busy[host];
        m_running.push({now + item.service_ms, host});
        const double one_way_ms = m_where.caller_delay_ms + m_where.delay(item.zone, m_where.zone_of(host));
        m_result.add(item, now + item.service_ms + 2 * one_way_ms);
    }

    void finish_until(double now)
    {
        while (!m_running.empty() && m_running.top().at_ms <= now) {
            const auto done = m_running.top();
            m_running.pop();
            --m_busy[done.host];
            auto& queue = m_policy == baseline::ideal_queue ? m_central : m_queues[done.host];
            if (!queue.empty()) {
                const arrival next = queue.front();
                queue.pop_front();
                start(done.host, next, done.at_ms);
            }
        }
    }

    void update_reported_loads(double now)
    {
        if (now < m_next_report_ms) {
            return;
        }
        for (std::size_t host = 0; host < m_reported_loads.size(); ++host) {
            m_reported_loads[host] = load(host);
        }
        m_next_report_ms = now + load_report_interval_ms;
    }

    void sample()
    {
        std::size_t sum = 0;
        std::size_t most = 0;
        for (std::size_t host = 0; host < m_where.hosts(); ++host) {
            sum += load(host);
            most = std::max(most, load(host));
        }
        if (sum > 0) {
            m_imbalance += static_cast<double>(most * m_where.hosts()) / static_cast<double>(sum);
            ++m_samples;
        }
    }

    baseline m_policy;
    const deployment& m_where;
    core::random_source m_random;
    std::vector<std::deque<arrival>> m_queues;
    std::deque<arrival> m_central;
    std::vector<std::size_t> m_busy;
    std::vector<std::size_t> m_reported_loads;
    std::priority_queue<completion> m_running;
    result m_result;
    double m_next_report_ms = 0;
    double m_imbalance = 0;
    double m_samples = 0;
};

} // namespace

result run_baseline(baseline policy, const deployment& where, const std::vector<arrival>& arrivals, std::uint64_t seed)
{
    return queue_model(policy, where, seed).run(arrivals);
}

} // namespace daisydoor::policy
