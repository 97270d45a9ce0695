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
    /// The settings, or the published values that `daisydoorctl check` reads, are invalid.
    bad_settings = 3,
    /// The request was refused and has not run.
    refused_not_run = 4,
    /// The request may have run.
    outcome_unknown = 5,
};

/// @brief Creates all tasks of an entry or agent and transfers their ownership to the kernel.
/// @throws runtime_error with errc::bind_failed or errc::admin_failed if a socket cannot be bound.
void add_tasks(kernel& owner, const settings& process_settings);

/// @brief Runs an entry or agent until SIGINT, or until the drain that SIGTERM or the agent's target starts has
/// finished.
/// @returns exit code of the process
/// @throws runtime_error if a socket cannot be bound or the event loop fails.
int run_daemon(const settings& process_settings);

/// @brief Runs a relaying process until SIGINT, or until the drain that SIGTERM starts has finished.
/// @param file settings file; on SIGHUP it is read again, and its log level is applied
/// @returns exit code of the process
/// @throws runtime_error if a socket cannot be bound or the event loop fails.
int run_relay_daemon(const relay_settings& process_settings, const std::string& file);

} // namespace daisydoor::runtime
