#include "daisydoor/caller/detail/request_tracker.hpp"

#include "daisydoor/core/fault.hpp"

#include <limits>

namespace daisydoor::caller::detail
{

namespace
{

/// Time to wait after the deadline for the agent's refusal: the agent can report `not_run` where the session itself
/// could only report `unknown`.
constexpr core::milliseconds deadline_grace{50};
constexpr std::size_t max_fetched_segments = 64;
constexpr unsigned min_unanswered_sends = 4;

wire::requestT to_wire(wire::request_kind kind, const std::string& path, const std::vector<std::uint8_t>& payload)
{
    wire::requestT body;
    body.kind = kind;
    body.path = path;
    body.payload = payload;
    return body;
}

bool fits_in_packet(const wire::requestT& request)
{
    // FlatBuffers omits fields with the value zero, so the size is measured with all fields at their maximum.
    wire::requestT body = request;
    body.number = body.acknowledged = std::numeric_limits<std::uint64_t>::max();
    body.deadline_ms = std::numeric_limits<std::uint32_t>::max();
    return wire::encode_packet({}, wire::make_packet(std::move(body))).size() <= wire::max_packet_size;
}

/// Whether a retry can succeed: the flow, the target or the peer failed, not the request itself.
bool is_retryable(wire::refusal_reason reason)
{
    return reason == wire::refusal_reason::flow_gone || reason == wire::refusal_reason::target_failed ||
           reason == wire::refusal_reason::peer_lost;
}

} // namespace

core::request_number request_tracker::add(core::time_point now, wire::request_kind kind, std::string path,
                                          std::vector<std::uint8_t> payload, core::milliseconds deadline,
                                          session_actions& actions)
{
    const core::request_number number{++m_last_number};
    tracked_request request;
    request.kind = kind;
    request.path = std::move(path);
    request.payload = std::move(payload);
    request.deadline = now + deadline;
    const bool fits = fits_in_packet(to_wire(kind, request.path, request.payload));
    const auto it = m_requests.emplace(number, std::move(request)).first;
    m_budget.on_request();
    if (!fits) {
        refuse(it, wire::refusal_kind::not_run, wire::refusal_reason::too_large, core::milliseconds{0}, actions);
    }
    return number;
}

void request_tracker::cancel(core::time_point now, core::request_number number, session_actions& actions)
{
    const auto it = m_requests.find(number);
    if (it == m_requests.end() || it->second.is_cancelling) {
        return;
    }
    if (it->second.flow == nullptr) {
        const auto kind = it->second.was_sent ? wire::refusal_kind::unknown : wire::refusal_kind::not_run;
        refuse(it, kind, wire::refusal_reason::cancelled, core::milliseconds{0}, actions);
        return;
    }
    it->second.is_cancelling = true;
    it->second.timer.start(now);
    transmit(now, it->second, actions);
}

request_tracker::request_map::iterator request_tracker::find(const session_flow& flow, std::uint64_t number_on_flow)
{
    const auto it = flow.outstanding.find(number_on_flow);
    return it != flow.outstanding.end() ? m_requests.find(it->second) : m_requests.end();
}

void request_tracker::detach(tracked_request& request)
{
    if (request.flow != nullptr) {
        request.flow->outstanding.erase(request.number_on_flow);
        request.flow = nullptr;
        request.number_on_flow = 0;
    }
    request.assembly = {};
    request.send_count = 0;
}

void request_tracker::refuse(request_map::iterator it, wire::refusal_kind kind, wire::refusal_reason reason,
                             core::milliseconds retry_after, session_actions& actions)
{
    detach(it->second);
    actions.push_back(refused{it->first, kind, reason, retry_after});
    m_requests.erase(it);
}

void request_tracker::on_answer(core::time_point now, session_flow& flow, const wire::answerT& body,
                                session_actions& actions)
{
    const auto it = find(flow, body.number);
    if (it == m_requests.end()) {
        return;
    }
    auto& request = it->second;
    const bool first = !request.assembly.is_started();
    if (!first && (body.status != request.status || body.total_size != request.total_size)) {
        return;
    }
    if (!request.assembly.add(body.segment, body.segment_count, body.payload)) {
        return;
    }
    request.status = body.status;
    request.total_size = body.total_size;
    if (!request.assembly.is_complete()) {
        // The segments of one answer arrive in quick succession; those still missing after the interval are fetched.
        if (first) {
            request.timer.start_later(now);
        }
        return;
    }
    answered outcome{it->first, request.status, request.assembly.join_and_reset()};
    if (outcome.payload.size() == request.total_size) {
        detach(request);
        actions.push_back(std::move(outcome));
        m_requests.erase(it);
    }
}

void request_tracker::on_refusal(core::time_point now, session_flow& flow, const wire::refusalT& body,
                                 session_actions& actions)
{
    const auto it = find(flow, body.number);
    if (it == m_requests.end()) {
        return;
    }
    if (body.kind == wire::refusal_kind::unknown && is_retryable(body.reason) && detach_for_retry(now, it->second)) {
        return;
    }
    const auto kind = it->second.may_have_run_on_earlier_flow ? wire::refusal_kind::unknown : body.kind;
    refuse(it, kind, body.reason, core::milliseconds{body.retry_after_ms}, actions);
}

bool request_tracker::detach_for_retry(core::time_point now, tracked_request& request)
{
    const bool retryable =
        request.kind == wire::request_kind::idempotent || core::is_active(core::fault::retry_posting);
    if (!retryable || request.is_cancelling || now >= request.deadline || !m_budget.try_spend(now)) {
        return false;
    }
    request.may_have_run_on_earlier_flow = true;
    detach(request);
    return true;
}

void request_tracker::on_flow_gone(core::time_point now, session_flow& flow, session_actions& actions)
{
    const auto lost = flow.outstanding;
    for (const auto& [number_on_flow, number] : lost) {
        const auto it = m_requests.find(number);
        if (it != m_requests.end() && !detach_for_retry(now, it->second)) {
            refuse(it, wire::refusal_kind::unknown, wire::refusal_reason::flow_gone, core::milliseconds{0}, actions);
        }
    }
}

void request_tracker::on_flow_unreachable(core::time_point now, session_flow& flow)
{
    const auto waiting = flow.outstanding;
    for (const auto& [number_on_flow, number] : waiting) {
        if (const auto it = m_requests.find(number); it != m_requests.end()) {
            detach_for_retry(now, it->second);
        }
    }
}

void request_tracker::assign(core::time_point now, core::request_number number, tracked_request& request,
                             session_flow& flow)
{
    request.flow = &flow;
    request.number_on_flow = flow.next_number++;
    flow.outstanding.emplace(request.number_on_flow, number);
    request.timer.start(now);
}

void request_tracker::transmit(core::time_point now, tracked_request& request, session_actions& actions)
{
    const auto& flow = *request.flow;
    request.timer.advance(now);
    if (request.is_cancelling) {
        wire::cancelT body;
        body.number = request.number_on_flow;
        send_on(flow.token, body, actions);
        return;
    }
    if (request.assembly.is_started()) {
        wire::fetchT body;
        body.number = request.number_on_flow;
        body.segments = request.assembly.missing(max_fetched_segments);
        send_on(flow.token, std::move(body), actions);
        return;
    }
    auto body = to_wire(request.kind, request.path, request.payload);
    body.number = request.number_on_flow;
    body.acknowledged = flow.acknowledged();
    const auto left = std::chrono::duration_cast<core::milliseconds>(request.deadline - now);
    body.deadline_ms = static_cast<std::uint32_t>(std::max<core::milliseconds::rep>(left.count(), 1));
    request.was_sent = true;
    ++request.send_count;
    send_on(flow.token, std::move(body), actions);
}

bool request_tracker::expire(core::time_point now, request_map::iterator it, session_actions& actions)
{
    const auto& request = it->second;
    const auto grace = request.flow != nullptr ? deadline_grace : core::milliseconds{0};
    if (now < request.deadline + grace) {
        return false;
    }
    const auto kind = request.was_sent ? wire::refusal_kind::unknown : wire::refusal_kind::not_run;
    refuse(it, kind, wire::refusal_reason::deadline, core::milliseconds{0}, actions);
    return true;
}

void request_tracker::on_tick(core::time_point now, session_flow* current, session_actions& actions)
{
    for (auto it = m_requests.begin(); it != m_requests.end();) {
        const auto next = std::next(it);
        auto& request = it->second;
        if (expire(now, it, actions)) {
            it = next;
            continue;
        }
        if (request.flow == nullptr && current != nullptr && current->has_free_number()) {
            assign(now, it->first, request, *current);
        }
        if (request.flow != nullptr && request.timer.is_due(now) && now < request.deadline) {
            transmit(now, request, actions);
        }
        it = next;
    }
}

void request_tracker::close(session_actions& actions)
{
    while (!m_requests.empty()) {
        const auto it = m_requests.begin();
        const auto kind = it->second.was_sent ? wire::refusal_kind::unknown : wire::refusal_kind::not_run;
        refuse(it, kind, wire::refusal_reason::cancelled, core::milliseconds{0}, actions);
    }
}

bool request_tracker::is_unanswered(const session_flow& flow) const
{
    for (const auto& [number_on_flow, number] : flow.outstanding) {
        const auto it = m_requests.find(number);
        if (it != m_requests.end() && it->second.send_count >= min_unanswered_sends &&
            !it->second.assembly.is_started()) {
            return true;
        }
    }
    return false;
}

} // namespace daisydoor::caller::detail
