#pragma once

#include "daisydoor/caller/session.hpp"

#include <map>

namespace daisydoor::caller::detail
{

/// Size of the window of request numbers above the acknowledged one; agents refuse numbers beyond it.
constexpr std::uint64_t number_window = 64;

/// @brief One flow that the session uses or has used, with its own sequence of request numbers.
struct session_flow
{
    wire::flow_token token;
    std::uint64_t next_number = 1;
    /// Requests without an outcome: their number on this flow, and the one that the session gave to the caller.
    std::map<std::uint64_t, core::request_number> outstanding;

    /// @brief Highest number on this flow up to which all requests have an outcome.
    [[nodiscard]] std::uint64_t acknowledged() const noexcept
    {
        return (outstanding.empty() ? next_number : outstanding.begin()->first) - 1;
    }
    [[nodiscard]] bool has_free_number() const noexcept { return next_number <= acknowledged() + number_window; }
};

/// @brief Whether both tokens identify the same flow. Key, issue time and MAC are ignored, since they change when an
/// agent renews a token.
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

/// @brief Retransmission timer with exponential backoff.
class retransmit_timer
{
  public:
    /// @brief Makes the timer due now, for the first transmission.
    void start(core::time_point now) noexcept
    {
        m_next_due = now;
        m_interval = initial_interval;
    }
    /// @brief Makes the timer due after the initial interval, if the first transmission has been sent.
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

    /// Longer than the longest round trip (about 20 ms) plus queueing.
    static constexpr core::milliseconds initial_interval{100};
    static constexpr core::milliseconds max_interval{1000};

  private:
    core::time_point m_next_due{};
    core::milliseconds m_interval = initial_interval;
};

} // namespace daisydoor::caller::detail
