#pragma once

#include "daisydoor/agent/agent_core.hpp"
#include "daisydoor/caller/session.hpp"
#include "daisydoor/config/config_sync.hpp"
#include "daisydoor/entry/entry_core.hpp"
#include "support/fake_target.hpp"
#include "support/oracle.hpp"
#include "support/published.hpp"
#include "support/virtual_clock.hpp"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace daisydoor::support
{

struct world_options
{
    std::uint64_t seed = 1;
    std::size_t entries = 2;
    /// Hosts of each service; one service for each element.
    std::vector<std::size_t> hosts{3, 2};
    std::uint16_t slots = 5;
    double loss = 0;
    double duplication = 0;
    core::milliseconds min_delay{1};
    core::milliseconds max_delay{4};
    core::milliseconds mean_service_time{20};
};

enum class platform_mode
{
    up,
    down,
    /// Serves the first publication, regardless of later ones.
    stale,
};

/// @brief One simulated entry or agent process.
struct process
{
    struct pending_event
    {
        core::time_point arrived;
        /// The argument is the time that the event waited because the process was frozen.
        std::function<void(core::milliseconds)> handle;
    };

    core::endpoint address;
    std::string zone;
    bool is_alive = true;
    bool is_frozen = false;
    std::deque<pending_event> pending;
    std::unique_ptr<config::config_sync> sync;
    std::unique_ptr<entry::entry_core> entry;
    std::unique_ptr<agent::agent_core> agent;
    core::host_id host{};
    std::size_t service = 0;
    std::unique_ptr<fake_target> target;
    bool drain_finished = false;
    core::time_point next_sync_tick{};
    /// Counts restarts; events scheduled for an earlier run are dropped.
    unsigned run = 0;
};

struct caller_state
{
    std::unique_ptr<caller::session> session;
    std::size_t service = 0;
    std::uint16_t port = 0;
    bool subscribed = false;
    /// Local ports whose datagrams are dropped in both directions, as by a middlebox without state for them.
    std::set<std::uint16_t> blackholed_ports;
    std::map<std::uint64_t, std::string> paths;
    unsigned flow_gone_count = 0;
    unsigned open_failure_count = 0;
};

/// @brief Simulation of a whole system in virtual time: the real caller sessions, entry and agent cores, with a
/// simulated fabric, targets and platform.
/// Every fault is an explicit call. The transcript lists the faults, the outcomes reported to callers and the postings
/// started by targets.
class session_world
{
  public:
    explicit session_world(world_options options);

    void run_for(core::milliseconds time) { m_clock.run_for(time); }

    // Callers.
    std::size_t add_caller(std::size_t service, core::workspace_id workspace);
    core::request_number request(std::size_t caller, std::size_t answer_size,
                                 core::milliseconds deadline = core::milliseconds{2000});
    core::request_number post(std::size_t caller, core::milliseconds deadline = core::milliseconds{2000});
    void cancel(std::size_t caller, core::request_number number);
    void subscribe(std::size_t caller);
    /// @brief Drops all datagrams of the caller's current local port from now on; a new socket works.
    void blackhole_path(std::size_t caller);

    // Entries and agents, by index.
    void kill_entry(std::size_t i);
    void start_entry(std::size_t i);
    void kill_agent(std::size_t i);
    /// @brief Restarts the agent on the same address with a new incarnation.
    void start_agent(std::size_t i);
    void freeze(process& value, core::milliseconds time);
    void drain_agent(std::size_t i);
    /// @brief Separates an agent from all other processes and the platform, for links and datagrams in both directions,
    /// or connects it again.
    void set_partitioned(std::size_t i, bool is_partitioned);
    void set_target(std::size_t i, target_mode mode);

    // Platform.
    void set_platform(platform_mode mode);
    /// @brief Applies `change` to the published configuration and increments its version.
    void publish(const std::function<void(publication&)>& change);

    [[nodiscard]] core::milliseconds elapsed() const { return m_clock.elapsed(); }
    [[nodiscard]] process& entry_at(std::size_t i) { return *m_entries.at(i); }
    [[nodiscard]] process& agent_at(std::size_t i) { return *m_agents.at(i); }
    [[nodiscard]] std::size_t agents() const noexcept { return m_agents.size(); }
    /// @brief Index of the agent of the caller's current flow; nullopt before the first flow.
    [[nodiscard]] std::optional<std::size_t> agent_of(std::size_t caller) const;
    [[nodiscard]] caller_state& caller_at(std::size_t i) { return m_callers.at(i); }
    [[nodiscard]] std::size_t callers() const noexcept { return m_callers.size(); }
    [[nodiscard]] oracle& record() noexcept { return m_oracle; }
    [[nodiscard]] core::random_source& random() noexcept { return m_random; }
    [[nodiscard]] const std::vector<std::string>& transcript() const noexcept { return m_transcript; }
    [[nodiscard]] std::uint64_t platform_calls() const noexcept { return m_platform_calls; }
    [[nodiscard]] std::uint64_t published_version() const noexcept { return m_publication.version; }
    void add_to_transcript(const std::string& text);

  private:
    void build_publication();
    std::unique_ptr<process> make_process(const core::endpoint& address, const std::string& zone);
    void start_sync(process& value, std::optional<core::service_id> service);
    void start_agent_core(std::size_t i);
    void schedule_ticks(process& value);
    void tick(process& value);

    void deliver(process& to, core::duration delay, std::function<void(core::milliseconds)> handle);
    core::duration random_delay();
    bool happens(double probability);
    [[nodiscard]] bool is_partitioned(const process& value) const;

    void send_to_fabric(std::size_t caller, wire::buffer bytes);
    void deliver_to_entry(const wire::buffer& datagram);
    void forward(process& from, core::endpoint next_hop, const wire::buffer& datagram);
    void deliver_to_caller(const wire::buffer& datagram);
    void apply(std::size_t caller, caller::session_actions& actions);
    void apply(process& value, agent::action_list& actions);
    void apply(process& value, std::vector<config::sync_action>& actions);
    void read_platform(process& value, const config::read_platform_value& action);
    void send_config(process& from, const config::send_config_message& action);
    void send_peer(process& from, const agent::send_peer& action);
    void connect_target(process& value);

    void set_peer_link(process& a, process& b, bool up);
    void set_peer_links(process& value, bool up);
    process* find(const core::endpoint& address);
    process* find_host(core::host_id host);

    world_options m_options;
    core::random_source m_random;
    virtual_clock m_clock;
    oracle m_oracle;
    publication m_publication;
    publication m_first_publication;
    platform_mode m_platform = platform_mode::up;
    std::uint64_t m_platform_calls = 0;
    std::vector<std::unique_ptr<process>> m_entries;
    std::vector<std::unique_ptr<process>> m_agents;
    std::vector<caller_state> m_callers;
    std::set<core::endpoint> m_partitioned;
    std::set<std::pair<core::host_id, core::host_id>> m_links;
    std::uint16_t m_next_port = 20000;
    std::vector<std::string> m_transcript;
};

} // namespace daisydoor::support
