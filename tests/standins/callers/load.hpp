#pragma once

#include "standins/callers/load_session.hpp"
#include "standins/common/http.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace daisydoor::standins
{

struct load_service
{
    std::string name;
    core::endpoint address;
};

struct load_plan
{
    std::vector<load_service> services;
    std::size_t sessions_per_service = 20;
    std::size_t feeds_per_service = 5;
    std::uint32_t workspaces = 4;
    core::milliseconds duration{10'000};
    std::uint64_t seed = 1;
    load_options options;
    /// Address for GET /stats and POST /mark.
    std::optional<core::endpoint> control;
    /// File to which the outcomes are written at the end; none if empty.
    std::string record;
};

/// @brief Runs many callers for a limited time and records the outcomes that they get.
class load
{
  public:
    load(loop& events, const load_plan& plan);

    /// @brief Writes the record file and returns the line of totals. To be called after the loop has stopped.
    /// @throws std::runtime_error if the file cannot be written
    std::string finish();

  private:
    void add_session(const load_service& service, std::size_t index);
    void begin_shutdown();
    void stop_when_complete();
    void on_control(evhttp_request* request);
    [[nodiscard]] std::uint64_t broken_flows() const;
    [[nodiscard]] std::string stats() const;

    loop& m_loop;
    load_plan m_plan;
    load_counters m_counters;
    std::vector<std::unique_ptr<load_session>> m_sessions;
    core::time_point m_shutdown_deadline;
    bool m_is_shutting_down = false;
    std::unique_ptr<http_server> m_control;
};

} // namespace daisydoor::standins
