#include "daisydoor/config/config_sync.hpp"
#include "support/published.hpp"
#include "support/virtual_clock.hpp"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <map>
#include <memory>

/// @brief Measures the distribution of the configuration to many processes: time, messages, bytes, platform calls.
namespace daisydoor::distribution
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t zones = 19;
constexpr std::size_t hosts_per_service = 11;
constexpr milliseconds zone_delay{3};
constexpr milliseconds platform_delay{5};
constexpr milliseconds tick{100};

struct counters
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    std::uint64_t platform_calls = 0;
};

counters operator-(const counters& a, const counters& b)
{
    return {a.messages - b.messages, a.bytes - b.bytes, a.platform_calls - b.platform_calls};
}

/// Agents of all services, and one entry for each service of 11 agents, about the ratio of the large fleet.
class fleet_model
{
  public:
    fleet_model(std::size_t services, std::uint64_t seed) : m_random(seed)
    {
        publish_fleet(services);
        for (std::size_t i = 0; i < m_publication.fleet.size(); ++i) {
            add_process(i);
        }
    }

    [[nodiscard]] std::size_t size() const noexcept { return m_processes.size(); }
    [[nodiscard]] const counters& count() const noexcept { return m_counters; }
    [[nodiscard]] std::size_t waiting_watches() const noexcept { return m_waiting; }

    void run_for(milliseconds time) { m_clock.run_for(time); }

    /// Publishes a change of one service. @return the virtual time until all processes use the new version, at most
    /// about `limit`
    milliseconds publish_and_wait(milliseconds limit)
    {
        auto& service = m_publication.services[m_random() % m_publication.services.size()];
        service.preset = service.preset == config::preset::peak ? config::preset::ordinary : config::preset::peak;
        ++m_publication.version;
        m_values = support::to_values(m_publication);
        answer_watches();
        const auto start = m_clock.elapsed();
        while (m_clock.elapsed() - start < limit && !is_in_force_everywhere()) {
            m_clock.run_for(milliseconds{10});
        }
        return m_clock.elapsed() - start;
    }

  private:
    struct watch
    {
        std::size_t process;
        std::string key;
        std::uint64_t after;
        bool ended = false;
    };

    void publish_fleet(std::size_t services)
    {
        for (std::size_t zone = 0; zone < zones; ++zone) {
            m_publication.zones.push_back({"zone-" + std::to_string(zone), 1.0 / zones});
        }
        m_publication.keys = {support::make_key(1, 7, true)};
        for (std::size_t s = 0; s < services; ++s) {
            config::service service;
            service.id = core::service_id{static_cast<std::uint32_t>(s) + 1};
            service.name = "service-" + std::to_string(s);
            service.address = address(s, 9000);
            for (std::size_t i = 0; i < hosts_per_service; ++i) {
                add_host(service);
            }
            add_entry();
            m_publication.services.push_back(std::move(service));
        }
        m_values = support::to_values(m_publication);
    }

    void add_host(config::service& service)
    {
        const auto id = ++m_last_host;
        const auto zone = static_cast<config::zone_index>(id % zones);
        config::host host{core::host_id{id}, "host-" + std::to_string(id), zone, address(id, 7100), 5, false};
        m_publication.fleet.push_back(
            {false, host.id, m_publication.zones[zone].name, host.agent, config::instance_state::live});
        m_service_of.push_back(service.id);
        service.hosts.push_back(std::move(host));
    }

    void add_entry()
    {
        const std::size_t i = m_publication.services.size();
        m_publication.fleet.push_back(
            {true, {}, m_publication.zones[i % zones].name, address(i, 7000), config::instance_state::live});
        m_service_of.push_back(std::nullopt);
    }

    static core::endpoint address(std::size_t i, std::uint16_t port)
    {
        return core::parse_endpoint("10." + std::to_string(i / 65536) + '.' + std::to_string(i / 256 % 256) + '.' +
                                    std::to_string(i % 256) + ':' + std::to_string(port));
    }

    void add_process(std::size_t i)
    {
        const auto& self = m_publication.fleet[i];
        config::sync_options options;
        options.self = self.address;
        options.zone = self.zone;
        options.service = m_service_of[i];
        for (int n = 0; n < 4; ++n) {
            options.bootstrap_peers.push_back(m_publication.fleet[m_random() % m_publication.fleet.size()].address);
        }
        m_index[self.address] = i;
        m_processes.push_back(std::make_unique<config::config_sync>(options, core::random_source(m_random())));
        // The processes start at different times, as in a fleet that is replaced gradually.
        m_clock.after(milliseconds{m_random() % 1000}, [this, i] {
            std::vector<config::sync_action> actions;
            m_processes[i]->on_start(m_clock.now(), actions);
            apply(i, actions);
            m_clock.every(tick, [this, i] {
                std::vector<config::sync_action> tick_actions;
                m_processes[i]->on_tick(m_clock.now(), tick_actions);
                apply(i, tick_actions);
            });
        });
    }

    void apply(std::size_t i, const std::vector<config::sync_action>& actions)
    {
        for (const auto& action : actions) {
            if (const auto* message = std::get_if<config::send_config_message>(&action)) {
                send(i, *message);
            } else if (const auto* read = std::get_if<config::read_platform_value>(&action)) {
                read_value(i, *read);
            } else if (const auto* rejected = std::get_if<config::reject_configuration>(&action)) {
                std::fprintf(stderr, "rejected: %s\n", rejected->what.c_str());
            }
        }
    }

