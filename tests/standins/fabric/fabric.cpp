#include "standins/fabric/fabric.hpp"

#include <algorithm>
#include <cstring>
#include <sstream>

namespace daisydoor::standins
{

namespace
{

constexpr core::milliseconds closed_entry_retry_delay{500};
constexpr int max_reorder_delay_ms = 20;

core::endpoint any_port(core::endpoint address)
{
    address.port = 0;
    return address;
}

} // namespace

fabric::fabric(loop& events, fabric_options options)
    : m_loop(events), m_options(std::move(options)), m_random(m_options.seed)
{
    for (const auto& service : m_options.services) {
        m_services[service] = std::make_unique<udp_socket>(
            events, service, [this, service](const std::uint8_t* data, std::size_t size, const core::endpoint& from) {
                on_caller_datagram(service, data, size, from);
            });
    }
    m_return = std::make_unique<udp_socket>(
        events, m_options.return_path, [this](const std::uint8_t* data, std::size_t size, const core::endpoint& from) {
            on_return_datagram(data, size, from);
        });
    for (const auto& entry : m_options.entries) {
        add_entry(entry);
    }
    for (const auto& agent : m_options.agents) {
        if (!agent.published.empty()) {
            add_relay(agent);
        }
    }
    m_control = std::make_unique<http_server>(events, m_options.control,
                                              [this](evhttp_request* request) { on_control(request); });
}

void fabric::add_entry(const fabric_entry& entry)
{
    auto path = std::make_unique<entry_path>();
    path->entry = entry;
    path->socket = std::make_unique<udp_socket>(m_loop, any_port(m_options.return_path),
                                                [](const std::uint8_t*, std::size_t, const core::endpoint&) {});
    path->socket->connect(entry.address);
    path->socket->on_refused(
        [target = path.get()] { target->down_until = core::clock::now() + closed_entry_retry_delay; });
    m_entries.push_back(std::move(path));
}

void fabric::on_caller_datagram(const core::endpoint& service, const std::uint8_t* data, std::size_t size,
                                const core::endpoint& caller)
{
    ++m_counters.from_callers;
    if (size > wire::max_packet_size) {
        ++m_counters.malformed;
        return;
    }
    m_callers.insert(caller);
    if (m_blackholed.count(caller) > 0) {
        ++m_counters.forgotten;
        return;
    }
    const wire::envelope env(wire::to_wire(service), wire::to_wire(caller), 0, 0, 0);
    wire::buffer bytes(sizeof env + size);
    std::memcpy(bytes.data(), &env, sizeof env);
    std::memcpy(bytes.data() + sizeof env, data, size);
    transmit(m_options.caller_delay, [this, bytes = std::move(bytes)] {
        auto* path = select_entry();
        if (path == nullptr) {
            ++m_counters.without_entry;
        } else if (is_cut(path->entry.address)) {
            ++m_counters.cut;
        } else {
            ++path->sent;
            path->socket->send(bytes);
        }
    });
}

void fabric::on_return_datagram(const std::uint8_t* data, std::size_t size, const core::endpoint& from)
{
    const auto* env = wire::envelope_of({data, size});
    if (env == nullptr || wire::header_of({data, size}) == nullptr) {
        ++m_counters.malformed;
        return;
    }
    const auto service = m_services.find(wire::from_wire(env->service_address()));
    const auto caller = wire::from_wire(env->caller_address());
    if (service == m_services.end()) {
        ++m_counters.malformed;
    } else if (is_cut(from)) {
        ++m_counters.cut;
    } else if (m_blackholed.count(caller) > 0) {
        ++m_counters.forgotten;
    } else {
        ++m_counters.returned;
        const auto* socket = service->second.get();
        transmit(m_options.caller_delay, [socket, caller, bytes = wire::buffer(data + sizeof *env, data + size)] {
            socket->send_to(bytes, caller);
        });
    }
}

fabric::entry_path* fabric::select_entry()
{
    const auto now = core::clock::now();
    std::vector<entry_path*> live;
    for (const auto& it : m_entries) {
        if (it->down_until <= now) {
            live.push_back(it.get());
        }
    }
    return live.empty() ? nullptr : live[m_random() % live.size()];
}

bool fabric::happens(double probability)
{
    return probability > 0 && std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

void fabric::transmit(core::milliseconds delay, const std::function<void()>& send)
{
    if (happens(m_options.loss)) {
        ++m_counters.lost;
        return;
    }
    int copies = 1;
    if (happens(m_options.duplicate)) {
        ++m_counters.duplicated;
        ++copies;
    }
    for (; copies > 0; --copies) {
        auto wait = delay;
        if (happens(m_options.reorder)) {
            ++m_counters.reordered;
            wait += core::milliseconds(1 + static_cast<int>(m_random() % max_reorder_delay_ms));
        }
        if (wait.count() == 0) {
            send();
        } else {
            m_loop.after(wait, send);
        }
    }
}

void fabric::add_relay(const fabric_agent& agent)
{
    auto path = std::make_unique<agent_path>();
    path->agent = agent;
    path->socket = std::make_unique<udp_socket>(
        m_loop, agent.published,
        [this, target = path.get()](const std::uint8_t* data, std::size_t size, const core::endpoint& from) {
            on_relayed_datagram(*target, data, size, from);
        });
    link_relay::policy rules;
    rules.is_cut = [this, agent](const link_end& from) { return is_path_cut(from.zone, from.host, agent); };
    rules.delay = [this, agent](const link_end& from) { return delay_between(from.zone, agent.zone); };
    path->links = std::make_unique<link_relay>(m_loop, agent.published, agent.address, std::move(rules));
    m_relays.push_back(std::move(path));
}

void fabric::on_relayed_datagram(const agent_path& path, const std::uint8_t* data, std::size_t size,
                                 const core::endpoint& from)
{
    const auto zone = zone_of(from);
    if (is_path_cut(zone, 0, path.agent)) {
        ++m_counters.cut;
        return;
    }
    transmit(delay_between(zone, path.agent.zone), [target = &path, bytes = wire::buffer(data, data + size)] {
        target->socket->send_to(bytes, target->agent.address);
    });
}

bool fabric::is_path_cut(const std::string& zone, std::uint32_t host, const fabric_agent& agent) const
{
    const bool crosses = zone != agent.zone;
    return m_cut_hosts.count(agent.host) > 0 || m_cut_hosts.count(host) > 0 ||
           m_cut_links.count(std::minmax(host, agent.host)) > 0 ||
           (crosses && (m_cut_zones.count(zone) > 0 || m_cut_zones.count(agent.zone) > 0));
}

core::milliseconds fabric::delay_between(const std::string& a, const std::string& b) const
{
    return a == b ? core::milliseconds(0) : m_options.zone_delay;
}

bool fabric::is_cut(const core::endpoint& address) const
{
    const auto agent = std::find_if(m_options.agents.begin(), m_options.agents.end(),
                                    [&](const fabric_agent& it) { return it.address == address; });
    if (agent != m_options.agents.end() && m_cut_hosts.count(agent->host) > 0) {
        return true;
    }
    return m_cut_addresses.count(address) > 0 || m_cut_zones.count(zone_of(address)) > 0;
}

std::string fabric::zone_of(const core::endpoint& address) const
{
    for (const auto& it : m_entries) {
        if (it->entry.address == address) {
            return it->entry.zone;
        }
    }
    const auto it = std::find_if(m_options.agents.begin(), m_options.agents.end(),
                                 [&](const fabric_agent& agent) { return agent.address == address; });
    return it == m_options.agents.end() ? "" : it->zone;
}

} // namespace daisydoor::standins
