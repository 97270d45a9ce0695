#pragma once

#include "daisydoor/relay/store_reader.hpp"
#include "daisydoor/relay/view_sync.hpp"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// @brief Simulates the platform's store and the processes that read it and exchange their views, in virtual time.
namespace daisydoor::support
{

/// @brief The platform's store: one revision counter, a history, and a copy that it can return to.
class simulated_store
{
  public:
    void put(const relay::host& value);
    void remove(const std::string& id);
    void publish(const relay::route_set& value);
    void evacuate(const std::string& zone);
    void end_evacuation(const std::string& zone);
    /// @brief Drops the history.
    void compact() { m_history_start = m_revision; }
    void save_copy();
    /// @brief Returns to the copy; its revisions are given out again in a new era.
    void restore();

    [[nodiscard]] relay::fleet_update read_all() const;
    /// @return nullopt if the history does not have the revision
    [[nodiscard]] std::optional<relay::fleet_update> changes_after(relay::revision after) const;
    [[nodiscard]] relay::store_era era() const { return relay::store_era{m_era}; }
    [[nodiscard]] std::uint64_t revision() const { return m_revision; }
    [[nodiscard]] bool has(const std::string& id) const { return m_hosts.count(id) != 0; }
    /// @return nullptr if there is no entry
    [[nodiscard]] const relay::host* find(const std::string& id) const;
    [[nodiscard]] const relay::route_set& routes() const { return m_routes; }
    /// @brief Evacuated zones, by name.
    [[nodiscard]] const std::map<std::string, relay::revision>& evacuated() const { return m_evacuated; }

  private:
    struct state
    {
        std::uint64_t revision = 0;
        std::map<std::string, relay::fleet_change> hosts;
        relay::route_set routes;
        std::uint64_t routes_revision = 0;
        std::map<std::string, relay::revision> evacuated;
    };

    relay::revision next() { return relay::revision{++m_revision}; }

    std::uint64_t m_era = 1;
    std::uint64_t m_revision = 10;
    std::uint64_t m_history_start = 10;
    std::deque<relay::fleet_change> m_history;
    std::map<std::string, relay::fleet_change> m_hosts;
    relay::route_set m_routes;
    std::uint64_t m_routes_revision = 0;
    std::map<std::string, relay::revision> m_evacuated;
    state m_copy;
};

/// @brief One process: the cores that relay_task connects, without packets.
struct sync_process
{
    relay::fleet_view view{"a"};
    std::unique_ptr<relay::view_sync> sync;
    relay::store_reader reader;
    bool is_up = true;
    bool is_paused = false;
    bool is_cut_from_store = false;
    bool is_cut_from_peers = false;
    /// Sends and fetches messages as a build without eras does; what it decides is this build's.
    bool is_without_eras = false;
    /// As above, for a build without evacuations.
    bool is_without_evacuations = false;
    std::optional<relay::store_request> call;
    core::time_point call_started_at;
    /// Highest version that was ever in force.
    relay::route_version highest_version{};
    std::size_t regressions = 0;
};

class sync_fleet
{
  public:
    /// @param agents agents 10.2.0.1 and up; the first three are the seeds
    /// @param entries entries 10.1.0.1 and up
    sync_fleet(std::uint32_t agents, std::uint32_t entries);

    void run(core::milliseconds time);
    /// @brief Replaces a process by a new one without any state.
    void restart(relay::ipv4 address);
    /// @brief Delivers everything that was sent to a paused process.
    void resume(relay::ipv4 address);
    /// @brief Delivers a message as if it had been sent by `from`.
    void deliver(relay::ipv4 from, relay::ipv4 to, const relay::message& value);

    [[nodiscard]] sync_process& at(relay::ipv4 address) { return *m_processes.at(address); }
    [[nodiscard]] std::map<relay::ipv4, std::unique_ptr<sync_process>>& processes() { return m_processes; }
    [[nodiscard]] core::time_point now() const { return m_now; }
    [[nodiscard]] std::size_t fetches() const { return m_fetches; }

    simulated_store store;
    /// The store refuses every call.
    bool is_store_down = false;

    static relay::ipv4 agent(std::uint32_t n) { return relay::ipv4{0x0a020000 + n}; }
    static relay::ipv4 entry(std::uint32_t n) { return relay::ipv4{0x0a010000 + n}; }

  private:
    struct datagram
    {
        relay::ipv4 from{};
        relay::ipv4 to{};
        wire::buffer bytes;
    };

    std::unique_ptr<sync_process> make_process(relay::ipv4 address) const;
    void step();
    void tick(relay::ipv4 address, sync_process& value);
    void read_store(sync_process& value, relay::actions& out);
    void finish_call(sync_process& value, relay::store_result result, relay::fleet_update update, relay::actions& out);
    void handle_change(sync_process& value, const relay::view_change& change, relay::actions& out) const;
    void receive(const datagram& message);
    void perform(relay::ipv4 from, const relay::actions& out);

    std::vector<relay::ipv4> m_seeds;
    std::map<relay::ipv4, std::unique_ptr<sync_process>> m_processes;
    std::deque<datagram> m_messages;
    core::time_point m_now{core::seconds(1000)};
    std::size_t m_fetches = 0;
};

} // namespace daisydoor::support
