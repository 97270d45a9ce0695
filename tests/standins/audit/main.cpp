#include "standins/common/record.hpp"

#include <CLI/CLI.hpp>
#include <exception>
#include <fstream>
#include <iostream>
#include <stdexcept>

namespace
{

using namespace daisydoor;

constexpr std::size_t most_printed_findings = 20;

std::ifstream open_file(const std::string& path)
{
    std::ifstream in(path);
    if (!in) {
        throw std::runtime_error("cannot read " + path);
    }
    return in;
}

/// @return whether all rules hold
bool print(const standins::audit_result& result)
{
    for (std::size_t i = 0; i < result.findings.size() && i < most_printed_findings; ++i) {
        std::cout << "finding: " << result.findings[i] << '\n';
    }
    std::cout << "audit: unknown=" << result.unknown << " untrue_refusals=" << result.untrue_refusals
              << " wrong_answers=" << result.wrong_answers << " feed_gaps=" << result.feed_gaps
              << " feed_repeats=" << result.feed_repeats << " stalled_feeds=" << result.stalled_feeds << '\n';
    std::cout << "demo: requests=" << result.requests << " answered=" << result.answered
              << " refused=" << result.refused << " lost=" << result.lost << " doubled=" << result.doubled
              << " broken_flows=" << result.broken_flows << " misrouted=" << result.misrouted << '\n';
    const auto faults = result.lost + result.doubled + result.broken_flows + result.misrouted + result.untrue_refusals +
                        result.wrong_answers + result.feed_gaps + result.feed_repeats + result.stalled_feeds;
    return result.answered > 0 && faults == 0;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Compares what callers were told with what targets ran");
    std::string record_path;
    std::vector<std::string> execution_paths;
    app.add_option("--record", record_path, "record of the callers")->required();
    app.add_option("--executions", execution_paths, "execution logs of the targets")->required();
    CLI11_PARSE(app, argc, argv);
    try {
        auto record_file = open_file(record_path);
        const auto record = standins::read_record(record_file);
        std::vector<standins::execution> executions;
        for (const auto& path : execution_paths) {
            auto in = open_file(path);
            const auto more = standins::read_executions(in);
            executions.insert(executions.end(), more.begin(), more.end());
        }
        return print(standins::audit(record, executions)) ? 0 : 1;
    } catch (const std::exception& ex) {
        std::cerr << "standin_audit: " << ex.what() << '\n';
        return 1;
    }
}
