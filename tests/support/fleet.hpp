#pragma once

#include "support/child_process.hpp"
#include "support/loopback.hpp"

#include <cstdint>
#include <filesystem>
#include <map>
#include <string>
#include <vector>

namespace daisydoor::support
{

struct fleet_host
{
    std::uint32_t id = 0;
    std::string zone;
    bool draining = false;
    bool is_listed = true;
};

struct fleet_service
{
    std::uint32_t id = 0;
    std::string name;
    std::vector<fleet_host> hosts;
};

/// @brief Composition of a fleet of processes: by default two services with two hosts each, and three entries.
struct fleet_plan
{
    std::vector<fleet_service> services{{1, "ledger", {{11, "zone-a"}, {12, "zone-b"}}},
                                        {2, "quotes", {{21, "zone-a"}, {22, "zone-b"}}}};
    std::vector<std::string> entry_zones{"zone-a", "zone-b", "zone-a"};
    std::uint32_t slots = 5;
    int service_time_ms = 10;
    int drain_timeout_s = 60;
    std::uint64_t seed = 1;
    std::vector<std::string> fabric_options;
    /// Publishes addresses of the fabric for the agents, which relays all traffic to them, so that links can be cut.
    bool relays_agent_traffic = false;
};

/// @brief Processes of a whole fleet and its stand-ins, on a reserved range of loopback addresses.
///
/// The destructor stops every process that was started.
class fleet
{
  public:
    /// @param binaries build folder, which contains `apps/daisydoor` and `tests/standins`
    fleet(fleet_plan plan, std::filesystem::path binaries);
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    /// @brief Publishes the configuration and starts all processes except the callers.
    void start();
    void start_entry(std::size_t index);
    void start_agent(std::uint32_t host);
    void start_target(std::uint32_t host);
    void start_platform();
    void start_fabric();
    /// @brief Starts standin_callers, which writes its record to record_path() at the end.
    void start_callers(const std::vector<std::string>& options);
    /// @brief Stops the callers with SIGTERM. @return their line of totals, or an empty string if they failed
    std::string finish_callers();
    /// @brief Publishes the configuration for the current state of the plan under the next version.
    void publish();

    [[nodiscard]] fleet_host& host(std::uint32_t id);
    [[nodiscard]] child_process& entry(std::size_t index) { return m_entries.at(index); }
    [[nodiscard]] child_process& agent(std::uint32_t host) { return m_agents.at(host); }
    [[nodiscard]] child_process& target(std::uint32_t host) { return m_targets.at(host); }
    [[nodiscard]] child_process& callers() { return m_callers; }

    [[nodiscard]] std::string entry_address(std::size_t index) const;
    [[nodiscard]] std::string agent_address(std::uint32_t host) const;
    /// @brief Version of the configuration in an entry's state dump; 0 if it has none or does not answer.
    [[nodiscard]] std::uint64_t entry_version(std::size_t index) const;
    /// @brief POST to the control address of a stand-in. @return whether it was accepted
    bool control_platform(const std::string& query) const;
    bool control_fabric(const std::string& query) const;
    bool control_target(std::uint32_t host, const std::string& query) const;
    [[nodiscard]] std::string fabric_stats() const;
    [[nodiscard]] std::string platform_stats() const;
    [[nodiscard]] std::string target_stats(std::uint32_t host) const;
    [[nodiscard]] std::string caller_stats() const;
    /// @brief Resets the callers' progress counters, and waits until every session has got an answer and every feed an
    /// event. @return false if `time` passes first
    bool await_progress_of_all_sessions(core::milliseconds time = core::milliseconds(30'000)) const;

    [[nodiscard]] std::string record_path() const { return m_folder / "record"; }
    [[nodiscard]] std::vector<std::string> execution_logs() const;
    [[nodiscard]] const std::filesystem::path& folder() const noexcept { return m_folder; }
    /// @brief Makes the destructor leave the folder with logs and records.
    void preserve_folder() noexcept { m_preserves_folder = true; }
    [[nodiscard]] std::string standin_path(const std::string& name) const;

  private:
    [[nodiscard]] const fleet_service& service_of(std::uint32_t host) const;
    [[nodiscard]] std::string published_agent_address(std::uint32_t host) const;
    [[nodiscard]] std::string service_address(const fleet_service& service) const;
    [[nodiscard]] std::string zone_of_entry(std::size_t index) const { return m_plan.entry_zones.at(index); }
    void write_settings(const std::string& name, const std::string& zone, const std::string& listen,
                        const std::string& admin, const std::string& rest) const;
    void write_value(const std::string& key, const std::string& content) const;
    [[nodiscard]] std::string index_value(const std::map<std::string, std::string>& parts) const;
    [[nodiscard]] std::string part_value(const fleet_service& service) const;
    [[nodiscard]] std::string fleet_value() const;
    child_process launch(const std::vector<std::string>& command, const std::string& name) const;

    fleet_plan m_plan;
    std::filesystem::path m_binaries;
    std::filesystem::path m_folder;
    bool m_preserves_folder = false;
    loopback_range m_addresses;
    std::uint64_t m_version = 0;
    child_process m_platform;
    child_process m_fabric;
    std::map<std::size_t, child_process> m_entries;
    std::map<std::uint32_t, child_process> m_agents;
    std::map<std::uint32_t, child_process> m_targets;
    child_process m_callers;
};

} // namespace daisydoor::support
