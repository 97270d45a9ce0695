#include "daisydoor/relay/placement.hpp"

#include "daisydoor/core/rendezvous.hpp"
#include "daisydoor/relay/admission_queue.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace daisydoor::relay
{

namespace
{

/// Minimum difference in pressure for a redirect within an availability zone. Open flows aside, a host with five slots
/// and an idle peer exceeds it from the third busy slot on ((2/5)^2 = 0.16, (3/5)^2 = 0.36). Reports are up to 100 ms
/// old, so that smaller differences mean little.
constexpr double margin_in_zone = 0.25;
/// Minimum difference for a redirect to another availability zone, where bytes cost more and the path adds
/// milliseconds.
constexpr double margin_across_zones = 0.5;
/// A host that accepts no flows redirects them to the peers within this pressure of the least busy one.
constexpr double spread_when_closed = 0.3;
/// Clients send an opening packet and two copies.
constexpr std::uint32_t last_copy = 2;
/// Slope of the pressure above one request per slot; equals the slope of the square at that point.
constexpr double queue_slope = 2;

/// Order of preference among hosts: the lower group first (own availability zone before the others, avoided hosts
/// last), then the smaller distance in rendezvous hashing.
struct rank
{
    int group = std::numeric_limits<int>::max();
    double distance = 0;

    friend bool operator<(const rank& a, const rank& b) noexcept
    {
        return a.group != b.group ? a.group < b.group : a.distance < b.distance;
    }
};

/// Key of the hash that orders the hosts of a ring, the same at all agents.
constexpr std::uint64_t ring_key = 0x6c6f61645f72696e;

/// Adds the neighbours of `self` on the ring of some addresses, or all addresses if it is not one of them.
void add_ring_neighbours(std::vector<ipv4> ring, ipv4 self, std::vector<ipv4>& result)
{
    const auto position = [](ipv4 it) {
        return std::make_pair(core::rendezvous_distance(ring_key, static_cast<std::uint64_t>(it)), it);
    };
    std::sort(ring.begin(), ring.end(), [&position](ipv4 a, ipv4 b) { return position(a) < position(b); });
    // Several incarnations of a host have one agent.
    ring.erase(std::unique(ring.begin(), ring.end()), ring.end());
    const auto own = std::find(ring.begin(), ring.end(), self);
    const auto n = ring.size();
    const auto own_index = static_cast<std::size_t>(own - ring.begin());
    for (std::size_t i = 0; i < n; ++i) {
        const auto forward = (i + n - own_index) % n;
        const bool is_near = own == ring.end() || std::min(forward, n - forward) <= load_ring_reach;
        if (is_near && ring[i] != self) {
            result.push_back(ring[i]);
        }
    }
}

} // namespace

std::vector<ipv4> load_peers(const std::vector<const known_host*>& hosts, ipv4 self)
{
    std::vector<ipv4> all;
    std::vector<ipv4> in_zone;
    for (const auto* it : hosts) {
        all.push_back(it->value.address);
        if (it->in_own_zone) {
            in_zone.push_back(it->value.address);
        }
    }
    std::vector<ipv4> result;
    add_ring_neighbours(std::move(all), self, result);
    add_ring_neighbours(std::move(in_zone), self, result);
    std::sort(result.begin(), result.end());
    result.erase(std::unique(result.begin(), result.end()), result.end());
    return result;
}

const known_host* choose_host(const fleet_view& view, const known_route& route, std::uint64_t flow_hash,
                              const std::function<bool(ipv4)>& is_excluded, const std::function<bool(ipv4)>& is_avoided)
{
    constexpr int across_zones = 1;
    constexpr int other_service = 2;
    constexpr int avoided = 4;
    const auto chosen = fleet_view::choose_service(route, flow_hash);
    const known_host* result = nullptr;
    rank best;
    for (const auto& choice : route.services) {
        if (choice.weight == 0) {
            continue;
        }
        for (const auto* it : view.hosts_of(choice.service)) {
            if (!it->accepts_new_flows() || is_excluded(it->value.address)) {
                continue;
            }
            const rank candidate{(it->in_own_zone ? 0 : across_zones) + (choice.service == chosen ? 0 : other_service) +
                                     (is_avoided(it->value.address) ? avoided : 0),
                                 core::rendezvous_distance(flow_hash, it->rendezvous_key) / it->value.slots};
            if (candidate < best) {
                best = candidate;
                result = it;
            }
        }
    }
    return result;
}

const known_host* choose_likely_owner(const fleet_view& view, const known_route& route, std::uint64_t flow_hash,
                                      const std::function<bool(ipv4)>& is_avoided)
{
    constexpr int avoided = 1;
    const known_host* result = nullptr;
    rank best;
    const auto consider_host = [&](const known_host& it) {
        const rank candidate{is_avoided(it.value.address) ? avoided : 0,
                             core::rendezvous_distance(flow_hash, it.rendezvous_key)};
        if (candidate < best) {
            best = candidate;
            result = &it;
        }
    };
    const auto consider = [&](service_index service) {
        for (const auto* it : view.hosts_of(service)) {
            consider_host(*it);
        }
    };
    for (const auto& choice : route.services) {
        consider(choice.service);
    }
    for (const auto service : route.former_services) {
        consider(service);
    }
    if (result == nullptr) {
        // Any agent can search for the flow.
        for (const auto& [id, it] : view.hosts()) {
            if (it.service_configured) {
                consider_host(it);
            }
        }
    }
    return result;
}

work_scale work_scale_of(const host_load& own, const std::vector<peer_load>& peers)
{
    constexpr double thousandths = 1000;
    std::vector<std::uint32_t> means;
    const auto add = [&means](const host_load& it) {
        if (it.mean_work_us > 0) {
            means.push_back(it.mean_work_us);
        }
    };
    add(own);
    for (const auto& it : peers) {
        add(it.load);
    }
    work_scale result;
    if (!means.empty()) {
        const auto middle = means.begin() + static_cast<std::ptrdiff_t>(means.size() / 2);
        std::nth_element(means.begin(), middle, means.end());
        result.mean_us = *middle;
    }
    std::vector<double> flow_slots;
    const auto add_flow_slots = [&flow_slots](const host_load& it) {
        if (it.mean_work_us > 0 && it.open_flows > 0) {
            flow_slots.push_back(it.flow_work / (thousandths * it.open_flows));
        }
    };
    add_flow_slots(own);
    for (const auto& it : peers) {
        add_flow_slots(it.load);
    }
    if (!flow_slots.empty()) {
        const auto middle = flow_slots.begin() + static_cast<std::ptrdiff_t>(flow_slots.size() / 2);
        std::nth_element(flow_slots.begin(), middle, flow_slots.end());
        result.slots_per_flow = *middle;
    }
    return result;
}

double pressure_of(const host_load& load, std::uint32_t flows_redirected, const work_scale& scale) noexcept
{
    constexpr double thousandths = 1000;
    const double slots = std::max(load.slots, 1U);
    const bool is_known = load.mean_work_us > 0 && scale.mean_us > 0;
    const double requests =
        is_known ? (load.work_us + static_cast<double>(flows_redirected) * load.mean_work_us) / scale.mean_us
                 : load.in_flight + flows_redirected;
    // A host that fails requests at once seems fast, and its flows seem to bring little.
    const double usual_slots = scale.slots_per_flow * load.open_flows;
    const double flow_slots = is_known ? std::max(load.flow_work / thousandths, usual_slots) : usual_slots;
    const double busy = requests / slots;
    // Requests hardly wait before the last free slots are in use, so the pressure rises late.
    const double wait = busy < 1 ? busy * busy : 1 + queue_slope * (busy - 1);
    return wait + flow_slots / slots;
}

core::milliseconds age_of_copy(std::uint32_t copies) noexcept
{
    constexpr core::milliseconds first_copy{200};
    constexpr core::milliseconds second_copy{600};
    return copies == 0 ? core::milliseconds(0) : copies == 1 ? first_copy : second_copy;
}

core::milliseconds expected_wait(const host_load& own, core::milliseconds service_time) noexcept
{
    if (own.mean_work_us > 0) {
        constexpr std::int64_t us_per_ms = 1000;
        return core::milliseconds(own.work_us / (std::max(own.slots, 1U) * us_per_ms));
    }
    // The service time includes the wait at the host, which gets max_requests_beyond_slots more requests than it has
    // slots.
    return service_time * own.in_flight / (own.slots + max_requests_beyond_slots);
}

bool should_defer(const host_load& own, const std::vector<peer_load>& peers, std::uint32_t copies,
                  core::milliseconds service_time, core::milliseconds patience,
                  core::milliseconds target_latency) noexcept
{
    const bool sends_copy =
        copies < last_copy && (patience.count() == 0 || age_of_copy(copies + 1) + defer_wait < patience);
    const auto wait = expected_wait(own, service_time);
    const bool is_on_time = age_of_copy(copies) + wait + service_time < target_latency;
    return sends_copy && !is_on_time && wait >= defer_wait &&
           std::any_of(peers.begin(), peers.end(), [](const peer_load& it) { return !it.has_reported; });
}

bool outlasts_patience(const host_load& own, std::uint32_t copies, core::milliseconds service_time,
                       core::milliseconds patience) noexcept
{
    const auto wait = expected_wait(own, service_time);
    return patience.count() > 0 && wait >= service_time && wait >= patience - age_of_copy(copies);
}

const peer_load* choose_less_busy(const host_load& own, const std::vector<peer_load>& peers, std::uint64_t flow_hash)
{
    const peer_load* result = nullptr;
    double best = std::numeric_limits<double>::max();
    // A host that accepts no flows redirects them whatever the pressure of the peers, to the least busy ones.
    const auto scale = work_scale_of(own, peers);
    double limit = own.accepts ? pressure_of(own, 0, scale) : 0;
    const auto cost = [&scale](const peer_load& it) {
        return pressure_of(it.load, it.flows_redirected, scale) +
               (it.in_own_zone ? margin_in_zone : margin_across_zones);
    };
    if (!own.accepts) {
        double least = std::numeric_limits<double>::max();
        for (const auto& it : peers) {
            least = it.load.accepts ? std::min(least, cost(it)) : least;
        }
        limit = least + spread_when_closed;
    }
    for (const auto& it : peers) {
        const double headroom = limit - cost(it);
        const bool may_be_down = own.accepts && !it.has_reported;
        if (!it.load.accepts || may_be_down || headroom <= 0) {
            continue;
        }
        const auto rendezvous_key = static_cast<std::uint64_t>(it.agent);
        if (const double distance = core::rendezvous_distance(flow_hash, rendezvous_key) / headroom; distance < best) {
            best = distance;
            result = &it;
        }
    }
    return result;
}

} // namespace daisydoor::relay
