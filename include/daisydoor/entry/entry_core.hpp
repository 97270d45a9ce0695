#pragma once

#include "daisydoor/config/snapshot.hpp"
#include "daisydoor/core/time.hpp"
#include "daisydoor/wire/datagram.hpp"

#include <array>
#include <cstdint>
#include <memory>
#include <string_view>

/// @brief Decision core of the entry role: forwards, refuses or drops each datagram. Keeps no state per flow.
namespace daisydoor::entry
{

enum class verdict_kind
{
    forward,
    /// Send `reply` to the caller over the return path.
    refuse,
    drop,
};

/// @brief Why a datagram was dropped or refused.
enum class drop_reason
{
    none,
    malformed,
    unknown_service,
    unknown_key,
    bad_mac,
    wrong_service,
    unknown_host,
    stale,
    no_configuration,
    no_target,
};
constexpr std::array<std::string_view, 10> drop_reason_names{
    "none",          "malformed",    "unknown_service", "unknown_key",      "bad_mac",
    "wrong_service", "unknown_host", "stale",           "no_configuration", "no_target"};

/// @brief What the driver must do with a datagram.
struct verdict
{
    verdict_kind kind = verdict_kind::drop;
    drop_reason reason = drop_reason::none;
    /// Agent to which the datagram is sent; only for forward.
    core::endpoint next_hop;
    /// Whole datagram with envelope; only for refuse.
    wire::buffer reply;
};

struct entry_options
{
    /// Availability zone of the entry, as named in the configuration.
    std::string zone;
};

struct entry_counters
{
    std::uint64_t forwarded = 0;
    std::uint64_t opens = 0;
    std::uint64_t refused = 0;
    std::array<std::uint64_t, drop_reason_names.size()> dropped{};
};

/// @brief Selects the agent for each datagram: by rendezvous hashing for an open, else from the verified flow token.
class entry_core
{
  public:
    explicit entry_core(entry_options options);
    ~entry_core();
    entry_core(const entry_core&) = delete;
    entry_core& operator=(const entry_core&) = delete;

    /// @brief Returns the verdict on one datagram; updates the envelope in place (config version, age) if it is
    /// forwarded.
    /// @param age time that the datagram waited in the socket's receive queue
    /// Complexity: constant for an established flow, linear in the service's hosts for an open; no allocation for
    /// either.
    verdict on_datagram(core::time_point now, std::uint8_t* datagram, std::size_t size, core::milliseconds age);

    /// @brief Puts a configuration in force. If this throws, the previous one stays in force.
    /// @throws wire::wire_error if the token keys are not valid
    void on_configuration(core::time_point now, config::snapshot_ptr value);
    void on_fleet_view(core::time_point now, config::fleet_view_ptr value);

    /// @brief Detects pauses of the process and expires token keys.
    ///
    /// After a gap above core::pause_threshold between two calls of on_tick() or on_datagram(), opens are refused until
    /// confirm_configuration() is called or core::confirmation_timeout (2 s) has passed.
    void on_tick(core::time_point now);

    /// @brief Accepts opens again after a pause: a peer or the platform has confirmed that the configuration is
    /// current.
    void confirm_configuration(core::time_point now);

    [[nodiscard]] const entry_counters& counters() const noexcept;
    [[nodiscard]] core::config_version version() const noexcept;

  private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace daisydoor::entry
