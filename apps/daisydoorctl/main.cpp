#include "commands.hpp"
#include "daisydoor/runtime/daemon.hpp"

#include <CLI/CLI.hpp>
#include <exception>
#include <functional>
#include <iostream>

namespace
{

using daisydoor::runtime::exit_code;

/// Parsed options of all commands.
struct arguments
{
    std::string admin;
    std::string service;
    std::string path;
    daisydoorctl::call_arguments call;
    daisydoorctl::post_arguments post;
    daisydoorctl::feed_arguments feed;
};

void add_admin_commands(CLI::App& app, arguments& parsed, std::function<int()>& command)
{
    const std::string address = "Admin address of a process, IP:PORT";
    auto* dump = app.add_subcommand("dump", "Print the state of a process as JSON");
    dump->add_option("ADDRESS", parsed.admin, address)->required();
    dump->add_option("--service", parsed.service, "Limit the dump to the service with this id, with all its hosts");
    dump->callback([&] { command = [&] { return daisydoorctl::dump(parsed.admin, parsed.service); }; });
    auto* metrics = app.add_subcommand("metrics", "Print the metrics of a process as Prometheus text");
    metrics->add_option("ADDRESS", parsed.admin, address)->required();
    metrics->callback([&] { command = [&] { return daisydoorctl::metrics(parsed.admin); }; });
    auto* check = app.add_subcommand("check", "Validate a settings file or a folder of published values");
    check->add_option("PATH", parsed.path, "Settings file, or folder that contains the file 'index'")->required();
    check->callback([&] { command = [&] { return daisydoorctl::check(parsed.path); }; });
    auto* services = app.add_subcommand("services", "List the services in the configuration of a process");
    services->add_option("ADDRESS", parsed.admin, address)->required();
    services->callback([&] { command = [&] { return daisydoorctl::services(parsed.admin); }; });
    auto* preset = app.add_subcommand("preset", "Print the preset of a service and the values of its policy");
    preset->add_option("ADDRESS", parsed.admin, address)->required();
    preset->add_option("SERVICE", parsed.service, "Name or id of the service")->required();
    preset->callback([&] { command = [&] { return daisydoorctl::preset(parsed.admin, parsed.service); }; });
}

void add_call_options(CLI::App& command, daisydoorctl::call_arguments& parsed, bool with_deadline)
{
    command.add_option("ADDRESS", parsed.service, "Published address of the service, IP:PORT")->required();
    command.add_option("PATH", parsed.path, "Request path at the target")->required();
    command.add_option("--tenant", parsed.workspace, "Workspace id")->capture_default_str();
    if (with_deadline) {
        command.add_option("--deadline-ms", parsed.deadline_ms, "Time limit of the request in milliseconds")
            ->check(CLI::Range(1, 3'600'000))
            ->capture_default_str();
    }
}

void add_call_commands(CLI::App& app, arguments& parsed, std::function<int()>& command)
{
    auto* call = app.add_subcommand("call", "Send an idempotent request");
    add_call_options(*call, parsed.call, true);
    call->callback([&] { command = [&] { return daisydoorctl::call(parsed.call); }; });
    auto* post = app.add_subcommand("post", "Send a non-idempotent request (posting), which runs at most once");
    add_call_options(*post, parsed.post, true);
    auto* data = post->add_option("--data", parsed.post.data, "Payload");
    post->add_option("--file", parsed.post.file, "File with the payload")->excludes(data);
    post->callback([&] { command = [&] { return daisydoorctl::post(parsed.post); }; });
    auto* feed = app.add_subcommand("feed", "Subscribe to a feed and print 'ID DATA' for each event");
    add_call_options(*feed, parsed.feed, false);
    feed->add_option("--last-event", parsed.feed.last_event,
                     "Receive events after this id; 0 starts with the next event");
    feed->add_option("--count", parsed.feed.count, "Exit after this many events; 0 means no limit");
    feed->add_option("--time-s", parsed.feed.time_s, "Exit after this time in seconds")
        ->check(CLI::Range(1, 86'400))
        ->capture_default_str();
    feed->callback([&] { command = [&] { return daisydoorctl::feed(parsed.feed); }; });
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Command-line tool of the daisydoor load balancer.", "daisydoorctl");
    app.set_version_flag("--version", "daisydoorctl " DAISYDOOR_VERSION);
    app.require_subcommand(1);
    arguments parsed;
    std::function<int()> command;
    add_admin_commands(app, parsed, command);
    add_call_commands(app, parsed, command);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& e) {
        return app.exit(e) == 0 ? static_cast<int>(exit_code::ok) : static_cast<int>(exit_code::usage);
    }
    try {
        return command();
    } catch (const std::exception& e) {
        std::cerr << "daisydoorctl: " << e.what() << '\n';
        return static_cast<int>(exit_code::runtime_failure);
    }
}
