#include "daisydoor/runtime/daemon.hpp"

#include "platform/settings.hpp"

#include <CLI/CLI.hpp>
#include <glog/logging.h>
#include <iostream>

namespace
{

using daisydoor::runtime::exit_code;

int run(const std::string& file, bool check_only)
{
    using namespace daisydoor::runtime;
    try {
        const auto process_settings = load_settings(file);
        if (check_only) {
            std::cout << file << ": settings are valid\n";
            return static_cast<int>(exit_code::ok);
        }
        if (const auto* relay = std::get_if<relay_settings>(&process_settings)) {
            return run_relay_daemon(*relay, file);
        }
        return run_daemon(std::get<settings>(process_settings));
    } catch (const settings_error& e) {
        for (const auto& line : e.lines()) {
            std::cerr << line << '\n';
        }
        return static_cast<int>(exit_code::bad_settings);
    } catch (const std::exception& e) {
        std::cerr << "daisydoor: " << e.what() << '\n';
        return static_cast<int>(exit_code::runtime_failure);
    }
}

} // namespace

int main(int argc, char** argv)
{
    google::InitGoogleLogging(argv[0]);
    CLI::App app("Layer-4 load balancer daemon. The settings file selects its role.", "daisydoor");
    std::string file;
    bool check_only = false;
    app.add_option("--config", file, "Settings file (docs/settings.md)")
        ->envname(daisydoor::platform::settings_file_variable)
        ->required();
    app.add_flag("--check", check_only, "Check the settings, print every error and exit");
    app.set_version_flag("--version", "daisydoor " DAISYDOOR_VERSION);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& e) {
        return app.exit(e) == 0 ? static_cast<int>(exit_code::ok) : static_cast<int>(exit_code::usage);
    }
    return run(file, check_only);
}
