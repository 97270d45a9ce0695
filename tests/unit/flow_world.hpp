#pragma once

#include "daisydoor/agent/agent_core.hpp"
#include "daisydoor/caller/session.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace daisydoor::agent
{

/// @brief Simulates the agents of one service with their targets and callers in virtual time, over a network that
/// loses, duplicates and reorders datagrams. There are no entries: an open goes to the host that flow hash and attempt
/// select.
class flow_world
{
  public:
    struct node
    {
        std::unique_ptr<agent_core> core;
        std::map<feed_connection_id, std::uint64_t> feeds;
        std::set<feed_connection_id> silent_feeds;
        unsigned feeds_opened = 0;
        bool drained = false;
        bool alive = true;
    };

    struct client
    {
        std::unique_ptr<caller::session> session;
        std::uint16_t port = 0;
        std::map<core::request_number, unsigned> outcomes;
        std::uint64_t last_event = 0;
        unsigned gaps_or_repeats = 0;
        unsigned answered = 0;
        unsigned unknown = 0;
        unsigned flow_gone_replies = 0;
        unsigned opens = 0;
    };

    explicit flow_world(std::size_t hosts, std::uint64_t seed = 1);

    void run(core::milliseconds time);
    client& add_client(bool subscribes);
    core::request_number post(client& caller);
    void request(client& caller);
    /// @brief Starts or restarts agent `i` with a new incarnation.
    void start(std::size_t i);
    /// @brief Publishes the next configuration version to all agents.
    void publish();
    [[nodiscard]] agent_counters total() const;
    [[nodiscard]] std::size_t feeds_at(std::size_t i) const { return nodes[i]->core->gauges().subscribers; }
    [[nodiscard]] std::size_t flows_at(std::size_t i) const { return nodes[i]->core->gauges().flows; }

    std::vector<std::unique_ptr<node>> nodes;
    std::vector<std::unique_ptr<client>> clients;
    config::snapshot configuration;
    double loss = 0;
    double duplication = 0;
    core::milliseconds max_delay{5};
    std::size_t event_size = 10;
    std::set<std::uint16_t> dead_ports;
    std::function<bool(const wire::peer_messageT&)> drops_peer_message = [](const auto&) { return false; };
    std::function<bool(const wire::packetT&)> drops_packet = [](const auto&) { return false; };
    core::time_point now{std::chrono::hours(1)};

  private:
    using handler = std::function<void()>;

    void after(core::duration delay, handler fn) { m_queue.emplace(now + delay, std::move(fn)); }
    void transmit(const handler& deliver);
    void to_agent(std::uint16_t port, const wire::buffer& packet);
    void to_caller(const wire::buffer& datagram);
    void apply(std::size_t i, action_list& actions);
    void apply(client& caller, caller::session_actions& actions);
    void link(std::size_t i, bool up);
    void publish_event();

    core::random_source m_random;
    std::multimap<core::time_point, handler> m_queue;
    std::uint64_t m_event = 100;
    std::uint16_t m_next_port = 2000;
};

} // namespace daisydoor::agent
