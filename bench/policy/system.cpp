#include "policy/system.hpp"

#include "daisydoor/agent/agent_core.hpp"
#include "daisydoor/entry/entry_core.hpp"
#include "support/published.hpp"
#include "support/virtual_clock.hpp"

#include <algorithm>
#include <cstring>
#include <map>
#include <memory>
#include <set>

namespace daisydoor::policy
{

namespace
{

constexpr core::milliseconds tick{10};
constexpr core::milliseconds sample_interval{50};
constexpr core::milliseconds request_deadline{30000};
constexpr core::milliseconds settle_time{2000};
constexpr std::uint32_t first_host = 11;

core::duration from_ms(double ms)
{
    return std::chrono::duration_cast<core::duration>(std::chrono::duration<double, std::milli>(ms));
}

struct flow_state
{
    wire::flow_token token;
    std::uint64_t next_number = 1;
    std::set<std::uint64_t> outstanding;

    [[nodiscard]] std::uint64_t acknowledged() const
    {
        return outstanding.empty() ? next_number - 1 : *outstanding.begin() - 1;
    }
};

class system_model
{
  public:
    system_model(const deployment& where, const std::vector<arrival>& arrivals, std::uint32_t workspaces,
                 std::uint64_t seed)
        : m_where(where), m_arrivals(arrivals), m_random(seed), m_snapshot(publish())
    {
        for (std::size_t zone = 0; zone < where.hosts_by_zone.size(); ++zone) {
            m_entries.push_back(
                std::make_unique<entry::entry_core>(entry::entry_options{m_snapshot->zones[zone].name}));
            m_entries.back()->on_configuration(m_clock.now(), m_snapshot);
        }
        start_agents();
        m_clock.run_for(settle_time);
        open_flows(workspaces);
        m_clock.run_for(settle_time);
    }

    result run()
    {
        m_start = m_clock.now();
        schedule_arrival(0);
        m_clock.every(sample_interval, [this] { sample(); });
        m_clock.run_for(core::milliseconds{static_cast<std::int64_t>(m_arrivals.back().at_ms)} + request_deadline);
        m_result.imbalance = m_samples > 0 ? m_imbalance / m_samples : 1;
        return std::move(m_result);
    }

  private:
    config::snapshot_ptr publish() const
    {
        auto value = std::make_shared<config::snapshot>();
        value->version = core::config_version{1};
        value->keys = {support::make_key(1, 7, true)};
        config::service service;
        service.id = core::service_id{1};
        service.name = "measured";
        service.address = core::parse_endpoint("127.0.100.1:9000");
        const double share = 1 / static_cast<double>(m_where.hosts_by_zone.size());
        for (std::size_t zone = 0; zone < m_where.hosts_by_zone.size(); ++zone) {
            value->zones.push_back({"zone-" + std::to_string(zone), share});
        }
        for (std::size_t i = 0; i < m_where.hosts(); ++i) {
            const auto id = static_cast<std::uint32_t>(first_host + i);
            service.hosts.push_back({core::host_id{id}, "host-" + std::to_string(id),
                                     static_cast<config::zone_index>(m_where.zone_of(i)),
                                     core::parse_endpoint("127.0.2." + std::to_string(id) + ":7100"),
                                     static_cast<std::uint16_t>(m_where.slots), false});
        }
        value->services.push_back(std::move(service));
        return value;
    }

    void start_agents()
    {
        for (std::size_t i = 0; i < m_where.hosts(); ++i) {
            agent::agent_options options;
            options.host = core::host_id{static_cast<std::uint32_t>(first_host + i)};
            options.service = core::service_id{1};
            options.zone = m_snapshot->zones[m_where.zone_of(i)].name;
            options.incarnation = core::incarnation_id{m_random()};
            m_agents.push_back(
                std::make_unique<agent::agent_core>(options, core::random_source(m_random()), m_clock.now()));
        }
        for (std::size_t i = 0; i < m_agents.size(); ++i) {
            call_agent(
                i, [this](auto& core, auto& actions) { core.on_configuration(m_clock.now(), m_snapshot, actions); });
            for (std::size_t peer = 0; peer < m_agents.size(); ++peer) {
                if (peer != i) {
                    const auto& options = m_agents[peer]->context().options;
                    call_agent(i, [this, &options](auto& core, auto& actions) {
                        core.on_peer_up(m_clock.now(), options.host, options.incarnation, actions);
                    });
                }
            }
            m_clock.every(tick, [this, i] {
                call_agent(i, [this](auto& core, auto& actions) { core.on_tick(m_clock.now(), actions); });
            });
        }
    }

