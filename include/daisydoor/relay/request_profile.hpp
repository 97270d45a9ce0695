#pragma once

#include "daisydoor/core/time.hpp"
#include "daisydoor/relay/packet.hpp"

#include <unordered_map>

namespace daisydoor::relay
{

/// Service time that is assumed before the first answer.
constexpr core::milliseconds initial_service_time{50};
/// Bounds of a learned service time: shorter ones are below the resolution of the timers, longer ones are those of a
/// host that has stopped answering.
constexpr core::milliseconds min_service_time{5};
constexpr core::milliseconds max_service_time{2000};
/// Least weight of one request in the mean service time, which covers about the last twenty requests.
constexpr double service_time_weight = 0.05;
/// Period after which an observation of a client's patience expires; it counts for one to two periods.
constexpr core::seconds patience_period{60};
/// Maximum number of routes with a profile; bounds the memory.
constexpr std::size_t max_profiled_routes = 1024;

/// @brief Learns from the packets that pass an agent how long its host works on a request, and for how long the clients
/// of each route wait for an answer.
///
/// Load pattern: customers whose requests take 15 or 50 ms, and whose clients give up after half a second or after
/// several. The published timeout of a route is no upper bound of the clients' patience: operators change it while
/// clients keep their own.
class request_profile
{
  public:
    /// Width of the port in the key of a route.
    static constexpr unsigned port_bits = 16;
    /// @brief Identifies the route of a flow by its address, shifted by the width of the port, and its port.
    static std::uint64_t key_of(const flow_key& flow) noexcept;

    /// @brief Records an answer.
    /// @param time from the delivery of the request to its answer
    void on_answer(core::milliseconds time) noexcept;

    /// @brief Records that a client still waited at this age of its request.
    void on_client_waits(const flow_key& flow, core::milliseconds age, core::time_point now);

    /// @brief Mean time from the delivery of a request to its answer.
    [[nodiscard]] core::milliseconds service_time() const noexcept;

    /// @brief Time for which clients of a flow's route wait for an answer.
    /// @param published timeout of the route; 0 if unknown
    /// @return the larger of the published and the observed time; 0 if the published time is unknown
    [[nodiscard]] core::milliseconds patience(const flow_key& flow, core::milliseconds published) const;

    [[nodiscard]] std::size_t route_count() const noexcept { return m_routes.size(); }

  private:
    struct route_profile
    {
        core::milliseconds patience{0};
        core::milliseconds former_patience{0};
        core::time_point period_started_at;
    };

    std::unordered_map<std::uint64_t, route_profile> m_routes;
    /// Moving average; the first answers weigh more, so that a process that has just started learns quickly.
    double m_service_ms = initial_service_time.count();
    std::uint64_t m_answers = 0;
};

} // namespace daisydoor::relay
