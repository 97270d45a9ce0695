#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace daisydoor::standins::relay
{

/// @brief A request as its client wrote it: `REQUEST <id> <once|many>`.
struct request
{
    std::uint64_t id = 0;
    /// Must not run twice.
    bool once = false;
};

std::string encode(const request& value);
std::optional<request> decode_request(const std::string& text);

/// @brief Observations of the clients and hosts, and violations of the guarantees.
struct record
{
    /// How many times hosts started each request, by its id.
    std::map<std::uint64_t, int> runs;
    /// Ids of the requests that clients sent.
    std::set<std::uint64_t> sent;
    /// Requests that were reported to their clients as not run.
    std::set<std::uint64_t> reported_not_run;
    std::size_t answered = 0;
    std::size_t failed = 0;
    std::size_t resets = 0;
    std::vector<std::string> violations;

    void add_violation(const std::string& what) { violations.push_back(what); }
};

} // namespace daisydoor::standins::relay
