#pragma once

#include "daisydoor/core/time.hpp"

#include <functional>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

/// @brief Starts, controls and stops the processes of tests with real processes.
namespace daisydoor::support
{

/// @brief One child process. The destructor stops it by its process id; the kernel kills it if the parent dies.
class child_process
{
  public:
    child_process() = default;
    /// @brief Starts `command` with standard output and error appended to `log`.
    /// @throws std::runtime_error if the process cannot be started
    child_process(const std::vector<std::string>& command, const std::string& log);
    ~child_process();
    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&& other) noexcept;
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    void send_signal(int number) const;
    /// @brief Sends SIGKILL and waits until the process has exited, at most 3 s.
    void kill();
    /// @brief Sends SIGTERM, and SIGKILL after 3 s, and waits until the process has exited.
    void stop();
    /// @brief Waits until the process has exited. @return the exit code, 128 + signal, or nullopt if it is still
    /// running after `time`
    std::optional<int> wait(core::milliseconds time);
    [[nodiscard]] bool is_running();

  private:
    pid_t m_pid = -1;
    std::optional<int> m_exit_code;
};

/// @brief Polls `condition` every 20 ms until it returns true or `time` has passed. @return whether it returned true
bool await(const std::function<bool()>& condition, core::milliseconds time = core::milliseconds(30'000));

} // namespace daisydoor::support
