#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace daisydoor::standins
{

/// @brief Response body of a target of `service` for the request target `target` (path and query).
///
/// The first line contains the service and `target`. For `/bytes/N` it is padded to N bytes, at most 16 MiB.
std::string expected_answer(const std::string& service, const std::string& target);

/// @brief Data of the feed event `id`, the same at every target of `service`.
std::string expected_event(const std::string& service, std::uint64_t id);

/// Interval of a feed's events. An event's id is the wall-clock time divided by it, so that all targets agree on it.
constexpr std::uint64_t feed_event_interval_ms = 200;

} // namespace daisydoor::standins
