#include "daisydoor/runtime/detail/store_task.hpp"

#include "platform/store.hpp"

#include <algorithm>

namespace daisydoor::runtime::detail
{

namespace
{

constexpr int status_ok = 200;
constexpr int status_gone = 410;

std::string path_of(const relay::store_request& request)
{
    switch (request.call) {
    case relay::store_call::read_all:
        return platform::range_path(request.after, false);
    case relay::store_call::watch:
        break;
    }
    return platform::watch_path(request.revision, request.wait);
}

template <typename Number>
std::string number_of(Number value)
{
    return std::to_string(static_cast<std::uint64_t>(value));
}

std::int64_t milliseconds_of(core::duration value)
{
    return std::chrono::duration_cast<core::milliseconds>(value).count();
}

std::string mode_name(relay::read_mode mode)
{
    return std::string(relay::read_mode_names.at(static_cast<std::size_t>(mode)));
}

std::string call_name(relay::store_call call)
{
    return std::string(relay::store_call_names.at(static_cast<std::size_t>(call)));
}

std::string describe(const http_result& response)
{
    switch (response.outcome) {
    case http_outcome::answered:
        return "status_" + std::to_string(response.status);
    case http_outcome::connect_failed:
        return "connect_failed";
    case http_outcome::broken:
        return "connection_broken";
    case http_outcome::timed_out:
        break;
    }
    return "timed_out";
}

} // namespace

store_task::store_task(kernel& owner, const core::endpoint& platform)
    : m_kernel(owner), m_client(owner, platform), m_timer(owner.base(), [this] { start_next_request(); })
{
    owner.register_handler<collect_metrics>(task_names::platform,
                                            [this](collect_metrics& message) { collect(message); });
}

void store_task::start()
{
    m_role = m_kernel.find_handler<platform_update>(task_names::role);
    m_last_progress_at = core::clock::now();
    start_next_request();
}

void store_task::check_now()
{
    if (m_reader.check_now(core::clock::now())) {
        m_client.cancel(m_exchange);
    }
    start_next_request();
}

void store_task::read_again()
{
    if (m_reader.read_again(core::clock::now())) {
        m_client.cancel(m_exchange);
    }
    start_next_request();
}

void store_task::on_pause()
{
    m_last_progress_at = core::clock::now();
    if (m_reader.on_pause(m_last_progress_at)) {
        m_client.cancel(m_exchange);
    }
    start_next_request();
}

void store_task::set_mode(relay::read_mode mode, relay::store_position known)
{
    if (mode == m_reader.mode()) {
        return;
    }
    write_log(log_event::platform_reading,
              "mode=" + mode_name(mode) + " era=" + number_of(known.era) + " revision=" + number_of(known.revision));
    const auto now = core::clock::now();
    if (m_reader.mode() == relay::read_mode::off) {
        m_last_progress_at = now;
    }
    m_reader.set_mode(mode, known, now);
    start_next_request();
}

void store_task::detect_stall(core::time_point now)
{
    const auto idle = now - m_last_progress_at;
    const bool is_stalled = m_reader.mode() != relay::read_mode::off && idle > relay::read_stall_limit;
    if (is_stalled && !m_is_stalled) {
        ++m_counters.stalls;
        write_log(log_event::platform_read_stalled,
                  "mode=" + mode_name(m_reader.mode()) + " idle_ms=" + std::to_string(milliseconds_of(idle)) +
                      " call_expected=" + (m_reader.is_in_flight() ? "1" : "0") +
                      " calls_in_flight=" + std::to_string(m_client.in_flight()) +
                      " due_in_ms=" + std::to_string(milliseconds_of(m_reader.due_at() - now)) +
                      " reachable=" + (m_reader.is_unreachable() ? "0" : "1"));
    }
    m_is_stalled = is_stalled;
}

void store_task::start_next_request()
{
    const auto now = core::clock::now();
    if (const auto request = m_reader.next(now)) {
        call(*request);
    } else if (!m_reader.is_in_flight() && m_reader.mode() != relay::read_mode::off) {
        const auto wait = std::chrono::duration_cast<core::milliseconds>(m_reader.due_at() - now);
        m_timer.add(std::max(wait, core::milliseconds(0)) + core::milliseconds(1));
    }
}

void store_task::call(const relay::store_request& request)
{
    ++m_counters.calls;
    m_call_started_at = core::clock::now();
    http_request exchange;
    exchange.path = path_of(request);
    exchange.timeout = request.timeout;
    exchange.version_header = platform::era_header;
    m_watched_after = request.revision;
    m_exchange = m_client.start(std::move(exchange), [this, call = request.call](const http_result& response) {
        on_http_result(call, response);
    });
}

void store_task::on_http_result(relay::store_call call, const http_result& response)
{
    const auto now = core::clock::now();
    m_last_progress_at = now;
    auto result = relay::store_result::failed;
    auto failure = describe(response);
    platform::store_page page;
    if (response.outcome == http_outcome::answered && response.status == status_gone) {
        result = relay::store_result::history_lost;
        write_log(log_event::platform_history_lost,
                  "after=" + number_of(m_watched_after) + " era=" + number_of(platform::decode_era(response.version)));
    } else if (response.outcome == http_outcome::answered && response.status == status_ok) {
        const wire::bytes_view body{response.body.data(), response.body.size()};
        try {
            if (call == relay::store_call::watch) {
                page.update = platform::decode_events(body);
            } else {
                page = platform::decode_page(body);
            }
            result = relay::store_result::answered;
        } catch (const std::exception& e) {
            // Whatever was thrown, the call has ended, and the reader waits for its end.
            page = {};
            failure = e.what();
        }
    }
    if (result != relay::store_result::failed) {
        m_last_answer_at = now;
    }
    page.update.era = platform::decode_era(response.version);
    for (const auto& reason : page.update.rejected) {
        ++m_counters.rejected_values;
        write_rate_limited_log(m_reject_log_limit, log_event::published_value_rejected, reason);
    }
    on_progress(call, m_reader.on_result(result, std::move(page.update), page.has_more, page.last_key, now), failure);
    start_next_request();
}

void store_task::on_progress(relay::store_call call, relay::store_progress progress, const std::string& failure)
{
    const auto name = call_name(call);
    if (progress.became_unreachable) {
        write_log(log_event::platform_unreachable,
                  "call=" + name + " reason=" + (progress.is_from_former_era ? "former_era" : failure));
    }
    if (progress.restored_from) {
        ++m_counters.restores;
        write_log(log_event::platform_restored, "era=" + number_of(m_reader.era()) + " former_era=" +
                                                    number_of(*progress.restored_from) + " call=" + name);
    }
    if (progress.became_reachable) {
        write_log(log_event::platform_reachable, "call=" + name);
    }
    const bool has_returned = progress.became_reachable || progress.restored_from;
    if (progress.update || has_returned) {
        m_role.post({std::move(progress.update), has_returned, core::clock::now(), m_call_started_at});
    }
    m_counters.outages += progress.became_unreachable ? 1 : 0;
}

void store_task::collect(collect_metrics& message) const
{
    const auto now = core::clock::now();
    message.samples = {
        {"platform_reads", "", static_cast<double>(m_counters.calls)},
        {"platform_outages", "", static_cast<double>(m_counters.outages)},
        {"platform_values_rejected", "", static_cast<double>(m_counters.rejected_values)},
        {"platform_restores", "", static_cast<double>(m_counters.restores)},
        {"platform_era", "", static_cast<double>(static_cast<std::uint64_t>(m_reader.era())), false},
        {"platform_reachable", "", m_reader.is_unreachable() ? 0.0 : 1.0, false},
        {"platform_read_stalls", "", static_cast<double>(m_counters.stalls)},
        {"platform_calls_in_flight", "", static_cast<double>(m_client.in_flight()), false},
        {"platform_call_expected", "", m_reader.is_in_flight() ? 1.0 : 0.0, false},
        {"platform_progress_age_ms", "", static_cast<double>(milliseconds_of(now - m_last_progress_at)), false}};
    if (m_last_answer_at) {
        message.samples.push_back(
            {"platform_answer_age_ms", "", static_cast<double>(milliseconds_of(now - *m_last_answer_at)), false});
    }
    for (std::size_t i = 0; i < relay::read_mode_names.size(); ++i) {
        const bool is_current = static_cast<std::size_t>(m_reader.mode()) == i;
        message.samples.push_back(
            {"platform_read_mode", std::string(relay::read_mode_names.at(i)), is_current ? 1.0 : 0.0, false});
    }
}

} // namespace daisydoor::runtime::detail
