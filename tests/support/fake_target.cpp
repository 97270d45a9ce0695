#include "support/fake_target.hpp"

#include <sstream>
#include <vector>

namespace daisydoor::support
{

namespace
{

constexpr const char* health_path = "/health";

struct parsed_path
{
    std::string service;
    request_key key;
    std::size_t size = 0;
};

parsed_path parse_path(const std::string& path)
{
    parsed_path result;
    std::istringstream in(path.substr(1));
    std::string field;
    std::getline(in, result.service, '/');
    std::getline(in, field, '/');
    result.key.caller = std::stoul(field);
    std::getline(in, field, '/');
    result.key.number = std::stoull(field);
    std::getline(in, field, '/');
    result.size = std::stoul(field);
    return result;
}

} // namespace

std::string request_path(const std::string& service, request_key key, std::size_t size)
{
    return "/" + service + "/" + std::to_string(key.caller) + "/" + std::to_string(key.number) + "/" +
           std::to_string(size);
}

std::vector<std::uint8_t> expected_answer(const std::string& path)
{
    const std::size_t size = parse_path(path).size;
    std::vector<std::uint8_t> result(path.begin(), path.end());
    // The padding depends on the position, so that swapped or duplicated segments are detected.
    while (result.size() < size) {
        result.push_back(static_cast<std::uint8_t>((result.size() * 131 + path.size()) >> 3));
    }
    return result;
}

fake_target::fake_target(virtual_clock& clock, oracle& test_oracle, std::string service,
                         core::milliseconds mean_service_time, std::uint64_t seed)
    : m_clock(clock), m_oracle(test_oracle), m_service(std::move(service)),
      m_service_time_ms(1.0 / static_cast<double>(mean_service_time.count())), m_random(seed)
{
}

void fake_target::set_mode(target_mode mode)
{
    m_mode = mode;
    if (mode == target_mode::down) {
        kill();
    }
    for (auto& [id, feed] : m_feeds) {
        feed.is_silent = mode == target_mode::silent_feeds || mode == target_mode::frozen;
    }
}

void fake_target::kill()
{
    m_mode = target_mode::down;
    for (const auto id : std::set<agent::exchange_id>(m_running)) {
        finish(id, {agent::exchange_status::broken, 0, {}}, connect_delay);
    }
    for (const auto& item : std::map<agent::feed_connection_id, feed_connection>(m_feeds)) {
        m_clock.after(connect_delay, [this, id = item.first] { m_callbacks.feed_closed(id); });
    }
    m_feeds.clear();
}

void fake_target::on_agent_exit()
{
    ++m_agent_generation;
    m_running.clear();
    m_feeds.clear();
}

void fake_target::start(const agent::start_exchange& exchange)
{
    m_running.insert(exchange.id);
    switch (m_mode) {
    case target_mode::down:
        finish(exchange.id, {agent::exchange_status::connect_failed, 0, {}}, connect_delay);
        return;
    case target_mode::shedding:
        finish(exchange.id, {agent::exchange_status::answered, 503, {}}, connect_delay);
        return;
    default:
        run(exchange);
    }
}

void fake_target::run(const agent::start_exchange& exchange)
{
    if (exchange.path == health_path) {
        finish(exchange.id, {agent::exchange_status::answered, 200, {}}, connect_delay);
        return;
    }
    ++m_started_requests;
    const auto parsed = parse_path(exchange.path);
    m_oracle.record_execution(parsed.key);
    if (exchange.kind == wire::request_kind::non_idempotent) {
        m_callbacks.posting_started(parsed.key);
    }
    if (parsed.service != m_service) {
        m_oracle.record_misrouting("request " + exchange.path + " ran at a target of " + m_service);
    }
    if (m_mode == target_mode::frozen) {
        finish(exchange.id, {agent::exchange_status::timed_out, 0, {}}, exchange.timeout);
        return;
    }
    const auto time = std::chrono::microseconds(static_cast<std::int64_t>(m_service_time_ms(m_random) * 1000));
    if (time >= exchange.timeout) {
        finish(exchange.id, {agent::exchange_status::timed_out, 0, {}}, exchange.timeout);
        return;
    }
    finish(exchange.id, {agent::exchange_status::answered, 200, expected_answer(exchange.path)}, time);
}

void fake_target::finish(agent::exchange_id id, agent::exchange_result result, core::duration delay)
{
    m_clock.after(delay, [this, id, run = m_agent_generation, result = std::move(result)] {
        if (run == m_agent_generation && m_running.erase(id) > 0) {
            m_callbacks.result(id, result);
        }
    });
}

std::uint64_t fake_target::current_event() const
{
    return static_cast<std::uint64_t>(m_clock.elapsed() / event_interval);
}

void fake_target::open(const agent::open_feed& feed)
{
    if (m_mode == target_mode::down) {
        m_clock.after(connect_delay, [this, run = m_agent_generation, id = feed.id] {
            if (run == m_agent_generation) {
                m_callbacks.feed_closed(id);
            }
        });
        return;
    }
    const auto last = core::raw(feed.last_event);
    m_feeds[feed.id] = {last != 0 ? last : current_event(), m_mode == target_mode::frozen};
}

void fake_target::publish_events()
{
    for (const auto& item : std::map<agent::feed_connection_id, feed_connection>(m_feeds)) {
        const auto id = item.first;
        auto it = m_feeds.find(id);
        while (it != m_feeds.end() && !it->second.is_silent && it->second.last < current_event()) {
            const std::string text = "event " + std::to_string(++it->second.last);
            m_callbacks.event(id, core::event_id{it->second.last}, {text.begin(), text.end()});
            it = m_feeds.find(id);
        }
    }
}

} // namespace daisydoor::support
