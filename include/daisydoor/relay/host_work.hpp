#pragma once

#include "daisydoor/core/time.hpp"
#include "daisydoor/relay/packet.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace daisydoor::relay
{

/// Answers after which the mean of a host or a route is used; fewer say too little.
constexpr std::uint32_t min_work_answers = 8;
/// Least weight of one answer in a mean, which covers about the last thirty.
constexpr double work_mean_weight = 1.0 / 32;
/// Weight that a class of the distribution keeps at each answer, which covers about the last five hundred.
constexpr double work_shape_decay = 1 - 1.0 / 512;
/// Time over which idle flows and their requests are averaged.
constexpr core::milliseconds flow_rate_period{10'000};
/// Maximum number of routes with a mean of their own; bounds the memory.
constexpr std::size_t max_worked_routes = 1024;

/// @brief Distribution of the work of requests relative to the mean of their route, in classes of half an octave.
class work_shape
{
  public:
    void add(double ratio) noexcept;
    /// @brief Expected further work of a request that has run for a time, both relative to the mean of its route. A
    /// request that has run longer than all others is expected to run as long again.
    [[nodiscard]] double left_after(double ratio) const noexcept;

  private:
    static constexpr std::size_t class_count = 20;

    struct ratio_class
    {
        double weight = 0;
        double sum = 0;
    };

    std::array<ratio_class, class_count> m_classes{};
};

/// @brief Learned cost of the requests of one route at one host.
struct route_work
{
    ipv4 service{};
    std::uint16_t port = 0;
    double mean_ms = 0;
};

/// @brief Learns from the packets that pass an agent how much work its host's requests are and still have to be.
///
/// Load pattern: requests of one service whose work differs by route, with a few that take many times as long, at hosts
/// of different speeds; and flows that stay open for minutes with few requests. Work is the time from the host's
/// begin on a request to the first byte of its answer, in the host's own time, so that a slow host reports more of it
/// for the same requests. The host runs as many requests as it has slots, in order of delivery; the begin follows from
/// deliveries and ends, so that the wait for a slot doesn't count as work.
///
/// Uses no sockets, clock or random numbers.
class host_work
{
  public:
    /// @brief Records that a request was or is about to be sent by a client.
    void on_expected(const flow_key& flow, core::time_point now);
    /// @brief Records that a request was delivered to the host.
    /// @param is_further whether the flow has had a request before
    void on_delivered(const flow_key& flow, bool is_further, std::uint32_t slots, core::time_point now);
    /// @brief Records the first byte of the answer to the flow's request.
    void on_answered(const flow_key& flow, core::time_point now);
    /// @brief Records that the flow has no request any more.
    void on_ended(const flow_key& flow, std::uint32_t slots, core::time_point now);
    /// @brief Sets the number of open flows without a request.
    void set_idle_flows(std::uint32_t flows, core::time_point now) noexcept;
    /// @brief Sets the time for which work left is computed.
    void advance(core::time_point now) noexcept;

    /// @brief Expected work in milliseconds of all requests that have no answer yet.
    [[nodiscard]] double work_left_ms() const noexcept;
    /// @brief Mean work of a request in milliseconds; 0 if unknown.
    [[nodiscard]] double mean_ms() const noexcept;
    /// @brief Mean work of a request of a flow's route in milliseconds; that of all routes if unknown.
    [[nodiscard]] double mean_ms(const flow_key& flow) const noexcept;
    /// @brief Slots that the further requests of one idle flow keep busy in the mean; 0 if unknown.
    [[nodiscard]] double slots_per_idle_flow() const noexcept;

    /// @brief Routes whose mean is known, for an operator.
    [[nodiscard]] std::vector<route_work> routes() const;
    [[nodiscard]] std::size_t route_count() const noexcept { return m_routes.size(); }

  private:
    struct work_mean
    {
        double ms = 0;
        std::uint32_t answers = 0;

        void add(double value) noexcept;
    };

    struct request
    {
        std::uint64_t route = 0;
        /// When the host began on it, if it has.
        std::optional<core::time_point> begun_at;
    };

    void begin_next(std::uint32_t slots, core::time_point now);
    [[nodiscard]] double mean_of(std::uint64_t route) const noexcept;
    [[nodiscard]] double left_of(const request& value) const noexcept;

    std::unordered_map<flow_key, request, flow_key_hash> m_requests;
    /// Requests at the host in order of delivery.
    std::vector<flow_key> m_delivered;
    std::unordered_map<std::uint64_t, work_mean> m_routes;
    work_mean m_mean;
    work_shape m_shape;
    core::time_point m_now;
    std::uint32_t m_idle_flows = 0;
    /// Time of idle flows, and work of the requests by which such a time ended, in milliseconds; both fade.
    double m_idle_ms = 0;
    double m_further_ms = 0;
};

} // namespace daisydoor::relay
