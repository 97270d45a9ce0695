#include "part_fetcher.hpp"

#include <algorithm>

namespace daisydoor::config::detail
{

namespace
{

/// Time without a received part after which the next source is tried, in the first round.
constexpr core::milliseconds source_timeout{1000};
constexpr std::size_t max_sources = 8;
/// Parts requested from the platform at a time; bounds the load on the platform when many processes start at once.
constexpr std::size_t max_platform_reads = 8;
constexpr std::size_t max_pulled_parts = 64;

} // namespace

void part_fetcher::add_source(std::uint64_t digest, const std::optional<core::endpoint>& peer)
{
    auto [it, is_new] = m_fetches.try_emplace(digest);
    auto& state = it->second;
    if (is_new) {
        state.timeout = source_timeout;
    }
    if (!peer) {
        // The index came from the platform, so the platform has the parts, while peers may not have them yet.
        state.source = state.peers.size();
        state.retry_at.reset();
        state.in_flight.clear();
        return;
    }
    if (state.peers.size() >= max_sources ||
        std::find(state.peers.begin(), state.peers.end(), *peer) != state.peers.end()) {
        return;
    }
    // Without retry_at, nothing has been requested yet; peers are then tried before the platform.
    const bool is_at_platform = state.retry_at && state.source == state.peers.size();
    state.peers.push_back(*peer);
    if (state.timeout > source_timeout) {
        // All earlier sources failed.
        state.source = state.peers.size() - 1;
        state.timeout = source_timeout;
        state.retry_at.reset();
        state.in_flight.clear();
    } else if (is_at_platform) {
        state.source = state.peers.size();
    }
}

void part_fetcher::on_answer(core::time_point now, const std::string& key)
{
    for (auto& [digest, state] : m_fetches) {
        if (state.in_flight.erase(key) == 0) {
            continue;
        }
        const auto missing = m_store.missing_parts(digest);
        if (std::find(missing.begin(), missing.end(), key) != missing.end()) {
            // The part has the wrong content. The next source is tried only after the timeout, so that a bad part
            // causes no burst of reads.
            continue;
        }
        if (state.in_flight.empty()) {
            state.retry_at.reset();
        } else {
            state.retry_at = now + state.timeout;
        }
    }
}

void part_fetcher::on_parts_unavailable(core::time_point now, const core::endpoint& peer)
{
    for (auto& [digest, state] : m_fetches) {
        // The timeout of the last peer is not cut short, so that a round over all sources takes at least that long.
        if (state.source + 1 < state.peers.size() && state.peers[state.source] == peer) {
            state.retry_at = now;
        }
    }
}

void part_fetcher::erase_finished()
{
    const auto candidates = m_store.candidates();
    for (auto it = m_fetches.begin(); it != m_fetches.end();) {
        const bool is_open = std::any_of(candidates.begin(), candidates.end(),
                                         [&it](const auto& info) { return info.digest == it->first; });
        it = is_open ? std::next(it) : m_fetches.erase(it);
    }
}

void part_fetcher::select_next_source(fetch& state, std::uint64_t digest, core::duration max_source_timeout,
                                      bool is_reader, advance_result& result)
{
    const bool skips_platform = !is_reader && !state.peers.empty() && state.timeout <= source_timeout;
    state.source = (state.source + 1) % (state.peers.size() + (skips_platform ? 0 : 1));
    if (state.source != 0) {
        return;
    }
    state.timeout = std::min<core::duration>(2 * state.timeout, max_source_timeout);
    result.all_sources_failed = true;
    if (auto error = m_store.report_missing_part(digest)) {
        result.rejections.push_back(std::move(*error));
    }
}

part_fetcher::advance_result part_fetcher::advance(core::time_point now, core::duration max_source_timeout,
                                                   bool is_reader)
{
    erase_finished();
    advance_result result;
    for (auto& [digest, state] : m_fetches) {
        if (state.retry_at) {
            if (now < *state.retry_at) {
                continue;
            }
            select_next_source(state, digest, max_source_timeout, is_reader, result);
        }
        part_request request;
        request.keys = m_store.missing_parts(digest);
        const bool is_peer = state.source < state.peers.size();
        if (is_peer) {
            request.peer = state.peers[state.source];
        }
        request.keys.resize(std::min(request.keys.size(), is_peer ? max_pulled_parts : max_platform_reads));
        state.in_flight = {request.keys.begin(), request.keys.end()};
        state.retry_at = now + state.timeout;
        result.requests.push_back(std::move(request));
    }
    return result;
}

} // namespace daisydoor::config::detail
