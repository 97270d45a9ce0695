#pragma once

#include "daisydoor/relay/fleet.hpp"

#include <map>
#include <string>
#include <vector>

namespace daisydoor::relay
{

/// @brief The availability zones whose hosts get nothing new, as the operator has published them.
///
/// Load pattern: a zone is emptied, and filled again, while flows are opened at the full rate. Whatever opens a flow
/// asks the view, which asks this class, at the moment when it sends the opening packet.
class evacuations
{
  public:
    struct evacuation
    {
        /// Revision of the operator's request; 0 if it has not changed since the beginning of the store's era.
        relay::revision revision{};
        /// When this process learned of the request.
        core::time_point since;
    };

    /// @brief Applies a request; one that is not newer than the zone's changes nothing.
    /// @return whether the zone was not evacuated before
    bool begin(const std::string& zone, relay::revision at, core::time_point now);

    /// @brief Applies the end of a request; one that is older than the request changes nothing.
    /// @return whether the zone was evacuated before
    bool end(const std::string& zone, relay::revision at);

    [[nodiscard]] bool contains(const std::string& zone) const { return m_zones.count(zone) != 0; }
    [[nodiscard]] const std::map<std::string, evacuation>& zones() const noexcept { return m_zones; }

    /// @brief Zones that are missing in a whole update and no newer than it.
    [[nodiscard]] std::vector<std::string> not_named(const fleet_update& whole) const;

    /// @brief Forgets the revisions: those of a former era say nothing about the order of changes in the next one.
    void begin_era() noexcept;
    /// @brief Gives the requests that have not changed since the beginning of the era a revision of the era.
    void confirm_unchanged(relay::revision at) noexcept;

  private:
    std::map<std::string, evacuation> m_zones;
};

} // namespace daisydoor::relay
