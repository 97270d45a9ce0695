#include "standins/platform/platform.hpp"

#include <CLI/CLI.hpp>
#include <exception>
#include <iostream>

int main(int argc, char** argv)
{
    using namespace daisydoor;
    CLI::App app("Stand-in for the operator's platform: serves value files over HTTP");
    std::string listen;
    std::string control;
    standins::platform_options options;
    app.add_option("--listen", listen, "address of the published values, IP:PORT")->required();
    app.add_option("--control", control, "address for POST /control and GET /stats, IP:PORT")->required();
    app.add_option("--folder", options.folder, "folder of value files")->required();
    CLI11_PARSE(app, argc, argv);
    try {
        options.listen = core::parse_endpoint(listen);
        options.control = core::parse_endpoint(control);
        standins::loop events;
        const standins::platform server(events, options);
        std::cout << "ready" << std::endl;
        events.run();
    } catch (const std::exception& ex) {
        std::cerr << "standin_platform: " << ex.what() << '\n';
        return 1;
    }
    return 0;
}
