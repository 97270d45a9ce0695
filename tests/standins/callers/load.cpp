#include "standins/callers/load.hpp"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace daisydoor::standins
{

namespace
{

/// Outcomes arrive by the deadline; a request without one this much later is recorded with the outcome `none`.
constexpr core::milliseconds outcome_grace{3000};
constexpr core::milliseconds shutdown_poll_interval{50};

} // namespace

load::load(loop& events, const load_plan& plan) : m_loop(events), m_plan(plan)
{
    for (const auto& service : m_plan.services) {
        for (std::size_t i = 0; i < m_plan.sessions_per_service; ++i) {
            add_session(service, i);
        }
    }
    if (m_plan.control) {
        m_control = std::make_unique<http_server>(events, *m_plan.control,
                                                  [this](evhttp_request* request) { on_control(request); });
    }
    for (const auto& it : m_sessions) {
        it->start();
    }
    events.after(m_plan.duration, [this] { begin_shutdown(); });
    events.on_signal([this] { begin_shutdown(); });
}

void load::add_session(const load_service& service, std::size_t index)
{
    session_identity identity;
    identity.service = service.name;
    identity.address = service.address;
    identity.workspace = core::workspace_id{1 + static_cast<std::uint32_t>(index % m_plan.workspaces)};
    identity.name = service.name + "-s" + std::to_string(m_plan.seed) + '-' + std::to_string(index);
    identity.has_feed = index < m_plan.feeds_per_service;
    identity.seed = m_plan.seed * 1'000'003 + m_sessions.size();
    m_sessions.push_back(std::make_unique<load_session>(m_loop, identity, m_plan.options, m_counters));
}

void load::begin_shutdown()
{
    if (m_is_shutting_down) {
        return;
    }
    m_is_shutting_down = true;
    m_shutdown_deadline = core::clock::now() + m_plan.options.deadline + outcome_grace;
    for (const auto& it : m_sessions) {
        it->stop_requests();
    }
    m_loop.every(shutdown_poll_interval, [this] { stop_when_complete(); });
}

void load::stop_when_complete()
{
    const bool is_complete =
        std::all_of(m_sessions.begin(), m_sessions.end(), [](const auto& it) { return it->outstanding() == 0; });
    if (is_complete || core::clock::now() >= m_shutdown_deadline) {
        m_loop.stop();
    }
}

std::uint64_t load::broken_flows() const
{
    std::uint64_t result = 0;
    for (const auto& it : m_sessions) {
        result += it->broken_flows();
    }
    return result;
}

std::string load::finish()
{
    caller_record record;
    std::size_t feeds = 0;
    for (const auto& it : m_sessions) {
        it->write_to(record);
        feeds += it->has_feed() ? 1 : 0;
    }
    record.broken_flows = broken_flows();
    record.wrong_answers = m_counters.wrong_answers;
    record.repeated_outcomes = m_counters.repeated_outcomes;
    if (!m_plan.record.empty()) {
        std::ofstream out(m_plan.record);
        write_record(out, record);
        if (!out.flush()) {
            throw std::runtime_error("cannot write the record " + m_plan.record);
        }
    }
    std::ostringstream out;
    out << "callers: requests=" << m_counters.requests << " answered=" << m_counters.answered
        << " refused=" << m_counters.refused << " unknown=" << m_counters.unknown << " feeds=" << feeds
        << " gaps=" << m_counters.gaps << " repeats=" << m_counters.repeats << " broken_flows=" << record.broken_flows
        << " wrong_answers=" << m_counters.wrong_answers + m_counters.repeated_outcomes;
    return out.str();
}

void load::on_control(evhttp_request* request)
{
    const auto call = parse_request_line(request);
    if (call.is_post && call.path == "/mark") {
        for (const auto& it : m_sessions) {
            it->reset_progress();
        }
        reply(request, HTTP_OK, "ok\n");
    } else if (!call.is_post && call.path == "/stats") {
        reply(request, HTTP_OK, stats());
    } else {
        reply(request, HTTP_NOTFOUND, "");
    }
}

std::string load::stats() const
{
    std::uint64_t answers = 0;
    std::size_t without_answer = 0;
    std::size_t feeds_without_event = 0;
    for (const auto& it : m_sessions) {
        answers += it->answers_since_mark();
        without_answer += it->answers_since_mark() == 0 ? 1 : 0;
        feeds_without_event += it->has_feed() && it->events_since_mark() == 0 ? 1 : 0;
    }
    std::ostringstream out;
    out << "{\"requests\": " << m_counters.requests << ", \"answered\": " << m_counters.answered
        << ", \"refused\": " << m_counters.refused << ", \"unknown\": " << m_counters.unknown
        << ", \"events\": " << m_counters.events << ", \"failed_opens\": " << m_counters.failed_opens
        << ", \"broken_flows\": " << broken_flows() << ", \"answers_since_mark\": " << answers
        << ", \"sessions_without_answer\": " << without_answer << ", \"feeds_without_event\": " << feeds_without_event
        << "}\n";
    return out.str();
}

} // namespace daisydoor::standins
