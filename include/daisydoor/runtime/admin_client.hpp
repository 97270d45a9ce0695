#pragma once

#include "daisydoor/core/endpoint.hpp"

#include <string>

namespace daisydoor::runtime
{

/// @brief Reads one path of a process's admin server and waits for the answer.
/// @param path such as `/dump`
/// @throws runtime_error with errc::admin_unreachable or errc::bad_admin_answer.
std::string read_admin(const core::endpoint& admin, const std::string& path);

} // namespace daisydoor::runtime
