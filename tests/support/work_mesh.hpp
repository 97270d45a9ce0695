#pragma once

#include "support/work_harness.hpp"

#include <deque>
#include <map>
#include <memory>
#include <set>

/// @brief Simulates agents with targets and links in virtual time, and checks what ran against the replies to callers.
namespace daisydoor::support
{

class work_mesh
{
  public:
    struct request_state
    {
        std::size_t agent = 0;
        std::uint64_t incarnation = 0;
        std::uint64_t flow = 0;
        std::uint64_t number = 0;
        wire::request_kind kind = wire::request_kind::idempotent;
        core::time_point deadline{};
        unsigned executed = 0;
        bool replied_answer = false;
        bool replied_not_run = false;
        bool replied_unknown = false;
    };

    work_mesh(std::uint64_t seed, std::size_t agents, std::uint16_t slots);

    /// @brief Performs one random event, then advances virtual time by 1 to 10 ms.
    void step();
    /// @brief Connects all links, advances time past all deadlines, and checks that every request has an outcome.
    void settle();
    [[nodiscard]] const std::vector<std::string>& violations() const noexcept { return m_violations; }
    [[nodiscard]] const std::vector<request_state>& requests() const noexcept { return m_requests; }
    [[nodiscard]] work_agent& agent_at(std::size_t i) { return *m_agents.at(i).core; }
    [[nodiscard]] std::size_t handed_over() const noexcept { return m_handed_over; }

  private:
    struct running_exchange
    {
        core::time_point ends_at{};
        agent::exchange_result result;
    };
    struct node
    {
        std::unique_ptr<work_agent> core;
        std::uint64_t incarnation = 0;
        std::map<agent::exchange_id, running_exchange> running;
        std::uint64_t next_flow = 1;
    };
    struct message
    {
        core::time_point arrives_at{};
        std::size_t from = 0;
        std::size_t to = 0;
        std::uint64_t from_incarnation = 0;
        std::uint64_t to_incarnation = 0;
        wire::peer_messageT body;
    };

    std::uint64_t random(std::uint64_t bound) { return m_random() % bound; }
    void start_agent(std::size_t i);
    void new_request();
    void repeat_request();
    void cancel_request();
    void acknowledge();
    void set_link(std::size_t a, std::size_t b, bool up);
    void restart(std::size_t i);
    void change_state();
    void advance(core::milliseconds time);
    void drain_actions(std::size_t i);
    void start_exchange(std::size_t i, const agent::start_exchange& exchange);
    void check_reply(std::size_t i, const caller_reply& reply);
    void send_to_agent(request_state& request);
    void send_reports();
    request_state* find(std::size_t i, std::uint64_t incarnation, std::uint64_t flow, std::uint64_t number);

    core::random_source m_random;
    std::shared_ptr<config::snapshot> m_snapshot;
    core::time_point m_now = work_epoch;
    std::vector<node> m_agents;
    std::deque<message> m_messages;
    std::set<std::pair<std::size_t, std::size_t>> m_links;
    std::vector<request_state> m_requests;
    std::map<std::pair<std::size_t, std::uint64_t>, std::uint64_t> m_next_number;
    std::vector<std::string> m_violations;
    std::uint64_t m_next_incarnation = 1;
    std::size_t m_handed_over = 0;
};

} // namespace daisydoor::support
