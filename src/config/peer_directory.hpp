#pragma once

#include "daisydoor/config/config_sync.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace daisydoor::config::detail
{

/// @brief Lists the other processes, from the fleet view or, without one, from the configuration and the bootstrap
/// peers.
class peer_directory
{
  public:
    explicit peer_directory(const sync_options& options) : m_options(options) {}

    /// Complexity: n log n in the number of instances.
    void update(const snapshot_ptr& configuration, const fleet_view_ptr& view);

    /// @brief Whether this process is one of the two readers of its zone, which watch the platform.
    ///
    /// The readers are the two live instances with the highest rank in rendezvous hashing. Entries rank above agents,
    /// because only entries have all parts and can serve them to peers. Also true without a fleet view, or if the view
    /// has no live instance in the zone.
    [[nodiscard]] bool is_reader() const noexcept { return m_is_reader; }
    /// @brief Number of live instances in the own zone according to the fleet view.
    [[nodiscard]] std::size_t zone_instance_count() const noexcept { return m_zone_instance_count; }

    /// @brief Returns up to `n` random distinct peers, without the own process.
    [[nodiscard]] std::vector<core::endpoint> random_peers(std::size_t n, core::random_source& random) const;
    /// @brief Returns up to `n` random distinct entries, without the own process.
    [[nodiscard]] std::vector<core::endpoint> random_entries(std::size_t n, core::random_source& random) const;
    /// @brief Returns up to `n` random peers to notify of an accepted version.
    ///
    /// An agent notifies agents; an entry notifies entries and one agent. Missing ones are replaced by the other role.
    /// @param except peer that the version came from
    [[nodiscard]] std::vector<core::endpoint> notice_recipients(std::size_t n, core::random_source& random,
                                                                const std::optional<core::endpoint>& except) const;
    /// @brief Whether the peer may have the parts that the own process needs: not an agent of another service.
    [[nodiscard]] bool is_part_source(const core::endpoint& peer) const;

  private:
    void update_from_view(const fleet_view& view);
    void update_from_configuration(const snapshot_ptr& configuration);

    const sync_options& m_options;
    /// All three are sorted.
    std::vector<core::endpoint> m_entries;
    std::vector<core::endpoint> m_agents;
    /// Agents of the own service, from the configuration.
    std::vector<core::endpoint> m_same_service;
    std::size_t m_zone_instance_count = 0;
    bool m_is_reader = true;
};

} // namespace daisydoor::config::detail
