#include "standins/callers/load.hpp"

#include <CLI/CLI.hpp>
#include <exception>
#include <iostream>
#include <stdexcept>

namespace
{

using namespace daisydoor;

standins::load_service parse_service(const std::string& text)
{
    const auto equals = text.find('=');
    if (equals == std::string::npos) {
        throw std::runtime_error("'" + text + "' is not a service; expected NAME=IP:PORT");
    }
    return {text.substr(0, equals), core::parse_endpoint(text.substr(equals + 1))};
}

struct option_texts
{
    std::vector<std::string> services;
    std::string control;
    double duration_s = 10;
    std::int64_t request_interval_ms = 200;
    std::int64_t deadline_ms = 3000;
    std::int64_t lifetime_ms = 0;
};

void add_options(CLI::App& app, option_texts& in, standins::load_plan& plan)
{
    app.add_option("--service", in.services, "NAME=IP:PORT of a service")->required();
    app.add_option("--sessions", plan.sessions_per_service, "sessions of each service");
    app.add_option("--feeds", plan.feeds_per_service, "sessions of each service that follow its feed");
    app.add_option("--tenants", plan.workspaces, "number of workspaces; sessions are assigned to them in turn")
        ->check(CLI::PositiveNumber);
    app.add_option("--duration-s", in.duration_s, "time after which no more requests start");
    app.add_option("--seed", plan.seed, "seed of the load, also part of the requests' names");
    app.add_option("--request-interval-ms", in.request_interval_ms, "mean time between a session's requests")
        ->check(CLI::PositiveNumber)
        ->take_last();
    app.add_option("--posting-share", plan.options.posting_share, "fraction of the requests that are postings, 0 to 1");
    app.add_option("--deadline-ms", in.deadline_ms, "deadline of each request");
    app.add_option("--answer-bytes", plan.options.max_answer_bytes, "maximum size of a requested answer in bytes");
    app.add_option("--outstanding", plan.options.max_outstanding,
                   "maximum number of outstanding requests of a session");
    app.add_option("--lifetime-ms", in.lifetime_ms,
                   "mean time after which a session without feed is replaced; 0 disables this");
    app.add_option("--control", in.control, "address for GET /stats and POST /mark, IP:PORT");
    app.add_option("--record", plan.record, "file for the outcomes that the callers get");
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Load of many callers over the client library");
    option_texts in;
    standins::load_plan plan;
    add_options(app, in, plan);
    CLI11_PARSE(app, argc, argv);
    try {
        for (const auto& it : in.services) {
            plan.services.push_back(parse_service(it));
        }
        if (!in.control.empty()) {
            plan.control = core::parse_endpoint(in.control);
        }
        plan.duration = core::milliseconds(static_cast<std::int64_t>(in.duration_s * 1000));
        plan.options.request_interval = core::milliseconds(in.request_interval_ms);
        plan.options.deadline = core::milliseconds(in.deadline_ms);
        plan.options.lifetime = core::milliseconds(in.lifetime_ms);
        standins::loop events;
        standins::load callers(events, plan);
        std::cout << "ready" << std::endl;
        events.run();
        std::cout << callers.finish() << std::endl;
    } catch (const std::exception& ex) {
        std::cerr << "standin_callers: " << ex.what() << '\n';
        return 1;
    }
    return 0;
}
