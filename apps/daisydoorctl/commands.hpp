#pragma once

#include <cstdint>
#include <string>

/// @brief Commands of daisydoorctl. Each returns the exit code.
namespace daisydoorctl
{

struct call_arguments
{
    /// Published address of the service.
    std::string service;
    std::string path;
    std::uint32_t tenant = 0;
    std::int64_t deadline_ms = 5000;
};

struct post_arguments : call_arguments
{
    std::string data;
    /// Read instead of `data` if not empty.
    std::string file;
};

struct feed_arguments : call_arguments
{
    std::uint64_t last_event = 0;
    /// Ends after this many events; 0 means no limit.
    std::uint64_t count = 0;
    /// Ends after this time.
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
