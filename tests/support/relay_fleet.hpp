#pragma once

#include "daisydoor/relay/agent_relay.hpp"
#include "daisydoor/relay/entry_relay.hpp"
#include "support/relay_ends.hpp"
#include "support/virtual_clock.hpp"

#include <memory>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

/// @brief Simulates relaying entries and agents with their hosts, clients and network in virtual time.
namespace daisydoor::support
{

struct relay_fleet_options
{
    std::uint32_t zones = 3;
    std::uint32_t entries_per_zone = 2;
    std::uint32_t hosts = 7;
    simulated_host_options host;
    /// One route for each.
    std::vector<traffic> traffics;
    core::duration delay_in_zone = std::chrono::microseconds(100);
    core::duration delay_across_zones = std::chrono::microseconds(4500);
    core::duration delay_to_client = std::chrono::milliseconds(3);
    /// Zone whose hosts take no new flows.
    std::optional<std::uint32_t> evacuated_zone;
    /// Time after its start until a process has the fleet view.
    core::duration view_delay = std::chrono::milliseconds(40);
    std::uint64_t seed = 1;
};

/// @brief Outcomes of the requests that clients sent within a time span.
struct request_counts
{
    std::size_t sent = 0;
    std::size_t on_time = 0;
    std::size_t late = 0;
    std::size_t failed = 0;

    [[nodiscard]] double failed_share() const
    {
        return sent == 0 ? 0 : static_cast<double>(failed) / static_cast<double>(sent);
    }
};

/// @brief A fleet with one service.
///
/// The routers, clients and hosts keep the times of the users' platform: copies of opening packets after 200 and 600
/// ms, readiness probes twice a second.
class relay_fleet
{
  public:
    explicit relay_fleet(relay_fleet_options options);

    /// @brief Lets clients send requests, and time pass.
    void run(core::milliseconds time);
    /// @brief Sends no further requests and waits until every one has an outcome.
    void finish();

    /// @brief Cuts the power of all machines with their hosts' flows. Processes start again within `spread` after
    /// `down`, each at its own time.
    void lose_power(core::milliseconds down, core::milliseconds spread);
    /// @brief Cuts the power of a zone's machines for `down`.
    void lose_zone(std::uint32_t zone, core::milliseconds down);
    /// @brief Kills all processes; the hosts keep running with their flows.
    void kill_processes(core::milliseconds down, core::milliseconds spread);
    /// @brief Kills a share of the entries for `down`.
    void kill_entries(double share, core::milliseconds down);

    [[nodiscard]] core::milliseconds elapsed() const { return m_clock.elapsed(); }
    /// @brief Counts the requests of one traffic, or of all, that were sent within a time span.
    [[nodiscard]] request_counts count(core::milliseconds from, core::milliseconds to) const;
    [[nodiscard]] request_counts count(core::milliseconds from, core::milliseconds to, std::size_t traffic) const;
    /// @brief Answer times of the requests that were answered, in ascending order.
    [[nodiscard]] std::vector<core::duration> answer_times(core::milliseconds from, core::milliseconds to) const;
    [[nodiscard]] std::size_t decisions(relay::decision kind) const
    {
        return m_decisions.at(static_cast<std::size_t>(kind));
    }
    /// @brief Largest number of runs of a request that must not be repeated.
    [[nodiscard]] std::size_t most_runs_of_unrepeatable() const;

  private:
    struct process
    {
        relay::ipv4 address{};
        std::uint32_t zone = 0;
        bool up = false;
        /// Counts starts; events of an earlier incarnation have no effect.
        std::uint64_t incarnation = 0;
        bool in_rotation = false;
        std::unique_ptr<relay::fleet_view> view;
        std::unique_ptr<relay::entry_relay> entry;
        std::unique_ptr<relay::agent_relay> agent;
        std::unique_ptr<simulated_host> host;
    };

    void publish_routes();
    process& add_process(std::uint32_t address, std::uint32_t zone);
    void add_host(std::uint32_t number);
    void start(process& value, bool first);
    void give_view(process& value);
    void stop(process& value);
    void restart_all(core::milliseconds down, core::milliseconds spread);
    void tick(process& value, std::uint64_t incarnation);
    void schedule_arrival(std::size_t traffic);
    void send_from_client(std::uint32_t zone, const simulated_packet& value);
    void deliver_to_process(relay::ipv4 to, relay::ipv4 from, const simulated_packet& value);
    void deliver_to_client(const simulated_packet& value);
    void execute(process& value);
    void perform(process& value, const relay::send_to_agent& action);
    void perform(process& value, const relay::send_to_host& action);
    void perform(process& value, const relay::send_to_client& action);
    void perform(process& value, const relay::reset_client& action);
    void perform(process& value, const relay::send_message& action);
    void perform(process& value, const relay::decision_record& action);
    static void perform(process&, const relay::fetch_view&) {}
    process* route_to_entry(std::uint32_t zone, const relay::flow_key& flow);
    [[nodiscard]] std::vector<process*> entries_of(std::uint32_t zone) const;
    [[nodiscard]] core::duration delay(relay::ipv4 from, relay::ipv4 to) const;
    process* find(relay::ipv4 address);

    relay_fleet_options m_options;
    virtual_clock m_clock;
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<process>> m_processes;
    std::unordered_map<std::uint32_t, process*> m_by_address;
    relay::fleet_update m_state;
    std::vector<std::unique_ptr<simulated_request>> m_requests;
    std::unordered_map<relay::flow_key, simulated_request*, relay::flow_key_hash> m_request_by_flow;
    std::uint32_t m_next_client_port = 0;
    relay::actions m_actions;
    std::array<std::size_t, relay::decision_names.size()> m_decisions{};
    bool m_sending = true;
};

} // namespace daisydoor::support
