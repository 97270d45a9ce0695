#include "daisydoor/agent/agent_core.hpp"
#include "support/published.hpp"
#include "support/virtual_clock.hpp"

#include <CLI/CLI.hpp>

#include <cstdio>
#include <ctime>
#include <malloc.h>
#include <memory>

/// @brief Measures the cost of an agent's control traffic and idle flows: bytes, processor time and memory.
namespace daisydoor::measure
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds tick{10};
constexpr milliseconds peer_delay{3};
constexpr std::uint32_t first_host = 1;

/// All agents of one service and their links, in virtual time, without requests.
class idle_service
{
  public:
    explicit idle_service(std::size_t hosts) : m_random(1), m_snapshot(publish(hosts))
    {
        for (std::size_t i = 0; i < hosts; ++i) {
            agent::agent_options options;
            options.host = host_at(i);
            options.service = core::service_id{1};
            options.zone = "zone-0";
            options.incarnation = core::incarnation_id{m_random()};
            m_agents.push_back(
                std::make_unique<agent::agent_core>(options, core::random_source(m_random()), m_clock.now()));
        }
        for (std::size_t i = 0; i < hosts; ++i) {
            start(i);
        }
    }

    void run_for(milliseconds time) { m_clock.run_for(time); }
    [[nodiscard]] std::uint64_t peer_bytes() const noexcept { return m_peer_bytes; }
    [[nodiscard]] std::size_t size() const noexcept { return m_agents.size(); }

    void open_flows(std::size_t n)
    {
        m_tokens.reserve(m_tokens.size() + n);
        for (std::size_t i = 0; i < n; ++i) {
            const wire::packet_header header(wire::packet_magic, wire::packet_class::open, 0, m_random(), {});
            send(header, wire::make_packet(wire::openT{}));
        }
    }

    void send_keepalives()
    {
        for (const auto& token : m_tokens) {
            const wire::packet_header header(wire::packet_magic, wire::packet_class::established, 0, 0, token);
            send(header, wire::make_packet(wire::keepaliveT{}));
        }
    }

    [[nodiscard]] std::size_t flows() const { return m_agents.front()->gauges().flows; }

  private:
    static core::host_id host_at(std::size_t i) { return core::host_id{first_host + static_cast<std::uint32_t>(i)}; }

    static config::snapshot_ptr publish(std::size_t hosts)
    {
        auto value = std::make_shared<config::snapshot>();
        value->version = core::config_version{1};
        value->keys = {support::make_key(1, 7, true)};
        value->zones = {{"zone-0", 1}};
        config::service service;
        service.id = core::service_id{1};
        service.address = core::parse_endpoint("127.0.100.1:9000");
        for (std::size_t i = 0; i < hosts; ++i) {
            service.hosts.push_back({host_at(i), "host-" + std::to_string(i), 0,
                                     core::parse_endpoint("127.0.2." + std::to_string(i + 1) + ":7100"), 5, false});
        }
        value->services.push_back(std::move(service));
        return value;
    }

    void start(std::size_t i)
    {
        call_agent(i, [this](auto& core, auto& actions) { core.on_configuration(m_clock.now(), m_snapshot, actions); });
        for (std::size_t peer = 0; peer < m_agents.size(); ++peer) {
            if (peer != i) {
                const auto incarnation = m_agents[peer]->context().options.incarnation;
                call_agent(i, [this, peer, incarnation](auto& core, auto& actions) {
                    core.on_peer_up(m_clock.now(), host_at(peer), incarnation, actions);
                });
            }
        }
        m_clock.every(tick, [this, i] {
            call_agent(i, [this](auto& core, auto& actions) { core.on_tick(m_clock.now(), actions); });
        });
    }

    template <typename Call>
    void call_agent(std::size_t i, Call call)
    {
        agent::action_list actions;
        call(*m_agents[i], actions);
        for (auto& action : actions) {
            if (auto* const peer = std::get_if<agent::send_peer>(&action)) {
                deliver(i, *peer);
            } else if (auto* const datagram = std::get_if<agent::send_datagram>(&action)) {
                receive(datagram->bytes);
            }
        }
    }

