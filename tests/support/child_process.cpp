#include "support/child_process.hpp"

#include <algorithm>
#include <csignal>
#include <fcntl.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace daisydoor::support
{

namespace
{

constexpr core::milliseconds poll_interval{20};
constexpr core::milliseconds stop_timeout{3000};

[[noreturn]] void run_child(std::vector<char*> arguments, const std::string& log, pid_t parent)
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    if (::getppid() != parent || fd < 0) {
        ::_exit(126);
    }
    ::dup2(fd, STDOUT_FILENO);
    ::dup2(fd, STDERR_FILENO);
    // The child must not inherit other descriptors, such as the listening socket that reserves a loopback_range.
    for (int other = STDERR_FILENO + 1; other < 1024; ++other) {
        ::close(other);
    }
    ::execv(arguments.front(), arguments.data());
    ::_exit(127);
}

} // namespace

child_process::child_process(const std::vector<std::string>& command, const std::string& log)
{
    std::vector<char*> arguments;
    arguments.reserve(command.size() + 1);
    for (const auto& it : command) {
        arguments.push_back(const_cast<char*>(it.c_str()));
    }
    arguments.push_back(nullptr);
    const pid_t parent = ::getpid();
    m_pid = ::fork();
    if (m_pid == 0) {
        run_child(std::move(arguments), log, parent);
    }
    if (m_pid < 0) {
        throw std::runtime_error("cannot fork a process for " + command.front());
    }
}

child_process::~child_process() { stop(); }

child_process::child_process(child_process&& other) noexcept
    : m_pid(std::exchange(other.m_pid, -1)), m_exit_code(std::exchange(other.m_exit_code, std::nullopt))
{
}

child_process& child_process::operator=(child_process&& other) noexcept
{
    if (this != &other) {
        stop();
        m_pid = std::exchange(other.m_pid, -1);
        m_exit_code = std::exchange(other.m_exit_code, std::nullopt);
    }
    return *this;
}

void child_process::send_signal(int number) const
{
    if (m_pid > 0) {
        ::kill(m_pid, number);
    }
}

void child_process::kill()
{
    send_signal(SIGKILL);
    wait(stop_timeout);
}

void child_process::stop()
{
    if (m_pid <= 0) {
        return;
    }
    // A process stopped by SIGSTOP handles SIGTERM only after SIGCONT.
    send_signal(SIGTERM);
    send_signal(SIGCONT);
    if (!wait(stop_timeout)) {
        kill();
    }
}

std::optional<int> child_process::wait(core::milliseconds time)
{
    const auto end = core::clock::now() + time;
    while (m_pid > 0) {
        int status = 0;
        if (::waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
            m_pid = -1;
        } else if (core::clock::now() >= end) {
            return std::nullopt;
        } else {
            std::this_thread::sleep_for(poll_interval);
        }
    }
    return m_exit_code;
}

bool child_process::is_running()
{
    wait(core::milliseconds(0));
    return m_pid > 0;
}

bool await(const std::function<bool()>& condition, core::milliseconds time)
{
    const auto end = core::clock::now() + time;
    while (!condition()) {
        if (core::clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

} // namespace daisydoor::support
