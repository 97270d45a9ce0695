#pragma once

#include <cstdint>
#include <string>

/// @brief Commands of daisydoorctl. Each prints its result to standard output and returns the exit code.
/// Errors are thrown as core::error; main() prints them and exits with exit_code::runtime_failure.
namespace daisydoorctl
{

struct call_arguments
{
    /// Published address of the service, IP:PORT.
    std::string service;
    std::string path;
    std::uint32_t workspace = 0;
    std::int64_t deadline_ms = 5000;
};

struct post_arguments : call_arguments
{
    /// Payload, unless `file` is set.
    std::string data;
    /// If not empty, the file from which the payload is read.
    std::string file;
};

struct feed_arguments : call_arguments
{
    /// Id after which events are received; 0 starts with the next event.
    std::uint64_t last_event = 0;
    /// Number of events after which the command exits; 0 means no limit.
    std::uint64_t count = 0;
    /// Time after which the command exits.
    std::int64_t time_s = 3600;
};

int dump(const std::string& admin, const std::string& service);
int metrics(const std::string& admin);
int check(const std::string& path);
int services(const std::string& admin);
int preset(const std::string& admin, const std::string& service);
int call(const call_arguments& arguments);
int post(const post_arguments& arguments);
int feed(const feed_arguments& arguments);

} // namespace daisydoorctl
