#include "standins/relay/soak.hpp"

#include <CLI/CLI.hpp>
#include <iostream>

namespace relay = daisydoor::standins::relay;

int main(int argc, char** argv)
{
    CLI::App app("Injects random faults into relay processes on this machine and checks their guarantees.",
                 "relay_soak");
    relay::world_options options;
    options.binaries = "build";
    options.folder = "/tmp/relay_soak";
    std::uint64_t first = 1;
    int count = 1;
    int seconds = 15;
    app.add_option("--seed", first, "First seed");
    app.add_option("--count", count, "Number of seeds, run one after the other");
    app.add_option("--seconds", seconds, "Seconds of fault injection for each seed");
    app.add_option("--entries", options.entries, "Number of entries");
    app.add_option("--hosts", options.hosts, "Number of hosts, each with an agent");
    app.add_option("--users", options.users, "Number of clients, each with one request at a time");
    app.add_option("--binaries", options.binaries, "Folder of the build");
    app.add_option("--folder", options.folder, "Folder for settings and logs; one below it for each seed");
    CLI11_PARSE(app, argc, argv);
    const std::string folder = options.folder;
    int failed = 0;
    for (int i = 0; i < count; ++i) {
        options.seed = first + static_cast<std::uint64_t>(i);
        options.folder = folder + '/' + std::to_string(options.seed);
        std::filesystem::remove_all(options.folder);
        const auto result = relay::run_soak(options, daisydoor::core::seconds(seconds));
        std::cout << "seed " << options.seed << ": " << result.answered << " answered, " << result.failed << " failed, "
                  << result.resets << " resets, " << result.faults.size() << " faults, " << result.violations.size()
                  << " violations\n";
        if (!result.violations.empty()) {
            ++failed;
            for (const auto& it : result.faults) {
                std::cout << "  " << it << '\n';
            }
            for (const auto& it : result.violations) {
                std::cout << "  VIOLATION " << it << '\n';
            }
        }
    }
    std::cout << count - failed << " passed, " << failed << " failed" << std::endl;
    return failed == 0 ? 0 : 1;
}
