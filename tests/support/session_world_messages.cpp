#include "support/session_world.hpp"

#include <algorithm>

/// @brief Transport of the session world: datagrams, peer links, configuration messages and platform reads.
namespace daisydoor::support
{

namespace
{

constexpr core::milliseconds caller_tick{10};
constexpr core::milliseconds platform_delay{5};
constexpr core::milliseconds platform_timeout{1000};
constexpr core::milliseconds link_setup_delay{10};

template <typename... Handlers>
struct overloaded : Handlers...
{
    using Handlers::operator()...;
};
template <typename... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

std::string name_of(std::size_t caller, core::request_number number)
{
    return "caller " + std::to_string(caller) + " number " + std::to_string(core::raw(number));
}

} // namespace

std::size_t session_world::add_caller(std::size_t service, core::workspace_id workspace)
{
    const std::size_t i = m_callers.size();
    caller::session_options options;
    options.workspace = workspace;
    caller_state state;
    state.session = std::make_unique<caller::session>(options, core::random_source(m_random()));
    state.service = service;
    state.port = m_next_port++;
    m_callers.push_back(std::move(state));
    caller::session_actions actions;
    m_callers[i].session->open(m_clock.now(), actions);
    apply(i, actions);
    m_clock.every(caller_tick, [this, i] {
        caller::session_actions tick_actions;
        m_callers[i].session->on_tick(m_clock.now(), tick_actions);
        apply(i, tick_actions);
    });
    return i;
}

core::request_number session_world::request(std::size_t caller, std::size_t answer_size, core::milliseconds deadline)
{
    auto& state = m_callers.at(caller);
    const request_key key{caller, state.paths.size() + 1};
    const auto path = request_path(m_publication.services.at(state.service).name, key, answer_size);
    state.paths[key.number] = path;
    m_oracle.record_request(key, false);
    caller::session_actions actions;
    const auto number = state.session->request(m_clock.now(), path, deadline, actions);
    apply(caller, actions);
    return number;
}

core::request_number session_world::post(std::size_t caller, core::milliseconds deadline)
{
    auto& state = m_callers.at(caller);
    const request_key key{caller, state.paths.size() + 1};
    const auto path = request_path(m_publication.services.at(state.service).name, key, 0);
    state.paths[key.number] = path;
    m_oracle.record_request(key, true);
    caller::session_actions actions;
    const auto number = state.session->post(m_clock.now(), path, {path.begin(), path.end()}, deadline, actions);
    apply(caller, actions);
    return number;
}

void session_world::cancel(std::size_t caller, core::request_number number)
{
    add_to_transcript(name_of(caller, number) + " asks for cancellation");
    caller::session_actions actions;
    m_callers.at(caller).session->cancel(m_clock.now(), number, actions);
    apply(caller, actions);
}

void session_world::subscribe(std::size_t caller)
{
    auto& state = m_callers.at(caller);
    state.subscribed = true;
    m_oracle.record_subscription(caller, 0);
    caller::session_actions actions;
    state.session->subscribe(m_clock.now(), "/feed", core::event_id{0}, actions);
    apply(caller, actions);
}

void session_world::blackhole_path(std::size_t caller)
{
    add_to_transcript("path of caller " + std::to_string(caller) + " goes silent");
    auto& state = m_callers.at(caller);
    state.blackholed_ports.insert(state.port);
}

void session_world::apply(std::size_t caller, caller::session_actions& actions)
{
    for (auto& item : actions) {
        std::visit(
            overloaded{[&](caller::send_packet& it) { send_to_fabric(caller, std::move(it.bytes)); },
                       [&](caller::replace_socket&) { m_callers[caller].port = m_next_port++; },
                       [&](caller::opened&) { add_to_transcript("caller " + std::to_string(caller) + " opened"); },
                       [&](caller::open_failed&) {
                           ++m_callers[caller].open_failure_count;
                           add_to_transcript("caller " + std::to_string(caller) + " open failed");
                       },
                       [&](caller::answered& it) {
                           const auto& path = m_callers[caller].paths.at(core::raw(it.number));
                           const bool right = it.status == 200 && it.payload == expected_answer(path);
                           m_oracle.record_outcome({caller, core::raw(it.number)}, reported_outcome::answered, right);
                           add_to_transcript(name_of(caller, it.number) + " answered, " +
                                             std::to_string(it.payload.size()) + " bytes" + (right ? "" : ", WRONG"));
                       },
                       [&](caller::refused& it) {
                           const bool unknown = it.kind == wire::refusal_kind::unknown;
                           m_oracle.record_outcome({caller, core::raw(it.number)},
                                                   unknown ? reported_outcome::unknown : reported_outcome::not_run,
                                                   true);
                           add_to_transcript(name_of(caller, it.number) + " refused " +
                                             (unknown ? "unknown" : "not_run") + ", " +
                                             wire::EnumNamerefusal_reason(it.reason));
                       },
                       [&](caller::feed_event& it) { m_oracle.record_event(caller, core::raw(it.id)); }},
            item);
    }
    actions.clear();
}

void session_world::send_to_fabric(std::size_t caller, wire::buffer bytes)
{
    const auto& state = m_callers[caller];
    if (state.blackholed_ports.count(state.port) > 0 || happens(m_options.loss)) {
        return;
    }
    const wire::envelope env(wire::to_wire(m_publication.services.at(state.service).address),
                             wire::to_wire({core::parse_endpoint("127.0.0.1:1").address, state.port}), 0, 0, 0);
    wire::buffer datagram(sizeof env + bytes.size());
    std::memcpy(datagram.data(), &env, sizeof env);
    std::memcpy(datagram.data() + sizeof env, bytes.data(), bytes.size());
    if (happens(m_options.duplication)) {
        deliver_to_entry(datagram);
    }
    deliver_to_entry(datagram);
}

void session_world::deliver_to_entry(const wire::buffer& datagram)
{
    // The fabric cannot detect frozen entries; those that are down are not in its list.
    std::vector<process*> live;
    for (const auto& value : m_entries) {
        if (value->is_alive) {
            live.push_back(value.get());
        }
    }
    if (live.empty()) {
        return;
    }
    auto& to = *live[std::uniform_int_distribution<std::size_t>(0, live.size() - 1)(m_random)];
    deliver(to, random_delay(), [this, &to, datagram](core::milliseconds age) {
        wire::buffer copy = datagram;
        const auto verdict = to.entry->on_datagram(m_clock.now(), copy.data(), copy.size(), age);
        if (verdict.kind == entry::verdict_kind::forward) {
            forward(to, verdict.next_hop, copy);
        } else if (verdict.kind == entry::verdict_kind::refuse) {
            deliver_to_caller(verdict.reply);
        }
    });
}

void session_world::forward(process& /*from*/, core::endpoint next_hop, const wire::buffer& datagram)
{
    auto* to = find(next_hop);
    if (to == nullptr || !to->is_alive || is_partitioned(*to) || happens(m_options.loss)) {
        return;
    }
    deliver(*to, random_delay(), [this, to, datagram](core::milliseconds age) {
        agent::action_list actions;
        to->agent->on_datagram(m_clock.now(), {datagram.data(), datagram.size()}, age, actions);
        apply(*to, actions);
    });
}

void session_world::deliver_to_caller(const wire::buffer& datagram)
{
    const auto* env = wire::envelope_of({datagram.data(), datagram.size()});
    if (env == nullptr || happens(m_options.loss)) {
        return;
    }
    const auto port = wire::from_wire(env->caller_address()).port;
    const auto it = std::find_if(m_callers.begin(), m_callers.end(),
                                 [port](const caller_state& state) { return state.port == port; });
    if (it == m_callers.end() || it->blackholed_ports.count(port) > 0) {
        return;
    }
    const auto caller = static_cast<std::size_t>(it - m_callers.begin());
    const wire::buffer packet(datagram.begin() + sizeof(wire::envelope), datagram.end());
    const auto decoded = wire::decode_packet({packet.data(), packet.size()});
    if (decoded && decoded->packet.body.type == wire::packet_body::flow_gone) {
        ++m_callers[caller].flow_gone_count;
    }
    const auto receive = [this, caller, packet] {
        caller::session_actions actions;
        m_callers[caller].session->on_packet(m_clock.now(), {packet.data(), packet.size()}, actions);
        apply(caller, actions);
    };
    if (happens(m_options.duplication)) {
        m_clock.after(random_delay(), receive);
    }
    m_clock.after(random_delay(), receive);
}

void session_world::apply(process& value, agent::action_list& actions)
{
    for (auto& item : actions) {
        std::visit(overloaded{[&](agent::send_datagram& it) {
                                  if (!is_partitioned(value)) {
                                      deliver_to_caller(it.bytes);
                                  }
                              },
                              [&](agent::send_peer& it) { send_peer(value, it); },
                              [&](agent::start_exchange& it) { value.target->start(it); },
                              [&](agent::cancel_exchange& it) { value.target->cancel(it.id); },
                              [&](agent::open_feed& it) { value.target->open(it); },
                              [&](agent::close_feed& it) { value.target->close(it.id); },
                              [&](agent::drain_finished&) {
                                  if (!value.drain_finished) {
                                      value.drain_finished = true;
                                      add_to_transcript("agent " + std::to_string(core::raw(value.host)) +
                                                        " has drained");
                                  }
                              },
                              [&](agent::refresh_configuration&) {
                                  std::vector<config::sync_action> sync_actions;
                                  value.sync->revalidate(m_clock.now(), sync_actions);
                                  apply(value, sync_actions);
                              }},
                   item);
    }
    actions.clear();
}

void session_world::send_peer(process& from, const agent::send_peer& action)
{
    auto* to = find_host(action.host);
    if (to == nullptr || m_links.count({from.host, action.host}) == 0) {
        return;
    }
    // The delay is constant, so that the messages of one link arrive in order.
    deliver(*to, m_options.max_delay, [this, to, host = from.host, message = action.message](core::milliseconds) {
        agent::action_list actions;
        to->agent->on_peer_message(m_clock.now(), host, message, actions);
        apply(*to, actions);
    });
}

void session_world::set_peer_link(process& a, process& b, bool up)
{
    const auto notify = [this, up](process& to, process& other) {
        const auto incarnation = other.agent->context().options.incarnation;
        deliver(to, link_setup_delay, [this, &to, host = other.host, incarnation, up](core::milliseconds) {
            agent::action_list actions;
            if (up) {
                m_links.insert({to.host, host});
                to.agent->on_peer_up(m_clock.now(), host, incarnation, actions);
            } else {
                to.agent->on_peer_down(m_clock.now(), host, actions);
            }
            apply(to, actions);
        });
    };
    if (!up) {
        m_links.erase({a.host, b.host});
        m_links.erase({b.host, a.host});
    }
    notify(a, b);
    notify(b, a);
}

void session_world::set_peer_links(process& value, bool up)
{
    if (up && !value.is_alive) {
        return;
    }
    for (const auto& other : m_agents) {
        if (other.get() != &value && other->service == value.service && other->is_alive && other->agent &&
            !(up && (is_partitioned(*other) || is_partitioned(value)))) {
            set_peer_link(value, *other, up);
        }
    }
}

void session_world::apply(process& value, std::vector<config::sync_action>& actions)
{
    const auto now = m_clock.now();
    auto list = std::move(actions);
    actions.clear();
    for (auto& item : list) {
        agent::action_list agent_actions;
        std::visit(overloaded{[&](config::send_config_message& it) { send_config(value, it); },
                              [&](config::read_platform_value& it) { read_platform(value, it); },
                              [&](config::accept_configuration& it) {
                                  add_to_transcript("process " + core::to_string(value.address) + " accepts version " +
                                                    std::to_string(core::raw(it.configuration->version)));
                                  value.entry ? value.entry->on_configuration(now, it.configuration)
                                              : value.agent->on_configuration(now, it.configuration, agent_actions);
                              },
                              [&](config::accept_fleet_view& it) {
                                  value.entry ? value.entry->on_fleet_view(now, it.view)
                                              : value.agent->on_fleet_view(now, it.view, agent_actions);
                              },
                              [&](config::confirm_configuration&) {
                                  value.entry ? value.entry->confirm_configuration(now)
                                              : value.agent->on_configuration_confirmed(now, agent_actions);
                              },
                              [&](config::reject_configuration& it) {
                                  add_to_transcript("process " + core::to_string(value.address) +
                                                    " rejects: " + it.what);
                              }},
                   item);
        apply(value, agent_actions);
    }
}

void session_world::send_config(process& from, const config::send_config_message& action)
{
    auto* to = find(action.peer);
    if (to == nullptr || !to->is_alive || is_partitioned(from) || is_partitioned(*to)) {
        return;
    }
    deliver(*to, m_options.max_delay, [this, to, peer = from.address, message = action.message](core::milliseconds) {
        std::vector<config::sync_action> actions;
        to->sync->on_peer_message(m_clock.now(), peer, message, actions);
        apply(*to, actions);
    });
}

void session_world::read_platform(process& value, const config::read_platform_value& action)
{
    ++m_platform_calls;
    if (m_platform == platform_mode::down || is_partitioned(value)) {
        deliver(value, platform_timeout, [this, &value, key = action.key](core::milliseconds) {
            std::vector<config::sync_action> actions;
            value.sync->on_platform_failure(m_clock.now(), key, false, actions);
            apply(value, actions);
        });
        return;
    }
    const auto& source = m_platform == platform_mode::stale ? m_first_publication : m_publication;
    const auto version = action.key == "fleet" ? source.fleet_version : source.version;
    const bool unchanged = action.after && *action.after >= version;
    const auto values = to_values(source);
    const auto it = values.find(action.key);
    const bool found = it != values.end() && !unchanged;
    const auto delay = unchanged ? std::min(action.wait, platform_timeout) : platform_delay;
    deliver(value, delay,
            [this, &value, key = action.key, version, unchanged, found,
             content = found ? it->second : std::string()](core::milliseconds) {
                std::vector<config::sync_action> actions;
                if (found) {
                    value.sync->on_platform_value(m_clock.now(), key, version, content, actions);
                } else {
                    value.sync->on_platform_failure(m_clock.now(), key, unchanged, actions);
                }
                apply(value, actions);
            });
}

} // namespace daisydoor::support
