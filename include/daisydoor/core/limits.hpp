#pragma once

#include "daisydoor/core/time.hpp"

#include <cstddef>

/// @brief Limits that entries and agents must agree on.
namespace daisydoor::core
{

/// A caller has retransmitted a datagram of this age.
constexpr milliseconds max_datagram_age{1000};
/// Gap in the event loop after which the held configuration may be outdated.
constexpr milliseconds pause_threshold{1000};
/// After a pause, opens and new work wait at most this long for a confirmation that may never come.
constexpr milliseconds confirmation_timeout{2000};
/// Above this part of a service's hosts the fleet view is more likely to be wrong than the hosts are to be gone.
constexpr std::size_t max_unavailable_hosts_percent = 30;

} // namespace daisydoor::core
