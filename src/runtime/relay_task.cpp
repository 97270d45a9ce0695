#include "daisydoor/runtime/detail/relay_task.hpp"

#include "daisydoor/relay/codec.hpp"
#include "daisydoor/runtime/detail/socket_address.hpp"

#include <ctime>

namespace daisydoor::runtime::detail
{

namespace
{

/// Shorter than every timeout of the decision cores.
constexpr core::milliseconds tick_interval{20};
/// A process that was paused for longer has missed changes and responses.
constexpr core::milliseconds relay_pause_threshold{700};
/// The routers of the platform, which distribute the clients' flows over the entries, stop sending to an instance
/// after two failed readiness probes, 500 ms apart.
constexpr core::milliseconds router_removal_time{1500};
/// A process that has just started counts as ready while it fetches its view: the routers probe it only twice a second,
/// and opening packets are kept until the view is there.
constexpr core::milliseconds readiness_grace{300};
/// If no packet arrives for this time, the routers have stopped sending to this instance.
constexpr core::milliseconds drain_quiet_time{300};
/// Fraction of the grace period after which a drain ends; the rest is left for exiting.
constexpr double drain_grace_fraction = 0.6;
/// Sustained rate of log lines about flow decisions; a line costs a small entry about 10 us of CPU time.
constexpr double log_lines_per_second = 40;
constexpr double log_burst_lines = 200;
/// Minimum interval between checks of the platform for lost flows, so that flows lost together share one call. It
/// delays the reset of their clients by at most this time.
constexpr core::milliseconds platform_check_interval{50};
/// Path under which a process serves its whole fleet view to other relaying processes.
constexpr const char* fleet_path = "/fleet";
/// Covers the few round trips that a view with a few hundred routes takes.
constexpr core::milliseconds fetch_timeout{700};
constexpr int status_ok = 200;
constexpr int status_not_ready = 503;

std::string to_string(relay::ipv4 value) { return ip_of(relay::endpoint_of(value, 0)); }

std::string to_string(const relay::flow_key& value)
{
    return to_string(value.client) + ':' + std::to_string(value.client_port) + '>' + to_string(value.service) + ':' +
           std::to_string(value.service_port);
}

std::vector<relay::ipv4> seeds_of(const relay_settings& process_settings)
{
    std::vector<relay::ipv4> result;
    for (const auto& it : process_settings.seeds) {
        result.push_back(relay::ipv4_of(it));
    }
    return result;
}

std::size_t encoded_size(const relay::fleet_update& value) { return relay::encode_update(value).size(); }

core::endpoint with_port(core::endpoint value, std::uint16_t port)
{
    value.port = port;
    return value;
}

/// Total time that the machine was suspended, which the steady clock does not include.
core::duration suspended_time()
{
    timespec boot{};
    timespec steady{};
    clock_gettime(CLOCK_BOOTTIME, &boot);
    clock_gettime(CLOCK_MONOTONIC, &steady);
    return std::chrono::seconds(boot.tv_sec - steady.tv_sec) + std::chrono::nanoseconds(boot.tv_nsec - steady.tv_nsec);
}

relay::agent_relay_options agent_options(const relay_settings& process_settings, relay::ipv4 self)
{
    relay::agent_relay_options result;
    result.self = self;
    result.service = process_settings.agent->service;
    result.started_at = core::clock::now();
    result.host_may_have_earlier_flows = !process_settings.first_start;
    result.flow_ttl = process_settings.flow_ttl;
    result.cold = process_settings.agent->cold;
    return result;
}

} // namespace

relay_task::relay_task(kernel& owner, const relay_settings& process_settings, store_task& store, const log_output& log)
    : m_kernel(owner), m_settings(process_settings), m_store(store), m_log(log),
      m_own_address(relay::ipv4_of(process_settings.packets)),
      m_view(process_settings.zone, process_settings.host_heartbeat,
             relay::route_history(process_settings.flow_ttl, process_settings.first_start)),
      m_sync(m_own_address, seeds_of(process_settings), m_view, &encoded_size),
      m_packets(
          owner.base(), process_settings.packets,
          [this](wire::bytes_view bytes, relay::ipv4 from) { on_client_packet(bytes, from); }, [this] { flush(); }),
      m_messages(
          owner.base(), with_port(process_settings.packets, process_settings.peer_port),
          [this](wire::bytes_view bytes, relay::ipv4 from) { on_message(bytes, from); }, [this] { flush(); }),
      m_tick(owner.base(), tick_interval, [this] { on_tick(); }),
      m_admin(owner, process_settings.admin,
              [this](const std::string& path, const auto&) { return handle_request(path); }),
      m_started_at(core::clock::now()), m_last_tick(m_started_at), m_suspended(suspended_time()),
      m_log_tokens(log_burst_lines), m_log_refilled_at(m_last_tick)
{
    if (process_settings.agent) {
        m_host_address = relay::ipv4_of(process_settings.agent->host);
        m_view.set_own_host({m_own_address, process_settings.agent->host.port, process_settings.agent->service});
        m_agent = std::make_unique<relay::agent_relay>(agent_options(process_settings, m_own_address), m_view);
        m_host_packets = std::make_unique<packet_socket>(
            owner.base(), process_settings.agent->outbound,
            [this](wire::bytes_view bytes, relay::ipv4) { on_host_packet(bytes); }, [this] { flush(); });
    } else {
        m_entry = std::make_unique<relay::entry_relay>(m_own_address, m_view);
    }
    owner.register_handler<platform_update>(task_names::role,
                                            [this](platform_update& message) { on_platform_update(message); });
}

relay_task::~relay_task() = default;

void relay_task::start()
{
    m_packets.start();
    m_messages.start();
    if (m_host_packets) {
        m_host_packets->start();
    }
    m_tick.start();
}

void relay_task::on_client_packet(wire::bytes_view bytes, relay::ipv4 from)
{
    const auto packet = platform::decode_packet(bytes, platform::packet_sender::client);
    if (!packet) {
        ++m_packets.counters().malformed;
        return;
    }
    const auto now = core::clock::now();
    m_last_packet_at = now;
    if (m_entry) {
        m_entry->on_packet(*packet, bytes, now, m_actions);
    } else {
        m_agent->on_packet(*packet, bytes, from, now, m_actions);
    }
    execute();
}

void relay_task::on_host_packet(wire::bytes_view bytes)
{
    const auto packet = platform::decode_packet(bytes, platform::packet_sender::host);
    if (!packet) {
        ++m_host_packets->counters().malformed;
        return;
    }
    m_agent->on_host_packet(*packet, bytes, core::clock::now(), m_actions);
    execute();
}

void relay_task::on_message(wire::bytes_view bytes, relay::ipv4 from)
{
    const auto message = relay::decode_message(bytes);
    if (!message) {
        ++m_malformed_messages;
        return;
    }
    const auto now = core::clock::now();
    on_fleet_message(*message, from, now);
    if (m_entry) {
        m_entry->on_message(from, *message, now, m_actions);
    } else {
        m_agent->on_message(from, *message, now, m_actions);
    }
    execute();
}

void relay_task::on_platform_update(platform_update& message)
{
    const auto now = core::clock::now();
    if (message.became_reachable) {
        m_view.on_platform_regained(now);
    }
    if (message.update) {
        on_platform_state(*message.update, message, now);
    }
    choose_read_mode(now);
    execute();
    flush();
}

void relay_task::on_platform_state(const relay::fleet_update& value, const platform_update& message,
                                   core::time_point now)
{
    const auto change = m_sync.on_platform_state(value, message.confirmed_at, now);
    if (change.is_older) {
        record_older_update(value);
    }
    handle_view_change(change, "platform", now);
    if (change.is_from_former_era) {
        // It confirms nothing, but may have had newer routes.
        return;
    }
    if (m_agent) {
        m_agent->on_view_confirmed(message.call_started_at, now, m_actions);
    }
    m_sync.on_platform_answer(message.call_started_at, now, m_actions);
    m_next_platform_check_at = now + platform_check_interval;
}

void relay_task::record_older_update(const relay::fleet_update& value)
{
    ++m_older_updates;
    write_rate_limited_log(m_older_update_log_limit, log_event::older_update_ignored,
                           "source=platform era=" + std::to_string(static_cast<std::uint64_t>(value.era)) +
                               " revision=" + std::to_string(static_cast<std::uint64_t>(value.revision)) +
                               " changes=" + std::to_string(value.changes.size()) +
                               " view_era=" + std::to_string(static_cast<std::uint64_t>(m_view.era())) +
                               " view_revision=" + std::to_string(static_cast<std::uint64_t>(m_view.revision())));
}

void relay_task::on_fleet_message(const relay::message& message, relay::ipv4 from, core::time_point now)
{
    if (const auto* subscribe = std::get_if<relay::fleet_subscribe>(&message)) {
        m_sync.on_subscribe(from, *subscribe, now, m_actions);
        if (subscribe->question != 0) {
            choose_read_mode(now);
        }
    } else if (const auto* news = std::get_if<relay::fleet_news>(&message)) {
        handle_view_change(m_sync.on_news(from, *news, now, m_actions), to_string(from), now);
        if (const auto since = m_sync.take_confirmed_since(); since && m_agent) {
            m_agent->on_view_confirmed(*since, now, m_actions);
            // Searches that began meanwhile need another confirmation.
            choose_read_mode(now);
        }
    }
}

void relay_task::handle_view_change(const relay::view_change& change, const std::string& source, core::time_point now)
{
    const std::string origin = " era=" + std::to_string(static_cast<std::uint64_t>(m_view.era())) +
                               " revision=" + std::to_string(static_cast<std::uint64_t>(m_view.revision())) +
                               " source=" + source + " age_ms=" + std::to_string(m_sync.age(now).count());
    if (change.routes) {
        write_log(log_event::routes_accepted,
                  "version=" + std::to_string(static_cast<std::uint64_t>(m_view.version())) +
                      " routes=" + std::to_string(m_view.route_count()) + origin);
    }
    if (change.hosts > 0) {
        write_log(log_event::hosts_changed, "changed=" + std::to_string(change.hosts) +
                                                " hosts=" + std::to_string(m_view.hosts().size()) + origin);
    }
    const auto details = [&origin](const std::string& zone) { return "zone=" + zone + origin; };
    for (const auto& zone : change.zones_evacuated) {
        write_log(log_event::zone_evacuated, details(zone));
    }
    for (const auto& zone : change.zones_returned) {
        write_log(log_event::evacuation_ended, details(zone));
    }
    if (change.changes_view()) {
        m_sync.on_change(now, m_actions);
    }
    if (!m_had_view && m_view.is_ready()) {
        m_had_view = true;
        if (m_entry) {
            m_entry->on_view_ready(now, m_actions);
        } else {
            m_agent->on_view_ready(now, m_actions);
        }
    }
}

void relay_task::perform(const relay::fetch_view& value)
{
    auto& client = m_fetch_clients[value.from];
    if (!client) {
        client = std::make_unique<http_client>(m_kernel, relay::endpoint_of(value.from, m_settings.admin.port));
    }
    http_request request;
    request.path = fleet_path;
    request.timeout = fetch_timeout;
    client->start(std::move(request),
                  [this, from = value.from](const http_result& response) { on_fetched(from, response); });
}

void relay_task::on_fetched(relay::ipv4 from, const http_result& response)
{
    const auto now = core::clock::now();
    const bool answered = response.outcome == http_outcome::answered && response.status == status_ok;
    const auto update = answered ? relay::decode_update({response.body.data(), response.body.size()}) : std::nullopt;
    if (!update) {
        write_log(log_event::view_fetch_failed,
                  "source=" + to_string(from) + " status=" + std::to_string(response.status));
        m_sync.on_fetch_failed();
        return;
    }
    write_log(log_event::view_fetched, "source=" + to_string(from) + " bytes=" + std::to_string(response.body.size()) +
                                           " revision=" + std::to_string(static_cast<std::uint64_t>(update->revision)));
    handle_view_change(m_sync.on_fetched(*update, now), to_string(from), now);
    execute();
    flush();
}

void relay_task::choose_read_mode(core::time_point now)
{
    const bool must_confirm =
        m_agent && m_agent->needs_confirmation(now) && m_sync.request_confirmation(now, m_actions);
    const bool needs_check = (must_confirm || m_sync.has_pending_questions()) && now >= m_next_platform_check_at;
    const auto mode = m_sync.is_reader() || !m_view.is_ready() ? relay::read_mode::watch
                      : m_sync.should_read(now) || needs_check ? relay::read_mode::check
                                                               : relay::read_mode::off;
    m_store.set_mode(mode, m_view.is_ready() ? m_view.position() : relay::store_position{});
    if (needs_check && mode == relay::read_mode::watch) {
        m_store.check_now();
    }
    if (m_view.lacks_evacuations() && m_sync.age(now) > relay::confirmation_limit) {
        m_store.read_again();
    }
}

void relay_task::detect_pause(core::time_point now)
{
    const auto suspended = suspended_time();
    const auto gap = now - m_last_tick + (suspended - m_suspended);
    m_last_tick = now;
    m_suspended = suspended;
    if (gap > relay_pause_threshold) {
        write_log(log_event::pause_detected,
                  "gap_ms=" + std::to_string(std::chrono::duration_cast<core::milliseconds>(gap).count()));
        m_sync.on_pause();
        m_store.on_pause();
    }
}

void relay_task::on_tick()
{
    const auto now = core::clock::now();
    detect_pause(now);
    if (const auto n = m_view.expire(now); n > 0) {
        write_log(log_event::hosts_changed, "lapsed=" + std::to_string(n) +
                                                " hosts=" + std::to_string(m_view.hosts().size()) +
                                                " reason=missing_after_platform_return");
        m_sync.on_change(now, m_actions);
    }
    if (const auto n = m_view.end_disputes(now); n > 0) {
        write_log(log_event::hosts_changed, "confirmed=" + std::to_string(n) +
                                                " hosts=" + std::to_string(m_view.hosts().size()) +
                                                " reason=entry_not_removed_again");
        m_sync.on_change(now, m_actions);
    }
    m_sync.on_tick(now, m_actions);
    choose_read_mode(now);
    m_store.detect_stall(now);
    if (m_entry) {
        m_entry->on_tick(now, m_actions);
    } else {
        m_agent->set_view_confirmed_at(m_sync.confirmed_at());
        m_agent->on_tick(now, m_actions);
    }
    execute();
    flush();
    if (m_drain_started_at) {
        const auto age = now - *m_drain_started_at;
        const bool is_quiet = now - m_last_packet_at > drain_quiet_time;
        if ((age > router_removal_time && is_quiet) || age > m_settings.grace * drain_grace_fraction) {
            write_log(log_event::drain_finished, "");
            m_kernel.stop(0);
        }
    }
}

void relay_task::start_drain()
{
    if (!m_drain_started_at) {
        write_log(log_event::drain_started, "");
        m_drain_started_at = core::clock::now();
        if (m_agent) {
            m_agent->start_drain();
        }
    }
}

void relay_task::execute()
{
    for (auto& it : m_actions) {
        std::visit([this](auto& value) { perform(value); }, it);
    }
    m_actions.clear();
}

void relay_task::flush()
{
    m_packets.flush();
    m_messages.flush();
    if (m_host_packets) {
        m_host_packets->flush();
    }
}

void relay_task::perform(const relay::send_to_agent& value)
{
    m_packets.queue_with_routing_state(value.agent, m_settings.packets.port, value.bytes,
                                       {value.entry, value.hops, value.path});
}

void relay_task::perform(relay::send_to_host& value)
{
    const platform::routing_state state{value.entry, 0, relay::packet_path::direct};
    if (value.owned.empty()) {
        m_host_packets->queue_with_routing_state(m_host_address, m_settings.agent->host.port, value.bytes, state);
    } else {
        m_host_packets->queue_with_routing_state(m_host_address, m_settings.agent->host.port, std::move(value.owned),
                                                 state);
    }
}

void relay_task::perform(const relay::send_to_client& value)
{
    m_packets.queue(value.client, m_settings.packets.port, value.bytes);
}

void relay_task::perform(const relay::reset_client& value)
{
    ++m_resets;
    const auto bytes = platform::encode_reset(value.flow, value.sequence);
    m_packets.queue_owned(value.flow.client, m_settings.packets.port, {bytes.begin(), bytes.end()});
}

void relay_task::perform(const relay::send_message& value)
{
    m_messages.queue_owned(value.to, m_settings.peer_port, relay::encode_message(value.value));
}

void relay_task::perform(const relay::decision_record& value)
{
    ++m_decisions.at(static_cast<std::size_t>(value.decision));
    const auto now = core::clock::now();
    const double elapsed = std::chrono::duration<double>(now - m_log_refilled_at).count();
    m_log_tokens = std::min(log_burst_lines, m_log_tokens + elapsed * log_lines_per_second);
    m_log_refilled_at = now;
    if (m_log_tokens < 1) {
        ++m_log_suppressed;
        return;
    }
    m_log_tokens -= 1;
    std::string details =
        "decision=" + std::string(relay::decision_names.at(static_cast<std::size_t>(value.decision))) +
        " flow=" + to_string(value.flow) + " agent=" + to_string(value.agent) + " hops=" + std::to_string(value.hops) +
        " in_flight=" + std::to_string(value.load.in_flight) + " open=" + std::to_string(value.load.open_flows) +
        " slots=" + std::to_string(value.load.slots) + " reason=" + std::string(value.reason) +
        " version=" + std::to_string(static_cast<std::uint64_t>(m_view.version())) +
        " revision=" + std::to_string(static_cast<std::uint64_t>(m_view.revision()));
    if (value.waited.count() > 0) {
        details += " waited_ms=" + std::to_string(value.waited.count());
    }
    if (m_log_suppressed > 0) {
        details += " suppressed=" + std::to_string(std::exchange(m_log_suppressed, 0));
    }
    write_log(log_event::flow_decision, details);
}

bool relay_task::is_ready() const
{
    const bool is_starting = core::clock::now() - m_started_at < readiness_grace;
    return (m_view.is_ready() || is_starting) && !m_drain_started_at;
}

http_response relay_task::handle_request(const std::string& path)
{
    if (path == platform::readiness_path) {
        return is_ready() ? http_response{status_ok, "text/plain", "ready\n"}
                          : http_response{status_not_ready, "text/plain", "not ready\n"};
    }
    if (path == "/metrics") {
        return {status_ok, prometheus_type, metrics_text()};
    }
    if (path == fleet_path && m_view.is_ready()) {
        const auto bytes = relay::encode_update(m_view.snapshot(core::clock::now()));
        return {status_ok, "application/octet-stream", {bytes.begin(), bytes.end()}};
    }
    if (path == "/dump") {
        return {status_ok, json_type, dump()};
    }
    return path_not_found();
}

} // namespace daisydoor::runtime::detail
