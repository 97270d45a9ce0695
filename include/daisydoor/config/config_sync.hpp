#pragma once

#include "daisydoor/config/snapshot.hpp"
#include "daisydoor/core/random.hpp"
#include "daisydoor/core/time.hpp"
#include "daisydoor/wire/peer.hpp"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace daisydoor::config
{

/// @brief Send a message to a peer; the driver connects to the peer if it has no link.
struct send_config_message
{
    core::endpoint peer;
    wire::peer_messageT message;
};

/// @brief Read a value of the platform, or watch it (long poll) if `after` and `wait` are set.
struct read_platform_value
{
    std::string key;
    /// If set, only a value version above this one is returned.
    std::optional<std::uint64_t> after;
    /// Time for which the platform waits for such a version before it answers that the value is unchanged.
    core::milliseconds wait{0};
};

/// @brief A higher version of the configuration was accepted and is in force from now on.
struct accept_configuration
{
    snapshot_ptr configuration;
};

/// @brief A higher version of the fleet view was accepted and is in force from now on.
struct accept_fleet_view
{
    fleet_view_ptr view;
};

/// @brief A peer or the platform confirmed after revalidate() that the configuration is current.
struct confirm_configuration
{
};

/// @brief A published version of the configuration or fleet view was rejected; the previous one stays in force.
struct reject_configuration
{
    /// Number and message of the core::error.
    int error_number = 0;
    std::string what;
};

using sync_action = std::variant<send_config_message, read_platform_value, accept_configuration, accept_fleet_view,
                                 confirm_configuration, reject_configuration>;

struct sync_options
{
    /// Address at which peers reach this process.
    core::endpoint self;
    std::string zone;
    /// Service of an agent, which needs only the part with this service; none for an entry, which needs all parts.
    std::optional<core::service_id> service;
    /// Peers that are asked at the start, and whenever the fleet view lists none.
    std::vector<core::endpoint> bootstrap_peers;
};

/// @brief Fetches the configuration and the fleet view from the platform and from peers, validates them and serves them
/// to other peers.
///
/// Accepts only versions above the current one. A gossip protocol spreads a version: a process notifies random peers of
/// a version that it accepted (config_notice), and these pull it (config_pull, config_push). The owner calls on_tick()
/// at least twice a second and performs the actions that the functions append.
class config_sync
{
  public:
    config_sync(sync_options options, core::random_source random);
    ~config_sync();
    config_sync(const config_sync&) = delete;
    config_sync& operator=(const config_sync&) = delete;

    void on_start(core::time_point now, std::vector<sync_action>& actions);
    void on_tick(core::time_point now, std::vector<sync_action>& actions);
    void on_platform_value(core::time_point now, const std::string& key, std::uint64_t value_version,
                           const std::string& content, std::vector<sync_action>& actions);
    /// @brief Call when a read or watch has failed, or a watch has ended without a newer value (`unchanged`).
    void on_platform_failure(core::time_point now, const std::string& key, bool unchanged,
                             std::vector<sync_action>& actions);
    /// @brief Handles config_notice, config_pull and config_push, and the version that any message carries.
    void on_peer_message(core::time_point now, const core::endpoint& peer, const wire::peer_messageT& message,
                         std::vector<sync_action>& actions);
    /// @brief Call when a peer uses this version of the configuration; pulls it if it is above the current one.
    void on_version_seen(core::time_point now, const core::endpoint& peer, core::config_version version,
                         std::vector<sync_action>& actions);
    /// @brief Asks peers or the platform to confirm that the configuration is current, after a pause of the process.
    /// confirm_configuration follows when one of them has.
    void revalidate(core::time_point now, std::vector<sync_action>& actions);

    /// @return nullptr until a configuration was accepted
    [[nodiscard]] snapshot_ptr current() const noexcept;
    /// @return nullptr until a fleet view was accepted
    [[nodiscard]] fleet_view_ptr fleet() const noexcept;
    /// @brief Whether this process is one of its zone's readers, the processes that watch the platform.
    [[nodiscard]] bool is_reader() const noexcept;
    /// @brief Number of reads and watches of the platform requested since the start.
    [[nodiscard]] std::uint64_t platform_calls() const noexcept;

  private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace daisydoor::config
