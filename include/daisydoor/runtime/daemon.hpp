#pragma once

#include "daisydoor/runtime/kernel.hpp"
#include "daisydoor/runtime/settings.hpp"

namespace daisydoor::runtime
{

/// @brief Exit codes of daisydoor and daisydoorctl.
enum class exit_code
{
    ok = 0,
    runtime_failure = 1,
    usage = 2,
    bad_settings = 3,
    refused_not_run = 4,
    outcome_unknown = 5,
};

/// @brief Creates all tasks of a process.
/// @throws runtime_error if a socket cannot be bound.
void add_tasks(kernel& owner, const settings& values);

/// @brief Runs the process until SIGINT, SIGTERM or the end of a drain.
/// @returns exit code
/// @throws runtime_error if a socket cannot be bound or the event loop fails.
int run_daemon(const settings& values);

/// @brief Runs a relaying process until SIGINT or the end of the drain that SIGTERM starts.
/// @param file settings file, read again on SIGHUP
/// @returns exit code
/// @throws runtime_error if a socket cannot be bound or the event loop fails.
int run_relay_daemon(const relay_settings& values, const std::string& file);

} // namespace daisydoor::runtime
