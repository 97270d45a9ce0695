#pragma once

#include "daisydoor/relay/fleet.hpp"

#include <cstddef>
#include <map>
#include <string>

namespace daisydoor::relay
{

/// Maximum age of a flow, unless the settings name another.
constexpr core::milliseconds default_flow_ttl{60'000};
/// Time that the views of processes in touch differ. A process that knows nothing from before counts flows as known
/// that were opened later.
constexpr core::milliseconds late_view_time{5000};
/// Largest age that a message can carry; also stands for always.
constexpr core::milliseconds max_past{0xffffffff};
/// Maximum number of pairs of a route and a former service that are remembered.
constexpr std::size_t max_former_services = 4096;

/// @brief Remembers which services each route has lost, and since when it knows them all.
///
/// Load pattern: a process without news opens flows at a service that its route lost long ago. How long ago is not
/// bounded, so that lost services are forgotten by number, not by age.
///
/// Load pattern: processes start while flows of a route's former service are open, one after the other or all at once.
/// What a process did not see itself it takes over from a peer whose knowledge reaches back further.
class route_history
{
  public:
    struct key
    {
        ipv4 address{};
        std::uint16_t port = 0;
        std::string service;

        friend bool operator<(const key& a, const key& b) noexcept;
    };

    /// @param flow_ttl maximum age of a flow
    /// @param begins_with_system whether no flow is older than this process
    explicit route_history(core::milliseconds flow_ttl = default_flow_ttl, bool begins_with_system = false) noexcept
        : m_memory(flow_ttl + late_view_time), m_begins_with_system(begins_with_system)
    {
    }

    /// @brief Records that the routes moved on to a version; what they lost follows by add().
    /// @param is_gapless whether no version between the former one and this one was left out
    void on_version(route_version version, bool is_gapless, core::time_point now);

    /// @brief Records that a route has lost a service. Complexity: logarithmic.
    void add(key value, core::time_point now);

    /// @brief Takes over what a peer knows. Has no effect if versions are missing between the peer's knowledge and this
    /// one, or if the peer knows more than it tells and this process does not know all itself.
    /// @return whether former services were added
    bool merge(const routes_past& value, core::time_point now);

    /// @brief Time for which no loss is missing; 0 before the first version.
    [[nodiscard]] core::milliseconds complete_for(core::time_point now) const;

    /// @brief Whether every former service is known at which processes in touch may have opened a flow that is still
    /// open.
    [[nodiscard]] bool is_complete(core::time_point now) const { return complete_for(now) >= m_memory; }

    /// @brief Whether a peer lacks what it can take over from here.
    /// @param peer_complete_for what the peer knows; 0 if it cannot be told anything
    /// @param margin difference that is not worth a message
    [[nodiscard]] bool helps(core::milliseconds peer_complete_for, core::milliseconds margin,
                             core::time_point now) const
    {
        return peer_complete_for.count() > 0 && peer_complete_for < m_memory &&
               complete_for(now) > peer_complete_for + margin;
    }

    /// @brief What a peer can take over, the latest losses first.
    /// @param max_former maximum number of former services; the result is partial if there are more, and complete for
    /// the time since the latest one that is left out
    [[nodiscard]] routes_past describe(core::time_point now, std::size_t max_former = max_former_services) const;

    [[nodiscard]] const std::map<key, core::time_point>& former() const noexcept { return m_lost_at; }

  private:
    void drop_oldest();

    core::milliseconds m_memory;
    bool m_begins_with_system;
    route_version m_version{};
    /// Version with which the gapless part of this process's own knowledge began.
    route_version m_first_version{};
    core::time_point m_complete_since;
    std::map<key, core::time_point> m_lost_at;
};

} // namespace daisydoor::relay
