#include "support/session_world.hpp"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace daisydoor::support
{

namespace
{

constexpr std::array<const char*, 3> zone_names{"zone-a", "zone-b", "zone-c"};
constexpr core::milliseconds agent_tick{10};
constexpr core::milliseconds entry_tick{100};
constexpr core::milliseconds sync_tick{100};

core::endpoint loopback(unsigned a, unsigned b, std::uint16_t port)
{
    return core::parse_endpoint("127.0." + std::to_string(a) + '.' + std::to_string(b) + ':' + std::to_string(port));
}

std::string service_name(std::size_t i) { return "service-" + std::to_string(i + 1); }

} // namespace

session_world::session_world(world_options options) : m_options(std::move(options)), m_random(m_options.seed)
{
    build_publication();
    m_first_publication = m_publication;
    for (std::size_t i = 0; i < m_options.entries; ++i) {
        m_entries.push_back(make_process(m_publication.fleet.at(i).address, m_publication.fleet.at(i).zone));
        start_entry(i);
    }
    for (std::size_t s = 0; s < m_publication.services.size(); ++s) {
        for (const auto& host : m_publication.services[s].hosts) {
            auto value = make_process(host.agent, m_publication.zones.at(host.zone).name);
            value->host = host.id;
            value->service = s;
            value->target = std::make_unique<fake_target>(m_clock, m_oracle, service_name(s),
                                                          m_options.mean_service_time, m_random());
            value->is_alive = false;
            m_agents.push_back(std::move(value));
        }
    }
    for (std::size_t i = 0; i < m_agents.size(); ++i) {
        start_agent_core(i);
    }
    m_clock.every(fake_target::event_interval, [this] {
        for (const auto& value : m_agents) {
            value->target->publish_events();
        }
    });
    m_transcript.clear();
}

void session_world::build_publication()
{
    for (const auto* name : zone_names) {
        m_publication.zones.push_back({name, 1.0 / zone_names.size()});
    }
    m_publication.zones.back().entry_share =
        1 - m_publication.zones[0].entry_share - m_publication.zones[1].entry_share;
    m_publication.keys = {make_key(1, 7, true)};
    for (std::size_t i = 0; i < m_options.entries; ++i) {
        m_publication.fleet.push_back({true,
                                       {},
                                       zone_names.at(i % zone_names.size()),
                                       loopback(1, static_cast<unsigned>(i) + 1, 7000),
                                       config::instance_state::live});
    }
    std::uint32_t next_host = 11;
    for (std::size_t s = 0; s < m_options.hosts.size(); ++s) {
        config::service service;
        service.id = core::service_id{static_cast<std::uint32_t>(s) + 1};
        service.name = service_name(s);
        service.address = loopback(100, static_cast<unsigned>(s) + 1, 9000);
        for (std::size_t i = 0; i < m_options.hosts[s]; ++i, ++next_host) {
            const auto zone = static_cast<config::zone_index>(i % zone_names.size());
            config::host host{core::host_id{next_host},
                              "host-" + std::to_string(next_host),
                              zone,
                              loopback(2, next_host, 7100),
                              m_options.slots,
                              false};
            m_publication.fleet.push_back(
                {false, host.id, zone_names.at(zone), host.agent, config::instance_state::live});
            service.hosts.push_back(std::move(host));
        }
        m_publication.services.push_back(std::move(service));
    }
}

std::unique_ptr<process> session_world::make_process(const core::endpoint& address, const std::string& zone)
{
    auto value = std::make_unique<process>();
    value->address = address;
    value->zone = zone;
    return value;
}

void session_world::start_sync(process& value, std::optional<core::service_id> service)
{
    config::sync_options options;
    options.self = value.address;
    options.zone = value.zone;
    options.service = service;
    for (const auto& it : m_publication.fleet) {
        if (it.address != value.address && options.bootstrap_peers.size() < 4) {
            options.bootstrap_peers.push_back(it.address);
        }
    }
    value.sync = std::make_unique<config::config_sync>(options, core::random_source(m_random()));
    std::vector<config::sync_action> actions;
    value.sync->on_start(m_clock.now(), actions);
    apply(value, actions);
}

void session_world::start_entry(std::size_t i)
{
    auto& value = *m_entries.at(i);
    ++value.run;
    value.is_alive = true;
    value.is_frozen = false;
    value.pending.clear();
    value.entry = std::make_unique<entry::entry_core>(entry::entry_options{value.zone});
    add_to_transcript("entry " + std::to_string(i) + " starts");
    start_sync(value, std::nullopt);
    schedule_ticks(value);
}

void session_world::start_agent(std::size_t i) { start_agent_core(i); }

void session_world::start_agent_core(std::size_t i)
{
    auto& value = *m_agents.at(i);
    ++value.run;
    value.is_alive = true;
    value.is_frozen = false;
    value.drain_finished = false;
    value.pending.clear();
    agent::agent_options options;
    options.host = value.host;
    options.service = m_publication.services.at(value.service).id;
    options.zone = value.zone;
    options.incarnation = core::incarnation_id{m_random()};
    value.agent = std::make_unique<agent::agent_core>(options, core::random_source(m_random()), m_clock.now());
    add_to_transcript("agent " + std::to_string(core::raw(value.host)) + " starts");
    connect_target(value);
    start_sync(value, options.service);
    set_peer_links(value, true);
    schedule_ticks(value);
}

void session_world::connect_target(process& value)
{
    const auto forward_to = [this, &value](auto fn) {
        deliver(value, core::duration{0}, [this, &value, fn](core::milliseconds) {
            agent::action_list actions;
            fn(*value.agent, actions);
            apply(value, actions);
        });
    };
    fake_target::hooks hooks;
    hooks.result = [this, forward_to](agent::exchange_id id, const agent::exchange_result& result) {
        forward_to([this, id, result](agent::agent_core& core, agent::action_list& actions) {
            core.on_exchange_result(m_clock.now(), id, result, actions);
        });
    };
    hooks.event = [this, forward_to](agent::feed_connection_id id, core::event_id event,
                                     const std::vector<std::uint8_t>& data) {
        forward_to([this, id, event, data](agent::agent_core& core, agent::action_list& actions) {
            core.on_feed_event(m_clock.now(), id, event, data, actions);
        });
    };
    hooks.activity = [this, forward_to](agent::feed_connection_id id) {
        forward_to(
            [this, id](agent::agent_core& core, agent::action_list&) { core.on_feed_activity(m_clock.now(), id); });
    };
    hooks.feed_closed = [this, forward_to](agent::feed_connection_id id) {
        forward_to([this, id](agent::agent_core& core, agent::action_list& actions) {
            core.on_feed_closed(m_clock.now(), id, actions);
        });
    };
    hooks.posting_started = [this, host = value.host](request_key key) {
        add_to_transcript("target " + std::to_string(core::raw(host)) + " runs the posting of caller " +
                          std::to_string(key.caller) + " number " + std::to_string(key.number));
    };
    value.target->set_hooks(std::move(hooks));
}

void session_world::schedule_ticks(process& value)
{
    const auto period = value.agent ? agent_tick : entry_tick;
    m_clock.after(period, [this, &value, run = value.run] {
        if (value.is_alive && value.run == run) {
            tick(value);
            schedule_ticks(value);
        }
    });
}

void session_world::tick(process& value)
{
    if (value.is_frozen) {
        return;
    }
    const auto now = m_clock.now();
    if (now >= value.next_sync_tick) {
        value.next_sync_tick = now + sync_tick;
        std::vector<config::sync_action> actions;
        value.sync->on_tick(now, actions);
        apply(value, actions);
    }
    if (value.entry) {
        value.entry->on_tick(now);
        return;
    }
    agent::action_list actions;
    value.agent->on_tick(now, actions);
    apply(value, actions);
}

void session_world::deliver(process& to, core::duration delay, std::function<void(core::milliseconds)> handle)
{
    m_clock.after(delay, [this, &to, run = to.run, handle = std::move(handle)] {
        if (!to.is_alive || to.run != run) {
            return;
        }
        if (to.is_frozen) {
            to.pending.push_back({m_clock.now(), handle});
            return;
        }
        handle(core::milliseconds{0});
    });
}

void session_world::freeze(process& value, core::milliseconds time)
{
    add_to_transcript("process " + core::to_string(value.address) + " freezes for " + std::to_string(time.count()) +
                      " ms");
    value.is_frozen = true;
    m_clock.after(time, [this, &value, run = value.run] {
        if (!value.is_alive || value.run != run) {
            return;
        }
        value.is_frozen = false;
        add_to_transcript("process " + core::to_string(value.address) + " wakes");
        // Like a real event loop, handle the data queued in the sockets in order of arrival, before the timers.
        while (!value.pending.empty()) {
            const auto event = std::move(value.pending.front());
            value.pending.pop_front();
            event.handle(std::chrono::duration_cast<core::milliseconds>(m_clock.now() - event.arrived));
        }
    });
}

void session_world::kill_entry(std::size_t i)
{
    add_to_transcript("entry " + std::to_string(i) + " is killed");
    m_entries.at(i)->is_alive = false;
}

void session_world::kill_agent(std::size_t i)
{
    auto& value = *m_agents.at(i);
    add_to_transcript("agent " + std::to_string(core::raw(value.host)) + " is killed");
    set_peer_links(value, false);
    value.is_alive = false;
    value.target->on_agent_exit();
}

void session_world::drain_agent(std::size_t i)
{
    auto& value = *m_agents.at(i);
    add_to_transcript("agent " + std::to_string(core::raw(value.host)) + " drains");
    agent::action_list actions;
    value.agent->on_drain(m_clock.now(), actions);
    apply(value, actions);
}

void session_world::set_partitioned(std::size_t i, bool is_partitioned)
{
    auto& value = *m_agents.at(i);
    add_to_transcript("agent " + std::to_string(core::raw(value.host)) +
                      (is_partitioned ? " is cut off" : " is connected again"));
    if (is_partitioned) {
        m_partitioned.insert(value.address);
        set_peer_links(value, false);
        return;
    }
    m_partitioned.erase(value.address);
    set_peer_links(value, true);
}

void session_world::set_target(std::size_t i, target_mode mode)
{
    static constexpr std::array<const char*, 5> names{"normal", "down", "shedding", "frozen", "silent_feeds"};
    auto& value = *m_agents.at(i);
    add_to_transcript("target " + std::to_string(core::raw(value.host)) + " mode " +
                      names.at(static_cast<std::size_t>(mode)));
    value.target->set_mode(mode);
}

void session_world::set_platform(platform_mode mode)
{
    static constexpr std::array<const char*, 3> names{"up", "down", "stale"};
    add_to_transcript(std::string("platform ") + names.at(static_cast<std::size_t>(mode)));
    m_platform = mode;
}

void session_world::publish(const std::function<void(publication&)>& change)
{
    change(m_publication);
    ++m_publication.version;
    ++m_publication.fleet_version;
    add_to_transcript("version " + std::to_string(m_publication.version) + " is published");
}

std::optional<std::size_t> session_world::agent_of(std::size_t caller) const
{
    const auto host = m_callers.at(caller).session->token().host();
    for (std::size_t i = 0; i < m_agents.size(); ++i) {
        if (core::raw(m_agents[i]->host) == host) {
            return i;
        }
    }
    return std::nullopt;
}

void session_world::add_to_transcript(const std::string& text)
{
    std::ostringstream out;
    const auto ms = m_clock.elapsed().count();
    out << std::setw(6) << ms / 1000 << '.' << std::setw(3) << std::setfill('0') << ms % 1000 << "  " << text;
    m_transcript.push_back(out.str());
}

core::duration session_world::random_delay()
{
    const auto low = core::duration(m_options.min_delay).count();
    const auto high = core::duration(m_options.max_delay).count();
    return core::duration(std::uniform_int_distribution<core::duration::rep>(low, high)(m_random));
}

bool session_world::happens(double probability)
{
    return probability > 0 && std::bernoulli_distribution(probability)(m_random);
}

bool session_world::is_partitioned(const process& value) const { return m_partitioned.count(value.address) > 0; }

process* session_world::find(const core::endpoint& address)
{
    for (auto* group : {&m_entries, &m_agents}) {
        for (const auto& value : *group) {
            if (value->address == address) {
                return value.get();
            }
        }
    }
    return nullptr;
}

process* session_world::find_host(core::host_id host)
{
    const auto it =
        std::find_if(m_agents.begin(), m_agents.end(), [host](const auto& value) { return value->host == host; });
    return it != m_agents.end() ? it->get() : nullptr;
}

} // namespace daisydoor::support
