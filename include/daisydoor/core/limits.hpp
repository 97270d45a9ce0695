#pragma once

#include "daisydoor/core/time.hpp"

#include <cstddef>

/// @brief Limits that entries and agents must agree on.
namespace daisydoor::core
{

/// Older datagrams are dropped: the caller has retransmitted them by then.
constexpr milliseconds max_datagram_age{1000};
/// After a longer gap in the event loop the process counts as paused, and its configuration may be outdated.
constexpr milliseconds pause_threshold{1000};
/// Longest time after a pause for which opens and new work are held back until the configuration is confirmed as
/// current; bounded because the confirmation may never arrive.
constexpr milliseconds confirmation_timeout{2000};
/// If a larger part of a service's hosts is leaving or missing in the fleet view, the view is more likely to be wrong
/// than the hosts are to be gone, and it is ignored.
constexpr std::size_t max_unavailable_hosts_percent = 30;

} // namespace daisydoor::core
