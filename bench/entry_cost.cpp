#include "daisydoor/config/config_sync.hpp"
#include "entry_load.hpp"
#include "support/allocation_counter.hpp"

#include <cstdio>
#include <fstream>
#include <string>
#include <valgrind/callgrind.h>

/// @brief Program of scripts/measure_entry.sh: `entry_cost established|open|memory`.
///
/// `established` and `open` pass datagrams through an entry core and count instructions (under callgrind) and
/// allocations; `memory` prints the memory of an entry core through several configuration versions.
namespace daisydoor::bench
{
namespace
{

constexpr std::size_t datagram_count = 10000;
constexpr std::size_t entry_count = 6800;

int run_datagrams(bool is_open)
{
    const auto configuration = parse_snapshot(large_fleet_text());
    auto datagrams =
        is_open ? make_opens(*configuration, datagram_count) : make_established(*configuration, datagram_count);
    entry::entry_core core({"zone-0"});
    core.on_configuration({}, configuration);
    const std::size_t allocated_before = test::allocation_count();
    CALLGRIND_START_INSTRUMENTATION;
    for (auto& it : datagrams) {
        core.on_datagram({}, it.data(), it.size(), core::milliseconds(0));
    }
    CALLGRIND_STOP_INSTRUMENTATION;
    const std::size_t allocated = test::allocation_count() - allocated_before;
    std::printf("forwarded %zu of %zu with %zu allocations\n", static_cast<std::size_t>(core.counters().forwarded),
                datagrams.size(), allocated);
    return core.counters().forwarded == datagrams.size() && allocated == 0 ? 0 : 1;
}

void print_memory(const char* when)
{
    std::ifstream status("/proc/self/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.rfind("VmRSS", 0) == 0 || line.rfind("VmHWM", 0) == 0) {
            std::printf("%s: %s\n", when, line.c_str());
        }
    }
}

/// @brief Answers the platform reads of a config_sync from a generated configuration, and passes accepted versions to
/// an entry core.
class memory_run
{
  public:
    explicit memory_run(test::published_text& text) : m_text(text) {}

    void publish(std::uint64_t version)
    {
        m_text.version = version;
        m_now += core::seconds(1);
        std::vector<config::sync_action> actions;
        m_sync.on_platform_value(m_now, "index", version, m_text.values().at("index"), actions);
        // Each tick requests further parts, until the version is complete.
        while (m_entry.version() != core::config_version{version}) {
            const auto todo = std::move(actions);
            actions.clear();
            m_now += core::milliseconds(10);
            m_sync.on_tick(m_now, actions);
            for (const auto& it : todo) {
                perform(it, actions);
            }
        }
    }

    void apply_fleet_view()
    {
        auto view = std::make_shared<config::fleet_view>();
        for (std::size_t i = 0; i < host_count + entry_count; ++i) {
            const bool is_entry = i >= host_count;
            const auto id = static_cast<std::uint32_t>(i + 1);
            view->instances.push_back({is_entry, core::host_id{is_entry ? 0 : id}, "zone-0",
                                       core::parse_endpoint(test::agent_address(id)), config::instance_state::live});
        }
        m_entry.on_fleet_view(m_now, std::move(view));
    }

  private:
    void perform(const config::sync_action& action, std::vector<config::sync_action>& actions)
    {
        if (const auto* call = std::get_if<config::read_platform_value>(&action)) {
            if (const auto slash = call->key.find('/'); slash != std::string::npos) {
                const auto part = static_cast<std::size_t>(std::stoul(call->key.substr(slash + 1)));
                m_sync.on_platform_value(m_now, call->key, 1, m_text.part_text(part), actions);
            }
        } else if (const auto* accepted = std::get_if<config::accept_configuration>(&action)) {
            m_entry.on_configuration(m_now, accepted->configuration);
        }
    }

    test::published_text& m_text;
    core::time_point m_now{core::seconds(1)};
    config::config_sync m_sync{{core::parse_endpoint("127.0.0.1:1"), "zone-0", std::nullopt, {}},
                               core::random_source(1)};
    entry::entry_core m_entry{{"zone-0"}};
};

int run_memory()
{
    print_memory("at start");
    auto text = large_fleet_text();
    print_memory("with the generator of the configuration");
    memory_run run(text);
    run.publish(1);
    print_memory("first version accepted");
    for (std::uint64_t version = 2; version <= 20; ++version) {
        auto& slots = text.parts[version * 17 % text.parts.size()][0].hosts[0].slots;
        slots = static_cast<std::uint16_t>(slots + 1);
        run.publish(version);
    }
    print_memory("after 19 further versions");
    run.apply_fleet_view();
    print_memory("with a fleet view of 68,800 instances");
    return 0;
}

} // namespace
} // namespace daisydoor::bench

int main(int argc, char** argv)
{
    const std::string mode = argc > 1 ? argv[1] : "";
    if (mode == "memory") {
        return daisydoor::bench::run_memory();
    }
    if (mode == "established" || mode == "open") {
        return daisydoor::bench::run_datagrams(mode == "open");
    }
    std::fprintf(stderr, "usage: entry_cost established|open|memory\n");
    return 2;
}
