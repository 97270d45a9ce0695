#include "standins/target/target.hpp"

#include "standins/common/contract.hpp"

#include <algorithm>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <fcntl.h>
#include <stdexcept>
#include <unistd.h>

namespace daisydoor::standins
{

namespace
{

constexpr core::milliseconds feed_poll_interval{20};
constexpr int shed_status = 503;
constexpr int slow_factor = 10;

} // namespace

target::target(loop& events, const target_options& options) : m_loop(events), m_options(options), m_random(options.seed)
{
    if (!m_options.execution_log.empty()) {
        m_log_fd = ::open(m_options.execution_log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        if (m_log_fd < 0) {
            throw std::runtime_error("cannot open the execution log " + m_options.execution_log);
        }
    }
    m_service =
        std::make_unique<http_server>(events, options.listen, [this](evhttp_request* request) { on_request(request); });
    m_control = std::make_unique<http_server>(events, options.control,
                                              [this](evhttp_request* request) { on_control(request); });
    events.every(feed_poll_interval, [this] { publish_events(); });
}

target::~target()
{
    // Destroyed first, because the connections' close callbacks use the other members.
    m_service.reset();
    if (m_log_fd >= 0) {
        ::close(m_log_fd);
    }
}

void target::on_request(evhttp_request* request)
{
    auto* connection = evhttp_request_get_connection(request);
    evhttp_connection_set_closecb(
        connection, [](evhttp_connection* closed, void* self) { static_cast<target*>(self)->on_closed(closed); }, this);
    // evhttp stops reading while a request is pending and would not detect that the agent closes the connection.
    bufferevent_enable(evhttp_connection_get_bufferevent(connection), EV_READ);
    if (m_mode == target_mode::frozen) {
        m_unanswered_requests.push_back(request);
        return;
    }
    auto call = parse_request_line(request);
    if (!call.is_post && call.path == "/health") {
        reply(request, HTTP_OK, health());
    } else if (!call.is_post && call.path == "/load") {
        reply(request, HTTP_OK, load());
    } else if (!call.is_post && header(request, "Accept") == "text/event-stream") {
        open_feed(request);
    } else if (m_mode == target_mode::shedding) {
        reply(request, shed_status, "");
    } else {
        accept_request(request, std::move(call));
    }
}

void target::accept_request(evhttp_request* request, http_request_line call)
{
    const auto number = ++m_last_number;
    m_exchanges[number] = {request, std::move(call), false};
    m_queue.push_back(number);
    start_queued();
}

void target::start_queued()
{
    while (m_running < m_options.slots && !m_queue.empty()) {
        const auto number = m_queue.front();
        m_queue.pop_front();
        if (m_exchanges.count(number) > 0) {
            execute(number);
        }
    }
}

void target::execute(exchange_number number)
{
    auto& item = m_exchanges.at(number);
    item.is_running = true;
    ++m_running;
    ++m_executed;
    log_execution(item);
    m_loop.after(next_service_time(), [this, number] { finish(number); });
}

void target::finish(exchange_number number)
{
    const auto it = m_exchanges.find(number);
    if (it == m_exchanges.end()) {
        return;
    }
    const exchange item = std::move(it->second);
    m_exchanges.erase(it);
    --m_running;
    evhttp_add_header(evhttp_request_get_output_headers(item.request), "X-Service", m_options.service.c_str());
    reply(item.request, HTTP_OK, expected_answer(m_options.service, item.call.target));
    start_queued();
}

core::milliseconds target::next_service_time()
{
    auto mean = m_options.service_time;
    if (m_mode == target_mode::slow || m_cold_requests_left > 0) {
        mean = m_slow_time.count() > 0 ? m_slow_time : mean * slow_factor;
        m_cold_requests_left -= m_cold_requests_left > 0 ? 1 : 0;
    }
    if (!m_options.exponential || mean.count() == 0) {
        return mean;
    }
    std::exponential_distribution<double> distribution(1.0 / static_cast<double>(mean.count()));
    return core::milliseconds(static_cast<std::int64_t>(distribution(m_random)));
}

void target::log_execution(const exchange& item)
{
    std::string id = header(item.request, "X-Request-Id");
    std::string payload = body(item.request);
    std::replace(payload.begin(), payload.end(), '\n', ' ');
    const std::string line = std::string(item.call.is_post ? "POST " : "GET ") + m_options.service + ' ' +
                             (id.empty() ? "-" : id) + ' ' + item.call.target + ' ' + payload + '\n';
    if (item.call.is_post) {
        m_executions += line;
    }
    if (m_log_fd >= 0 && ::write(m_log_fd, line.data(), line.size()) != static_cast<ssize_t>(line.size())) {
        throw std::runtime_error("cannot write the execution log " + m_options.execution_log);
    }
}

void target::on_closed(evhttp_connection* connection)
{
    // evhttp has already detached a pending request from the closed connection; sending a reply frees it.
    const auto is_gone = [connection](evhttp_request* request) {
        auto* current = evhttp_request_get_connection(request);
        return current == nullptr || current == connection;
    };
    for (auto it = m_exchanges.begin(); it != m_exchanges.end();) {
        if (!is_gone(it->second.request)) {
            ++it;
            continue;
        }
        ++m_cancelled;
        m_running -= it->second.is_running ? 1 : 0;
        if (evhttp_request_get_connection(it->second.request) == nullptr) {
            evhttp_send_reply(it->second.request, HTTP_OK, nullptr, nullptr);
        }
        it = m_exchanges.erase(it);
    }
    for (auto it = m_feeds.begin(); it != m_feeds.end();) {
        if (!is_gone(it->request)) {
            ++it;
            continue;
        }
        if (evhttp_request_get_connection(it->request) == nullptr) {
            evhttp_send_reply_end(it->request);
        }
        it = m_feeds.erase(it);
    }
    for (auto it = m_unanswered_requests.begin(); it != m_unanswered_requests.end();) {
        if (!is_gone(*it)) {
            ++it;
            continue;
        }
        if (evhttp_request_get_connection(*it) == nullptr) {
            evhttp_send_reply(*it, HTTP_OK, nullptr, nullptr);
        }
        it = m_unanswered_requests.erase(it);
    }
    start_queued();
}

} // namespace daisydoor::standins
