#pragma once

#include "daisydoor/relay/actions.hpp"
#include "support/virtual_clock.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <random>
#include <unordered_map>

/// @brief Both ends of the relayed flows: hosts and clients in virtual time.
namespace daisydoor::support
{

/// @brief Header of a packet as it is stored in the bytes that the relay's cores pass on.
struct simulated_packet
{
    relay::packet value;

    /// @brief Encodes the packet; an opening packet has the size that the cores expect of it.
    [[nodiscard]] wire::buffer encode() const;
    static simulated_packet decode(wire::bytes_view bytes);
};

/// @brief One kind of requests, each with a flow of its own.
struct traffic
{
    double requests_per_second = 100;
    core::milliseconds mean_work{15};
    core::milliseconds target_latency{120};
    /// Time after its first attempt at which the client gives up.
    core::milliseconds deadline{500};
    bool repeatable = true;
    std::uint32_t priority = 1;
    std::uint32_t max_attempts = 3;
};

struct simulated_host_options
{
    std::uint32_t slots = 2;
    /// Requests that wait in the host; further ones are rejected.
    std::uint32_t queue = 8;
    /// A host that has just started works slower by the factor for this time.
    core::milliseconds cold_time{2000};
    double cold_factor = 1.6;
};

/// @brief A host that processes requests in order of arrival.
class simulated_host
{
  public:
    /// @param work_of returns the work of a flow's request, and counts that it ran
    /// @param send called with each packet that the host sends
    simulated_host(simulated_host_options options, std::uint32_t number, virtual_clock& time,
                   std::function<core::duration(const relay::flow_key&)> work_of,
                   std::function<void(const simulated_packet&)> send);

    void on_packet(const simulated_packet& value);
    /// @brief Loses all flows and requests.
    void restart();

  private:
    struct flow
    {
        std::uint32_t client_sequence = 0;
        bool requested = false;
        bool answered = false;
    };

    void run_next();
    void answer(const relay::flow_key& key, std::uint16_t size);
    void send(const relay::flow_key& key, std::uint32_t sequence, std::uint16_t size, bool syn, bool fin);

    simulated_host_options m_options;
    std::uint32_t m_first_sequence;
    virtual_clock& m_time;
    std::function<core::duration(const relay::flow_key&)> m_work_of;
    std::function<void(const simulated_packet&)> m_send;
    std::unordered_map<relay::flow_key, flow, relay::flow_key_hash> m_flows;
    std::deque<relay::flow_key> m_queue;
    std::uint32_t m_running = 0;
    std::uint64_t m_incarnation = 0;
    core::time_point m_cold_until;
};

/// @brief A client's request with its attempts.
class simulated_request
{
  public:
    enum class outcome
    {
        pending,
        on_time,
        late,
        failed,
    };

    struct environment
    {
        virtual_clock& time;
        /// Sends a packet of the client.
        std::function<void(const simulated_packet&)> send;
        /// Returns the flow of a new attempt, and ends the former one.
        std::function<relay::flow_key(const relay::flow_key& former)> next_flow;
    };

    simulated_request(const traffic& kind, std::size_t kind_index, core::duration work, environment surroundings);

    void start();
    void on_packet(const relay::packet& value);
    void on_run() { ++m_runs; }

    [[nodiscard]] outcome result() const noexcept { return m_outcome; }
    [[nodiscard]] core::time_point sent_at() const noexcept { return m_sent_at; }
    [[nodiscard]] core::duration answer_time() const noexcept { return m_answer_time; }
    [[nodiscard]] std::size_t kind_index() const noexcept { return m_kind_index; }
    [[nodiscard]] const traffic& kind() const noexcept { return m_kind; }
    [[nodiscard]] core::duration work() const noexcept { return m_work; }
    [[nodiscard]] std::size_t runs() const noexcept { return m_runs; }

  private:
    void begin_attempt();
    void send_opening(std::uint32_t copies);
    void send_request(core::milliseconds repeat_after);
    void end_attempt(bool not_run, core::duration pause);
    void give_up();
    void send(std::uint32_t sequence, std::uint16_t size, bool fin);

    const traffic& m_kind;
    std::size_t m_kind_index;
    core::duration m_work;
    environment m_environment;
    core::time_point m_sent_at;
    core::duration m_answer_time{0};
    relay::flow_key m_flow;
    std::uint32_t m_attempts = 0;
    bool m_open = false;
    /// The next attempt has not begun yet.
    bool m_attempt_ended = false;
    std::uint32_t m_host_sequence = 0;
    std::size_t m_runs = 0;
    outcome m_outcome = outcome::pending;
};

} // namespace daisydoor::support
