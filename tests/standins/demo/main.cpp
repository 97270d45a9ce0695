#include "standins/common/record.hpp"
#include "support/fleet.hpp"

#include <CLI/CLI.hpp>
#include <csignal>
#include <exception>
#include <fstream>
#include <iostream>
#include <stdexcept>
#include <thread>

namespace
{

using namespace daisydoor;

constexpr core::milliseconds step_time{12'000};
constexpr core::milliseconds freeze_time{2000};
constexpr core::milliseconds platform_down_time{3000};
constexpr std::uint32_t drained_host = 12;

/// Prints and runs a step, then waits until every caller has got an answer and every feed an event.
void run_step(const support::fleet& fleet, const std::string& what, const std::function<void()>& action)
{
    std::cout << "step: " << what << std::endl;
    action();
    if (!fleet.await_progress_of_all_sessions(step_time)) {
        throw std::runtime_error("not every caller is served after: " + what + ": " + fleet.caller_stats());
    }
}

void inject_faults(support::fleet& fleet)
{
    run_step(fleet, "callers start", [] {});
    run_step(fleet, "kill entry 0", [&] { fleet.entry(0).kill(); });
    run_step(fleet, "freeze entry 1 for 2 s", [&] {
        fleet.entry(1).send_signal(SIGSTOP);
        std::this_thread::sleep_for(freeze_time);
        fleet.entry(1).send_signal(SIGCONT);
    });
    run_step(fleet, "drain the target of host 12", [&] {
        if (!fleet.control_target(drained_host, "mode=draining")) {
            throw std::runtime_error("the target's control address did not accept the call");
        }
        if (!fleet.agent(drained_host).wait(step_time)) {
            throw std::runtime_error("the drained agent did not exit in time");
        }
    });
    run_step(fleet, "platform down for 3 s", [&] {
        if (!fleet.control_platform("mode=down")) {
            throw std::runtime_error("the platform's control address did not accept the call");
        }
        std::this_thread::sleep_for(platform_down_time);
    });
    fleet.control_platform("mode=up");
}

bool audit(const support::fleet& fleet)
{
    std::ifstream record_file(fleet.record_path());
    const auto record = standins::read_record(record_file);
    std::vector<standins::execution> executions;
    for (const auto& path : fleet.execution_logs()) {
        std::ifstream in(path);
        const auto more = standins::read_executions(in);
        executions.insert(executions.end(), more.begin(), more.end());
    }
    return standins::print_audit(std::cout, standins::audit(record, executions));
}

int run(const std::string& binaries, bool preserve_logs)
{
    support::fleet fleet({}, binaries);
    if (preserve_logs) {
        fleet.preserve_folder();
        std::cout << "logs: " << fleet.folder().string() << std::endl;
    }
    fleet.start();
    fleet.start_callers({"--sessions", "20", "--feeds", "6", "--duration-s", "50", "--request-interval-ms", "100"});
    std::string failure;
    try {
        inject_faults(fleet);
    } catch (const std::exception& ex) {
        failure = ex.what();
    }
    const auto totals = fleet.finish_callers();
    std::cout << (failure.empty() ? "" : "failure: " + failure + '\n') << totals << std::endl;
    const bool has_no_violations = !totals.empty() && audit(fleet);
    return has_no_violations && failure.empty() ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Runs a small fleet with stand-ins, injects faults, and audits the outcomes that callers got");
    std::string binaries;
    bool preserve_logs = false;
    app.add_option("--binaries", binaries, "build folder")->required();
    app.add_flag("--keep-logs", preserve_logs, "do not delete the processes' logs");
    CLI11_PARSE(app, argc, argv);
    try {
        return run(binaries, preserve_logs);
    } catch (const std::exception& ex) {
        std::cerr << "demo: " << ex.what() << '\n';
        return 1;
    }
}
