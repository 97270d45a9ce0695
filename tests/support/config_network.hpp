#pragma once

#include "daisydoor/config/config_sync.hpp"
#include "daisydoor/config/error.hpp"
#include "support/published_text.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace daisydoor::test
{

template <typename Action>
bool has_action(const std::vector<config::sync_action>& actions)
{
    return std::any_of(actions.begin(), actions.end(),
                       [](const auto& it) { return std::holds_alternative<Action>(it); });
}

/// @brief Simulation in virtual time: processes with one config_sync each, an in-memory platform, and links with a
/// delay of 1 to 10 ms.
class config_network
{
  public:
    /// @brief Publishes the values that differ from those published before, each under the next value version.
    void publish(const published_text& text);
    void publish_value(const std::string& key, std::uint64_t value_version, const std::string& content);
    void remove_value(const std::string& key) { m_values.erase(key); }

    config::config_sync& add_entry(std::uint32_t number, const std::string& zone,
                                   const std::vector<std::string>& bootstrap = {});
    config::config_sync& add_agent(std::uint32_t host, std::uint32_t service, const std::string& zone,
                                   const std::vector<std::string>& bootstrap = {});
    /// @brief Adds an agent for each host of a configuration.
    void add_agents(const published_text& text);
    config::config_sync& node(const std::string& address) { return *m_nodes.at(core::parse_endpoint(address)).sync; }

    void run(core::milliseconds time);
    /// @brief Pauses a process: messages, platform answers and ticks that are due before resume() are dropped.
    void pause(const core::endpoint& address) { m_nodes.at(address).is_paused = true; }
    void resume(const core::endpoint& address) { m_nodes.at(address).is_paused = false; }
    void revalidate(const core::endpoint& address);
    /// @brief Removes the processes that are readers of the platform.
    void remove_readers();

    /// @brief Whether this version is current in all processes.
    [[nodiscard]] bool all_have_version(std::uint64_t version) const;
    [[nodiscard]] std::size_t reader_count() const;
    [[nodiscard]] std::uint64_t platform_calls() const;
    /// @brief Reads of parts from the platform.
    [[nodiscard]] std::size_t part_reads() const noexcept { return m_part_reads; }
    [[nodiscard]] std::size_t rejections() const noexcept { return m_rejections.size(); }
    [[nodiscard]] bool has_rejection(config::errc code) const;
    [[nodiscard]] std::size_t confirmations(const core::endpoint& address) const;
    [[nodiscard]] bool versions_never_decreased() const;
    /// @brief Lowest version that any process accepted after it had accepted this one.
    [[nodiscard]] std::uint64_t lowest_after_acceptance_of(std::uint64_t version) const;
    std::uint64_t random() { return m_random(); }

    core::time_point now{core::seconds(1000)};
    bool is_platform_up = true;
    /// Returns whether a message is delivered; if empty, all are.
    std::function<bool(const core::endpoint& from, const core::endpoint& to, const wire::peer_messageT&)> filter;
    /// Returns whether a process reaches the platform; if empty, all do.
    std::function<bool(const core::endpoint& reader)> platform_filter;

  private:
    struct process
    {
        std::unique_ptr<config::config_sync> sync;
        std::vector<std::uint64_t> accepted;
        std::size_t confirmations = 0;
        bool is_paused = false;
    };

    struct platform_value
    {
        std::uint64_t version = 0;
        std::string content;
    };

    struct watch
    {
        core::endpoint reader;
        std::string key;
        std::uint64_t after = 0;
        core::time_point until;
    };

    using event = std::function<void()>;

    config::config_sync& add(config::sync_options options);
    void perform(const core::endpoint& self, const std::vector<config::sync_action>& actions);
    void send(const core::endpoint& from, const config::send_config_message& message);
    void read(const core::endpoint& reader, const config::read_platform_value& call);
    void answer(const core::endpoint& reader, const std::string& key);
    void check_watches();
    /// @brief Calls `body` with a process after a delay, unless it has been removed or is paused by then.
    void schedule(core::milliseconds delay, const core::endpoint& at,
                  std::function<void(config::config_sync&, std::vector<config::sync_action>&)> body);

    std::map<core::endpoint, process> m_nodes;
    std::map<std::string, platform_value> m_values;
    std::vector<watch> m_watches;
    std::multimap<core::time_point, event> m_events;
    std::multiset<int> m_rejections;
    std::size_t m_part_reads = 0;
    core::random_source m_random{42};
};

} // namespace daisydoor::test
