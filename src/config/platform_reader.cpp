#include "platform_reader.hpp"

#include <algorithm>
#include <utility>

namespace daisydoor::config::detail
{

namespace
{

/// Each watch costs the platform one read, so a longer wait means fewer reads; stays below the idle timeout of common
/// HTTP proxies.
constexpr core::milliseconds watch_wait{20000};
/// Added to watch_wait before the answer of a watch is considered lost.
constexpr core::milliseconds watch_response_margin{10000};
constexpr core::milliseconds min_backoff{1000};
/// Interval of reads that do not depend on the version of the value: a platform that was restored from an older copy
/// gives versions out again, which a watch does not return. Below the 15 s in which a change must be in force.
constexpr core::milliseconds reread_interval{8000};
/// Without a fleet view every process reads the platform; a longer delay keeps the whole fleet from overloading the
/// platform when it returns after an outage.
constexpr core::milliseconds max_backoff{16000};

} // namespace

void platform_reader::read(core::time_point /*now*/, const std::string& key, bool only_if_newer,
                           std::vector<sync_action>& actions)
{
    auto& state = m_keys[key];
    ++m_calls;
    const auto after = only_if_newer ? state.last_version : std::nullopt;
    state.pending_reads += after ? 0 : 1;
    actions.emplace_back(read_platform_value{key, after, core::milliseconds(0)});
}

void platform_reader::ensure_watch(core::time_point now, const std::string& key, std::vector<sync_action>& actions)
{
    auto& state = m_keys[key];
    if (state.watch_expires_at && now >= *state.watch_expires_at) {
        state.watch_expires_at.reset();
        state.pending_reads = 0;
    }
    if (state.watch_expires_at || now < state.next_watch) {
        return;
    }
    state.watch_expires_at = now + watch_wait + watch_response_margin;
    ++m_calls;
    actions.emplace_back(
        read_platform_value{key, state.last_version, state.last_version ? watch_wait : core::milliseconds(0)});
}

void platform_reader::ensure_reread(core::time_point now, const std::string& key, std::vector<sync_action>& actions)
{
    auto& state = m_keys[key];
    if (!state.last_version || now < state.next_reread) {
        return;
    }
    const bool is_first = state.next_reread == core::time_point{};
    state.next_reread = now + reread_interval;
    if (!is_first) {
        read(now, key, false, actions);
    }
}

bool platform_reader::on_value(core::time_point now, const std::string& key, std::uint64_t value_version)
{
    auto& state = m_keys[key];
    const bool is_unchanged = state.last_version == value_version;
    // A watch returns only a newer value; any other value is the answer to a read.
    if (state.watch_expires_at && (!state.last_version || value_version > *state.last_version)) {
        state.watch_expires_at.reset();
    } else if (state.pending_reads > 0) {
        --state.pending_reads;
    }
    if (!state.last_version || value_version > *state.last_version) {
        state.last_version = value_version;
    } else if (!is_unchanged) {
        // A stale replica of the platform returned an older value. The next watch is delayed and asks for a newer one.
        state.next_watch = std::max(state.next_watch, now + min_backoff);
    }
    state.backoff = {};
    return is_unchanged;
}

void platform_reader::on_failure(core::time_point now, const std::string& key, bool unchanged)
{
    auto& state = m_keys[key];
    const auto expires_at = std::exchange(state.watch_expires_at, std::nullopt);
    if (unchanged) {
        state.backoff = {};
        if (expires_at) {
            // If the platform answers without waiting, the next watch must not follow at once. The start of the watch
            // is its expiry minus both constants.
            state.next_watch = *expires_at - watch_response_margin - watch_wait + min_backoff;
        }
        return;
    }
    state.pending_reads = 0;
    state.backoff = std::clamp<core::duration>(2 * state.backoff, min_backoff, max_backoff);
    std::uniform_int_distribution<core::duration::rep> jitter(0, state.backoff.count() / 2);
    state.next_watch = now + state.backoff / 2 + core::duration(jitter(m_random)) + state.backoff / 4;
}

std::size_t platform_reader::pending_reads(const std::string& key) const
{
    const auto it = m_keys.find(key);
    return it != m_keys.end() ? it->second.pending_reads : 0;
}

} // namespace daisydoor::config::detail
