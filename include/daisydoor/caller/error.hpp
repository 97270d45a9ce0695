#pragma once

#include "daisydoor/core/error.hpp"

namespace daisydoor::caller
{

enum class errc
{
    /// The operating system refused a socket or the event loop.
    socket_failed = 601,
    /// The client is used before open() or after close().
    not_open = 602,
    /// The session could not be opened in time.
    open_failed = 603,
    /// A blocking call was made on a client that runs on the user's loop.
    foreign_loop = 604,
    /// A path, payload or deadline is outside of what the protocol allows.
    bad_argument = 605,
    /// open() was called a second time.
    already_opened = 606,
};

/// @brief Errors of the caller's client library, numbers 600-699.
class caller_error : public core::error
{
  public:
    caller_error(errc code, const std::string& what) : error("caller", static_cast<int>(code), what) {}
};

} // namespace daisydoor::caller
