#pragma once

#include "version_store.hpp"

#include "daisydoor/core/endpoint.hpp"
#include "daisydoor/core/time.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace daisydoor::config::detail
{

/// @brief Parts to request from one source.
struct part_request
{
    /// Peer to request from; none for the platform.
    std::optional<core::endpoint> peer;
    std::vector<std::string> keys;
};

/// @brief Selects the source from which the missing parts of each candidate are requested: peers, then the platform.
///
/// A candidate is identified by the digest of its index. Its sources are tried in turn; after each round over all of
/// them, the timeout doubles.
class part_fetcher
{
  public:
    explicit part_fetcher(version_store& store) : m_store(store) {}

    /// @brief Adds a source for the candidate with this digest.
    /// @param peer is tried after the peers that were added before; none for the platform, which is tried next
    void add_source(std::uint64_t digest, const std::optional<core::endpoint>& peer);
    /// @brief Call when a peer does not have the requested parts; the next source is then tried at once, unless the
    /// peer is the last one.
    void on_parts_unavailable(core::time_point now, const core::endpoint& peer);
    [[nodiscard]] bool has_source(std::uint64_t digest) const { return m_fetches.count(digest) != 0; }
    /// @brief Call when a part was received or could not be read.
    void on_answer(core::time_point now, const std::string& key);

    struct advance_result
    {
        std::vector<part_request> requests;
        std::vector<rejection> rejections;
        /// Whether all sources of a candidate failed, which can mean that the index has changed since.
        bool all_sources_failed = false;
    };
    /// @brief Returns the requests that are due, and the errors to report.
    /// @param max_source_timeout upper bound of the doubling timeout of a source
    /// @param is_reader whether the platform is tried in the first round even if there are peers
    advance_result advance(core::time_point now, core::duration max_source_timeout, bool is_reader);

  private:
    struct fetch
    {
        std::vector<core::endpoint> peers;
        /// Index of the current source in `peers`; peers.size() means the platform.
        std::size_t source = 0;
        core::duration timeout{};
        /// When the next source is tried; none if requests to the current one are due.
        std::optional<core::time_point> retry_at;
        /// Keys that were requested from the current source and not answered yet.
        std::set<std::string> in_flight;
    };

    void erase_finished();
    void select_next_source(fetch& state, std::uint64_t digest, core::duration max_source_timeout, bool is_reader,
                            advance_result& result);

    version_store& m_store;
    std::map<std::uint64_t, fetch> m_fetches;
};

} // namespace daisydoor::config::detail
