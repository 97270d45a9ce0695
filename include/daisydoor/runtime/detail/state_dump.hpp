#pragma once

#include "daisydoor/runtime/messages.hpp"
#include "daisydoor/runtime/settings.hpp"

#include <map>
#include <optional>
#include <string>

namespace daisydoor::runtime::detail
{

/// @brief Data from which a dump is written.
struct dump_input
{
    settings process_settings;
    core::seconds uptime{0};
    collect_state state;
    /// Counters and gauges by task name.
    std::map<std::string, collect_metrics> tasks;
    /// If set, the dump contains only this service.
    std::optional<core::service_id> service;
};

/// With more hosts than this, a dump of all services contains only the number of hosts of each service: the full list
/// for 62,000 hosts, the size planned for in two years, would take about 10 MB of an entry's 64 MB.
constexpr std::size_t max_dumped_hosts = 2000;

/// @brief Writes the state of the process as JSON. Token secrets are left out.
/// Complexity: linear in the size of the configuration.
std::string write_dump(const dump_input& input);

} // namespace daisydoor::runtime::detail
