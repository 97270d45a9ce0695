#include "daisydoor/relay/store_reader.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace daisydoor::relay
{

namespace
{

void append(fleet_update& to, fleet_update from)
{
    std::move(from.changes.begin(), from.changes.end(), std::back_inserter(to.changes));
    std::move(from.rejected.begin(), from.rejected.end(), std::back_inserter(to.rejected));
}

} // namespace

std::optional<store_request> store_reader::next(core::time_point now)
{
    if (m_in_flight || now < m_due_at || m_mode == read_mode::off) {
        return std::nullopt;
    }
    m_in_flight = true;
    const bool waits = m_mode == read_mode::watch && !m_check_once;
    const auto wait = m_next != store_call::watch ? core::milliseconds(0) : waits ? watch_wait : check_wait;
    m_is_waiting = m_next == store_call::watch && waits;
    m_check_once = m_check_once && m_next != store_call::watch;
    return store_request{m_next, m_after, m_position.revision, wait, wait + answer_timeout};
}

void store_reader::set_mode(read_mode mode, store_position known, core::time_point now) noexcept
{
    if (mode == m_mode) {
        return;
    }
    const bool starts = m_mode == read_mode::off;
    m_mode = mode;
    if (!starts || m_in_flight) {
        return;
    }
    m_due_at = m_unreachable ? m_due_at : now;
    if (known > m_position) {
        // Other processes sent all changes up to this position.
        m_position = known;
        m_next = store_call::watch;
        m_after.clear();
    }
}

bool store_reader::accept_era(fleet_update& update, store_progress& progress)
{
    if (update.era == store_era{}) {
        update.era = m_position.era;
    }
    progress.is_from_former_era = update.era < m_position.era;
    if (update.era <= m_position.era) {
        return !progress.is_from_former_era;
    }
    if (m_position.era != store_era{}) {
        progress.restored_from = m_position.era;
    }
    const bool begins_read = m_next == store_call::read_all && m_after.empty();
    m_position = {update.era, relay::revision{}};
    m_next = store_call::read_all;
    m_after.clear();
    return begins_read;
}

store_progress store_reader::on_result(store_result result, fleet_update update, bool has_more,
                                       const std::string& last_key, core::time_point now)
{
    m_in_flight = false;
    store_progress progress;
    const bool is_usable = result != store_result::failed && accept_era(update, progress);
    if (result == store_result::failed || progress.is_from_former_era) {
        on_failure(now, progress);
        return progress;
    }
    progress.became_reachable = std::exchange(m_unreachable, false);
    m_pause = retry_pause;
    m_due_at = now;
    if (result == store_result::history_lost) {
        m_next = store_call::read_all;
        return progress;
    }
    if (!is_usable) {
        return progress;
    }
    switch (m_next) {
    case store_call::read_all:
        if (m_after.empty()) {
            // The pages are no snapshot, since they are read one after the other: the watch continues from the revision
            // of the first.
            m_whole = std::move(update);
        } else {
            append(m_whole, std::move(update));
        }
        m_after = last_key;
        if (!has_more) {
            m_after.clear();
            m_whole.whole = true;
            m_position = m_whole.position();
            m_next = store_call::watch;
            // Most processes get later changes from others, and learn only from this view that they do: the pause lets
            // them stop reading before a watch starts.
            m_due_at = now + watch_pause;
            progress.update = std::exchange(m_whole, {});
        }
        break;
    case store_call::watch:
        m_position = std::max(m_position, update.position());
        if (!update.changes.empty() || !update.rejected.empty()) {
            m_due_at = now + watch_pause;
        }
        progress.update = std::move(update);
        break;
    }
    return progress;
}

void store_reader::on_failure(core::time_point now, store_progress& progress)
{
    progress.became_unreachable = !std::exchange(m_unreachable, true);
    m_after.clear();
    m_due_at = now + m_pause;
    const bool has_no_state = m_position == store_position{};
    const auto limit = has_no_state ? max_start_pause : m_mode == read_mode::watch ? max_retry_pause : max_check_pause;
    m_pause = std::min(m_pause * 2, limit);
}

bool store_reader::check_now(core::time_point now) noexcept
{
    if (m_in_flight && !m_is_waiting) {
        return false;
    }
    m_check_once = true;
    if (m_next == store_call::watch && !m_unreachable) {
        m_due_at = now;
    }
    return std::exchange(m_in_flight, false);
}

bool store_reader::read_again(core::time_point now) noexcept
{
    if (m_next == store_call::read_all) {
        return false;
    }
    m_next = store_call::read_all;
    m_after.clear();
    m_due_at = m_unreachable ? m_due_at : now;
    return std::exchange(m_in_flight, false);
}

bool store_reader::on_pause(core::time_point now) noexcept
{
    m_due_at = now;
    m_pause = retry_pause;
    m_after.clear();
    return std::exchange(m_in_flight, false);
}

} // namespace daisydoor::relay
