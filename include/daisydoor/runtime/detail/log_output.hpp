#pragma once

#include "daisydoor/runtime/detail/io_event.hpp"
#include "daisydoor/runtime/settings.hpp"

#include <cstddef>
#include <cstdint>
#include <glog/logging.h>
#include <string>

namespace daisydoor::runtime::detail
{

/// Bound of the bytes buffered while the reader of the log is slow; further lines are dropped and counted.
constexpr std::size_t max_log_buffer = std::size_t{64} * 1024;
/// Bytes that a pipe accepts without blocking when poll() reports it as writable (PIPE_BUF).
constexpr std::size_t log_write_size = 4096;
/// Interval at which buffered lines are written together; they are written at once on a warning or an error, or when
/// the buffer reaches log_write_size.
constexpr core::milliseconds log_flush_interval{200};

/// @brief glog sink that writes one structured line for each event to a file descriptor and never blocks.
///
/// A line is `time=TIME level=NAME TEXT`, with TIME in local time. Only the line with the number of dropped lines,
/// event 1091, has no TIME. The sink is registered with glog for its lifetime.
class log_output : public google::LogSink
{
  public:
    explicit log_output(int fd);
    ~log_output() override;
    log_output(const log_output&) = delete;
    log_output& operator=(const log_output&) = delete;

    void send(google::LogSeverity severity, const char* full_filename, const char* base_filename, int line,
              const google::LogMessageTime& time, const char* message, std::size_t message_len) override;

    /// @brief Writes as many buffered bytes as the descriptor accepts without blocking.
    void flush();

    /// @brief Number of lines dropped since the start.
    [[nodiscard]] std::uint64_t dropped() const noexcept { return m_dropped; }

  private:
    int m_fd;
    std::string m_buffer;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_reported_dropped = 0;
};

/// @brief Writes the log to standard output for its lifetime, and flushes buffered lines every log_flush_interval.
class log_task : public task
{
  public:
    explicit log_task(kernel& owner);

    void start() override { m_timer.start(); }
    [[nodiscard]] const log_output& output() const noexcept { return m_output; }

  private:
    log_output m_output;
    repeated_timer m_timer;
};

/// @brief Suppresses events below a severity, in the whole process.
void set_log_level(log_level value);

} // namespace daisydoor::runtime::detail
