#include "daisydoor/runtime/detail/agent_task.hpp"

namespace daisydoor::runtime::detail
{

namespace
{

constexpr core::milliseconds agent_tick{10};
/// A process with an older configuration is sent at most one notice per interval.
constexpr core::milliseconds notice_interval{1000};
/// Bounds the memory for sent notices, and the links opened to send them, within one interval.
constexpr std::size_t max_notices = 64;
/// The core ends a drain at its timeout; the process exits this much later if the core has not.
constexpr core::milliseconds drain_margin{1000};

} // namespace

agent_task::agent_task(kernel& owner, const agent::agent_options& options, const core::endpoint& return_path,
                       core::random_source random)
    : m_kernel(owner), m_options(options), m_core(options, random, core::clock::now()), m_return_path(return_path),
      m_timer(owner.base(), -1, EV_PERSIST, [this] { on_tick(); })
{
    const std::string name = task_names::role;
    owner.register_handler<received_datagram>(name, [this](received_datagram& message) { on_datagram(message); });
    owner.register_handler<drain_request>(name, [this](drain_request&) {
        handle([this](auto now, auto& actions) { m_core.on_drain(now, actions); });
        update_drain_timer();
    });
    owner.register_handler<collect_metrics>(name, [this](collect_metrics& message) { collect(message); });
    owner.register_handler<collect_state>(name, [this](collect_state& message) { collect_state_of(message); });
    register_peer_handlers();
    register_target_handlers();
    register_configuration_handlers();
}

void agent_task::register_peer_handlers()
{
    const std::string name = task_names::role;
    m_kernel.register_handler<mesh_peer_up>(name, [this](mesh_peer_up& message) {
        handle([&](auto now, auto& actions) { m_core.on_peer_up(now, message.host, message.incarnation, actions); });
    });
    m_kernel.register_handler<mesh_peer_down>(name, [this](mesh_peer_down& message) {
        handle([&](auto now, auto& actions) { m_core.on_peer_down(now, message.host, actions); });
    });
    m_kernel.register_handler<mesh_message>(name, [this](mesh_message& message) {
        handle([&](auto now, auto& actions) { m_core.on_peer_message(now, message.host, *message.message, actions); });
    });
}

void agent_task::register_target_handlers()
{
    const std::string name = task_names::role;
    m_kernel.register_handler<exchange_finished>(name, [this](exchange_finished& message) {
        handle([&](auto now, auto& actions) {
            m_core.on_exchange_result(now, message.id, std::move(message.result), actions);
        });
    });
    m_kernel.register_handler<feed_event_received>(name, [this](feed_event_received& message) {
        handle([&](auto now, auto& actions) {
            m_core.on_feed_event(now, message.id, message.event, std::move(message.data), actions);
        });
    });
    m_kernel.register_handler<feed_activity>(
        name, [this](feed_activity& message) { m_core.on_feed_activity(core::clock::now(), message.id); });
    m_kernel.register_handler<feed_closed>(name, [this](feed_closed& message) {
        handle([&](auto now, auto& actions) { m_core.on_feed_closed(now, message.id, actions); });
    });
}

void agent_task::register_configuration_handlers()
{
    const std::string name = task_names::role;
    m_kernel.register_handler<configuration_accepted>(name, [this](configuration_accepted& message) {
        m_snapshot = message.snapshot;
        handle([&](auto now, auto& actions) { m_core.on_configuration(now, message.snapshot, actions); });
        set_mesh();
    });
    m_kernel.register_handler<fleet_view_accepted>(name, [this](fleet_view_accepted& message) {
        m_fleet = message.fleet;
        handle([&](auto now, auto& actions) { m_core.on_fleet_view(now, message.fleet, actions); });
    });
    m_kernel.register_handler<configuration_confirmed>(name, [this](configuration_confirmed&) {
        handle([this](auto now, auto& actions) { m_core.on_configuration_confirmed(now, actions); });
    });
}

void agent_task::start()
{
    m_udp = m_kernel.find_handler<outgoing_datagram>(task_names::udp);
    m_flush = m_kernel.find_handler<flush_datagrams>(task_names::udp);
    m_set_mesh_peers = m_kernel.find_handler<set_mesh_peers>(task_names::links);
    m_send_to_host = m_kernel.find_handler<send_to_host>(task_names::links);
    m_send_to_endpoint = m_kernel.find_handler<send_to_endpoint>(task_names::links);
    m_start_exchange = m_kernel.find_handler<agent::start_exchange>(task_names::target);
    m_cancel_exchange = m_kernel.find_handler<agent::cancel_exchange>(task_names::target);
    m_open_feed = m_kernel.find_handler<agent::open_feed>(task_names::target);
    m_close_feed = m_kernel.find_handler<agent::close_feed>(task_names::target);
    m_version_seen = m_kernel.find_handler<version_seen>(task_names::config);
    m_refresh = m_kernel.find_handler<refresh_request>(task_names::config);
    m_last_tick = core::clock::now();
    m_timer.add(agent_tick);
}

void agent_task::on_datagram(const received_datagram& message)
{
    compare_versions(core::clock::now(), message);
    handle(
        [&](auto now, auto& actions) {
            m_core.on_datagram(now, {message.data, message.size}, message.age, actions);
        },
        false);
}

void agent_task::compare_versions(core::time_point now, const received_datagram& message)
{
    const auto* env = wire::envelope_of({message.data, message.size});
    const std::uint64_t own = m_snapshot ? core::raw(m_snapshot->version) : 0;
    if (env == nullptr || env->config_version() == own) {
        return;
    }
    if (env->config_version() > own) {
        m_version_seen.post({message.source, core::config_version{env->config_version()}});
    } else {
        send_notice(now, message.source);
    }
}

void agent_task::send_notice(core::time_point now, const core::endpoint& peer)
{
    for (auto it = m_notice_sent_at.begin(); it != m_notice_sent_at.end();) {
        it = now - it->second >= notice_interval ? m_notice_sent_at.erase(it) : std::next(it);
    }
    if (m_notice_sent_at.size() >= max_notices || !m_notice_sent_at.emplace(peer, now).second) {
        return;
    }
    wire::config_noticeT body;
    body.version = core::raw(m_snapshot->version);
    body.fleet_version = m_fleet ? m_fleet->version : 0;
    send_to_endpoint message{peer, {}};
    message.message.config_version = body.version;
    message.message.body.Set(body);
    m_send_to_endpoint.post(std::move(message));
}

void agent_task::set_mesh()
{
    set_mesh_peers message;
    for (const auto& service : m_snapshot->services) {
        if (service.id != m_options.service) {
            continue;
        }
        for (const auto& host : service.hosts) {
            if (host.id != m_options.host) {
                message.peers.push_back({host.id, host.agent});
            }
        }
    }
    m_set_mesh_peers.post(std::move(message));
}

void agent_task::on_tick()
{
    const auto now = core::clock::now();
    const auto gap = std::chrono::duration_cast<core::milliseconds>(now - m_last_tick);
    m_last_tick = now;
    if (gap > core::pause_threshold) {
        write_log(log_event::pause_detected, std::to_string(gap.count()) + " ms");
    }
    handle([this](auto time, auto& actions) { m_core.on_tick(time, actions); });
    update_drain_timer();
    std::uint64_t drops = 0;
    for (const auto n : m_core.counters().dropped) {
        drops += n;
    }
    std::uint64_t suppressed = 0;
    if (drops != m_logged_drops && m_drop_log_limit.allow(now.time_since_epoch().count(), suppressed)) {
        write_log(log_event::datagram_dropped, std::to_string(drops - m_logged_drops) + " since the last report");
        m_logged_drops = drops;
    }
}

void agent_task::update_drain_timer()
{
    const bool draining = m_core.context().own.state == wire::agent_state::draining;
    if (draining == m_draining) {
        return;
    }
    m_draining = draining;
    if (!draining) {
        write_log(log_event::drain_cancelled,
                  "the configuration and the fleet view no longer mark the host as leaving");
        m_drain_timer.remove();
        return;
    }
    write_log(log_event::drain_started, std::to_string(m_core.gauges().flows) + " flows");
    m_drain_timer = io_event(m_kernel.base(), [this] {
        write_log(log_event::drain_timeout, std::to_string(m_core.gauges().flows) + " flows");
        m_kernel.stop(0);
    });
    m_drain_timer.add(m_options.drain_timeout + drain_margin);
}

void agent_task::handle(const core_handler& event, bool flush)
{
    agent::action_list actions;
    event(core::clock::now(), actions);
    for (auto& action : actions) {
        std::visit([this](auto& value) { perform(value); }, action);
    }
    if (flush && !actions.empty()) {
        flush_datagrams message;
        m_flush.call(message);
    }
}

void agent_task::perform(agent::send_datagram& action)
{
    outgoing_datagram message;
    message.owned = std::move(action.bytes);
    message.destination = m_return_path;
    m_udp.call(message);
}

void agent_task::perform(agent::send_peer& action) { m_send_to_host.post({action.host, std::move(action.message)}); }
void agent_task::perform(agent::start_exchange& action) { m_start_exchange.post(std::move(action)); }
void agent_task::perform(agent::cancel_exchange& action) { m_cancel_exchange.post(action); }
void agent_task::perform(agent::open_feed& action) { m_open_feed.post(std::move(action)); }
void agent_task::perform(agent::close_feed& action) { m_close_feed.post(action); }
void agent_task::perform(agent::refresh_configuration& /*action*/) { m_refresh.post({}); }

void agent_task::perform(agent::drain_finished& /*action*/)
{
    write_log(log_event::drain_finished, std::to_string(m_core.gauges().flows) + " flows left");
    m_kernel.stop(0);
}

void agent_task::collect(collect_metrics& message) const
{
    const auto& n = m_core.counters();
    const auto sizes = m_core.gauges();
    const auto value = [](std::uint64_t number) { return static_cast<double>(number); };
    message.samples = {{"agent_opens", "answered", value(n.opens_answered)},
                       {"agent_opens", "passed_on", value(n.opens_forwarded)},
                       {"agent_requests", "accepted", value(n.requests_accepted)},
                       {"agent_requests", "refused_not_run", value(n.requests_refused_not_run)},
                       {"agent_requests", "unknown", value(n.requests_unknown)},
                       {"agent_work", "handed_to_peers", value(n.handed_to_peers)},
                       {"agent_work", "taken_from_peers", value(n.accepted_from_peers)},
                       {"agent_flows_gone", "", value(n.flow_gone_replies)},
                       {"agent_flows_moved", "", value(n.flows_moved)},
                       {"agent_events_sent", "", value(n.events_sent)},
                       {"agent_flows", "", value(sizes.flows), false},
                       {"agent_subscribers", "", value(sizes.subscribers), false},
                       {"agent_queued", "", value(sizes.queued), false},
                       {"agent_in_flight", "", value(sizes.in_flight), false},
                       {"agent_limit", "", value(sizes.limit), false},
                       {"agent_records", "", value(sizes.records), false}};
    for (std::size_t i = 0; i < n.dropped.size(); ++i) {
        message.samples.push_back(
            {"agent_dropped", std::string(agent::agent_drop_reason_names.at(i)), value(n.dropped.at(i))});
    }
}

void agent_task::collect_state_of(collect_state& message) const
{
    const auto now = core::clock::now();
    message.snapshot = m_snapshot;
    message.fleet = m_fleet;
    message.agent_state = wire::EnumNameagent_state(m_core.context().own.state);
    for (const auto& [host, peer] : m_core.context().peers) {
        message.peers.push_back({host, peer.zone, peer.link_up, peer.incarnation, peer.report,
                                 std::chrono::duration_cast<core::milliseconds>(now - peer.reported_at)});
    }
}

} // namespace daisydoor::runtime::detail
