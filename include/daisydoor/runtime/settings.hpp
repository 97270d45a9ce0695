#pragma once

#include "daisydoor/core/endpoint.hpp"
#include "daisydoor/core/error.hpp"
#include "daisydoor/core/ids.hpp"
#include "daisydoor/core/time.hpp"
#include "daisydoor/relay/cold_budget.hpp"
#include "daisydoor/relay/fleet_view.hpp"

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace daisydoor::runtime
{

enum class role
{
    entry,
    agent,
};
constexpr std::array<std::string_view, 2> role_names{"entry", "agent"};

enum class log_level
{
    info,
    warning,
    error,
};
constexpr std::array<std::string_view, 3> log_level_names{"info", "warning", "error"};

/// @brief Error codes of settings; docs/errors.md explains each one.
enum class settings_errc
{
    unreadable_file = 401,
    bad_yaml = 402,
    unknown_key = 403,
    missing_key = 404,
    wrong_type = 405,
    out_of_range = 406,
    bad_address = 407,
    unknown_name = 408,
    role_mismatch = 409,
    duplicate = 410,
    multiple_problems = 411,
};

/// @brief One problem of a settings file.
struct settings_problem
{
    settings_errc code = settings_errc::bad_yaml;
    /// Line number from 1, or 0 if the problem concerns the whole file.
    int line = 0;
    /// Path of the field, such as `agent.host`.
    std::string field;
    /// What was found and what is allowed.
    std::string what;
};

/// @brief Invalid settings, numbers 400-499. Lists every problem of the file.
class settings_error : public core::error
{
  public:
    /// @param problems at least one
    settings_error(const std::string& file, std::vector<settings_problem> problems);

    [[nodiscard]] const std::vector<settings_problem>& problems() const noexcept { return m_problems; }
    /// @brief One line for each problem, as `FILE:LINE: [settings.N] FIELD: WHAT`.
    [[nodiscard]] const std::vector<std::string>& lines() const noexcept { return m_lines; }

  private:
    std::vector<settings_problem> m_problems;
    std::vector<std::string> m_lines;
};

/// @brief Section `agent` of the settings.
struct agent_settings
{
    /// Id of the host that this agent serves, from the published configuration.
    core::host_id host{};
    /// Id of the host's service, from the published configuration.
    core::service_id service{};
    /// HTTP endpoint of the target on the host.
    core::endpoint target;
    /// Time after which a drain ends even if flows are left.
    core::seconds drain_timeout{300};
};

/// @brief Settings of an entry or agent.
struct settings
{
    runtime::role role = role::entry;
    std::string zone;
    /// UDP endpoint for datagrams and TCP endpoint for peer links.
    core::endpoint listen;
    /// HTTP endpoint for `/dump` and `/metrics`.
    core::endpoint admin;
    /// Endpoint of the fabric to which datagrams for callers are sent.
    core::endpoint return_path;
    /// HTTP endpoint of the platform, from which the configuration is read.
    core::endpoint platform;
    /// Processes to ask for the configuration before any peer is known.
    std::vector<core::endpoint> bootstrap_peers;
    runtime::log_level log_level = log_level::info;
    /// Set if and only if the role is `agent`.
    std::optional<agent_settings> agent;
};

enum class relay_role
{
    relay_entry,
    relay_agent,
};
constexpr std::array<std::string_view, 2> relay_role_names{"relay_entry", "relay_agent"};

/// @brief Section `agent` of the settings of a relaying process.
struct relay_agent_settings
{
    /// Name of the host's service.
    std::string service;
    /// Where the host receives packets.
    core::endpoint host;
    /// Where this process receives the packets that the host sends.
    core::endpoint outbound;
    /// What the host gets while it is cold, beyond what its service publishes.
    relay::cold_allowance cold;
};

/// @brief Settings of a process that relays packet flows on the users' platform.
struct relay_settings
{
    relay_role role = relay_role::relay_entry;
    /// Name of the instance in the log and the dump.
    std::string name;
    std::string zone;
    /// IPv4 endpoint for packets; the port is the same on all instances and clients.
    core::endpoint packets;
    /// HTTP endpoint for readiness, metrics, dump and fleet view.
    core::endpoint admin;
    /// UDP port for messages between relaying processes, the same on all instances.
    std::uint16_t peer_port = 0;
    /// HTTP endpoint of the store of the users' platform.
    core::endpoint platform;
    /// Instances to contact for the fleet view before it is known.
    std::vector<core::endpoint> seeds;
    /// Whether the whole system starts for the first time, so that no flow can be older than this process.
    bool first_start = false;
    /// Maximum age of a flow; any process may have removed an older one.
    core::seconds flow_ttl{60};
    /// Time after SIGTERM within which the process must have ended.
    core::seconds grace{6};
    /// Interval at which hosts write their entries at the platform.
    core::milliseconds host_heartbeat = relay::default_host_heartbeat;
    runtime::log_level log_level = log_level::info;
    /// Set if and only if the role is `relay_agent`.
    std::optional<relay_agent_settings> agent;
};

using any_settings = std::variant<settings, relay_settings>;

/// @brief Parses settings of the roles `entry` and `agent`.
/// @param file file name in error messages
/// @throws settings_error with all problems of the text.
settings parse_settings(const std::string& text, const std::string& file);

/// @brief Parses settings of the roles `relay_entry` and `relay_agent`.
/// @param file file name in error messages
/// @throws settings_error with all problems of the text.
relay_settings parse_relay_settings(const std::string& text, const std::string& file);

/// @brief Reads and parses a settings file of any role.
/// @throws settings_error with all problems of the file.
any_settings load_settings(const std::string& file);

} // namespace daisydoor::runtime
