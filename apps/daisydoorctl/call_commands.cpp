#include "commands.hpp"
#include "daisydoor/caller/client.hpp"
#include "daisydoor/runtime/daemon.hpp"

#include <fstream>
#include <iostream>
#include <iterator>

namespace daisydoorctl
{

namespace
{

using namespace daisydoor;
using runtime::exit_code;

caller::client_options options_of(const call_arguments& arguments)
{
    caller::client_options result;
    result.service = core::parse_endpoint(arguments.service);
    result.workspace = core::workspace_id{arguments.workspace};
    return result;
}

/// Opens a session. If the service cannot be reached, prints the reason and returns false; no request has run then.
bool open_session(caller::client& client)
{
    try {
        client.open_and_wait();
    } catch (const caller::caller_error& e) {
        if (e.number() != static_cast<int>(caller::errc::open_failed)) {
            throw;
        }
        std::cerr << "not_run: " << e.what() << '\n';
        return false;
    }
    return true;
}

int print_outcome(const caller::outcome& outcome)
{
    if (outcome.kind == caller::outcome_kind::answered) {
        std::cerr << "answered: status " << outcome.status << ", " << outcome.payload.size() << " bytes\n";
        std::cout.write(reinterpret_cast<const char*>(outcome.payload.data()),
                        static_cast<std::streamsize>(outcome.payload.size()));
        std::cout.flush();
        return static_cast<int>(exit_code::ok);
    }
    std::cerr << caller::outcome_kind_names.at(static_cast<std::size_t>(outcome.kind)) << ": reason "
              << wire::EnumNamerefusal_reason(outcome.reason) << ", retry after " << outcome.retry_after.count()
              << " ms\n";
    return static_cast<int>(outcome.kind == caller::outcome_kind::not_run ? exit_code::refused_not_run
                                                                          : exit_code::outcome_unknown);
}

std::vector<std::uint8_t> payload_of(const post_arguments& arguments)
{
    if (arguments.file.empty()) {
        return {arguments.data.begin(), arguments.data.end()};
    }
    std::ifstream stream(arguments.file, std::ios::binary);
    if (!stream) {
        throw caller::caller_error(caller::errc::bad_argument, "cannot read '" + arguments.file + "'");
    }
    return {std::istreambuf_iterator<char>(stream), {}};
}

} // namespace

int call(const call_arguments& arguments)
{
    caller::client client(options_of(arguments));
    if (!open_session(client)) {
        return static_cast<int>(exit_code::refused_not_run);
    }
    return print_outcome(client.request_and_wait(arguments.path, core::milliseconds(arguments.deadline_ms)));
}

int post(const post_arguments& arguments)
{
    auto payload = payload_of(arguments);
    caller::client client(options_of(arguments));
    if (!open_session(client)) {
        return static_cast<int>(exit_code::refused_not_run);
    }
    return print_outcome(
        client.post_and_wait(arguments.path, std::move(payload), core::milliseconds(arguments.deadline_ms)));
}

int feed(const feed_arguments& arguments)
{
    caller::client client(options_of(arguments));
    if (!open_session(client)) {
        return static_cast<int>(exit_code::refused_not_run);
    }
    std::uint64_t received = 0;
    client.subscribe(arguments.path, core::event_id{arguments.last_event}, [&](const caller::feed_event& event) {
        std::cout << core::raw(event.id) << ' ' << std::string(event.data.begin(), event.data.end()) << std::endl;
        if (++received == arguments.count) {
            client.stop();
        }
    });
    client.run_for(core::seconds(arguments.time_s));
    return static_cast<int>(exit_code::ok);
}

} // namespace daisydoorctl
