#pragma once

#include "daisydoor/runtime/detail/io_event.hpp"
#include "daisydoor/runtime/settings.hpp"

#include <cstddef>
#include <cstdint>
#include <glog/logging.h>
#include <string>

namespace daisydoor::runtime::detail
{

/// Lines that are held while the reader of the log does not keep up; later ones are counted and dropped.
constexpr std::size_t max_log_buffer = std::size_t{64} * 1024;
/// A pipe that polls as writable takes this much without blocking (PIPE_BUF).
constexpr std::size_t log_write_size = 4096;
/// Time for which lines wait to share one write; warnings and errors do not wait.
constexpr core::milliseconds log_flush_interval{200};

/// @brief glog sink that writes one structured line for each event to a file descriptor and never blocks.
///
/// A line is `time=UTC level=NAME TEXT`. Registers itself with glog as long as it lives.
class log_output : public google::LogSink
{
  public:
    explicit log_output(int fd);
    ~log_output() override;
    log_output(const log_output&) = delete;
    log_output& operator=(const log_output&) = delete;

    void send(google::LogSeverity severity, const char* full_filename, const char* base_filename, int line,
              const google::LogMessageTime& time, const char* message, std::size_t message_len) override;

    /// @brief Writes what the descriptor takes at once.
    void flush();

    [[nodiscard]] std::uint64_t dropped() const noexcept { return m_dropped; }

  private:
    int m_fd;
    std::string m_buffer;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_reported_dropped = 0;
};

/// @brief Sends events to standard output as long as it lives, and writes waiting lines at intervals.
class log_task : public task
{
  public:
    explicit log_task(kernel& owner);

    void start() override { m_timer.add(log_flush_interval); }
    [[nodiscard]] const log_output& output() const noexcept { return m_output; }

  private:
    log_output m_output;
    io_event m_timer;
};

/// @brief Hides events below a severity.
void set_log_level(log_level value);

} // namespace daisydoor::runtime::detail
