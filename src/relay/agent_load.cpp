#include "daisydoor/relay/agent_relay.hpp"

#include <algorithm>
#include <cmath>

namespace daisydoor::relay
{

namespace
{

/// Time for which a closed flow stays in the table: both ends retransmit their last packets for up to 1.6 s.
constexpr core::milliseconds closed_flow_time{3000};
/// A pending request no longer counts as load when its client's patience and this time are over: the client gave up
/// without closing the flow.
constexpr core::milliseconds abandoned_request_slack{300};
/// Patience of the clients of a route without a timeout.
constexpr core::milliseconds default_patience{5000};
/// A host returns a packet of an unknown flow at once; if it has not done so within this time, it has the flow.
constexpr core::milliseconds probing_time{200};

} // namespace

void agent_relay::clear_host_suspicion(core::time_point now, actions& out)
{
    m_unanswered_openings = 0;
    if (m_suspected) {
        m_suspected = false;
        m_next_report = now;
        out.push_back(decision_record{decision::host_answers, {}, m_options.self, 0, load(), ""});
    }
}

void agent_relay::report(core::time_point now, actions& out)
{
    update_load_peers(now);
    const auto current = load();
    const double change = pressure_of(current, 0) - pressure_of(m_last_report, 0);
    const bool is_changed = std::abs(change) >= report_threshold || current.accepts != m_last_report.accepts;
    if (now < m_next_report || (!is_changed && now < m_next_idle_report)) {
        return;
    }
    m_next_report = now + report_interval;
    m_next_idle_report = now + idle_report_interval;
    m_last_report = current;
    for (const auto it : m_load_peers) {
        out.push_back(send_message{it, current});
    }
}

void agent_relay::update_load_peers(core::time_point now)
{
    if (m_load_peers_revision == m_view.revision()) {
        return;
    }
    const auto own = m_view.find_service(m_options.service);
    if (!own) {
        return;
    }
    m_load_peers_revision = m_view.revision();
    auto peers = load_peers(m_view.hosts_of(*own), m_options.self);
    if (peers != m_load_peers) {
        // New peers redirect no flows here before they have the load of this host.
        m_next_report = now;
        m_next_idle_report = now;
        m_load_peers = std::move(peers);
    }
}

void agent_relay::sweep(core::time_point now)
{
    const auto idle = m_view.idle_timeout();
    for (auto it = m_flows.begin(); it != m_flows.end();) {
        auto& record = it->second;
        const auto age = now - record.last_activity_at;
        if (is_abandoned(it->first, record, now)) {
            set_request_pending(it->first, record, false, now);
        }
        if (record.phase == flow_phase::probing && now - record.phase_started_at > probing_time && !m_suspected) {
            set_phase(record, flow_phase::established, now);
        }
        const bool is_closed = record.client_fin && record.host_fin && age > closed_flow_time;
        const bool is_lost = record.phase == flow_phase::lost && age > lost_flow_time;
        const bool is_stuck = record.phase == flow_phase::opening && age > closed_flow_time;
        if (is_closed || is_lost || is_stuck || age > idle) {
            set_request_pending(it->first, record, false, now);
            set_phase(record, flow_phase::lost, now);
            it = m_flows.erase(it);
        } else {
            ++it;
        }
    }
}

bool agent_relay::is_abandoned(const flow_key& flow, const flow_record& record, core::time_point now) const
{
    if (!record.request_pending || m_admission.is_waiting(flow)) {
        return false;
    }
    const auto known = patience_of(flow);
    const auto patience = known.count() > 0 ? known : default_patience;
    return now - record.request_pending_since > patience + abandoned_request_slack;
}

void agent_relay::send_flow_found(const flow_key& flow, ipv4 entry, actions& out)
{
    if (entry != ipv4{}) {
        out.push_back(send_message{entry, flow_found{flow, load()}});
    }
}

void agent_relay::set_request_pending(const flow_key& flow, flow_record& record, bool request_pending,
                                      core::time_point now)
{
    if (record.request_pending != request_pending) {
        record.request_pending = request_pending;
        m_in_flight += request_pending ? 1 : -1;
    }
    if (request_pending) {
        record.request_pending_since = now;
        return;
    }
    record.in_service = false;
    m_admission.on_request_ended(flow);
}

void agent_relay::record_client_waits(const flow_key& flow, const flow_record& record, core::time_point now)
{
    const auto age = std::chrono::duration_cast<core::milliseconds>(now - record.request_sent_at);
    m_profile.on_client_waits(flow, age, now);
}

core::milliseconds agent_relay::patience_of(const flow_key& flow) const
{
    const auto* route = m_view.find_route(flow.service, flow.service_port);
    return route != nullptr ? m_profile.patience(flow, route->value.timeout) : core::milliseconds(0);
}

void agent_relay::set_phase(flow_record& record, flow_phase phase, core::time_point now) noexcept
{
    const bool was_open = is_open(record);
    record.phase = phase;
    record.phase_started_at = now;
    if (phase != flow_phase::searching && phase != flow_phase::unconfirmed) {
        record.search_packet = {};
    }
    m_open_flows += (is_open(record) ? 1 : 0) - (was_open ? 1 : 0);
}

void agent_relay::set_fin_seen(flow_record& record, bool client_fin, bool host_fin) noexcept
{
    const bool was_open = is_open(record);
    record.client_fin = client_fin;
    record.host_fin = host_fin;
    m_open_flows += (is_open(record) ? 1 : 0) - (was_open ? 1 : 0);
}

bool agent_relay::is_open(const flow_record& record) noexcept
{
    return record.phase == flow_phase::established && !record.client_fin && !record.host_fin;
}

host_load agent_relay::load() const noexcept { return {m_in_flight, m_open_flows, slots(), accepts()}; }

std::uint32_t agent_relay::slots() const noexcept
{
    const auto* own = m_view.find_host(m_options.self);
    return own != nullptr ? own->value.slots : 1;
}

bool agent_relay::accepts() const noexcept
{
    const auto* own = m_view.find_host(m_options.self);
    return !m_draining && !m_suspected && own != nullptr && own->accepts_new_flows() && !is_avoided();
}

bool agent_relay::is_avoided() const noexcept
{
    if (!m_health.is_failing()) {
        return false;
    }
    const auto is_closed = [this](ipv4 peer) {
        const auto found = m_peer_loads.find(static_cast<std::uint32_t>(peer));
        return found != m_peer_loads.end() && !found->second.load.accepts;
    };
    const auto avoided = std::count_if(m_load_peers.begin(), m_load_peers.end(), is_closed);
    return may_avoid(static_cast<std::size_t>(avoided), m_load_peers.size() + 1);
}

void agent_relay::record_request_outcome(bool answered, std::string_view failure, const flow_key& flow,
                                         core::time_point now, actions& out)
{
    const bool was_failing = m_health.is_failing();
    m_health.on_outcome(answered, now);
    if (m_health.is_failing() != was_failing) {
        out.push_back(decision_record{was_failing ? decision::host_answers : decision::host_suspected, flow,
                                      m_options.self, 0, load(), was_failing ? "recovered" : failure});
    }
}

std::vector<peer_load> agent_relay::usable_peers(const known_route& route, const flow_key& flow, bool own_accepts,
                                                 core::time_point now) const
{
    auto result = gather_peers(route, flow, false, now);
    const bool any_accepts =
        own_accepts || std::any_of(result.begin(), result.end(), [](const peer_load& it) { return it.load.accepts; });
    return any_accepts ? result : gather_peers(route, flow, true, now);
}

std::vector<peer_load> agent_relay::gather_peers(const known_route& route, const flow_key& flow, bool all,
                                                 core::time_point now) const
{
    const auto own = m_view.find_service(m_options.service);
    std::vector<peer_load> result;
    const auto add = [&](service_index service) {
        for (const auto* it : m_view.hosts_of(service)) {
            const auto address = it->value.address;
            const bool exchanges_load =
                all || service != own || std::binary_search(m_load_peers.begin(), m_load_peers.end(), address);
            if (!it->accepts_new_flows() || address == m_options.self || !exchanges_load) {
                continue;
            }
            peer_load entry{address, {0, 0, it->value.slots, true}, it->in_own_zone, 0, false};
            // A peer that never reported may have just started, or serve another service of the route.
            if (const auto found = m_peer_loads.find(static_cast<std::uint32_t>(address));
                found != m_peer_loads.end()) {
                entry.load = found->second.load;
                entry.flows_redirected = found->second.flows_redirected;
                entry.has_reported = now - found->second.at < peer_report_timeout;
                entry.load.accepts = entry.load.accepts && entry.has_reported;
            }
            result.push_back(entry);
        }
    };
    // The flow stays in the service that the route's weights choose as long as that service has a host.
    const auto chosen = fleet_view::choose_service(route, hash_of(flow));
    add(chosen);
    if (result.empty()) {
        for (const auto& choice : route.services) {
            if (choice.weight > 0 && choice.service != chosen) {
                add(choice.service);
            }
        }
    }
    return result;
}

} // namespace daisydoor::relay