    template <typename Call>
    void call_agent(std::size_t agent, Call call)
    {
        agent::action_list actions;
        call(*m_agents[agent], actions);
        for (auto& action : actions) {
            apply(agent, action);
        }
    }

    void apply(std::size_t from, agent::action& action)
    {
        if (auto* const peer = std::get_if<agent::send_peer>(&action)) {
            const auto to = core::raw(peer->host) - first_host;
            m_clock.after(from_ms(m_where.delay(m_where.zone_of(from), m_where.zone_of(to))),
                          [this, from, to, message = peer->message] {
                              call_agent(to, [&](auto& core, auto& actions) {
                                  core.on_peer_message(m_clock.now(),
                                                       core::host_id{first_host + static_cast<std::uint32_t>(from)},
                                                       message, actions);
                              });
                          });
        } else if (auto* const exchange = std::get_if<agent::start_exchange>(&action)) {
            const auto& item = m_arrivals[std::stoul(exchange->path.substr(1))];
            m_clock.after(from_ms(item.service_ms), [this, from, id = exchange->id] {
                call_agent(from, [this, id](auto& core, auto& actions) {
                    core.on_exchange_result(m_clock.now(), id, {agent::exchange_status::answered, 200, {}}, actions);
                });
            });
        } else if (auto* const datagram = std::get_if<agent::send_datagram>(&action)) {
            receive(from, datagram->bytes);
        }
    }

    wire::envelope envelope_of_flow(std::size_t flow) const
    {
        // The caller's address contains the flow's index, so that receive() can assign answers to their flow.
        const auto caller = core::parse_endpoint("127.0.0.1:1");
        auto wire_caller = wire::to_wire(caller);
        return {wire::to_wire(m_snapshot->services[0].address),
                {flow, wire_caller.address_low(), wire_caller.port()},
                1,
                0,
                0};
    }

    void open_flows(std::uint32_t workspaces)
    {
        m_flows.resize(m_where.hosts() * m_where.flows_per_host);
        for (std::size_t flow = 0; flow < m_flows.size(); ++flow) {
            wire::openT body;
            body.tenant = static_cast<std::uint32_t>(flow % workspaces);
            const wire::packet_header header(wire::packet_magic, wire::packet_class::open, 0, m_random(), {});
            auto bytes = wire::encode_datagram(envelope_of_flow(flow), header, wire::make_packet(body));
            auto& entry = *m_entries[m_random() % m_entries.size()];
            const auto verdict = entry.on_datagram(m_clock.now(), bytes.data(), bytes.size(), core::milliseconds{0});
            const auto& hosts = m_snapshot->services[0].hosts;
            const auto it = std::find_if(hosts.begin(), hosts.end(),
                                         [&](const config::host& host) { return host.agent == verdict.next_hop; });
            deliver(static_cast<std::size_t>(it - hosts.begin()), bytes);
            if (flow % 100 == 0) {
                m_clock.run_for(tick);
            }
        }
    }

    void deliver(std::size_t agent, const wire::buffer& bytes)
    {
        call_agent(agent, [&](auto& core, auto& actions) {
            core.on_datagram(m_clock.now(), {bytes.data(), bytes.size()}, core::milliseconds{0}, actions);
        });
    }

    void schedule_arrival(std::size_t i)
    {
        if (i == m_arrivals.size()) {
            return;
        }
        m_clock.after(m_start + from_ms(m_arrivals[i].at_ms) - m_clock.now(), [this, i] {
            send(i);
            schedule_arrival(i + 1);
        });
    }

