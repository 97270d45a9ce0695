#include "support/relay_ends.hpp"

#include "daisydoor/relay/entry_relay.hpp"

#include <cstring>

namespace daisydoor::support
{

namespace
{

constexpr std::uint32_t first_client_sequence = 100;
constexpr std::uint16_t request_size = 100;
constexpr std::uint16_t answer_size = 1000;
constexpr std::uint16_t rejection_size = 50;
constexpr core::milliseconds retransmission_interval{200};
constexpr std::array<core::milliseconds, 3> opening_copies{core::milliseconds(0), core::milliseconds(200),
                                                           core::milliseconds(600)};
constexpr core::milliseconds opening_limit{1400};
constexpr core::milliseconds pause_between_attempts{50};
constexpr std::chrono::microseconds handshake_time{300};
/// The sequence numbers of a host are far from those of the others and of its former incarnations.
constexpr std::uint32_t sequences_per_host = 10'000'000;
constexpr std::uint32_t sequences_per_incarnation = 1'000'000;
constexpr std::uint32_t max_sequence_distance = 100'000;

} // namespace

wire::buffer simulated_packet::encode() const
{
    constexpr std::size_t offset_of_flags = sizeof(relay::flow_key) + 12;
    wire::buffer result(relay::opening_packet_size + value.payload_size);
    auto* out = result.data();
    std::memcpy(out, &value.flow, sizeof(value.flow));
    std::memcpy(out + sizeof(value.flow), &value.sequence, sizeof(value.sequence));
    std::memcpy(out + sizeof(value.flow) + 4, &value.acknowledgement, sizeof(value.acknowledgement));
    std::memcpy(out + sizeof(value.flow) + 8, &value.entry, sizeof(value.entry));
    const std::array<bool, 5> flags{value.syn, value.ack, value.fin, value.rst, value.bounced};
    for (std::size_t i = 0; i < flags.size(); ++i) {
        out[offset_of_flags] = static_cast<std::uint8_t>(out[offset_of_flags] | (flags.at(i) ? 1U << i : 0U));
    }
    return result;
}

simulated_packet simulated_packet::decode(wire::bytes_view bytes)
{
    simulated_packet result;
    auto& value = result.value;
    const auto* in = bytes.data;
    std::memcpy(&value.flow, in, sizeof(value.flow));
    std::memcpy(&value.sequence, in + sizeof(value.flow), sizeof(value.sequence));
    std::memcpy(&value.acknowledgement, in + sizeof(value.flow) + 4, sizeof(value.acknowledgement));
    std::memcpy(&value.entry, in + sizeof(value.flow) + 8, sizeof(value.entry));
    const auto flags = in[sizeof(value.flow) + 12];
    value.syn = (flags & 1U) != 0;
    value.ack = (flags & 2U) != 0;
    value.fin = (flags & 4U) != 0;
    value.rst = (flags & 8U) != 0;
    value.bounced = (flags & 16U) != 0;
    value.payload_size = static_cast<std::uint16_t>(bytes.size - relay::opening_packet_size);
    return result;
}

simulated_host::simulated_host(simulated_host_options options, std::uint32_t number, virtual_clock& time,
                               std::function<core::duration(const relay::flow_key&)> work_of,
                               std::function<void(const simulated_packet&)> send)
    : m_options(options), m_first_sequence(number * sequences_per_host), m_time(time), m_work_of(std::move(work_of)),
      m_send(std::move(send))
{
}

void simulated_host::restart()
{
    ++m_incarnation;
    m_cold_until = m_time.now() + m_options.cold_time;
    m_first_sequence += sequences_per_incarnation;
    m_flows.clear();
    m_queue.clear();
    m_running = 0;
}

void simulated_host::send(const relay::flow_key& key, std::uint32_t sequence, std::uint16_t size, bool syn, bool fin)
{
    simulated_packet result;
    result.value.flow = key;
    result.value.syn = syn;
    result.value.ack = true;
    result.value.fin = fin;
    result.value.sequence = sequence;
    result.value.payload_size = size;
    m_send(result);
}

void simulated_host::on_packet(const simulated_packet& packet)
{
    const auto& value = packet.value;
    const auto it = m_flows.find(value.flow);
    if (value.syn) {
        if (it == m_flows.end()) {
            m_flows[value.flow];
        }
        m_time.after(handshake_time, [this, key = value.flow, incarnation = m_incarnation] {
            if (incarnation == m_incarnation) {
                send(key, m_first_sequence, 0, true, false);
            }
        });
        return;
    }
    const bool is_known = it != m_flows.end() && value.acknowledgement - m_first_sequence < max_sequence_distance;
    if (!is_known) {
        auto returned = packet;
        returned.value.bounced = true;
        m_send(returned);
        return;
    }
    if (value.fin) {
        m_flows.erase(it);
        send(value.flow, m_first_sequence + 1 + answer_size, 0, false, true);
        return;
    }
    if (value.payload_size == 0 || it->second.requested) {
        return;
    }
    it->second.requested = true;
    if (m_running >= m_options.slots && m_queue.size() >= m_options.queue) {
        answer(value.flow, rejection_size);
        return;
    }
    m_queue.push_back(value.flow);
    run_next();
}

void simulated_host::run_next()
{
    while (m_running < m_options.slots && !m_queue.empty()) {
        const auto key = m_queue.front();
        m_queue.pop_front();
        ++m_running;
        const double factor = m_time.now() < m_cold_until ? m_options.cold_factor : 1;
        const auto work = std::chrono::duration_cast<core::duration>(m_work_of(key) * factor);
        m_time.after(work, [this, key, incarnation = m_incarnation] {
            if (incarnation != m_incarnation) {
                return;
            }
            --m_running;
            answer(key, answer_size);
            run_next();
        });
    }
}

void simulated_host::answer(const relay::flow_key& key, std::uint16_t size)
{
    if (m_flows.count(key) != 0) {
        send(key, m_first_sequence + 1, size, false, false);
    }
}

simulated_request::simulated_request(const traffic& kind, std::size_t kind_index, core::duration work,
                                     environment surroundings)
    : m_kind(kind), m_kind_index(kind_index), m_work(work), m_environment(std::move(surroundings)),
      m_sent_at(m_environment.time.now())
{
}

void simulated_request::start()
{
    m_environment.time.after(m_kind.deadline, [this] { give_up(); });
    begin_attempt();
}

void simulated_request::begin_attempt()
{
    ++m_attempts;
    m_open = false;
    m_attempt_ended = false;
    m_flow = m_environment.next_flow(m_flow);
    const auto is_waiting = [this, attempt = m_attempts] { return attempt == m_attempts && !m_open; };
    for (std::uint32_t i = 0; i < opening_copies.size(); ++i) {
        // The copies of the last attempt are sent even if the client has given up.
        m_environment.time.after(opening_copies.at(i), [this, is_waiting, i] {
            if (is_waiting()) {
                send_opening(i);
            }
        });
    }
    const auto limit = std::min(m_kind.deadline / m_kind.max_attempts, opening_limit);
    m_environment.time.after(limit, [this, is_waiting] {
        if (is_waiting() && m_attempts < m_kind.max_attempts && m_outcome == outcome::pending) {
            end_attempt(true, pause_between_attempts);
        }
    });
}

void simulated_request::give_up()
{
    if (m_outcome != outcome::pending) {
        return;
    }
    m_outcome = outcome::failed;
    if (m_open) {
        send(first_client_sequence + 1 + request_size, 0, true);
        m_environment.time.after(retransmission_interval / 2,
                                 [this] { send(first_client_sequence + 1, request_size, true); });
    }
}

void simulated_request::send_opening(std::uint32_t copies)
{
    simulated_packet result;
    result.value.flow = m_flow;
    result.value.syn = true;
    result.value.sequence = first_client_sequence;
    result.value.acknowledgement = copies;
    m_environment.send(result);
}

void simulated_request::send(std::uint32_t sequence, std::uint16_t size, bool fin)
{
    simulated_packet result;
    result.value.flow = m_flow;
    result.value.ack = true;
    result.value.fin = fin;
    result.value.sequence = sequence;
    result.value.acknowledgement = m_host_sequence;
    result.value.payload_size = size;
    m_environment.send(result);
}

void simulated_request::send_request(core::milliseconds repeat_after)
{
    send(first_client_sequence + 1, request_size, false);
    m_environment.time.after(repeat_after, [this, repeat_after, attempt = m_attempts] {
        if (m_outcome == outcome::pending && attempt == m_attempts && m_open) {
            send_request(repeat_after * 2);
        }
    });
}

void simulated_request::on_packet(const relay::packet& value)
{
    if (m_outcome != outcome::pending || m_attempt_ended || !(value.flow == m_flow)) {
        return;
    }
    if (value.rst) {
        end_attempt(!m_open, core::duration(0));
    } else if (value.syn && !m_open) {
        m_open = true;
        m_host_sequence = value.sequence + 1;
        send_request(retransmission_interval);
    } else if (value.payload_size == rejection_size) {
        end_attempt(true, core::duration(0));
    } else if (m_open && value.payload_size > 0) {
        m_host_sequence += value.payload_size;
        send(first_client_sequence + 1 + request_size, 0, true);
        m_answer_time = m_environment.time.now() - m_sent_at;
        m_outcome = m_answer_time <= m_kind.target_latency ? outcome::on_time : outcome::late;
    }
}

void simulated_request::end_attempt(bool not_run, core::duration pause)
{
    if (m_attempts >= m_kind.max_attempts || (!m_kind.repeatable && !not_run)) {
        m_outcome = outcome::failed;
        return;
    }
    m_attempt_ended = true;
    m_environment.time.after(pause, [this, attempt = m_attempts] {
        if (m_outcome == outcome::pending && attempt == m_attempts) {
            begin_attempt();
        }
    });
}

} // namespace daisydoor::support
