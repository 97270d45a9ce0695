#pragma once

#include "daisydoor/core/time.hpp"
#include "daisydoor/relay/fleet_view.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace daisydoor::relay
{

/// Different agents of a zone that must be silent; two may be lost with one rack, or be overloaded at once.
constexpr std::size_t min_silent_agents = 3;
/// Time within which the placements at these agents must have been sent.
constexpr core::milliseconds silence_window{300};
/// Interval between flows that probe a suspected zone.
constexpr core::milliseconds zone_probe_interval{100};
/// Time after the first answer over which a zone is taken back: several load reports (100 ms apart), so that its hosts
/// are chosen by their load before all flows may reach them.
constexpr core::milliseconds zone_return_time{500};

/// @brief What a route has in a zone and elsewhere; counts hosts that accept new flows.
struct zone_extent
{
    std::size_t agents_in_zone = 0;
    std::size_t zones = 0;
};

/// @brief Counts the hosts of a route's services. Complexity: linear in these.
zone_extent extent_of(const fleet_view& view, const known_route& route, const std::string& zone);

/// @brief Learns that an availability zone is lost from the silence of several of its agents together.
///
/// Load pattern: a zone loses its power or its links while another is evacuated, so that hundreds of new flows a second
/// are placed in it. Learned agent by agent, each lost agent costs two flows their placement timeout, and a flow meets
/// one lost agent after the other. Afterwards the zone returns with all its hosts at once, and every entry would send
/// it all its flows with the first answer.
///
/// One zone at least is never suspected: a process that hears nothing from anywhere may be cut off itself.
class zone_suspicion
{
  public:
    /// @brief Records that an agent did not confirm a placement in time.
    /// @param placed_at when the placement was sent
    /// @param extent of the flow's route
    /// @return whether the zone is suspected from now on, and was not before
    bool on_silence(const std::string& zone, ipv4 agent, core::time_point placed_at, const zone_extent& extent);

    /// @brief Records an answer of any agent of the zone.
    /// @return whether the zone was suspected; it is taken back gradually from now on
    bool on_answer(const std::string& zone, core::time_point now);

    /// @brief Whether no zone is suspected or being taken back, so that callers need not look up a host's zone.
    [[nodiscard]] bool is_idle() const noexcept { return m_affected == 0; }

    /// @brief Whether a new flow avoids the zone; while the zone is taken back, a falling share of the flows does.
    [[nodiscard]] bool is_avoided(const std::string& zone, std::uint64_t flow_hash, core::time_point now) const;

    /// @brief Whether the next new flow may probe a suspected zone; a call that returns a zone starts the next probe
    /// interval there.
    std::optional<std::string> try_start_probe(core::time_point now);

    /// @brief Ends the gradual return of zones that are back.
    void on_tick(core::time_point now);

    /// @brief Zones that are suspected, in no particular order.
    [[nodiscard]] std::vector<std::string> suspected_zones() const;

  private:
    struct silent_agent
    {
        ipv4 agent{};
        core::time_point placed_at;
    };

    struct zone_record
    {
        std::vector<silent_agent> silent;
        core::time_point last_answer_at;
        bool suspected = false;
        core::time_point next_probe;
        /// When the zone answered again after a suspicion.
        std::optional<core::time_point> returned_at;
    };

    [[nodiscard]] std::size_t suspected_count() const noexcept;

    std::unordered_map<std::string, zone_record> m_zones;
    /// Zones that are suspected or being taken back.
    std::size_t m_affected = 0;
};

} // namespace daisydoor::relay
