#pragma once

#include "daisydoor/caller/session.hpp"

#include <map>

namespace daisydoor::caller::detail
{

/// Numbers above the acknowledged one that may be in use at once; agents refuse numbers beyond it.
constexpr std::uint64_t number_window = 64;

/// @brief One flow that the session uses or has used, with its own sequence of request numbers.
struct session_flow
{
    wire::flow_token token;
    std::uint64_t next_number = 1;
    /// Numbers on this flow without an outcome.
    std::map<std::uint64_t, core::request_number> outstanding;

    /// @brief Highest number such that it and all lower ones have an outcome.
    [[nodiscard]] std::uint64_t acknowledged() const noexcept
    {
        return (outstanding.empty() ? next_number : outstanding.begin()->first) - 1;
    }
    [[nodiscard]] bool has_free_number() const noexcept { return next_number <= acknowledged() + number_window; }
};

/// @brief Whether both tokens name the same flow; key, issue time and MAC change when a token is renewed.
inline bool names_same_flow(const wire::flow_token& a, const wire::flow_token& b) noexcept
{
    return a.incarnation() == b.incarnation() && a.flow() == b.flow() && a.host() == b.host() &&
           a.service() == b.service();
}

/// @brief Sends a packet on an established flow.
template <typename Body>
void send_on(const wire::flow_token& token, Body body, session_actions& actions)
{
    const wire::packet_header header(wire::packet_magic, wire::packet_class::established, 0, 0, token);
    actions.push_back(send_packet{wire::encode_packet(header, wire::make_packet(std::move(body)))});
}

/// @brief Interval between retransmissions: doubles up to a maximum.
class retransmit_timer
{
  public:
    /// @brief Due at once; the first interval follows the first transmission.
    void start(core::time_point now) noexcept
    {
        m_next_due = now;
        m_interval = initial_interval;
    }
    /// @brief Due after the first interval.
    void start_later(core::time_point now) noexcept
    {
        start(now);
        advance(now);
    }
    [[nodiscard]] bool is_due(core::time_point now) const noexcept { return now >= m_next_due; }
    void advance(core::time_point now) noexcept
    {
        m_next_due = now + m_interval;
        m_interval = std::min(m_interval * 2, max_interval);
    }

    /// Above the longest round trip (about 20 ms) plus queueing.
    static constexpr core::milliseconds initial_interval{100};
    static constexpr core::milliseconds max_interval{1000};

  private:
    core::time_point m_next_due{};
    core::milliseconds m_interval = initial_interval;
};

} // namespace daisydoor::caller::detail
