#include "standins/target/target.hpp"

#include <CLI/CLI.hpp>
#include <exception>
#include <iostream>

int main(int argc, char** argv)
{
    using namespace daisydoor;
    CLI::App app("Stand-in for a target: HTTP/1.1 server with slots, feeds and failure modes");
    std::string listen;
    std::string control;
    std::int64_t service_time_ms = 20;
    standins::target_options options;
    app.add_option("--listen", listen, "address for the agent, IP:PORT")->required();
    app.add_option("--control", control, "address for POST /control, GET /executions and GET /stats")->required();
    app.add_option("--service", options.service, "service name in every answer")->required();
    app.add_option("--slots", options.slots, "requests that run at the same time");
    app.add_option("--service-time-ms", service_time_ms, "mean time that a request runs");
    app.add_flag("--exponential", options.exponential, "service times are exponentially distributed");
    app.add_option("--seed", options.seed, "seed of the service times");
    app.add_option("--execution-log", options.execution_log, "file to which a line is appended before each execution");
    CLI11_PARSE(app, argc, argv);
    try {
        options.listen = core::parse_endpoint(listen);
        options.control = core::parse_endpoint(control);
        options.service_time = core::milliseconds(service_time_ms);
        standins::loop events;
        const standins::target server(events, options);
        std::cout << "ready" << std::endl;
        events.run();
    } catch (const std::exception& ex) {
        std::cerr << "standin_target: " << ex.what() << '\n';
        return 1;
    }
    return 0;
}
