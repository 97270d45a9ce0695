#pragma once

#include "daisydoor/config/published.hpp"
#include "daisydoor/core/error.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace daisydoor::config::detail
{

/// @brief Published value as it was read, stored so that it can be served to peers.
struct raw_value
{
    std::uint64_t digest = 0;
    std::shared_ptr<const std::string> content;
};

/// @brief Number and message of the error for which a published version is rejected.
struct rejection
{
    int number = 0;
    std::string what;
};

enum class offer_status
{
    /// An index that is now a candidate, or a part that a candidate needed; the candidate still lacks parts.
    added,
    /// The current version was replaced.
    accepted,
    /// Same version and content as the current one.
    current,
    /// Below the current version.
    older,
    /// Not needed, or rejected before.
    ignored,
    /// Not valid; `error` is set the first time that this content is rejected.
    rejected,
    /// A part whose digest differs from the one that the candidates' indexes list.
    mismatched,
};

struct offer_result
{
    offer_status status = offer_status::ignored;
    std::optional<rejection> error;
};

/// @brief Stores the accepted version and the candidates: indexes of higher versions whose parts are still incomplete.
///
/// Validates the values that are offered and accepts a candidate once it is complete. Independent of the time and of
/// the source of a value.
class version_store
{
  public:
    /// @param service service whose part is sufficient; none if all parts are needed
    explicit version_store(std::optional<core::service_id> service) : m_service(service) {}

    offer_result offer_index(const std::string& content);
    offer_result offer_part(const std::string& key, const std::string& content);
    offer_result offer_fleet(const std::string& content);

    struct candidate_info
    {
        /// Digest of the index, which identifies the candidate.
        std::uint64_t digest = 0;
        core::config_version version{};
    };
    /// @return highest version first
    [[nodiscard]] std::vector<candidate_info> candidates() const;
    /// @brief Returns the keys of the parts to fetch next for a candidate.
    [[nodiscard]] std::vector<std::string> missing_parts(std::uint64_t digest) const;
    /// @brief Returns the error that no source has a part; none if it was reported before or no part is missing.
    std::optional<rejection> report_missing_part(std::uint64_t digest);

    [[nodiscard]] const snapshot_ptr& current() const noexcept { return m_snapshot; }
    [[nodiscard]] const fleet_view_ptr& fleet() const noexcept { return m_fleet; }
    [[nodiscard]] core::config_version version() const noexcept;
    [[nodiscard]] std::uint64_t fleet_version() const noexcept { return m_fleet ? m_fleet->version : 0; }
    /// @return nullptr if neither the accepted version nor the accepted fleet view has a value with this key
    [[nodiscard]] const raw_value* find_accepted_value(const std::string& key) const;

  private:
    struct stored_part
    {
        raw_value raw;
        published_part_ptr parsed;
    };

    struct candidate
    {
        published_index index;
        raw_value raw;
        std::map<std::string, stored_part> parts;
    };

    [[nodiscard]] bool is_needed(const published_part& part) const;
    [[nodiscard]] bool is_complete(const candidate& value) const;
    offer_result check_version(const published_index& index, std::uint64_t digest);
    /// @brief Copies the parts that a candidate needs from another candidate or the accepted version.
    /// @throws config_error if a part refers to a zone that the candidate's index does not list
    void reuse_parts(candidate& to, const candidate& from);
    /// @return whether the content has the wanted digest
    /// @throws config_error if the content is not valid
    bool add_part(candidate& to, const part_reference& wanted, const std::string& content);
    offer_result accept_if_complete(std::uint64_t digest);
    offer_result reject(std::uint64_t digest, const core::error& error);
    offer_result report_once(offer_status status, std::uint64_t digest, const core::error& error);
    [[nodiscard]] bool is_reported(std::uint64_t digest) const;
    void erase_candidate(std::uint64_t digest);
    candidate* find_candidate(std::uint64_t digest);
    [[nodiscard]] const candidate* find_candidate(std::uint64_t digest) const;

    std::optional<core::service_id> m_service;
    std::optional<candidate> m_accepted;
    snapshot_ptr m_snapshot;
    std::vector<candidate> m_candidates;
    fleet_view_ptr m_fleet;
    raw_value m_raw_fleet;
    /// Digests of the rejected values, so that each is reported only once.
    std::deque<std::uint64_t> m_reported_digests;
    /// Digests of parts that do not contain the own service, so that they are not fetched again.
    std::deque<std::uint64_t> m_unneeded_parts;
};

} // namespace daisydoor::config::detail
