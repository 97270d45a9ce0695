#include "unit/flow_world.hpp"

#include <algorithm>
#include <cstring>

namespace daisydoor::agent
{

namespace
{

constexpr core::milliseconds tick{10};
constexpr core::milliseconds event_interval{100};
constexpr core::milliseconds link_delay{3};
constexpr core::milliseconds service_time{20};
constexpr std::size_t answer_size = 2500;

const core::endpoint service_address = core::parse_endpoint("127.0.100.1:9001");

} // namespace

flow_world::flow_world(std::size_t hosts, std::uint64_t seed) : m_random(seed)
{
    configuration.zones = {{"zone-a", 1.0}};
    wire::token_key key{core::key_id{1}, {}, true};
    configuration.keys = {key};
    config::service service;
    service.id = core::service_id{1};
    service.address = service_address;
    for (std::size_t i = 0; i < hosts; ++i) {
        config::host host;
        host.id = core::host_id{static_cast<std::uint32_t>(i + 1)};
        host.slots = 5;
        service.hosts.push_back(host);
        nodes.push_back(std::make_unique<node>());
    }
    configuration.services = {service};
    publish();
    for (std::size_t i = 0; i < hosts; ++i) {
        start(i);
    }
    run(core::milliseconds{1000});
}

void flow_world::start(std::size_t i)
{
    agent_options options;
    options.host = configuration.services[0].hosts[i].id;
    options.service = core::service_id{1};
    options.zone = "zone-a";
    options.incarnation = core::incarnation_id{m_random()};
    auto& value = *nodes[i];
    link(i, false);
    value.alive = true;
    value.feeds.clear();
    value.core = std::make_unique<agent_core>(options, core::random_source(m_random()), now);
    action_list actions;
    value.core->on_configuration(now, std::make_shared<config::snapshot>(configuration), actions);
    apply(i, actions);
    link(i, true);
}

void flow_world::link(std::size_t i, bool up)
{
    for (std::size_t k = 0; k < nodes.size(); ++k) {
        if (k == i || !nodes[k]->core || !nodes[i]->core) {
            continue;
        }
        for (const auto& [to, other] : {std::pair{i, k}, std::pair{k, i}}) {
            action_list actions;
            const auto& peer = nodes[other]->core->context().options;
            up ? nodes[to]->core->on_peer_up(now, peer.host, peer.incarnation, actions)
               : nodes[to]->core->on_peer_down(now, peer.host, actions);
            apply(to, actions);
        }
    }
}

void flow_world::publish()
{
    configuration.version = core::config_version{core::raw(configuration.version) + 1};
    const auto value = std::make_shared<config::snapshot>(configuration);
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        if (nodes[i]->core) {
            action_list actions;
            nodes[i]->core->on_configuration(now, value, actions);
            apply(i, actions);
        }
    }
}

flow_world::client& flow_world::add_client(bool subscribes)
{
    auto& value = *clients.emplace_back(std::make_unique<client>());
    value.session = std::make_unique<caller::session>(caller::session_options{}, core::random_source(m_random()));
    value.port = m_next_port++;
    caller::session_actions actions;
    value.session->open(now, actions);
    if (subscribes) {
        value.session->subscribe(now, "/feed", core::event_id{0}, actions);
    }
    apply(value, actions);
    return value;
}

core::request_number flow_world::post(client& caller)
{
    caller::session_actions actions;
    const auto number = caller.session->post(now, "/p", {'x'}, core::milliseconds{3000}, actions);
    apply(caller, actions);
    return number;
}

void flow_world::request(client& caller)
{
    caller::session_actions actions;
    caller.session->request(now, "/r", core::milliseconds{3000}, actions);
    apply(caller, actions);
}

void flow_world::run(core::milliseconds time)
{
    for (const auto end = now + time; now < end;) {
        const auto next = now + tick;
        while (!m_queue.empty() && m_queue.begin()->first <= next) {
            now = m_queue.begin()->first;
            const auto fn = std::move(m_queue.begin()->second);
            m_queue.erase(m_queue.begin());
            fn();
        }
        now = next;
        if (now.time_since_epoch() % event_interval == core::duration{0}) {
            publish_event();
        }
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            action_list actions;
            if (nodes[i]->alive) {
                nodes[i]->core->on_tick(now, actions);
                apply(i, actions);
            }
        }
        for (const auto& value : clients) {
            caller::session_actions actions;
            value->session->on_tick(now, actions);
            apply(*value, actions);
        }
    }
}

void flow_world::publish_event()
{
    ++m_event;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        for (auto& [id, last] : std::map<feed_connection_id, std::uint64_t>(nodes[i]->feeds)) {
            if (nodes[i]->silent_feeds.count(id) > 0) {
                continue;
            }
            action_list actions;
            for (auto event = last + 1; event <= m_event; ++event) {
                nodes[i]->core->on_feed_event(now, id, core::event_id{event}, std::vector<std::uint8_t>(event_size),
                                              actions);
            }
            nodes[i]->feeds[id] = m_event;
            apply(i, actions);
        }
    }
}