    void deliver(std::size_t from, const agent::send_peer& action)
    {
        m_peer_bytes += wire::encode_frame(action.message).size();
        const auto to = core::raw(action.host) - first_host;
        m_clock.after(peer_delay, [this, from, to, message = action.message] {
            call_agent(to, [this, from, &message](auto& core, auto& actions) {
                core.on_peer_message(m_clock.now(), host_at(from), message, actions);
            });
        });
    }

    void send(const wire::packet_header& header, const wire::packetT& packet)
    {
        const auto caller = wire::to_wire(core::parse_endpoint("127.0.0.1:9"));
        const wire::envelope env(wire::to_wire(m_snapshot->services[0].address), caller, 1, 0, 0);
        const auto bytes = wire::encode_datagram(env, header, packet);
        call_agent(0, [this, &bytes](auto& core, auto& actions) {
            core.on_datagram(m_clock.now(), {bytes.data(), bytes.size()}, milliseconds{0}, actions);
        });
    }

    void receive(const wire::buffer& bytes)
    {
        const auto packet =
            wire::decode_packet({bytes.data() + sizeof(wire::envelope), bytes.size() - sizeof(wire::envelope)});
        if (const auto* reply = packet ? packet->packet.body.Asopen_reply() : nullptr) {
            m_tokens.push_back(*reply->token);
        }
    }

    core::random_source m_random;
    support::virtual_clock m_clock;
    config::snapshot_ptr m_snapshot;
    std::vector<std::unique_ptr<agent::agent_core>> m_agents;
    std::vector<wire::flow_token> m_tokens;
    std::uint64_t m_peer_bytes = 0;
};

double seconds_of(std::clock_t ticks) { return static_cast<double>(ticks) / CLOCKS_PER_SEC; }

void measure_control(std::size_t hosts)
{
    constexpr seconds time{60};
    idle_service service(hosts);
    service.run_for(seconds{5});
    const auto bytes = service.peer_bytes();
    const auto cpu = std::clock();
    service.run_for(time);
    const double all = static_cast<double>(hosts) * static_cast<double>(time.count());
    std::printf("| %zu | %.0f | %.4f |\n", hosts, static_cast<double>(service.peer_bytes() - bytes) / all,
                100 * seconds_of(std::clock() - cpu) / all);
}

void measure_flows(std::size_t flows)
{
    idle_service service(1);
    service.run_for(seconds{1});
    // The memory of the tokens that the measurement itself stores is subtracted.
    const auto before = mallinfo2();
    service.open_flows(flows);
    const auto after = mallinfo2();
    const double used = static_cast<double>(after.uordblks + after.hblkhd) -
                        static_cast<double>(before.uordblks + before.hblkhd) -
                        static_cast<double>(flows * sizeof(wire::flow_token));
    const auto cpu = std::clock();
    service.send_keepalives();
    const double keepalive_us = seconds_of(std::clock() - cpu) * 1e6 / static_cast<double>(flows);
    std::printf("| %zu | %zu | %.0f | %.2f |\n", flows, service.flows(), used / static_cast<double>(flows),
                keepalive_us);
}

} // namespace
} // namespace daisydoor::measure

int main(int argc, char** argv)
{
    CLI::App app{"Measures an agent's control traffic, processor time and memory, in virtual time"};
    std::vector<std::size_t> hosts{2, 4, 8, 11, 16};
    std::vector<std::size_t> flows{1000, 2000, 4000, 8000};
    app.add_option("--hosts", hosts, "hosts of the service")->check(CLI::Range(1, 60));
    app.add_option("--flows", flows, "idle flows at one agent")->check(CLI::Range(1, 100000));
    CLI11_PARSE(app, argc, argv);
    std::printf("| hosts | control B/s each | idle %% of a core each |\n| --- | --- | --- |\n");
    for (const auto n : hosts) {
        daisydoor::measure::measure_control(n);
    }
    std::printf(
        "\n| flows opened | flows at the agent | bytes each | us for each keepalive |\n| --- | --- | --- | --- |\n");
    for (const auto n : flows) {
        daisydoor::measure::measure_flows(n);
    }
    return 0;
}
