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

/// @brief Parts to be requested from one source.
struct part_request
{
    /// Peer that has announced the version; none for the platform.
    std::optional<core::endpoint> peer;
    std::vector<std::string> keys;
};

/// @brief Chooses the source for the missing parts of each candidate: peers that announced it, then the platform.
class part_fetcher
{
  public:
    explicit part_fetcher(version_store& store) : m_store(store) {}

    /// @brief Adds a source. Without a peer it is the platform, which is then asked next; otherwise it is asked last.
    void add_source(std::uint64_t digest, const std::optional<core::endpoint>& peer);
    /// @brief A peer lacks the parts that it was asked for.
    void on_parts_unavailable(core::time_point now, const core::endpoint& peer);
    [[nodiscard]] bool has_source(std::uint64_t digest) const { return m_fetches.count(digest) != 0; }
    /// @brief A part arrived or could not be read.
    void on_answer(core::time_point now, const std::string& key);

    struct advance_result
    {
        std::vector<part_request> requests;
        std::vector<rejection> rejections;
        /// Whether a candidate's sources were all tried in vain, so that the index may have changed since.
        bool all_sources_failed = false;
    };
    /// @brief Returns the requests that are due.
    /// @param max_source_timeout upper bound of the doubling time between two rounds over all sources
    /// @param is_reader whether the platform is asked in the first round even if peers have the version
    advance_result advance(core::time_point now, core::duration max_source_timeout, bool is_reader);

  private:
    struct fetch
    {
        std::vector<core::endpoint> peers;
        /// Source in use; peers.size() stands for the platform.
        std::size_t source = 0;
        core::duration timeout{};
        std::optional<core::time_point> retry_at;
        std::set<std::string> in_flight;
    };

    void erase_finished();
    void select_next_source(fetch& state, std::uint64_t digest, core::duration max_source_timeout, bool is_reader,
                            advance_result& result);

    version_store& m_store;
    std::map<std::uint64_t, fetch> m_fetches;
};

} // namespace daisydoor::config::detail
