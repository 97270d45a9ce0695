#include "daisydoor/relay/admission_queue.hpp"

#include <algorithm>
#include <tuple>

namespace daisydoor::relay
{

namespace
{

/// Clients retransmit a request after this time, then after double the former time up to the maximum.
constexpr core::milliseconds first_retransmission{200};
constexpr core::milliseconds max_retransmission{1600};
/// Allows for the delay of a retransmission on its way.
constexpr core::milliseconds retransmission_slack{100};

core::milliseconds next_retransmission(std::uint32_t retransmissions) noexcept
{
    constexpr std::uint32_t doublings = 3;
    return std::min(first_retransmission * (1U << std::min(retransmissions, doublings)), max_retransmission);
}

bool patience_is_over(const request_urgency& urgency, core::time_point now) noexcept
{
    return urgency.patience.count() > 0 && now >= urgency.sent_at + urgency.patience;
}

} // namespace

bool admission_queue::on_request(const flow_key& flow, const request_urgency& urgency, std::uint32_t sequence,
                                 wire::bytes_view bytes, std::uint32_t slots, core::time_point now)
{
    expire_slow_requests(now);
    const bool has_room = m_waiting.empty() && m_in_service.size() < slots + max_requests_beyond_slots;
    if (has_room || m_waiting.size() >= max_waiting_requests) {
        m_in_service.push_back({flow, now});
        return true;
    }
    if (m_waiting.empty()) {
        m_shares.on_idle();
        m_releases = 0;
    }
    auto& entry = m_waiting[flow];
    entry.urgency = urgency;
    entry.arrived_at = now;
    entry.last_packet_at = now;
    entry.arrival_number = m_next_number++;
    entry.share_start = m_shares.add(flow.client);
    entry.packets.emplace_back(bytes.data, bytes.data + bytes.size);
    entry.sequences.push_back(sequence);
    return false;
}

bool admission_queue::is_on_time(const request_urgency& urgency, core::time_point now) const noexcept
{
    return now + m_service_time < urgency.sent_at + urgency.target_latency;
}

bool admission_queue::client_has_left(const waiting_request& request, core::time_point now) noexcept
{
    const auto silence = now - request.last_packet_at;
    return patience_is_over(request.urgency, now) &&
           silence > next_retransmission(request.retransmissions) + retransmission_slack;
}

bool admission_queue::on_further_packet(const flow_key& flow, std::uint32_t sequence, wire::bytes_view bytes,
                                        core::time_point now)
{
    const auto it = m_waiting.find(flow);
    if (it == m_waiting.end()) {
        return true;
    }
    auto& entry = it->second;
    entry.last_packet_at = now;
    const bool is_copy = std::find(entry.sequences.begin(), entry.sequences.end(), sequence) != entry.sequences.end();
    if (is_copy) {
        ++entry.retransmissions;
    } else if (entry.packets.size() < max_waiting_packets) {
        entry.packets.emplace_back(bytes.data, bytes.data + bytes.size);
        entry.sequences.push_back(sequence);
    }
    return false;
}

void admission_queue::on_request_ended(const flow_key& flow)
{
    m_waiting.erase(flow);
    const auto it = std::find_if(m_in_service.begin(), m_in_service.end(),
                                 [&flow](const active_request& it) { return it.flow == flow; });
    if (it != m_in_service.end()) {
        m_in_service.erase(it);
    }
}

std::vector<admission_queue::released_request> admission_queue::release(std::uint32_t slots, core::time_point now)
{
    std::vector<released_request> result;
    if (m_waiting.empty()) {
        return result;
    }
    expire_slow_requests(now);
    drop_expired(now);
    while (!m_waiting.empty() && m_in_service.size() < slots + max_requests_beyond_slots) {
        const auto it = choose_next(now);
        m_shares.on_released(it->second.share_start);
        const auto waited = std::chrono::duration_cast<core::milliseconds>(now - it->second.arrived_at);
        result.push_back({it->first, std::move(it->second.packets), waited});
        m_in_service.push_back({it->first, now});
        m_waiting.erase(it);
    }
    return result;
}

admission_queue::waiting_map::iterator admission_queue::choose_next(core::time_point now)
{
    if (++m_releases >= last_chance_interval) {
        const auto rank = [this, now](const auto& it) {
            return std::make_pair(!is_last_chance(it.second.urgency, now), it.second.arrival_number);
        };
        const auto it = std::min_element(m_waiting.begin(), m_waiting.end(),
                                         [&rank](const auto& a, const auto& b) { return rank(a) < rank(b); });
        if (is_last_chance(it->second.urgency, now)) {
            m_releases = 0;
            return it;
        }
    }
    return std::min_element(m_waiting.begin(), m_waiting.end(),
                            [this, now](const auto& a, const auto& b) { return precedes(a.second, b.second, now); });
}

bool admission_queue::is_last_chance(const request_urgency& urgency, core::time_point now) const noexcept
{
    const auto age = now - urgency.sent_at;
    return urgency.patience.count() > 0 && age >= urgency.patience * last_chance_age &&
           age + m_service_time < urgency.patience;
}

bool admission_queue::precedes(const waiting_request& a, const waiting_request& b, core::time_point now) const
{
    const auto rank = [this, now](const waiting_request& it) {
        return std::make_tuple(patience_is_over(it.urgency, now), !is_on_time(it.urgency, now), it.urgency.priority,
                               m_shares.excess(it.share_start), it.arrival_number);
    };
    return rank(a) < rank(b);
}

std::array<std::size_t, reported_priorities> admission_queue::waiting_by_priority() const noexcept
{
    std::array<std::size_t, reported_priorities> result{};
    for (const auto& [flow, request] : m_waiting) {
        ++result.at(std::min<std::size_t>(request.urgency.priority, reported_priorities - 1));
    }
    return result;
}

void admission_queue::expire_slow_requests(core::time_point now)
{
    const auto timeout =
        std::clamp(m_service_time * service_slot_factor, min_service_slot_timeout, max_service_slot_timeout);
    while (!m_in_service.empty() && now - m_in_service.front().since > timeout) {
        m_in_service.pop_front();
    }
}

void admission_queue::drop_expired(core::time_point now)
{
    for (auto it = m_waiting.begin(); it != m_waiting.end();) {
        if (!client_has_left(it->second, now)) {
            ++it;
            continue;
        }
        m_dropped.push_back({it->first, it->second.sequences.front(),
                             std::chrono::duration_cast<core::milliseconds>(now - it->second.arrived_at)});
        it = m_waiting.erase(it);
    }
}

} // namespace daisydoor::relay