void flow_world::transmit(const handler& deliver)
{
    std::uniform_real_distribution<double> chance;
    if (chance(m_random) < loss) {
        return;
    }
    std::uniform_int_distribution<core::milliseconds::rep> delay(1, max_delay.count());
    after(core::milliseconds{delay(m_random)}, deliver);
    if (chance(m_random) < duplication) {
        after(core::milliseconds{delay(m_random)}, deliver);
    }
}

void flow_world::to_agent(std::uint16_t port, const wire::buffer& packet)
{
    const auto decoded = wire::decode_packet({packet.data(), packet.size()});
    if (dead_ports.count(port) > 0 || drops_packet(decoded->packet)) {
        return;
    }
    const auto& header = decoded->header;
    const bool opens = header.packet_class() == wire::packet_class::open;
    const auto i = opens ? (header.flow_hash() + header.attempt()) % nodes.size() : header.token().host() - 1;
    const wire::envelope env(wire::to_wire(service_address),
                             wire::to_wire({core::parse_endpoint("127.0.0.9:1").address, port}), 0, 0, 0);
    wire::buffer datagram(sizeof env);
    std::memcpy(datagram.data(), &env, sizeof env);
    datagram.insert(datagram.end(), packet.begin(), packet.end());
    transmit([this, i, datagram] {
        action_list actions;
        if (nodes[i]->alive) {
            nodes[i]->core->on_datagram(now, {datagram.data(), datagram.size()}, core::milliseconds{0}, actions);
            apply(i, actions);
        }
    });
}

void flow_world::to_caller(const wire::buffer& datagram)
{
    const auto port = wire::envelope_of({datagram.data(), datagram.size()})->caller_address().port();
    const wire::buffer packet(datagram.begin() + sizeof(wire::envelope), datagram.end());
    const auto decoded = wire::decode_packet({packet.data(), packet.size()});
    if (!decoded || dead_ports.count(port) > 0 || drops_packet(decoded->packet)) {
        return;
    }
    transmit([this, port, packet, gone = decoded->packet.body.type == wire::packet_body::flow_gone] {
        for (const auto& value : clients) {
            if (value->port == port) {
                value->flow_gone_replies += gone ? 1 : 0;
                caller::session_actions actions;
                value->session->on_packet(now, {packet.data(), packet.size()}, actions);
                apply(*value, actions);
            }
        }
    });
}

void flow_world::apply(std::size_t i, action_list& actions)
{
    auto& from = *nodes[i];
    for (auto& it : actions) {
        if (const auto* datagram = std::get_if<send_datagram>(&it)) {
            to_caller(datagram->bytes);
        } else if (const auto* feed = std::get_if<open_feed>(&it)) {
            from.feeds[feed->id] = core::raw(feed->last_event) != 0 ? core::raw(feed->last_event) : m_event;
            ++from.feeds_opened;
        } else if (const auto* closed = std::get_if<close_feed>(&it)) {
            from.feeds.erase(closed->id);
        } else if (std::holds_alternative<drain_finished>(it)) {
            from.drained = true;
        } else if (const auto* exchange = std::get_if<start_exchange>(&it)) {
            after(service_time, [this, i, core = from.core.get(), id = exchange->id] {
                action_list results;
                if (nodes[i]->core.get() == core) {
                    core->on_exchange_result(
                        now, id, {exchange_status::answered, 200, std::vector<std::uint8_t>(answer_size)}, results);
                    apply(i, results);
                }
            });
        } else if (const auto* peer = std::get_if<send_peer>(&it)) {
            const auto to = core::raw(peer->host) - 1;
            if (!nodes[to]->alive || drops_peer_message(peer->message)) {
                continue;
            }
            const auto own = from.core->context().options.host;
            after(link_delay, [this, to, own, message = peer->message] {
                action_list results;
                nodes[to]->core->on_peer_message(now, own, message, results);
                apply(to, results);
            });
        }
    }
}

void flow_world::apply(client& caller, caller::session_actions& actions)
{
    for (auto& it : actions) {
        if (const auto* packet = std::get_if<caller::send_packet>(&it)) {
            to_agent(caller.port, packet->bytes);
        } else if (const auto* answer = std::get_if<caller::answered>(&it)) {
            ++caller.outcomes[answer->number];
            caller.answered += answer->payload.size() == answer_size ? 1 : 0;
        } else if (const auto* refusal = std::get_if<caller::refused>(&it)) {
            ++caller.outcomes[refusal->number];
            caller.unknown += refusal->kind == wire::refusal_kind::unknown ? 1 : 0;
        } else if (const auto* event = std::get_if<caller::feed_event>(&it)) {
            const auto id = core::raw(event->id);
            const bool right =
                (caller.last_event == 0 || id == caller.last_event + 1) && event->data.size() == event_size;
            caller.gaps_or_repeats += right ? 0 : 1;
            caller.last_event = id;
        } else if (std::holds_alternative<caller::replace_socket>(it)) {
            caller.port = m_next_port++;
        } else if (std::holds_alternative<caller::opened>(it)) {
            ++caller.opens;
        }
    }
}

agent_counters flow_world::total() const
{
    agent_counters result;
    for (const auto& it : nodes) {
        const auto& part = it->core->counters();
        result.opens_forwarded += part.opens_forwarded;
        result.flows_moved += part.flows_moved;
        result.events_sent += part.events_sent;
    }
    return result;
}

} // namespace daisydoor::agent
