#pragma once

#include "daisydoor/config/snapshot.hpp"
#include "daisydoor/core/time.hpp"
#include "daisydoor/wire/datagram.hpp"

#include <array>
#include <cstdint>
#include <memory>
#include <string_view>

/// @brief Decision core of the entry role. Keeps no state per flow.
namespace daisydoor::entry
{

enum class verdict_kind
{
    forward,
    /// Send `reply` to the return path.
    refuse,
    drop,
};

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

struct verdict
{
    verdict_kind kind = verdict_kind::drop;
    drop_reason reason = drop_reason::none;
    /// Agent to send the datagram to; only for forward.
    core::endpoint next_hop;
    /// Whole datagram with envelope; only for refuse.
    wire::buffer reply;
};

struct entry_options
{
    std::string zone;
};

struct entry_counters
{
    std::uint64_t forwarded = 0;
    std::uint64_t opens = 0;
    std::uint64_t refused = 0;
    std::array<std::uint64_t, drop_reason_names.size()> dropped{};
};

/// @brief Verifies or chooses the agent for each datagram.
class entry_core
{
  public:
    explicit entry_core(entry_options options);
    ~entry_core();
    entry_core(const entry_core&) = delete;
    entry_core& operator=(const entry_core&) = delete;

    /// @brief Decides on one datagram and updates its envelope in place (config version, age).
    /// @param age time that the datagram waited in the socket's receive queue
    /// Complexity: constant for an established flow, linear in the service's hosts for an open; no allocation for
    /// either.
    verdict on_datagram(core::time_point now, std::uint8_t* datagram, std::size_t size, core::milliseconds age);

    void on_configuration(core::time_point now, config::snapshot_ptr value);
    void on_fleet_view(core::time_point now, config::fleet_view_ptr value);

    /// @brief Detects gaps in the event loop. Opens are refused after a gap until confirm_configuration() or 2 s.
    void on_tick(core::time_point now);

    /// @brief A peer or the platform has confirmed that the held configuration is current.
    void confirm_configuration(core::time_point now);

    [[nodiscard]] const entry_counters& counters() const noexcept;
    [[nodiscard]] core::config_version version() const noexcept;

  private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace daisydoor::entry
