#include "daisydoor/relay/load_exchange.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace daisydoor::relay
{

load_exchange::load_exchange(ipv4 self, std::string service, const fleet_view& view)
    : m_self(self), m_service(std::move(service)), m_view(view)
{
}

host_load load_exchange::own_load(bool accepts) const noexcept
{
    constexpr double us_per_ms = 1000;
    constexpr double thousandths = 1000;
    host_load result{m_in_flight, m_open_flows, slots(), accepts};
    result.mean_work_us = static_cast<std::uint32_t>(m_work.mean_ms() * us_per_ms);
    if (result.mean_work_us > 0) {
        result.work_us = static_cast<std::uint32_t>(m_work.work_left_ms() * us_per_ms);
        result.flow_work = static_cast<std::uint32_t>(m_work.slots_per_idle_flow() * m_open_flows * thousandths);
    }
    return result;
}

void load_exchange::add_request(const flow_key& flow, core::time_point now)
{
    ++m_in_flight;
    m_work.on_expected(flow, now);
}

void load_exchange::on_delivered(const flow_key& flow, bool is_further, core::time_point now)
{
    m_work.on_delivered(flow, is_further, slots(), now);
}

void load_exchange::end_request(const flow_key& flow, core::time_point now)
{
    --m_in_flight;
    m_work.on_ended(flow, slots(), now);
}

void load_exchange::advance(core::time_point now) noexcept
{
    m_work.set_idle_flows(m_open_flows > m_in_flight ? m_open_flows - m_in_flight : 0, now);
}

std::uint32_t load_exchange::slots() const noexcept
{
    const auto* own = m_view.find_host(m_self);
    return own != nullptr ? own->value.slots : 1;
}

void load_exchange::on_report(ipv4 from, const host_load& load, core::time_point now)
{
    m_reports[static_cast<std::uint32_t>(from)] = {load, now, 0};
}

void load_exchange::report(const host_load& current, core::time_point now, actions& out)
{
    update_peers(now);
    const auto scale = work_scale_of(current, {});
    const double change = pressure_of(current, 0, scale) - pressure_of(m_last_report, 0, scale);
    const bool is_changed = std::abs(change) >= report_threshold || current.accepts != m_last_report.accepts;
    if (now < m_next_report || (!is_changed && now < m_next_idle_report)) {
        return;
    }
    m_next_report = now + report_interval;
    m_next_idle_report = now + idle_report_interval;
    m_last_report = current;
    for (const auto it : m_peers) {
        out.push_back(send_message{it, current});
    }
}

void load_exchange::update_peers(core::time_point now)
{
    advance(now);
    if (m_peers_revision == m_view.revision()) {
        return;
    }
    const auto own = m_view.find_service(m_service);
    if (!own) {
        return;
    }
    m_peers_revision = m_view.revision();
    auto peers = load_peers(m_view.hosts_of(*own), m_self);
    if (peers != m_peers) {
        // New peers redirect no flows here before they have the load of this host.
        m_next_report = now;
        m_next_idle_report = now;
        m_peers = std::move(peers);
    }
}

std::size_t load_exchange::peer_count() const
{
    return static_cast<std::size_t>(
        std::count_if(m_peers.begin(), m_peers.end(), [this](ipv4 peer) { return !m_view.is_evacuated(peer); }));
}

std::size_t load_exchange::closed_peer_count() const
{
    const auto is_closed = [this](ipv4 peer) {
        const auto found = m_reports.find(static_cast<std::uint32_t>(peer));
        return found != m_reports.end() && !found->second.load.accepts && !m_view.is_evacuated(peer);
    };
    return static_cast<std::size_t>(std::count_if(m_peers.begin(), m_peers.end(), is_closed));
}

std::vector<peer_load> load_exchange::usable_peers(const known_route& route, const flow_key& flow, bool own_accepts,
                                                   core::time_point now) const
{
    auto result = gather_peers(route, flow, false, now);
    const bool any_accepts =
        own_accepts || std::any_of(result.begin(), result.end(), [](const peer_load& it) { return it.load.accepts; });
    return any_accepts ? result : gather_peers(route, flow, true, now);
}

std::vector<peer_load> load_exchange::gather_peers(const known_route& route, const flow_key& flow, bool all,
                                                   core::time_point now) const
{
    const auto own = m_view.find_service(m_service);
    std::vector<peer_load> result;
    const auto add = [&](service_index service) {
        for (const auto* it : m_view.hosts_of(service)) {
            const auto address = it->value.address;
            const bool exchanges_load =
                all || service != own || std::binary_search(m_peers.begin(), m_peers.end(), address);
            if (it->accepts_new_flows() && address != m_self && exchanges_load) {
                result.push_back(last_report_of(*it, now));
            }
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

peer_load load_exchange::last_report_of(const known_host& host, core::time_point now) const
{
    peer_load result{host.value.address, {0, 0, host.value.slots, true}, host.in_own_zone, 0, false};
    // A peer that never reported may have just started, or serve another service of the route.
    if (const auto found = m_reports.find(static_cast<std::uint32_t>(host.value.address)); found != m_reports.end()) {
        result.load = found->second.load;
        result.flows_redirected = found->second.flows_redirected;
        result.has_reported = now - found->second.at < peer_report_timeout;
        result.load.accepts = result.load.accepts && result.has_reported;
    }
    return result;
}

} // namespace daisydoor::relay
