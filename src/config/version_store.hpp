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

/// @brief Published value as read, kept so that it can be relayed.
struct raw_value
{
    std::uint64_t digest = 0;
    std::shared_ptr<const std::string> content;
};

struct rejection
{
    int number = 0;
    std::string what;
};

enum class offer_status
{
    /// A new candidate whose parts are incomplete, or a part that a candidate needed.
    added,
    /// The held version was replaced.
    accepted,
    /// Same version and content as the held one.
    current,
    /// Below the held version.
    older,
    /// Nothing that is needed, or known to be bad.
    ignored,
    /// Breaks a rule; `error` is set when it is reported for the first time.
    rejected,
    /// A part with another digest than every candidate wants.
    mismatched,
};

struct offer_result
{
    offer_status status = offer_status::ignored;
    std::optional<rejection> error;
};

/// @brief Holds the accepted version and the higher versions that are still incomplete.
///
/// Decides what is accepted; has no notion of time or of the source of a value.
class version_store
{
  public:
    /// @param service service whose part is enough; none if all parts are needed
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
    /// @brief Parts to be fetched next for a candidate.
    [[nodiscard]] std::vector<std::string> missing_parts(std::uint64_t digest) const;
    /// @brief Rejection that names a part that no source has; none if it was reported before.
    std::optional<rejection> report_missing_part(std::uint64_t digest);

    [[nodiscard]] const snapshot_ptr& current() const noexcept { return m_snapshot; }
    [[nodiscard]] const fleet_view_ptr& fleet() const noexcept { return m_fleet; }
    [[nodiscard]] core::config_version version() const noexcept;
    [[nodiscard]] std::uint64_t fleet_version() const noexcept { return m_fleet ? m_fleet->version : 0; }
    /// @return nullptr if the accepted version holds no such value
    [[nodiscard]] const raw_value* find_raw(const std::string& key) const;

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
    /// @throws config_error if a part does not fit the candidate's zones
    void reuse_parts(candidate& value, const candidate& other);
    /// @return whether the part fits the candidate
    bool add_part(candidate& value, const part_reference& wanted, const std::string& content);
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
    /// Digests of values that were reported, so that a repeated offer is not reported again.
    std::deque<std::uint64_t> m_last_report;
    /// Digests of parts without the own service, which are not fetched again.
    std::deque<std::uint64_t> m_unneeded_parts;
};

} // namespace daisydoor::config::detail
