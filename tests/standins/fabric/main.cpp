#include "standins/fabric/fabric.hpp"

#include <CLI/CLI.hpp>
#include <exception>
#include <iostream>
#include <sstream>
#include <stdexcept>

namespace
{

using namespace daisydoor;

std::vector<std::string> split(const std::string& text, std::size_t min_fields)
{
    std::vector<std::string> result;
    std::istringstream in(text);
    for (std::string field; std::getline(in, field, ',');) {
        result.push_back(field);
    }
    if (result.size() < min_fields) {
        throw std::runtime_error(
            "'" + text + "' has too few fields; an entry is ZONE,IP:PORT and an agent HOST,ZONE,IP:PORT[,PUBLISHED]");
    }
    return result;
}

struct option_texts
{
    std::string return_path;
    std::string control;
    std::vector<std::string> services;
    std::vector<std::string> entries;
    std::vector<std::string> agents;
};

void read_addresses(const option_texts& in, standins::fabric_options& out)
{
    out.return_path = core::parse_endpoint(in.return_path);
    out.control = core::parse_endpoint(in.control);
    for (const auto& it : in.services) {
        out.services.push_back(core::parse_endpoint(it));
    }
    for (const auto& it : in.entries) {
        const auto fields = split(it, 2);
        out.entries.push_back({fields[0], core::parse_endpoint(fields[1])});
    }
    for (const auto& it : in.agents) {
        const auto fields = split(it, 3);
        out.agents.push_back({static_cast<std::uint32_t>(std::stoul(fields[0])), fields[1],
                              core::parse_endpoint(fields[2]),
                              fields.size() > 3 ? core::parse_endpoint(fields[3]) : core::endpoint{}});
    }
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Stand-in for the network fabric: sends each datagram to a random entry");
    option_texts in;
    standins::fabric_options options;
    std::int64_t delay_ms = 0;
    std::int64_t zone_delay_ms = 0;
    app.add_option("--return", in.return_path, "address of the return path, IP:PORT")->required();
    app.add_option("--control", in.control, "address for POST /control and GET /stats, IP:PORT")->required();
    app.add_option("--service", in.services, "service address, IP:PORT")->required();
    app.add_option("--entry", in.entries, "ZONE,IP:PORT of an entry");
    app.add_option("--agent", in.agents, "HOST,ZONE,IP:PORT[,PUBLISHED] of an agent; a published address is relayed");
    app.add_option("--seed", options.seed, "seed of the random choices");
    app.add_option("--caller-delay-ms", delay_ms, "one-way delay to and from callers");
    app.add_option("--zone-delay-ms", zone_delay_ms, "one-way delay of relayed traffic between zones");
    app.add_option("--loss", options.loss, "probability that a datagram is lost");
    app.add_option("--duplicate", options.duplicate, "probability that a datagram is sent twice");
    app.add_option("--reorder", options.reorder, "probability that a datagram is delayed by up to 20 ms");
    CLI11_PARSE(app, argc, argv);
    try {
        read_addresses(in, options);
        options.caller_delay = core::milliseconds(delay_ms);
        options.zone_delay = core::milliseconds(zone_delay_ms);
        standins::loop events;
        const standins::fabric server(events, options);
        std::cout << "ready" << std::endl;
        events.run();
    } catch (const std::exception& ex) {
        std::cerr << "standin_fabric: " << ex.what() << '\n';
        return 1;
    }
    return 0;
}
