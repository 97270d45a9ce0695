#include "standins/relay/host.hpp"

#include <sstream>

namespace daisydoor::standins::relay
{

namespace
{

constexpr core::milliseconds first_retransmission{200};
constexpr int max_retransmissions = 8;
constexpr std::size_t max_queue = 20;
/// Answers take two packets, so that one may be lost and the order may change.
constexpr std::size_t answer_size = 1500;
constexpr std::size_t max_data = 1200;

} // namespace

std::string encode(const request& value)
{
    return "REQUEST " + std::to_string(value.id) + (value.once ? " once" : " many");
}

std::optional<request> decode_request(const std::string& text)
{
    std::istringstream in(text);
    std::string word;
    std::string mode;
    request result;
    if (!(in >> word >> result.id >> mode) || word != "REQUEST") {
        return std::nullopt;
    }
    result.once = mode == "once";
    return result;
}

host::host(loop& owner, host_options options, record& log)
    : m_loop(owner), m_options(std::move(options)), m_record(log),
      m_socket(owner, m_options.app, [this](const packet& value) { on_packet(value); }),
      m_next_sequence(static_cast<std::uint32_t>(std::hash<std::string>()(m_options.id)))
{
}

host::~host() { *m_alive = false; }

bool host::has_open_flow(const flow_id& id) const
{
    const auto it = m_flows.find(id);
    return it != m_flows.end() && it->second.open && !it->second.ended;
}

void host::on_packet(const packet& value)
{
    if (!is_intact(value)) {
        m_record.add_violation("host " + m_options.id + " got a packet with a wrong checksum");
        return;
    }
    const flow_id id{value.source, value.destination};
    const auto it = m_flows.find(id);
    if (value.has(flag_syn)) {
        on_open(value, id);
        return;
    }
    // An acknowledgement further than 100,000 from the host's sequence number belongs to a flow of another host.
    const bool is_known = it != m_flows.end() && value.acknowledgement - it->second.own_next + 100'000 < 200'000;
    if (!is_known) {
        m_socket.send(m_options.outbound, encode_returned(value));
        return;
    }
    auto& entry = it->second;
    entry.open = true;
    if (!entry.unacknowledged.empty() && value.acknowledgement == entry.own_next) {
        entry.unacknowledged.clear();
    }
    if (!value.data.empty()) {
        on_data(value, id, entry);
    }
    if (value.has(flag_fin)) {
        entry.client_next = value.next_sequence();
        send(id, entry, flag_ack | (entry.ended ? 0 : flag_fin), "", entry.own_next);
        entry.ended = true;
    }
}

void host::on_open(const packet& value, const flow_id& id)
{
    auto [it, added] = m_flows.try_emplace(id);
    auto& entry = it->second;
    if (added) {
        ++m_accepted_flows;
        m_next_sequence = m_next_sequence * 1'664'525U + 1'013'904'223U;
        entry.own_next = m_next_sequence + 1;
        entry.client_next = value.next_sequence();
    }
    if (!entry.ended) {
        send(id, entry, flag_syn | flag_ack, "", entry.own_next - 1);
    }
}

void host::on_data(const packet& value, const flow_id& id, flow& entry)
{
    if (entry.ended) {
        send(id, entry, flag_rst, "", entry.own_next);
        return;
    }
    if (value.sequence != entry.client_next) {
        // A copy: acknowledged again, but not run again.
        send(id, entry, flag_ack, "", entry.own_next);
        return;
    }
    entry.client_next = value.next_sequence();
    send(id, entry, flag_ack, "", entry.own_next);
    const auto request_value = decode_request(value.data);
    if (!request_value || m_record.sent.count(request_value->id) == 0) {
        m_record.add_violation("host " + m_options.id + " got a request that no client sent");
        return;
    }
    m_queue.push_back({id, *request_value});
    if (m_queue.size() > max_queue) {
        m_queue.pop_back();
        const std::string shed = "SHED " + std::to_string(request_value->id);
        entry.unacknowledged = shed;
        entry.own_next += static_cast<std::uint32_t>(shed.size());
        send(id, entry, flag_ack, shed, entry.own_next - static_cast<std::uint32_t>(shed.size()));
        return;
    }
    start_work();
}

void host::start_work()
{
    while (m_busy < m_options.slots && !m_queue.empty()) {
        const auto next = m_queue.front();
        m_queue.pop_front();
        ++m_busy;
        if (++m_record.runs[next.request_value.id] > 1 && next.request_value.once) {
            m_record.add_violation("request " + std::to_string(next.request_value.id) +
                                   " ran more than once, but may run only once");
        }
        if (m_record.reported_not_run.count(next.request_value.id) != 0) {
            m_record.add_violation("request " + std::to_string(next.request_value.id) +
                                   " ran although its client was told that it had not run");
        }
        m_loop.after(m_options.work, [this, next, alive = m_alive] {
            if (*alive) {
                --m_busy;
                finish(next);
                start_work();
            }
        });
    }
}

void host::finish(const work& value)
{
    const auto it = m_flows.find(value.id);
    if (it == m_flows.end() || it->second.ended) {
        return;
    }
    std::string answer = "ANSWER " + std::to_string(value.request_value.id) + ' ' + m_options.service + ' ';
    answer.resize(answer_size, '.');
    it->second.unacknowledged = answer;
    it->second.retransmissions = 0;
    it->second.own_next += static_cast<std::uint32_t>(answer.size());
    retransmit(value.id);
}

void host::retransmit(const flow_id& id)
{
    const auto it = m_flows.find(id);
    if (it == m_flows.end() || it->second.unacknowledged.empty() || it->second.ended) {
        return;
    }
    auto& entry = it->second;
    const auto first = entry.own_next - static_cast<std::uint32_t>(entry.unacknowledged.size());
    for (std::size_t i = 0; i < entry.unacknowledged.size(); i += max_data) {
        send(id, entry, flag_ack, entry.unacknowledged.substr(i, max_data), first + static_cast<std::uint32_t>(i));
    }
    if (++entry.retransmissions > max_retransmissions) {
        return;
    }
    const auto wait =
        std::min(first_retransmission * (1 << std::min(entry.retransmissions - 1, 3)), core::milliseconds(1600));
    m_loop.after(wait, [this, id, end = entry.own_next, alive = m_alive] {
        if (*alive && m_flows.count(id) != 0 && m_flows.at(id).own_next == end) {
            retransmit(id);
        }
    });
}

void host::send(const flow_id& id, const flow& entry, std::uint8_t flags, const std::string& data,
                std::uint32_t sequence) const
{
    packet value;
    value.source = id.second;
    value.destination = id.first;
    value.flags = flags;
    value.sequence = sequence;
    value.acknowledgement = entry.client_next;
    value.data = data;
    m_socket.send(m_options.outbound, encode(value));
}

} // namespace daisydoor::standins::relay
