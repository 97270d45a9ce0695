#include "daisydoor/runtime/detail/target_task.hpp"

#include "daisydoor/runtime/events.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace daisydoor::runtime::detail
{

namespace
{

constexpr core::milliseconds health_interval{1000};
constexpr core::milliseconds health_timeout{900};
constexpr int status_bad_request = 400;
constexpr int status_ok = 200;

agent::exchange_status to_exchange_status(http_outcome value) noexcept
{
    switch (value) {
    case http_outcome::answered:
        return agent::exchange_status::answered;
    case http_outcome::connect_failed:
        return agent::exchange_status::connect_failed;
    case http_outcome::timed_out:
        return agent::exchange_status::timed_out;
    case http_outcome::broken:
        break;
    }
    return agent::exchange_status::broken;
}

} // namespace

target_task::target_task(kernel& owner, const core::endpoint& target)
    : m_kernel(owner), m_client(owner, target), m_health_timer(owner.base(), -1, EV_PERSIST, [this] { poll_health(); })
{
    const std::string name = task_names::target;
    owner.register_handler<collect_metrics>(name, [this](collect_metrics& message) { collect(message); });
    owner.register_handler<agent::start_exchange>(name,
                                                  [this](agent::start_exchange& message) { start_exchange(message); });
    owner.register_handler<agent::cancel_exchange>(
        name, [this](agent::cancel_exchange& message) { cancel_exchange(message.id); });
    owner.register_handler<agent::open_feed>(name, [this](agent::open_feed& message) { open_feed(message); });
    owner.register_handler<agent::close_feed>(name, [this](agent::close_feed& message) { close_feed(message.id); });
}

void target_task::start()
{
    const std::string name = task_names::role;
    m_finished = m_kernel.find_handler<exchange_finished>(name);
    m_feed_event = m_kernel.find_handler<feed_event_received>(name);
    m_feed_activity = m_kernel.find_handler<feed_activity>(name);
    m_feed_closed = m_kernel.find_handler<feed_closed>(name);
    m_drain = m_kernel.find_handler<drain_request>(name);
    m_health_timer.add(health_interval);
}

void target_task::collect(collect_metrics& message) const
{
    message.samples = {{"target_in_flight", "", static_cast<double>(m_exchanges.size()), false},
                       {"target_feeds", "", static_cast<double>(m_feeds.size()), false},
                       {"target_reachable", "", static_cast<double>(m_reachable), false},
                       {"target_exchanges", "answered", static_cast<double>(m_counters.answered)},
                       {"target_exchanges", "connect_failed", static_cast<double>(m_counters.connect_failed)},
                       {"target_exchanges", "broken", static_cast<double>(m_counters.broken)},
                       {"target_exchanges", "timed_out", static_cast<double>(m_counters.timed_out)},
                       {"target_exchanges", "cancelled", static_cast<double>(m_counters.cancelled)},
                       {"target_exchanges", "bad_path", static_cast<double>(m_counters.bad_paths)},
                       {"target_feeds_opened", "", static_cast<double>(m_counters.feeds_opened)},
                       {"target_feeds_closed", "", static_cast<double>(m_counters.feeds_closed)}};
}

void target_task::start_exchange(agent::start_exchange& message)
{
    ++m_counters.exchanges;
    const auto id = message.id;
    if (!is_valid_path(message.path)) {
        // A path with a line break would allow request smuggling to the target. The caller is at fault, so this is
        // answered with status 400 and does not count as a failure of the target.
        ++m_counters.bad_paths;
        m_finished.post({id, {agent::exchange_status::answered, status_bad_request, {}}});
        return;
    }
    http_request request;
    request.method = message.kind == wire::request_kind::non_idempotent ? EVHTTP_REQ_POST : EVHTTP_REQ_GET;
    request.path = std::move(message.path);
    request.headers = {{"X-Request-Id", message.request_id},
                       {"X-Deadline-Ms", std::to_string(message.timeout.count())}};
    if (request.method == EVHTTP_REQ_POST) {
        request.body = std::move(message.payload);
    }
    request.timeout = std::max(message.timeout, core::milliseconds{1});
    m_exchanges[id] = 0;
    const auto exchange = m_client.start(std::move(request),
                                         [this, id](http_result response) { on_http_result(id, std::move(response)); });
    if (const auto it = m_exchanges.find(id); it != m_exchanges.end()) {
        it->second = exchange;
    }
}

void target_task::on_http_result(agent::exchange_id id, http_result response)
{
    m_exchanges.erase(id);
    switch (response.outcome) {
    case http_outcome::answered:
        ++m_counters.answered;
        break;
    case http_outcome::connect_failed:
        ++m_counters.connect_failed;
        break;
    case http_outcome::broken:
        ++m_counters.broken;
        break;
    case http_outcome::timed_out:
        ++m_counters.timed_out;
        break;
    }
    m_finished.post({id,
                     {to_exchange_status(response.outcome), static_cast<std::uint16_t>(response.status),
                      std::move(response.body)}});
}

void target_task::cancel_exchange(agent::exchange_id id)
{
    const auto it = m_exchanges.find(id);
    if (it == m_exchanges.end()) {
        return;
    }
    ++m_counters.cancelled;
    const bool bytes_sent = m_client.cancel(it->second);
    m_exchanges.erase(it);
    m_finished.post(
        {id, {bytes_sent ? agent::exchange_status::broken : agent::exchange_status::connect_failed, 0, {}}});
}

void target_task::open_feed(const agent::open_feed& message)
{
    ++m_counters.feeds_opened;
    const auto id = message.id;
    if (!is_valid_path(message.path)) {
        ++m_counters.bad_paths;
        m_feed_closed.post({id});
        return;
    }
    http_request request;
    request.path = message.path;
    request.headers = {{"Accept", "text/event-stream"},
                       {"Last-Event-ID", std::to_string(core::raw(message.last_event))}};
    request.on_headers = [](int status, const std::string& type) {
        return status == status_ok && type.compare(0, 17, "text/event-stream") == 0;
    };
    request.on_body_chunk = [this, id](wire::bytes_view part) { on_feed_chunk(id, part); };
    m_feeds[id];
    const auto exchange = m_client.start(std::move(request), [this, id](const http_result&) { on_feed_end(id); });
    if (const auto it = m_feeds.find(id); it != m_feeds.end()) {
        it->second.exchange = exchange;
    }
}

void target_task::on_feed_chunk(agent::feed_connection_id id, wire::bytes_view part)
{
    const auto it = m_feeds.find(id);
    if (it == m_feeds.end()) {
        return;
    }
    m_feed_activity.post({id});
    const bool is_valid =
        it->second.parser.append(part, [this, id](core::event_id event, std::vector<std::uint8_t> data) {
            m_feed_event.post({id, event, std::move(data)});
        });
    if (!is_valid) {
        m_client.cancel(it->second.exchange);
        on_feed_end(id);
    }
}

void target_task::on_feed_end(agent::feed_connection_id id)
{
    if (m_feeds.erase(id) != 0) {
        ++m_counters.feeds_closed;
        m_feed_closed.post({id});
    }
}

void target_task::close_feed(agent::feed_connection_id id)
{
    if (const auto it = m_feeds.find(id); it != m_feeds.end()) {
        const auto exchange = it->second.exchange;
        m_feeds.erase(it);
        m_client.cancel(exchange);
        ++m_counters.feeds_closed;
    }
}

void target_task::poll_health()
{
    if (m_health_poll_in_flight) {
        return;
    }
    http_request request;
    request.path = "/health";
    request.timeout = health_timeout;
    // Set before start(), because its handler can run before it returns if the connect fails immediately.
    m_health_poll_in_flight = true;
    m_client.start(std::move(request), [this](const http_result& response) {
        m_health_poll_in_flight = false;
        on_health(response);
    });
}

void target_task::on_health(const http_result& response)
{
    const bool reachable = response.outcome == http_outcome::answered;
    if (reachable != m_reachable) {
        m_reachable = reachable;
        write_log(reachable ? log_event::target_reachable : log_event::target_unreachable, "health poll");
    }
    if (!reachable || response.status != status_ok || m_draining) {
        return;
    }
    // Only `draining` has an effect. Other states are ignored: a target may report `ok` while it fails, and failures
    // are detected from the exchanges.
    const auto body = nlohmann::json::parse(response.body, nullptr, false);
    const auto state = body.is_object() ? body.find("state") : body.end();
    if (body.is_object() && state != body.end() && state->is_string() && *state == "draining") {
        m_draining = true;
        write_log(log_event::target_draining, "");
        m_drain.post({});
    }
}

} // namespace daisydoor::runtime::detail
