#pragma once

#include "standins/relay/client.hpp"
#include "standins/relay/host.hpp"
#include "standins/relay/proxy.hpp"
#include "standins/relay/store.hpp"
#include "support/child_process.hpp"
#include "support/loopback.hpp"

#include <filesystem>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace daisydoor::standins::relay
{

struct world_options
{
    int entries = 3;
    int hosts = 4;
    int users = 8;
    std::uint64_t seed = 1;
    /// Folder of the daisydoor program's build.
    std::string binaries;
    std::string folder;
};

/// @brief Test environment: real relay processes on loopback, stand-ins for everything around them, and the checks of
/// the guarantees.
class world
{
  public:
    explicit world(const world_options& options);
    ~world();
    world(const world&) = delete;
    world& operator=(const world&) = delete;

    /// @brief Starts the processes and the users, and runs until requests are answered.
    /// @return whether 20 requests were answered in time
    bool start();
    void run(core::milliseconds time);

    // Faults. Machines are numbered from 0: entries first, then the machines of the hosts.
    void kill(int machine);
    void terminate(int machine);
    void pause(int machine);
    void resume(int machine);
    /// @brief Starts a process again that was killed or has ended.
    void restart(int machine);
    void set_link(int machine, proxy_mode mode);
    void set_store(store_mode mode);
    void compact_store() { m_store->compact(); }
    void save_store_copy() { m_store->save_copy(); }
    /// @brief Restores the store from its last copy; the operator and the hosts write again soon afterwards.
    void restore_store();
    /// @brief Kills the host and starts it again without its flows.
    void crash_host(int index);
    void drain_host(int index);
    /// @brief Publishes a new version; `with_second_route` adds or drops the route that no client uses.
    void publish(bool with_second_route);
    /// @brief Asks that the hosts of an availability zone get nothing new, or takes the request back.
    void set_evacuated(const std::string& zone, bool evacuated);
    /// @brief Writes an entry of another writer among those of the hosts.
    void write_odd_entry(const std::string& value) { m_store->put("servers/odd", value); }

    /// @brief Writes entries of another program that runs beside the hosts, has its own service and is leaving.
    void write_entries_beside_hosts();

    /// @brief Ends all faults and checks that requests are answered again.
    void recover();
    /// @brief Stops the clients.
    /// @return the violations, one line each
    std::vector<std::string> finish();

    [[nodiscard]] const record& observations() const { return m_record; }
    [[nodiscard]] int machines() const { return static_cast<int>(m_machines.size()); }
    [[nodiscard]] int hosts() const { return m_options.hosts; }
    [[nodiscard]] const store& platform() const { return *m_store; }

  private:
    struct machine
    {
        std::string name;
        int last_octet = 0;
        bool is_entry = false;
        bool paused = false;
        /// SIGTERM was sent.
        bool is_terminating = false;
        support::child_process process;
        std::unique_ptr<proxy> link;
    };

    core::endpoint address(int last_octet, int offset) const;
    void write_settings(const machine& value, bool first_start) const;
    void start_process(machine& value);
    void start_host(int index);
    void publish_host(int index, const char* state);
    /// @brief Writes again what the store does not have any more.
    void publish_again();
    /// @brief Removes the entries of hosts that write no more, which a copy has brought back.
    void remove_lapsed_entries();
    /// @brief Waits until every process has the operator's newest routes; adds a violation for each that has not in
    /// time.
    void await_newest_routes();
    /// @brief Evacuates an availability zone; adds a violation if its hosts accept flows afterwards.
    void check_evacuation();
    [[nodiscard]] std::size_t accepted_flows(const std::string& zone) const;
    /// @brief Whether the log of a machine's processes contains a text.
    [[nodiscard]] bool has_logged(const machine& value, const std::string& text) const;
    [[nodiscard]] bool has_newest_routes(const machine& value) const;
    void add_clients();
    bool is_reset_allowed(const flow_id& id) const;
    void record_fault_time();

    world_options m_options;
    support::loopback_range m_range;
    loop m_loop;
    record m_record;
    std::unique_ptr<store> m_store;
    router m_router;
    std::vector<machine> m_machines;
    std::vector<std::unique_ptr<host>> m_hosts;
    std::vector<int> m_incarnations;
    std::vector<bool> m_draining;
    /// Number of writes by each host in its incarnation.
    std::vector<int> m_sequences;
    std::vector<std::unique_ptr<client>> m_clients;
    std::uint64_t m_version = 0;
    std::set<std::string> m_evacuated_zones;
    /// Newest values that the operator and the hosts wrote, by key.
    std::map<std::string, std::string> m_published;
    core::time_point m_last_fault;
};

} // namespace daisydoor::standins::relay
