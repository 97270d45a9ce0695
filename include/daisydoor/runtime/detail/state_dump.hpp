#pragma once

#include "daisydoor/runtime/messages.hpp"
#include "daisydoor/runtime/settings.hpp"

#include <map>
#include <optional>
#include <string>

namespace daisydoor::runtime::detail
{

/// @brief What a dump is made of.
struct dump_input
{
    settings values;
    core::seconds uptime{0};
    collect_state state;
    /// Values of each task by service name.
    std::map<std::string, collect_metrics> tasks;
    /// Restricts the hosts to those of one service.
    std::optional<core::service_id> service;
};

/// Above this number of hosts, a dump of the whole process names only their number for each service: the full list of
/// the two-year size would take about 10 MB of an entry's 64 MB.
constexpr std::size_t max_dumped_hosts = 2000;

/// @brief Writes the state of the process as JSON. Token secrets are left out.
/// Complexity: linear in the configuration.
std::string write_dump(const dump_input& input);

} // namespace daisydoor::runtime::detail
