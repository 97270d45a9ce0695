#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace daisydoor::standins
{

/// @brief Bytes that the target of `service` answers to `target` (path and query); `/bytes/N` gives N bytes, but at
/// least the first line, which names the service and the call.
std::string expected_answer(const std::string& service, const std::string& target);

/// @brief Data of a feed's event at every target of `service`.
std::string expected_event(const std::string& service, std::uint64_t id);

/// Interval of a feed's events; an event's id is the wall time divided by it, so that it is equal at all targets.
constexpr std::uint64_t feed_event_interval_ms = 200;

} // namespace daisydoor::standins