    void send(std::size_t i)
    {
        auto& flow = m_flows[m_arrivals[i].flow];
        wire::requestT body;
        body.number = flow.next_number++;
        body.path = "/" + std::to_string(i);
        body.deadline_ms = static_cast<std::uint32_t>(request_deadline.count());
        body.acknowledged = flow.acknowledged();
        if (flow.outstanding.empty()) {
            body.acknowledged = body.number - 1;
        }
        flow.outstanding.insert(body.number);
        m_numbers[{m_arrivals[i].flow, body.number}] = i;
        const wire::packet_header header(wire::packet_magic, wire::packet_class::established, 0, 0, flow.token);
        const auto bytes = wire::encode_datagram(envelope_of_flow(m_arrivals[i].flow), header, wire::make_packet(body));
        const auto agent = flow.token.host() - first_host;
        const double one_way_ms = m_where.caller_delay_ms + m_where.delay(m_arrivals[i].zone, m_where.zone_of(agent));
        m_clock.after(from_ms(one_way_ms), [this, agent, bytes] { deliver(agent, bytes); });
    }

    void receive(std::size_t from, const wire::buffer& bytes)
    {
        const auto* env = wire::envelope_of({bytes.data(), bytes.size()});
        const auto packet = wire::decode_packet({bytes.data() + sizeof *env, bytes.size() - sizeof *env});
        const auto flow = env->caller_address().address_high();
        if (const auto* reply = packet->packet.body.Asopen_reply()) {
            m_flows[flow].token = *reply->token;
        } else if (const auto* answer = packet->packet.body.Asanswer()) {
            finish(from, flow, answer->number, true);
        } else if (const auto* refusal = packet->packet.body.Asrefusal()) {
            m_result.refused += refusal->kind == wire::refusal_kind::not_run ? 1 : 0;
            m_result.unknown += refusal->kind == wire::refusal_kind::unknown ? 1 : 0;
            finish(from, flow, refusal->number, false);
        }
    }

    void finish(std::size_t from, std::size_t flow, std::uint64_t number, bool answered)
    {
        const auto it = m_numbers.find({flow, number});
        if (it == m_numbers.end()) {
            return;
        }
        const auto& item = m_arrivals[it->second];
        m_numbers.erase(it);
        m_flows[flow].outstanding.erase(number);
        if (answered) {
            const double one_way_ms = m_where.caller_delay_ms + m_where.delay(item.zone, m_where.zone_of(from));
            const std::chrono::duration<double, std::milli> now = m_clock.now() - m_start;
            m_result.add(item, now.count() + one_way_ms);
        }
    }

    void sample()
    {
        const std::chrono::duration<double, std::milli> now = m_clock.now() - m_start;
        if (now.count() < warm_up_ms || now.count() > m_arrivals.back().at_ms) {
            return;
        }
        std::size_t sum = 0;
        std::size_t most = 0;
        for (const auto& agent : m_agents) {
            const auto gauges = agent->gauges();
            const auto load = gauges.queued + gauges.in_flight;
            sum += load;
            most = std::max(most, load);
        }
        if (sum > 0) {
            m_imbalance += static_cast<double>(most * m_agents.size()) / static_cast<double>(sum);
            ++m_samples;
        }
    }

    const deployment& m_where;
    const std::vector<arrival>& m_arrivals;
    core::random_source m_random;
    support::virtual_clock m_clock;
    config::snapshot_ptr m_snapshot;
    std::vector<std::unique_ptr<entry::entry_core>> m_entries;
    std::vector<std::unique_ptr<agent::agent_core>> m_agents;
    std::vector<flow_state> m_flows;
    std::map<std::pair<std::size_t, std::uint64_t>, std::size_t> m_numbers;
    core::time_point m_start;
    result m_result;
    double m_imbalance = 0;
    double m_samples = 0;
};

} // namespace

result run_system(const deployment& where, const std::vector<arrival>& arrivals, std::uint32_t workspaces,
                  std::uint64_t seed)
{
    return system_model(where, arrivals, workspaces, seed).run();
}

} // namespace daisydoor::policy
