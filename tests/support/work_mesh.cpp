#include "support/work_mesh.hpp"

namespace daisydoor::support
{

namespace
{

constexpr std::size_t flows_per_agent = 4;
constexpr std::uint16_t http_ok = 200;
constexpr std::uint16_t http_shed = 503;

} // namespace

work_mesh::work_mesh(std::uint64_t seed, std::size_t agents, std::uint16_t slots)
    : m_random(seed), m_snapshot(make_work_snapshot(static_cast<std::uint32_t>(agents), slots)), m_agents(agents)
{
    for (std::size_t i = 0; i < agents; ++i) {
        start_agent(i);
    }
    for (std::size_t a = 0; a < agents; ++a) {
        for (std::size_t b = a + 1; b < agents; ++b) {
            set_link(a, b, true);
        }
    }
}

void work_mesh::start_agent(std::size_t i)
{
    auto& node = m_agents[i];
    node.incarnation = m_next_incarnation++;
    node.core = std::make_unique<work_agent>(static_cast<std::uint32_t>(i + 1), node.incarnation, m_snapshot);
    node.running.clear();
}

work_mesh::request_state* work_mesh::find(std::size_t i, std::uint64_t incarnation, std::uint64_t flow,
                                          std::uint64_t number)
{
    for (auto& request : m_requests) {
        if (request.agent == i && request.incarnation == incarnation && request.flow == flow &&
            request.number == number) {
            return &request;
        }
    }
    return nullptr;
}

void work_mesh::send_to_agent(request_state& request)
{
    auto& node = m_agents[request.agent];
    if (node.incarnation != request.incarnation) {
        return;
    }
    const auto left = std::chrono::duration_cast<core::milliseconds>(request.deadline - m_now).count();
    node.core->request(m_now, work_agent::flow(request.flow, static_cast<std::uint32_t>(request.flow % 2)),
                       request.number, request.kind, static_cast<std::uint32_t>(std::max<std::int64_t>(left, 0)));
    drain_actions(request.agent);
}

void work_mesh::new_request()
{
    request_state request;
    // Most requests go to the first agent, so that it hands some over.
    request.agent = random(3) != 0 ? 0 : random(m_agents.size());
    request.incarnation = m_agents[request.agent].incarnation;
    request.flow = 1 + random(flows_per_agent);
    request.number = ++m_next_number[{request.incarnation, request.flow}];
    request.kind = random(2) == 0 ? wire::request_kind::non_idempotent : wire::request_kind::idempotent;
    request.deadline = m_now + core::milliseconds{20 + random(400)};
    m_requests.push_back(request);
    // If the first datagram is lost, a later repeat or a cancellation is the first message with this number.
    if (random(8) != 0) {
        send_to_agent(m_requests.back());
    }
}

void work_mesh::repeat_request()
{
    if (!m_requests.empty()) {
        send_to_agent(m_requests[random(m_requests.size())]);
    }
}

void work_mesh::cancel_request()
{
    if (m_requests.empty()) {
        return;
    }
    const auto request = m_requests[m_requests.size() - 1 - random(std::min<std::size_t>(m_requests.size(), 6))];
    auto& node = m_agents[request.agent];
    if (node.incarnation == request.incarnation) {
        wire::cancelT body;
        body.number = request.number;
        node.core->requests.on_cancel(m_now, work_agent::flow(request.flow), body, node.core->actions);
        drain_actions(request.agent);
    }
}

void work_mesh::acknowledge()
{
    if (m_requests.empty()) {
        return;
    }
    const auto& request = m_requests[random(m_requests.size())];
    auto& node = m_agents[request.agent];
    if (node.incarnation == request.incarnation) {
        node.core->requests.acknowledge(core::flow_id{request.flow}, core::request_number{request.number});
    }
}

void work_mesh::set_link(std::size_t a, std::size_t b, bool up)
{
    const auto link = std::minmax(a, b);
    if ((m_links.count(link) != 0) == up) {
        return;
    }
    const std::vector<std::pair<std::size_t, std::size_t>> sides{{a, b}, {b, a}};
    if (up) {
        m_links.insert(link);
        for (const auto& [self, other] : sides) {
            m_agents[self].core->peer_up(m_now, static_cast<std::uint32_t>(other + 1), m_agents[other].incarnation);
            drain_actions(self);
        }
        return;
    }
    m_links.erase(link);
    for (auto it = m_messages.begin(); it != m_messages.end();) {
        const bool on_link = std::minmax(it->from, it->to) == link;
        if (on_link && random(2) == 0) {
            it = m_messages.erase(it);
            continue;
        }
        if (on_link) {
            // The message stays in the receiver's buffer of the old link and is read after the new link is up.
            it->arrives_at = m_now + core::milliseconds{random(300)};
        }
        ++it;
    }
    for (const auto& [self, other] : sides) {
        m_agents[self].core->peer_down(m_now, static_cast<std::uint32_t>(other + 1));
        drain_actions(self);
    }
}

void work_mesh::restart(std::size_t i)
{
    for (std::size_t other = 0; other < m_agents.size(); ++other) {
        if (other != i) {
            set_link(i, other, false);
        }
    }
    start_agent(i);
}

void work_mesh::change_state()
{
    auto& own = m_agents[random(m_agents.size())].core->ctx.own;
    switch (random(5)) {
    case 0:
        own.state = wire::agent_state::draining;
        own.drain_started = m_now - core::milliseconds{random(4000)};
        break;
    case 1:
        own.state = wire::agent_state::ejected;
        break;
    case 2:
        own.awaiting_confirmation = !own.awaiting_confirmation;
        break;
    default:
        own.state = wire::agent_state::active;
        own.awaiting_confirmation = false;
        break;
    }
}

void work_mesh::start_exchange(std::size_t i, const agent::start_exchange& exchange)
{
    auto& node = m_agents[i];
    if (node.running.size() >= m_snapshot->services.front().hosts.at(i).slots) {
        m_violations.emplace_back("more exchanges than slots");
    }
    running_exchange running;
    running.ends_at = m_now + core::milliseconds{1 + random(60)};
    running.result = {agent::exchange_status::answered, http_ok,
                      std::vector<std::uint8_t>(exchange.request_id.begin(), exchange.request_id.end())};
    const auto fate = random(20);
    if (fate == 0) {
        running.result = {agent::exchange_status::connect_failed, 0, {}};
    } else if (fate == 1) {
        running.result.http_status = http_shed;
    } else if (fate == 2) {
        running.result = {agent::exchange_status::broken, 0, {}};
    }
    if (running.ends_at - m_now > exchange.timeout) {
        running.ends_at = m_now + exchange.timeout;
        running.result = {agent::exchange_status::timed_out, 0, {}};
    }
    node.running[exchange.id] = running;
    if (exchange.request_id.empty() || fate <= 1) {
        return;
    }
    unsigned long host = 0;
    unsigned long long incarnation = 0;
    unsigned long long flow = 0;
    unsigned long long number = 0;
    std::sscanf(exchange.request_id.c_str(), "%lu-%llu-%llu-%llu", &host, &incarnation, &flow, &number);
    auto* request = find(host - 1, incarnation, flow, number);
    if (request == nullptr) {
        m_violations.push_back("unknown work " + exchange.request_id);
        return;
    }
    ++request->executed;
    if (request->executed > 1 && request->kind == wire::request_kind::non_idempotent) {
        m_violations.push_back("posting ran twice: " + exchange.request_id);
    }
    if (request->replied_not_run) {
        m_violations.push_back("ran after not_run: " + exchange.request_id);
    }
}

void work_mesh::check_reply(std::size_t i, const caller_reply& reply)
{
    const auto incarnation = m_agents[i].incarnation;
    const std::string name = std::to_string(i + 1) + '-' + std::to_string(incarnation) + '-' +
                             std::to_string(reply.flow) + '-' + std::to_string(reply.number);
    auto* request = find(i, incarnation, reply.flow, reply.number);
    if (request == nullptr) {
        m_violations.push_back("told about unknown request " + name);
        return;
    }
    if (reply.answered) {
        request->replied_answer = true;
        if (std::string(reply.payload.begin(), reply.payload.end()) != name) {
            m_violations.push_back("answer of another request for " + name);
        }
    } else if (reply.kind == wire::refusal_kind::not_run) {
        request->replied_not_run = true;
        if (request->executed != 0) {
            m_violations.push_back("not_run, but it ran: " + name);
        }
    } else {
        request->replied_unknown = true;
    }
}

void work_mesh::drain_actions(std::size_t i)
{
    auto& core = *m_agents[i].core;
    for (const auto& value : core.take_replies()) {
        check_reply(i, value);
    }
    for (auto& item : core.take_peer_messages()) {
        const std::size_t to = core::raw(item.host) - 1;
        if (const auto* handover = item.message.body.Ashandover()) {
            ++m_handed_over;
            if (handover->id->home_host() != i + 1) {
                m_violations.emplace_back("second hop");
            }
        }
        if (m_links.count(std::minmax(i, to)) != 0) {
            m_messages.push_back({m_now + core::milliseconds{3}, i, to, m_agents[i].incarnation,
                                  m_agents[to].incarnation, std::move(item.message)});
        }
    }
    agent::action_list rest;
    std::swap(rest, core.actions);
    for (const auto& item : rest) {
        if (const auto* start = std::get_if<agent::start_exchange>(&item)) {
            start_exchange(i, *start);
        } else if (const auto* cancel = std::get_if<agent::cancel_exchange>(&item)) {
            // A result that the driver has already queued may arrive after the cancellation.
            if (random(2) == 0) {
                m_agents[i].running.erase(cancel->id);
            }
        }
    }
}

void work_mesh::send_reports()
{
    for (std::size_t i = 0; i < m_agents.size(); ++i) {
        auto& core = *m_agents[i].core;
        wire::load_reportT report;
        report.state = core.ctx.own.state;
        report.free_slots = static_cast<std::uint32_t>(core.requests.free_slots());
        report.queued = static_cast<std::uint32_t>(core.requests.queued());
        for (const auto& [host, peer] : core.ctx.peers) {
            if (peer.link_up) {
                core.ctx.send_to_peer(host, wire::make_peer_message(core::config_version{1}, report), core.actions);
            }
        }
        drain_actions(i);
    }
}

void work_mesh::advance(core::milliseconds time)
{
    m_now += time;
    for (std::size_t i = 0; i < m_agents.size(); ++i) {
        auto& node = m_agents[i];
        const auto running = node.running;
        for (const auto& [id, exchange] : running) {
            if (exchange.ends_at <= m_now && node.running.erase(id) != 0) {
                node.core->finish(m_now, id, exchange.result.status, exchange.result.http_status,
                                  exchange.result.payload);
                drain_actions(i);
            }
        }
    }
    std::deque<message> waiting;
    std::swap(waiting, m_messages);
    for (auto& item : waiting) {
        if (item.arrives_at > m_now) {
            m_messages.push_back(std::move(item));
        } else if (m_agents[item.to].incarnation == item.to_incarnation) {
            m_agents[item.to].core->message(m_now, static_cast<std::uint32_t>(item.from + 1), item.body);
            drain_actions(item.to);
        }
    }
    for (std::size_t i = 0; i < m_agents.size(); ++i) {
        m_agents[i].core->requests.on_tick(m_now, m_agents[i].core->actions);
        drain_actions(i);
    }
}

void work_mesh::step()
{
    const auto event = random(40);
    if (event < 20) {
        new_request();
    } else if (event < 27) {
        repeat_request();
    } else if (event < 30) {
        cancel_request();
    } else if (event < 31) {
        acknowledge();
    } else if (event < 34) {
        const auto a = random(m_agents.size());
        const auto b = (a + 1 + random(m_agents.size() - 1)) % m_agents.size();
        set_link(a, b, random(3) != 0);
    } else if (event < 35 && random(4) == 0) {
        restart(random(m_agents.size()));
    } else if (event < 36) {
        change_state();
    } else {
        send_reports();
    }
    advance(core::milliseconds{1 + random(10)});
}

void work_mesh::settle()
{
    for (std::size_t a = 0; a < m_agents.size(); ++a) {
        m_agents[a].core->ctx.own = {};
        for (std::size_t b = a + 1; b < m_agents.size(); ++b) {
            set_link(a, b, true);
        }
    }
    for (int i = 0; i < 300; ++i) {
        send_reports();
        advance(core::milliseconds{10});
    }
    // Every request has an outcome by now; a repeat gets it from the record.
    for (auto& request : m_requests) {
        send_to_agent(request);
        const bool has_reply = request.replied_answer || request.replied_not_run || request.replied_unknown;
        if (m_agents[request.agent].incarnation == request.incarnation && !has_reply) {
            m_violations.push_back("no outcome for number " + std::to_string(request.number));
        }
    }
    for (auto& node : m_agents) {
        if (node.core->requests.queued() != 0 || node.core->requests.in_flight() != 0) {
            m_violations.emplace_back("work is left after all deadlines");
        }
    }
}

} // namespace daisydoor::support
