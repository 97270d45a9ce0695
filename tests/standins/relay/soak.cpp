#include "standins/relay/soak.hpp"

#include <functional>
#include <sstream>

namespace daisydoor::standins::relay
{

namespace
{

/// Fault in force that is removed after a random time, so that several faults overlap.
struct active_fault
{
    core::milliseconds remaining{0};
    std::function<void()> remove;
};

constexpr core::milliseconds max_fault_time{3000};
constexpr core::milliseconds max_pause{1500};

/// Name of a fault and the function that removes it.
using fault = std::pair<std::string, std::function<void()>>;

fault kill_all(world& environment)
{
    for (int i = 0; i < environment.machines(); ++i) {
        environment.kill(i);
    }
    return {"kill all", [&environment] {
                for (int i = 0; i < environment.machines(); ++i) {
                    environment.restart(i);
                }
            }};
}

fault evacuate(world& environment, const char* zone)
{
    environment.set_evacuated(zone, true);
    return {std::string("evacuate zone ") + zone, [&environment, zone] { environment.set_evacuated(zone, false); }};
}

/// Starts a random fault.
fault begin_fault(world& environment, std::mt19937_64& random)
{
    const auto pick = [&random](int n) { return static_cast<int>(random() % static_cast<std::uint64_t>(n)); };
    const int machine = pick(environment.machines());
    const int host = pick(environment.hosts());
    const auto name = [machine](const char* what) { return std::string(what) + ' ' + std::to_string(machine); };
    const auto restart = [&environment, machine] { environment.restart(machine); };
    constexpr int kinds = 13;
    switch (pick(kinds)) {
    case 0:
        environment.kill(machine);
        return {name("kill"), restart};
    case 1:
        environment.terminate(machine);
        return {name("terminate"), restart};
    case 2:
        environment.pause(machine);
        return {name("pause"), [&environment, machine] { environment.resume(machine); }};
    case 3: {
        const auto mode = static_cast<proxy_mode>(1 + pick(5));
        environment.set_link(machine, mode);
        return {name("link") + " mode " + std::to_string(static_cast<int>(mode)),
                [&environment, machine] { environment.set_link(machine, proxy_mode::pass); }};
    }
    case 4: {
        const auto mode = static_cast<store_mode>(1 + pick(3));
        environment.set_store(mode);
        return {"store mode " + std::to_string(static_cast<int>(mode)),
                [&environment] { environment.set_store(store_mode::normal); }};
    }
    case 5:
        environment.compact_store();
        return {"compact", [] {}};
    case 6:
        environment.crash_host(host);
        return {"crash host " + std::to_string(host), [] {}};
    case 7:
        environment.drain_host(host);
        return {"drain host " + std::to_string(host), [&environment, host] { environment.crash_host(host); }};
    case 8:
        return kill_all(environment);
    case 9:
        environment.set_store(store_mode::busy);
        return {"restore store", [&environment] {
                    environment.restore_store();
                    environment.set_store(store_mode::normal);
                }};
    case 10:
        environment.save_store_copy();
        return {"save copy of store", [] {}};
    case 11:
        return evacuate(environment, pick(2) == 0 ? "a" : "b");
    default:
        environment.publish(pick(2) == 0);
        return {"publish", [] {}};
    }
}

} // namespace

soak_result run_soak(const world_options& options, core::milliseconds time)
{
    soak_result result;
    world environment(options);
    if (!environment.start()) {
        result.violations.emplace_back("fewer than 20 requests were answered within 15 s of the clients' start");
        return result;
    }
    environment.save_store_copy();
    std::mt19937_64 random(options.seed);
    std::vector<active_fault> open;
    for (core::milliseconds used{0}; used < time;) {
        auto [name, remove] = begin_fault(environment, random);
        result.faults.push_back(std::to_string(used.count()) + " ms: " + name);
        const auto limit = static_cast<std::uint64_t>(max_fault_time.count());
        open.push_back({core::milliseconds(static_cast<std::int64_t>(random() % limit)), std::move(remove)});
        const core::milliseconds pause(
            static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(max_pause.count())));
        environment.run(pause);
        used += pause;
        for (auto it = open.begin(); it != open.end();) {
            it->remaining -= pause;
            if (it->remaining.count() <= 0) {
                it->remove();
                it = open.erase(it);
            } else {
                ++it;
            }
        }
    }
    for (const auto& it : open) {
        it.remove();
    }
    environment.recover();
    result.violations = environment.finish();
    result.answered = environment.observations().answered;
    result.failed = environment.observations().failed;
    result.resets = environment.observations().resets;
    return result;
}

} // namespace daisydoor::standins::relay
