#pragma once

#include "daisydoor/config/config_sync.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace daisydoor::config::detail
{

/// @brief Knows the other processes from the fleet view, or from the configuration if there is none.
class peer_directory
{
  public:
    explicit peer_directory(const sync_options& options) : m_options(options) {}

    /// Complexity: n log n in the number of instances.
    void update(const snapshot_ptr& configuration, const fleet_view_ptr& view);

    /// @brief Whether the own process is among the zone's two highest by rendezvous hashing over its live instances.
    ///
    /// Entries rank above agents, because only they hold all parts and can relay them. Also true without a fleet view
    /// or without a live instance in the zone.
    [[nodiscard]] bool is_reader() const noexcept { return m_is_reader; }
    /// @brief Live instances of the own zone in the fleet view.
    [[nodiscard]] std::size_t zone_instance_count() const noexcept { return m_zone_instance_count; }

    /// @brief Random distinct peers, without the own process.
    [[nodiscard]] std::vector<core::endpoint> random_peers(std::size_t n, core::random_source& random) const;
    [[nodiscard]] std::vector<core::endpoint> random_entries(std::size_t n, core::random_source& random) const;
    /// @brief Peers to notify of an accepted version: agents notify agents, entries mostly entries.
    [[nodiscard]] std::vector<core::endpoint> notice_recipients(std::size_t n, core::random_source& random,
                                                                const std::optional<core::endpoint>& except) const;
    /// @brief Whether the peer can hold the parts that the own process needs.
    [[nodiscard]] bool is_part_source(const core::endpoint& peer) const;

  private:
    void update_from_view(const fleet_view& view);
    void update_from_configuration(const snapshot_ptr& configuration);

    const sync_options& m_options;
    /// Both sorted.
    std::vector<core::endpoint> m_entries;
    std::vector<core::endpoint> m_agents;
    std::vector<core::endpoint> m_same_service;
    std::size_t m_zone_instance_count = 0;
    bool m_is_reader = true;
};

} // namespace daisydoor::config::detail