    void send(std::size_t from, const config::send_config_message& action)
    {
        const auto it = m_index.find(action.peer);
        if (it == m_index.end()) {
            return;
        }
        ++m_counters.messages;
        m_counters.bytes += wire::encode_frame(action.message).size();
        m_clock.after(zone_delay, [this, from, to = it->second, message = action.message] {
            std::vector<config::sync_action> actions;
            m_processes[to]->on_peer_message(m_clock.now(), m_publication.fleet[from].address, message, actions);
            apply(to, actions);
        });
    }

    void read_value(std::size_t i, const config::read_platform_value& action)
    {
        ++m_counters.platform_calls;
        const auto version = action.key == "fleet" ? m_publication.fleet_version : m_publication.version;
        if (action.after && *action.after >= version) {
            const auto waiting = std::make_shared<watch>(watch{i, action.key, *action.after});
            m_watches.push_back(waiting);
            ++m_waiting;
            m_clock.after(action.wait, [this, waiting] { end_watch(*waiting, true); });
            return;
        }
        answer(i, action.key);
    }

    void end_watch(watch& value, bool unchanged)
    {
        if (value.ended) {
            return;
        }
        value.ended = true;
        --m_waiting;
        if (!unchanged) {
            answer(value.process, value.key);
            return;
        }
        std::vector<config::sync_action> actions;
        m_processes[value.process]->on_platform_failure(m_clock.now(), value.key, true, actions);
        apply(value.process, actions);
    }

    void answer_watches()
    {
        auto watches = std::move(m_watches);
        m_watches.clear();
        for (const auto& it : watches) {
            if (it->key == "fleet") {
                m_watches.push_back(it);
                continue;
            }
            end_watch(*it, false);
        }
    }

    void answer(std::size_t i, const std::string& key)
    {
        m_clock.after(platform_delay, [this, i, key] {
            std::vector<config::sync_action> actions;
            const auto version = key == "fleet" ? m_publication.fleet_version : m_publication.version;
            m_processes[i]->on_platform_value(m_clock.now(), key, version, m_values.at(key), actions);
            apply(i, actions);
        });
    }

    [[nodiscard]] bool is_in_force_everywhere() const
    {
        return std::all_of(m_processes.begin(), m_processes.end(), [this](const auto& process) {
            const auto current = process->current();
            return current && core::raw(current->version) == m_publication.version;
        });
    }

    core::random_source m_random;
    support::virtual_clock m_clock;
    support::publication m_publication;
    std::map<std::string, std::string> m_values;
    std::vector<std::optional<core::service_id>> m_service_of;
    std::vector<std::unique_ptr<config::config_sync>> m_processes;
    std::map<core::endpoint, std::size_t> m_index;
    std::vector<std::shared_ptr<watch>> m_watches;
    std::size_t m_waiting = 0;
    std::uint32_t m_last_host = 0;
    counters m_counters;
};

void measure(std::size_t services, std::uint64_t seed, std::size_t changes)
{
    fleet_model fleet(services, seed);
    fleet.run_for(seconds{20});
    constexpr seconds idle_time{60};
    const auto n = static_cast<double>(fleet.size());
    const counters start = fleet.count();
    const std::clock_t cpu_start = std::clock();
    fleet.run_for(idle_time);
    const double cpu = static_cast<double>(std::clock() - cpu_start) / CLOCKS_PER_SEC;
    const counters idle = fleet.count() - start;
    const double idle_s = static_cast<double>(idle_time.count());

    const counters before = fleet.count();
    std::vector<std::int64_t> times;
    for (std::size_t i = 0; i < changes; ++i) {
        times.push_back(fleet.publish_and_wait(seconds{30}).count());
    }
    const counters spread = fleet.count() - before;
    std::sort(times.begin(), times.end());
    const auto per_change = n * static_cast<double>(changes);
    std::printf("| %zu | %.1f | %.2f | %.4f | %zu | %.1f | %lld | %lld | %.1f | %.0f |\n", fleet.size(),
                static_cast<double>(idle.bytes) / n / idle_s, static_cast<double>(idle.messages) / n / idle_s,
                100 * cpu / n / idle_s, fleet.waiting_watches(), static_cast<double>(idle.platform_calls) / idle_s,
                static_cast<long long>(times[times.size() / 2]), static_cast<long long>(times.back()),
                static_cast<double>(spread.messages) / per_change, static_cast<double>(spread.bytes) / per_change);
    std::fflush(stdout);
}

} // namespace
} // namespace daisydoor::distribution

int main(int argc, char** argv)
{
    CLI::App app{"Measures the distribution of configuration over growing fleets, in virtual time"};
    std::vector<std::size_t> services{8, 16, 32, 64};
    std::uint64_t seed = 1;
    std::size_t changes = 10;
    app.add_option("--services", services, "numbers of services; 12 processes each")->check(CLI::Range(1, 200));
    app.add_option("--seed", seed, "seed");
    app.add_option("--changes", changes, "configuration changes of each run")->check(CLI::Range(1, 100));
    CLI11_PARSE(app, argc, argv);
    std::printf(
        "| processes | idle B/s each | idle messages/s each | idle %% of a core each | waiting watches | "
        "platform calls/s | ms to all, median | ms to all, most | messages each change | bytes each change |\n");
    std::printf("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (const auto n : services) {
        daisydoor::distribution::measure(n, seed, changes);
    }
    return 0;
}
