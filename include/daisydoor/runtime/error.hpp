#pragma once

#include "daisydoor/core/error.hpp"

namespace daisydoor::runtime
{

/// @brief Error codes of the runtime; docs/errors.md explains each one.
enum class errc
{
    unknown_handler = 501,
    duplicate_handler = 502,
    event_loop_failed = 503,
    bind_failed = 504,
    admin_failed = 505,
    admin_unreachable = 506,
    bad_admin_answer = 507,
    unknown_published_service = 508,
    unreadable_folder = 509,
};

/// @brief Errors of sockets, tasks and the event loop, numbers 500-599.
class runtime_error : public core::error
{
  public:
    runtime_error(errc code, const std::string& what) : error("runtime", static_cast<int>(code), what) {}
};

} // namespace daisydoor::runtime
