#include "standins/common/contract.hpp"
#include "standins/target/target.hpp"

#include <chrono>
#include <event2/buffer.h>

namespace daisydoor::standins
{

namespace
{

constexpr std::size_t requests_while_cold = 20;
/// Maximum number of events that are replayed to a reconnecting agent: 10 minutes.
constexpr std::uint64_t max_replayed_events = 3000;

std::uint64_t current_event()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    return static_cast<std::uint64_t>(ms) / feed_event_interval_ms;
}

} // namespace

void target::open_feed(evhttp_request* request)
{
    const auto now = current_event();
    const auto text = header(request, "Last-Event-ID");
    const auto last = std::strtoull(text.c_str(), nullptr, 10);
    const bool is_resumed = last != 0 && last <= now && now - last <= max_replayed_events;
    evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type", "text/event-stream");
    evhttp_send_reply_start(request, HTTP_OK, "OK");
    m_feeds.push_back({request, is_resumed ? last : now, m_new_feeds_silent});
}

void target::publish_events()
{
    if (m_mode == target_mode::frozen) {
        return;
    }
    const auto now = current_event();
    for (auto& it : m_feeds) {
        if (it.is_silent || it.last >= now) {
            continue;
        }
        evbuffer* buf = evbuffer_new();
        while (it.last < now) {
            ++it.last;
            evbuffer_add_printf(buf, "id: %llu\ndata: %s\n\n", static_cast<unsigned long long>(it.last),
                                expected_event(m_options.service, it.last).c_str());
        }
        evhttp_send_reply_chunk(it.request, buf);
        evbuffer_free(buf);
    }
}

std::string target::health() const
{
    if (!m_health_override.empty()) {
        return "{\"state\": \"" + m_health_override + "\"}";
    }
    return m_mode == target_mode::draining ? "{\"state\": \"draining\"}" : "{\"state\": \"ok\"}";
}

std::string target::load() const
{
    return "{\"in_flight\": " + (m_load_override.empty() ? std::to_string(m_running) : m_load_override) + "}";
}

void target::on_control(evhttp_request* request)
{
    const auto call = parse_request_line(request);
    if (!call.is_post && call.path == "/executions") {
        reply(request, HTTP_OK, m_executions);
    } else if (!call.is_post && call.path == "/stats") {
        reply(request, HTTP_OK,
              "{\"executed\": " + std::to_string(m_executed) + ", \"cancelled\": " + std::to_string(m_cancelled) +
                  ", \"running\": " + std::to_string(m_running) + ", \"queued\": " + std::to_string(m_queue.size()) +
                  ", \"feeds\": " + std::to_string(m_feeds.size()) + "}\n");
    } else if (call.is_post && call.path == "/control") {
        const bool is_known = apply(call);
        reply(request, is_known ? HTTP_OK : HTTP_BADREQUEST,
              is_known ? "ok\n" : "unknown mode; allowed are normal, slow, cold, shedding, draining and frozen\n");
    } else {
        reply(request, HTTP_NOTFOUND, "");
    }
}

bool target::apply(const http_request_line& call)
{
    if (const auto override_text = call.find("health")) {
        m_health_override = *override_text == "true" ? "" : *override_text;
    }
    if (const auto override_text = call.find("load")) {
        m_load_override = *override_text == "true" ? "" : *override_text;
    }
    if (const auto feeds = call.find("feeds")) {
        // "silent" stops the events on open connections only; "all_silent" stops them on new connections as well.
        m_new_feeds_silent = *feeds == "all_silent";
        for (auto& it : m_feeds) {
            it.is_silent = *feeds != "normal";
        }
    }
    const auto mode = call.find("mode");
    if (!mode) {
        return true;
    }
    static const std::map<std::string, target_mode> modes{
        {"normal", target_mode::normal},     {"slow", target_mode::slow},         {"cold", target_mode::cold},
        {"shedding", target_mode::shedding}, {"draining", target_mode::draining}, {"frozen", target_mode::frozen}};
    const auto it = modes.find(*mode);
    if (it == modes.end()) {
        return false;
    }
    m_mode = it->second;
    m_slow_time = core::milliseconds(static_cast<std::int64_t>(call.number("ms", 0)));
    m_cold_requests_left = m_mode == target_mode::cold ? requests_while_cold : 0;
    if (m_mode != target_mode::frozen) {
        std::deque<evhttp_request*> unanswered;
        unanswered.swap(m_unanswered_requests);
        for (auto* request : unanswered) {
            on_request(request);
        }
    }
    return true;
}

} // namespace daisydoor::standins
