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

/// @brief Sends a message to a peer; the driver opens a link if there is none.
struct send_config_message
{
    core::endpoint peer;
    wire::peer_messageT message;
};

/// @brief Reads a platform value; `after` and `wait` make it a watch.
struct read_platform_value
{
    std::string key;
    std::optional<std::uint64_t> after;
    core::milliseconds wait{0};
};

/// @brief A higher version was accepted and is in force from now on.
struct accept_configuration
{
    snapshot_ptr value;
};

struct accept_fleet_view
{
    fleet_view_ptr value;
};

/// @brief The held configuration was confirmed as current by a peer or the platform.
struct confirm_configuration
{
};

/// @brief A published version was rejected; the previous one stays in force.
struct reject_configuration
{
    int error_number = 0;
    std::string what;
};

using sync_action = std::variant<send_config_message, read_platform_value, accept_configuration, accept_fleet_view,
                                 confirm_configuration, reject_configuration>;

struct sync_options
{
    core::endpoint self;
    std::string zone;
    /// Service whose part is enough (agent); none for an entry, which needs all parts.
    std::optional<core::service_id> service;
    std::vector<core::endpoint> bootstrap_peers;
};

/// @brief Reads, checks, relays and versions the configuration. Only ever moves to a higher version.
///
/// on_tick() is expected at least twice a second.
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
    /// @brief A read failed, or a watch ended without a newer value (`unchanged`).
    void on_platform_failure(core::time_point now, const std::string& key, bool unchanged,
                             std::vector<sync_action>& actions);
    /// @brief Handles config_notice, config_pull and config_push, and the version that any message carries.
    void on_peer_message(core::time_point now, const core::endpoint& peer, const wire::peer_messageT& message,
                         std::vector<sync_action>& actions);
    /// @brief Another process acts on this version; fetches if it is higher than the held one.
    void on_version_seen(core::time_point now, const core::endpoint& peer, core::config_version version,
                         std::vector<sync_action>& actions);
    /// @brief Requests a confirmation that the held configuration is current, after a pause of the process.
    void revalidate(core::time_point now, std::vector<sync_action>& actions);

    [[nodiscard]] snapshot_ptr current() const noexcept;
    [[nodiscard]] fleet_view_ptr fleet() const noexcept;
    /// @brief Whether this process is one of the zone's readers of the platform.
    [[nodiscard]] bool is_reader() const noexcept;
    /// @brief Reads and watches of the platform that were requested since the start.
    [[nodiscard]] std::uint64_t platform_calls() const noexcept;

  private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace daisydoor::config
