#pragma once

#include "daisydoor/core/endpoint.hpp"

#include <string>

namespace daisydoor::runtime
{

/// @brief Sends a GET request to the admin server of a process and blocks until the response arrives, at most 5 s.
/// @param admin admin address of the process
/// @param path path with an optional query, such as `/dump?service=1`
/// @returns body of the response
/// @throws runtime_error with errc::admin_unreachable if there is no response in time, or errc::bad_admin_answer for a
/// status other than 200.
std::string read_admin(const core::endpoint& admin, const std::string& path);

} // namespace daisydoor::runtime
