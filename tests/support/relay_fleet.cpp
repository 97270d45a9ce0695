#include "support/relay_fleet.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace daisydoor::support
{

namespace
{

constexpr std::uint32_t entry_addresses = 0x0a010000;
constexpr std::uint32_t agent_addresses = 0x0a020000;
constexpr std::uint32_t client_addresses = 0x64400000;
constexpr relay::ipv4 service_address{0xc6120001};
constexpr std::uint16_t first_service_port = 443;
constexpr core::milliseconds tick_interval{20};
constexpr core::milliseconds probe_interval{500};
constexpr core::milliseconds removal_time{1000};
constexpr core::milliseconds idle_timeout{12'000};
/// The first load reports of all agents arrive within this time.
constexpr core::milliseconds time_to_settle_in{200};
constexpr std::int64_t first_birth = 1000;
/// Requests outlive their last attempt by less.
constexpr core::milliseconds settle_time{30'000};

std::string zone_name(std::uint32_t zone) { return std::string(1, static_cast<char>('a' + zone)); }

} // namespace

relay_fleet::relay_fleet(relay_fleet_options options) : m_options(std::move(options)), m_random(m_options.seed)
{
    m_state.revision = relay::revision{1};
    m_state.whole = true;
    publish_routes();
    for (std::uint32_t i = 0; i < m_options.zones * m_options.entries_per_zone; ++i) {
        add_process(entry_addresses + 1 + i, i % m_options.zones);
    }
    for (std::uint32_t i = 0; i < m_options.hosts; ++i) {
        add_host(i);
    }
    for (const auto& it : m_processes) {
        start(*it, true);
        it->in_rotation = true;
    }
    m_clock.run_for(time_to_settle_in);
    for (std::size_t i = 0; i < m_options.traffics.size(); ++i) {
        schedule_arrival(i);
    }
}

void relay_fleet::publish_routes()
{
    relay::route_set routes;
    routes.version = relay::route_version{1};
    routes.idle_timeout = idle_timeout;
    for (std::size_t i = 0; i < m_options.traffics.size(); ++i) {
        const auto& kind = m_options.traffics[i];
        relay::route value;
        value.address = service_address;
        value.port = static_cast<std::uint16_t>(first_service_port + i);
        value.kind = kind.repeatable ? relay::request_kind::idempotent : relay::request_kind::non_idempotent;
        value.timeout = kind.deadline;
        value.target_latency = kind.target_latency;
        value.priority = kind.priority;
        value.services = {{"svc", 1}};
        routes.routes.push_back(value);
    }
    m_state.changes.push_back({m_state.revision, routes});
}

relay_fleet::process& relay_fleet::add_process(std::uint32_t address, std::uint32_t zone)
{
    auto& added = *m_processes.emplace_back(std::make_unique<process>());
    added.address = relay::ipv4{address};
    added.zone = zone;
    m_by_address[address] = &added;
    return added;
}

void relay_fleet::add_host(std::uint32_t number)
{
    auto& added = add_process(agent_addresses + 1 + number, number % m_options.zones);
    added.host = std::make_unique<simulated_host>(
        m_options.host, number + 1, m_clock,
        [this](const relay::flow_key& flow) {
            const auto it = m_request_by_flow.find(flow);
            if (it == m_request_by_flow.end()) {
                return core::duration(m_options.traffics.front().mean_work);
            }
            it->second->on_run();
            return it->second->work();
        },
        [this, &added](const simulated_packet& packet) {
            if (added.up) {
                const auto bytes = packet.encode();
                added.agent->on_host_packet(packet.value, {bytes.data(), bytes.size()}, m_clock.now(), m_actions);
                execute(added);
            }
        });
    relay::host published;
    published.id = "i-" + std::to_string(number);
    published.service = "svc";
    published.availability_zone = zone_name(added.zone);
    published.address = added.address;
    published.slots = m_options.host.slots;
    published.born = first_birth + number;
    published.state = added.zone == m_options.evacuated_zone ? relay::host_state::draining : relay::host_state::ready;
    m_state.changes.push_back({m_state.revision, published});
}

void relay_fleet::start(process& value, bool first)
{
    value.up = true;
    const auto incarnation = ++value.incarnation;
    value.view = std::make_unique<relay::fleet_view>(zone_name(value.zone));
    if (value.host) {
        relay::agent_relay_options agent;
        agent.self = value.address;
        agent.service = "svc";
        agent.started_at = m_clock.now();
        agent.host_may_have_earlier_flows = !first;
        value.agent = std::make_unique<relay::agent_relay>(agent, *value.view);
    } else {
        value.entry = std::make_unique<relay::entry_relay>(value.address, *value.view);
    }
    const auto is_current = [&value, incarnation] { return value.up && value.incarnation == incarnation; };
    m_clock.after(first ? core::duration(0) : m_options.view_delay, [this, &value, is_current] {
        if (is_current()) {
            give_view(value);
        }
    });
    const core::milliseconds phase(static_cast<std::int64_t>(m_random() % tick_interval.count()));
    m_clock.after(phase, [this, &value, incarnation] { tick(value, incarnation); });
    const core::milliseconds probe(static_cast<std::int64_t>(m_random() % probe_interval.count()));
    m_clock.after(m_options.view_delay + probe, [&value, is_current] {
        if (is_current()) {
            value.in_rotation = true;
        }
    });
}

void relay_fleet::give_view(process& value) { value.view->apply(m_state, m_clock.now()); }

void relay_fleet::stop(process& value)
{
    value.up = false;
    m_clock.after(removal_time, [&value] { value.in_rotation = value.in_rotation && value.up; });
}

void relay_fleet::restart_all(core::milliseconds down, core::milliseconds spread)
{
    for (const auto& it : m_processes) {
        stop(*it);
        const core::milliseconds offset(static_cast<std::int64_t>(m_random() % (spread.count() + 1)));
        m_clock.after(down + offset, [this, value = it.get()] { start(*value, false); });
    }
}

void relay_fleet::lose_power(core::milliseconds down, core::milliseconds spread)
{
    for (const auto& it : m_processes) {
        if (it->host) {
            m_clock.after(down, [host = it->host.get()] { host->restart(); });
        }
    }
    restart_all(down, spread);
}

void relay_fleet::lose_zone(std::uint32_t zone, core::milliseconds down)
{
    for (const auto& it : m_processes) {
        if (it->zone != zone) {
            continue;
        }
        stop(*it);
        m_clock.after(down, [this, value = it.get()] {
            if (value->host) {
                value->host->restart();
            }
            start(*value, false);
        });
    }
}

void relay_fleet::kill_processes(core::milliseconds down, core::milliseconds spread) { restart_all(down, spread); }

void relay_fleet::kill_entries(double share, core::milliseconds down)
{
    const auto entries = m_options.zones * m_options.entries_per_zone;
    const auto n = static_cast<std::size_t>(std::lround(share * entries));
    for (std::size_t i = 0; i < n; ++i) {
        auto& value = *m_processes[i];
        stop(value);
        m_clock.after(down, [this, &value] { start(value, false); });
    }
}

void relay_fleet::tick(process& value, std::uint64_t incarnation)
{
    if (!value.up || value.incarnation != incarnation) {
        return;
    }
    if (value.view->is_ready()) {
        if (value.entry) {
            value.entry->on_tick(m_clock.now(), m_actions);
        } else {
            value.agent->set_view_confirmed_at(m_clock.now());
            value.agent->on_tick(m_clock.now(), m_actions);
        }
        execute(value);
    }
    m_clock.after(tick_interval, [this, &value, incarnation] { tick(value, incarnation); });
}

void relay_fleet::schedule_arrival(std::size_t traffic)
{
    const auto& kind = m_options.traffics[traffic];
    std::exponential_distribution<double> interval(kind.requests_per_second);
    const std::chrono::duration<double> next(interval(m_random));
    m_clock.after(std::chrono::duration_cast<core::duration>(next), [this, traffic, &kind] {
        if (!m_sending) {
            return;
        }
        std::gamma_distribution<double> work(4, static_cast<double>(kind.mean_work.count()) / 4);
        const std::chrono::duration<double, std::milli> time(work(m_random));
        const auto zone = static_cast<std::uint32_t>(m_random() % m_options.zones);
        const auto index = m_requests.size();
        simulated_request::environment surroundings{
            m_clock, [this, zone](const simulated_packet& packet) { send_from_client(zone, packet); },
            [this, index, traffic, zone](const relay::flow_key& former) {
                m_request_by_flow.erase(former);
                const auto n = m_next_client_port++;
                const relay::flow_key flow{relay::ipv4{client_addresses + (zone << 12U) + (n >> 16U)}, service_address,
                                           static_cast<std::uint16_t>(n),
                                           static_cast<std::uint16_t>(first_service_port + traffic)};
                m_request_by_flow[flow] = m_requests[index].get();
                return flow;
            }};
        m_requests.push_back(std::make_unique<simulated_request>(
            kind, traffic, std::chrono::duration_cast<core::duration>(time), std::move(surroundings)));
        m_requests.back()->start();
        schedule_arrival(traffic);
    });
}

relay_fleet::process* relay_fleet::find(relay::ipv4 address)
{
    const auto it = m_by_address.find(static_cast<std::uint32_t>(address));
    return it == m_by_address.end() ? nullptr : it->second;
}

relay_fleet::process* relay_fleet::route_to_entry(std::uint32_t zone, const relay::flow_key& flow)
{
    // The routers use the nearest zone while none of a zone's entries is in rotation.
    for (std::uint32_t i = 0; i < m_options.zones; ++i) {
        const auto all = entries_of((zone + i) % m_options.zones);
        std::vector<process*> rotating;
        std::copy_if(all.begin(), all.end(), std::back_inserter(rotating),
                     [](const process* it) { return it->in_rotation; });
        if (!rotating.empty()) {
            const auto& candidates = rotating.size() * 2 < all.size() ? all : rotating;
            return candidates[relay::hash_of(flow) % candidates.size()];
        }
    }
    const auto all = entries_of(zone);
    return all[relay::hash_of(flow) % all.size()];
}

std::vector<relay_fleet::process*> relay_fleet::entries_of(std::uint32_t zone) const
{
    std::vector<process*> result;
    for (const auto& it : m_processes) {
        if (!it->host && it->zone == zone) {
            result.push_back(it.get());
        }
    }
    return result;
}

core::duration relay_fleet::delay(relay::ipv4 from, relay::ipv4 to) const
{
    const auto a = m_by_address.find(static_cast<std::uint32_t>(from));
    const auto b = m_by_address.find(static_cast<std::uint32_t>(to));
    const bool in_zone = a != m_by_address.end() && b != m_by_address.end() && a->second->zone == b->second->zone;
    return in_zone ? m_options.delay_in_zone : m_options.delay_across_zones;
}

void relay_fleet::send_from_client(std::uint32_t zone, const simulated_packet& value)
{
    m_clock.after(m_options.delay_to_client, [this, zone, value] {
        auto& entry = *route_to_entry(zone, value.value.flow);
        deliver_to_process(entry.address, value.value.flow.client, value);
    });
}

void relay_fleet::deliver_to_process(relay::ipv4 to, relay::ipv4 from, const simulated_packet& packet)
{
    auto* value = find(to);
    if (value == nullptr || !value->up) {
        return;
    }
    const auto buf = packet.encode();
    const wire::bytes_view bytes{buf.data(), buf.size()};
    if (value->entry) {
        value->entry->on_packet(packet.value, bytes, m_clock.now(), m_actions);
    } else {
        value->agent->on_packet(packet.value, bytes, from, m_clock.now(), m_actions);
    }
    execute(*value);
}

void relay_fleet::deliver_to_client(const simulated_packet& value)
{
    m_clock.after(m_options.delay_to_client, [this, value] {
        if (const auto it = m_request_by_flow.find(value.value.flow); it != m_request_by_flow.end()) {
            it->second->on_packet(value.value);
        }
    });
}

void relay_fleet::execute(process& value)
{
    // An action may deliver a packet at once, whose handling returns further actions.
    const auto actions = std::exchange(m_actions, {});
    for (const auto& it : actions) {
        std::visit([this, &value](const auto& action) { perform(value, action); }, it);
    }
}

void relay_fleet::perform(process& value, const relay::send_to_agent& action)
{
    auto packet = simulated_packet::decode(action.bytes);
    packet.value.entry = action.entry;
    packet.value.hops = action.hops;
    packet.value.path = action.path;
    packet.value.bounced = false;
    m_clock.after(delay(value.address, action.agent),
                  [this, packet, to = action.agent, from = value.address] { deliver_to_process(to, from, packet); });
}

void relay_fleet::perform(process& value, const relay::send_to_host& action)
{
    const wire::bytes_view owned{action.owned.data(), action.owned.size()};
    auto packet = simulated_packet::decode(action.owned.empty() ? action.bytes : owned);
    packet.value.entry = action.entry;
    packet.value.bounced = false;
    m_clock.after(core::duration(0), [&value, packet] { value.host->on_packet(packet); });
}

void relay_fleet::perform(process& /*value*/, const relay::send_to_client& action)
{
    deliver_to_client(simulated_packet::decode(action.bytes));
}

void relay_fleet::perform(process& /*value*/, const relay::reset_client& action)
{
    simulated_packet packet;
    packet.value.flow = action.flow;
    packet.value.rst = true;
    deliver_to_client(packet);
}

void relay_fleet::perform(process& value, const relay::send_message& action)
{
    m_clock.after(delay(value.address, action.to), [this, action, from = value.address] {
        auto* receiver = find(action.to);
        if (receiver == nullptr || !receiver->up) {
            return;
        }
        if (receiver->entry) {
            receiver->entry->on_message(from, action.value, m_clock.now(), m_actions);
        } else {
            receiver->agent->on_message(from, action.value, m_clock.now(), m_actions);
        }
        execute(*receiver);
    });
}

void relay_fleet::perform(process& /*value*/, const relay::decision_record& action)
{
    ++m_decisions.at(static_cast<std::size_t>(action.decision));
}

void relay_fleet::run(core::milliseconds time) { m_clock.run_for(time); }

void relay_fleet::finish()
{
    m_sending = false;
    m_clock.run_for(settle_time);
}

request_counts relay_fleet::count(core::milliseconds from, core::milliseconds to) const
{
    request_counts result;
    for (std::size_t i = 0; i < m_options.traffics.size(); ++i) {
        const auto part = count(from, to, i);
        result.sent += part.sent;
        result.on_time += part.on_time;
        result.late += part.late;
        result.failed += part.failed;
    }
    return result;
}

request_counts relay_fleet::count(core::milliseconds from, core::milliseconds to, std::size_t traffic) const
{
    request_counts result;
    for (const auto& it : m_requests) {
        const auto sent_at = it->sent_at() - virtual_clock::start;
        if (it->kind_index() != traffic || sent_at < from || sent_at >= to) {
            continue;
        }
        ++result.sent;
        result.on_time += it->result() == simulated_request::outcome::on_time ? 1 : 0;
        result.late += it->result() == simulated_request::outcome::late ? 1 : 0;
        result.failed += it->result() == simulated_request::outcome::failed ? 1 : 0;
    }
    return result;
}

std::vector<core::duration> relay_fleet::answer_times(core::milliseconds from, core::milliseconds to) const
{
    std::vector<core::duration> result;
    for (const auto& it : m_requests) {
        const auto sent_at = it->sent_at() - virtual_clock::start;
        const bool is_answered =
            it->result() == simulated_request::outcome::on_time || it->result() == simulated_request::outcome::late;
        if (is_answered && sent_at >= from && sent_at < to) {
            result.push_back(it->answer_time());
        }
    }
    std::sort(result.begin(), result.end());
    return result;
}

std::size_t relay_fleet::most_runs_of_unrepeatable() const
{
    std::size_t result = 0;
    for (const auto& it : m_requests) {
        result = it->kind().repeatable ? result : std::max(result, it->runs());
    }
    return result;
}

} // namespace daisydoor::support
