#include "standins/callers/load_session.hpp"

#include "standins/common/contract.hpp"

#include <algorithm>
#include <chrono>

namespace daisydoor::standins
{

namespace
{

constexpr core::milliseconds open_retry_delay{300};
/// Leaves the closed session time to retransmit its close.
constexpr core::milliseconds reopen_delay{500};

std::uint64_t current_event()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    return static_cast<std::uint64_t>(ms) / feed_event_interval_ms;
}

/// Returns the service of the target that sent the answer, which is its first word, or "?" without one.
std::string answering_service(const std::string& answer)
{
    const auto end = answer.find(' ');
    return end == std::string::npos || end == 0 ? "?" : answer.substr(0, end);
}

} // namespace

load_session::load_session(loop& events, session_identity identity, const load_options& options,
                           load_counters& counters)
    : m_loop(events), m_identity(std::move(identity)), m_options(options), m_counters(counters),
      m_random(m_identity.seed)
{
    m_feed.service = m_identity.service;
    m_feed.id = m_identity.name;
}

void load_session::start()
{
    open();
    schedule_request();
}

void load_session::reset_progress()
{
    m_answers_since_mark = 0;
    m_events_since_mark = 0;
}

core::milliseconds load_session::random_time(core::milliseconds mean)
{
    std::exponential_distribution<double> distribution(1.0 / static_cast<double>(mean.count()));
    return core::milliseconds(1 + static_cast<std::int64_t>(distribution(m_random)));
}

void load_session::open()
{
    caller::client_options options;
    options.service = m_identity.address;
    options.workspace = m_identity.workspace;
    options.seed = m_random() | 1;
    m_is_open = false;
    m_is_expired = false;
    m_broken_flows = broken_flows();
    m_client = std::make_unique<caller::client>(options, m_loop.base());
    m_client->open([this](const caller::open_result& result) { on_opened(result); });
}

void load_session::on_opened(const caller::open_result& result)
{
    if (!result.is_open) {
        ++m_counters.failed_opens;
        m_loop.after(std::max(open_retry_delay, result.retry_after), [this] {
            if (!m_is_stopping) {
                open();
            }
        });
        return;
    }
    m_is_open = true;
    if (m_identity.has_feed) {
        m_client->subscribe("/feed", core::event_id{m_last_event},
                            [this](const caller::feed_event& value) { on_event(value); });
    } else if (m_options.lifetime.count() > 0) {
        m_loop.after(random_time(m_options.lifetime), [this] {
            m_is_expired = true;
            close_and_reopen();
        });
    }
}

void load_session::close_and_reopen()
{
    // Closes only while no request is outstanding, since a close would give outstanding ones the outcome `unknown`.
    if (m_is_expired && m_outstanding == 0 && !m_is_stopping) {
        m_client->close();
        m_is_open = false;
        m_loop.after(reopen_delay, [this] { open(); });
    }
}

void load_session::schedule_request()
{
    m_loop.after(random_time(m_options.request_interval), [this] {
        if (m_is_stopping) {
            return;
        }
        if (m_is_open && !m_is_expired && m_outstanding < m_options.max_outstanding) {
            start_request();
        }
        schedule_request();
    });
}

void load_session::start_request()
{
    const auto index = m_outcome_lines.size();
    const std::string id = m_identity.name + '-' + std::to_string(index);
    const std::string path = "/bytes/" + std::to_string(m_random() % (m_options.max_answer_bytes + 1)) + "?id=" + id;
    const bool is_posting = std::uniform_real_distribution<double>(0, 1)(m_random) < m_options.posting_share;
    m_outcome_lines.push_back({is_posting, m_identity.service, id, "none", "-"});
    ++m_counters.requests;
    ++m_outstanding;
    const auto handler = [this, index, path](const caller::outcome& value) { on_outcome(index, path, value); };
    if (is_posting) {
        m_client->post(path, {id.begin(), id.end()}, m_options.deadline, handler);
    } else {
        m_client->request(path, m_options.deadline, handler);
    }
}

void load_session::on_outcome(std::size_t index, const std::string& path, const caller::outcome& value)
{
    auto& line = m_outcome_lines[index];
    if (line.outcome != "none") {
        ++m_counters.repeated_outcomes;
        return;
    }
    --m_outstanding;
    line.outcome = caller::outcome_kind_names.at(static_cast<std::size_t>(value.kind));
    line.detail = wire::EnumNamerefusal_reason(value.reason);
    if (value.kind == caller::outcome_kind::answered) {
        const std::string answer(value.payload.begin(), value.payload.end());
        line.detail = answering_service(answer);
        ++m_counters.answered;
        ++m_answers_since_mark;
        m_counters.wrong_answers += answer == expected_answer(m_identity.service, path) ? 0 : 1;
    } else {
        ++(value.kind == caller::outcome_kind::not_run ? m_counters.refused : m_counters.unknown);
    }
    close_and_reopen();
}

void load_session::on_event(const caller::feed_event& value)
{
    const auto id = core::raw(value.id);
    const std::string data(value.data.begin(), value.data.end());
    if (m_last_event != 0 && id != m_last_event + 1) {
        const bool is_repeat = id <= m_last_event;
        ++(is_repeat ? m_feed.repeats : m_feed.gaps);
        ++(is_repeat ? m_counters.repeats : m_counters.gaps);
    }
    m_feed.wrong += data == expected_event(m_identity.service, id) ? 0 : 1;
    m_last_event = std::max(m_last_event, id);
    ++m_feed.events;
    ++m_counters.events;
    ++m_events_since_mark;
}

std::uint64_t load_session::broken_flows() const noexcept
{
    return m_broken_flows + (m_client ? m_client->broken_flows() : 0);
}

void load_session::write_to(caller_record& record)
{
    record.requests.insert(record.requests.end(), m_outcome_lines.begin(), m_outcome_lines.end());
    if (m_identity.has_feed) {
        const auto now = current_event();
        m_feed.behind = now > m_last_event ? now - m_last_event : 0;
        record.feeds.push_back(m_feed);
    }
}

} // namespace daisydoor::standins
