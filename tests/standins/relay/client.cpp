#include "standins/relay/client.hpp"

#include <array>
#include <sstream>

namespace daisydoor::standins::relay
{

namespace
{

constexpr int max_attempts = 3;
constexpr std::size_t answer_size = 1500;
constexpr std::array<core::milliseconds, 2> syn_copies{core::milliseconds(200), core::milliseconds(600)};
constexpr core::milliseconds syn_timeout{1400};
constexpr core::milliseconds first_retransmission{200};
constexpr core::milliseconds max_retransmission{1600};

} // namespace

client::client(loop& owner, client_options options, const router& routers, record& log, std::uint64_t seed,
               std::function<bool(const flow_id&)> is_reset_allowed)
    : m_loop(owner), m_options(std::move(options)), m_router(routers), m_record(log), m_random(seed),
      m_is_reset_allowed(std::move(is_reset_allowed)),
      m_socket(owner, m_options.address, [this](const packet& value) { on_packet(value); })
{
}

client::~client() { *m_alive = false; }

void client::run_later(core::milliseconds time, std::function<void()> fn)
{
    m_loop.after(time, [this, fn = std::move(fn), epoch = m_epoch, alive = m_alive] {
        if (*alive && epoch == m_epoch) {
            fn();
        }
    });
}

void client::start()
{
    const auto pause = static_cast<std::uint64_t>(m_options.pause.count());
    run_later(core::milliseconds(static_cast<std::int64_t>(m_random() % pause)), [this] { next_request(); });
}

void client::next_request()
{
    if (m_stopped) {
        return;
    }
    request_state next;
    next.value = {m_random() >> 8U, !m_options.long_flow};
    next.sent_at = core::clock::now();
    m_request = next;
    m_record.sent.insert(next.value.id);
    begin_attempt();
}

void client::begin_attempt()
{
    ++m_epoch;
    ++m_request->attempts;
    const auto used = std::chrono::duration_cast<core::milliseconds>(core::clock::now() - m_request->sent_at);
    run_later(std::max(m_options.deadline - used, core::milliseconds(0)), [this] {
        close_flow(false);
        finish(false);
    });
    if (m_phase == phase::open) {
        send_request(0);
        return;
    }
    m_flow = {{ip_of(m_options.address), ++m_port}, m_options.service};
    m_own_next = static_cast<std::uint32_t>(m_random());
    m_received.clear();
    m_out_of_order_data.clear();
    m_phase = phase::opening;
    send_syn(0);
    for (std::size_t i = 0; i < syn_copies.size(); ++i) {
        run_later(syn_copies.at(i), [this, i] {
            if (m_phase == phase::opening) {
                send_syn(static_cast<int>(i) + 1);
            }
        });
    }
    run_later(syn_timeout, [this] {
        if (m_phase == phase::opening) {
            fail_attempt(true);
        }
    });
}

void client::send_syn(int copy) { send(flag_syn, m_own_next, static_cast<std::uint32_t>(copy), ""); }

void client::send_request(int copy)
{
    const auto text = encode(m_request->value);
    if (copy == 0) {
        m_request->may_have_run = true;
        m_received.clear();
    }
    send(flag_ack, m_own_next, m_host_next, text);
    const auto wait = std::min(first_retransmission * (1 << std::min(copy, 3)), max_retransmission);
    run_later(wait, [this, copy] {
        if (m_phase == phase::open && m_request && m_received.empty()) {
            send_request(copy + 1);
        }
    });
}

void client::send(std::uint8_t flags, std::uint32_t sequence, std::uint32_t acknowledgement, const std::string& data)
{
    packet value;
    value.source = m_flow.first;
    value.destination = m_flow.second;
    value.flags = flags;
    value.sequence = sequence;
    value.acknowledgement = acknowledgement;
    value.data = data;
    if (const auto to = m_router.choose(m_flow)) {
        m_socket.send(*to, encode(value));
    }
}

void client::on_packet(const packet& value)
{
    const bool is_system_reset = value.has(flag_rst) && value.sum == 0;
    if (!is_system_reset && !is_intact(value)) {
        m_record.add_violation("a client got a packet with a wrong checksum");
        return;
    }
    if (value.destination.port != m_flow.first.port || m_phase == phase::idle) {
        return;
    }
    if (value.has(flag_rst)) {
        on_reset(value);
    } else if (value.has(flag_syn)) {
        if (m_phase == phase::opening) {
            m_phase = phase::open;
            m_own_next += 1;
            m_host_next = value.next_sequence();
            send_request(0);
        }
    } else if (m_phase == phase::open && !value.data.empty()) {
        on_data(value);
    }
}

void client::on_reset(const packet& value)
{
    ++m_record.resets;
    if (m_phase == phase::opening) {
        fail_attempt(true);
        return;
    }
    if (value.sum == 0 && !m_is_reset_allowed(m_flow)) {
        m_record.add_violation("an open flow from port " + std::to_string(m_flow.first.port) +
                               " was reset although its host has it");
    }
    m_phase = phase::idle;
    if (m_request) {
        fail_attempt(false);
    }
}

void client::on_data(const packet& value)
{
    m_out_of_order_data[value.sequence] = value.data;
    for (auto it = m_out_of_order_data.find(m_host_next); it != m_out_of_order_data.end();
         it = m_out_of_order_data.find(m_host_next)) {
        m_received += it->second;
        m_host_next += static_cast<std::uint32_t>(it->second.size());
        m_out_of_order_data.erase(it);
    }
    const std::uint32_t next =
        m_own_next + (m_request ? static_cast<std::uint32_t>(encode(m_request->value).size()) : 0);
    send(flag_ack, next, m_host_next, "");
    if (!m_request) {
        return;
    }
    std::istringstream in(m_received);
    std::string word;
    std::uint64_t id = 0;
    std::string service;
    in >> word >> id >> service;
    if (word == "SHED" && id == m_request->value.id) {
        m_own_next = next;
        m_received.clear();
        m_request->may_have_run = false;
        fail_attempt(true);
    } else if (word == "ANSWER" && m_received.size() >= answer_size) {
        if (id != m_request->value.id || service != m_options.service_name || m_received.size() != answer_size) {
            m_record.add_violation("request " + std::to_string(m_request->value.id) + " got a wrong answer");
        }
        m_own_next = next;
        m_received.clear();
        finish(true);
    }
}

void client::fail_attempt(bool not_run)
{
    if (m_phase != phase::open) {
        m_phase = phase::idle;
    }
    if (not_run && !m_request->may_have_run && m_request->attempts >= max_attempts) {
        m_record.reported_not_run.insert(m_request->value.id);
    }
    const bool may_repeat = !m_request->value.once || (not_run && !m_request->may_have_run);
    if (may_repeat && m_request->attempts < max_attempts) {
        begin_attempt();
    } else {
        finish(false);
    }
}

void client::finish(bool answered)
{
    ++m_epoch;
    ++(answered ? m_record.answered : m_record.failed);
    m_request.reset();
    if (!m_options.long_flow || m_phase != phase::open) {
        close_flow(true);
    }
    run_later(m_options.pause, [this] { next_request(); });
}

void client::close_flow(bool send_fin)
{
    if (m_phase == phase::open && send_fin) {
        send(flag_fin | flag_ack, m_own_next, m_host_next, "");
    }
    m_phase = phase::idle;
}

} // namespace daisydoor::standins::relay
