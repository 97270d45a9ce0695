#include "standins/platform/platform.hpp"

#include <sstream>

namespace daisydoor::standins
{

namespace
{

constexpr core::milliseconds poll_interval{50};
constexpr core::milliseconds default_slow_delay{500};
const std::string values_prefix = "/values/";

void send_value(evhttp_request* request, const published_value& value)
{
    evhttp_add_header(evhttp_request_get_output_headers(request), "X-Version", std::to_string(value.version).c_str());
    reply(request, HTTP_OK, value.content);
}

} // namespace

platform::platform(loop& events, const platform_options& options)
    : m_loop(events), m_options(options), m_values(options.folder)
{
    m_values.refresh();
    m_control = std::make_unique<http_server>(events, options.control,
                                              [this](evhttp_request* request) { on_control(request); });
    open_service();
    events.every(poll_interval, [this] {
        if (m_mode != platform_mode::stale) {
            m_values.refresh();
        }
        answer_due_watches();
    });
}

void platform::open_service()
{
    if (!m_service) {
        m_service = std::make_unique<http_server>(m_loop, m_options.listen,
                                                  [this](evhttp_request* request) { on_request(request); });
    }
}

void platform::close_service()
{
    m_watches.clear();
    ++m_service_generation;
    // Closes the open connections and frees their requests.
    m_service.reset();
}

void platform::on_request(evhttp_request* request)
{
    ++m_calls;
    const auto call = parse_request_line(request);
    if (m_mode != platform_mode::slow) {
        answer_or_wait(request, call);
        return;
    }
    m_loop.after(m_delay, [this, request, call, run = m_service_generation] {
        if (run == m_service_generation) {
            answer_or_wait(request, call);
        }
    });
}

void platform::answer_or_wait(evhttp_request* request, const http_request_line& call)
{
    if (call.is_post || call.path.rfind(values_prefix, 0) != 0) {
        reply(request, HTTP_NOTFOUND, "");
        return;
    }
    const std::string key = call.path.substr(values_prefix.size());
    const auto* value = m_values.find(key);
    const auto after = static_cast<std::uint64_t>(call.number("after", 0));
    const bool is_watch = call.find("after").has_value();
    if (value != nullptr && (!is_watch || value->version > after)) {
        send_value(request, *value);
    } else if (is_watch && call.number("wait_ms", 0) > 0) {
        ++m_watch_calls;
        const core::milliseconds wait(static_cast<std::int64_t>(call.number("wait_ms", 0)));
        m_watches.push_back({request, key, after, core::clock::now() + wait});
        m_max_pending = std::max(m_max_pending, m_watches.size());
    } else {
        reply(request, value == nullptr ? HTTP_NOTFOUND : HTTP_NOTMODIFIED, "");
    }
}

void platform::answer_due_watches()
{
    const auto now = core::clock::now();
    for (auto it = m_watches.begin(); it != m_watches.end();) {
        const auto* value = m_values.find(it->key);
        if (value != nullptr && value->version > it->after) {
            send_value(it->request, *value);
        } else if (now >= it->end) {
            reply(it->request, HTTP_NOTMODIFIED, "");
        } else {
            ++it;
            continue;
        }
        it = m_watches.erase(it);
    }
}

void platform::on_control(evhttp_request* request)
{
    const auto call = parse_request_line(request);
    if (!call.is_post && call.path == "/stats") {
        reply(request, HTTP_OK, stats());
        return;
    }
    if (!call.is_post || call.path != "/control") {
        reply(request, HTTP_NOTFOUND, "");
        return;
    }
    if (const auto folder = call.find("serve")) {
        m_values.use_folder(*folder);
    }
    const auto mode = call.find("mode");
    const bool is_known = !mode || set_mode(*mode, call);
    reply(request, is_known ? HTTP_OK : HTTP_BADREQUEST,
          is_known ? "ok\n" : "unknown mode; allowed are up, down, stale and slow\n");
}

bool platform::set_mode(const std::string& name, const http_request_line& call)
{
    if (name == "down") {
        m_mode = platform_mode::down;
        close_service();
        return true;
    }
    if (name == "up") {
        m_mode = platform_mode::up;
    } else if (name == "stale") {
        m_mode = platform_mode::stale;
    } else if (name == "slow") {
        m_mode = platform_mode::slow;
        m_delay = core::milliseconds(
            static_cast<std::int64_t>(call.number("ms", static_cast<double>(default_slow_delay.count()))));
    } else {
        return false;
    }
    open_service();
    return true;
}

std::string platform::stats() const
{
    std::ostringstream out;
    out << "{\"calls\": " << m_calls << ", \"watches\": " << m_watch_calls << ", \"waiting\": " << m_watches.size()
        << ", \"most_waiting\": " << m_max_pending << "}\n";
    return out.str();
}

} // namespace daisydoor::standins
