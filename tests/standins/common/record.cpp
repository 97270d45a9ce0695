#include "standins/common/record.hpp"

#include <istream>
#include <ostream>
#include <sstream>
#include <stdexcept>

namespace daisydoor::standins
{

namespace
{

/// A feed that is more than this many events (20 s) behind at the end has stalled; every recovery takes less time.
constexpr std::uint64_t max_events_behind = 100;
constexpr std::size_t max_printed_findings = 20;
const std::string record_format = "GET or POST with 4 fields, FEED with 7 or TOTAL with 3";
const std::string execution_format = "METHOD SERVICE REQUEST_ID PATH";

[[noreturn]] void throw_malformed(const std::string& line, const std::string& expected)
{
    throw std::runtime_error("malformed line '" + line + "'; expected " + expected);
}

/// Returns the value of `id` in the query of a path, or the whole path.
std::string id_of(const std::string& path)
{
    const auto begin = path.find("id=");
    return begin == std::string::npos ? path : path.substr(begin + 3, path.find('&', begin) - begin - 3);
}

struct run_counts
{
    std::uint64_t own_service = 0;
    std::uint64_t other_service = 0;
};

void add_finding(audit_result& result, std::uint64_t& count, const std::string& id, const std::string& what)
{
    ++count;
    result.findings.push_back(id + ": " + what);
}

void audit_request(const outcome_line& line, const run_counts& runs, audit_result& result)
{
    const auto total = runs.own_service + runs.other_service;
    ++result.requests;
    if (line.outcome == "answered") {
        ++result.answered;
        if (total == 0) {
            add_finding(result, result.lost, line.id, "outcome answered, but no target ran it");
        }
    } else if (line.outcome == "not_run") {
        ++result.refused;
        if (total > 0) {
            add_finding(result, result.untrue_refusals, line.id,
                        "outcome not_run (" + line.detail + "), but a target ran it");
        }
    } else if (line.outcome == "unknown") {
        ++result.unknown;
    } else {
        add_finding(result, result.lost, line.id, "no outcome");
    }
    if (line.is_posting && total > 1) {
        add_finding(result, result.doubled, line.id, "posting ran " + std::to_string(total) + " times");
    }
    if (runs.other_service > 0 || (line.outcome == "answered" && line.detail != line.service)) {
        add_finding(result, result.misrouted, line.id, "reached or was answered by another service");
    }
}

void audit_feed(const feed_line& feed, audit_result& result)
{
    result.feed_gaps += feed.gaps;
    result.feed_repeats += feed.repeats;
    result.misrouted += feed.wrong;
    if (feed.gaps + feed.repeats + feed.wrong > 0) {
        result.findings.push_back(feed.id + ": feed with gaps, repeats or events of another service");
    }
    if (feed.events == 0 || feed.behind > max_events_behind) {
        add_finding(result, result.stalled_feeds, feed.id,
                    "last received event is " + std::to_string(feed.behind) + " events behind");
    }
}

} // namespace

void write_record(std::ostream& out, const caller_record& record)
{
    for (const auto& it : record.requests) {
        out << (it.is_posting ? "POST " : "GET ") << it.service << ' ' << it.id << ' ' << it.outcome << ' ' << it.detail
            << '\n';
    }
    for (const auto& it : record.feeds) {
        out << "FEED " << it.service << ' ' << it.id << ' ' << it.events << ' ' << it.gaps << ' ' << it.repeats << ' '
            << it.wrong << ' ' << it.behind << '\n';
    }
    out << "TOTAL " << record.broken_flows << ' ' << record.wrong_answers << ' ' << record.repeated_outcomes << '\n';
}

caller_record read_record(std::istream& in)
{
    caller_record result;
    for (std::string line; std::getline(in, line);) {
        std::istringstream fields(line);
        std::string kind;
        fields >> kind;
        if (kind == "FEED") {
            feed_line it;
            fields >> it.service >> it.id >> it.events >> it.gaps >> it.repeats >> it.wrong >> it.behind;
            result.feeds.push_back(std::move(it));
        } else if (kind == "TOTAL") {
            fields >> result.broken_flows >> result.wrong_answers >> result.repeated_outcomes;
        } else if (kind == "POST" || kind == "GET") {
            outcome_line it;
            it.is_posting = kind == "POST";
            fields >> it.service >> it.id >> it.outcome >> it.detail;
            result.requests.push_back(std::move(it));
        } else {
            throw_malformed(line, record_format);
        }
        if (!fields) {
            throw_malformed(line, record_format);
        }
    }
    return result;
}

std::vector<execution> read_executions(std::istream& in)
{
    std::vector<execution> result;
    for (std::string line; std::getline(in, line);) {
        std::istringstream fields(line);
        std::string kind;
        std::string path;
        execution it;
        if (!(fields >> kind >> it.service >> it.request_id >> path)) {
            throw_malformed(line, execution_format);
        }
        it.is_posting = kind == "POST";
        it.id = id_of(path);
        result.push_back(std::move(it));
    }
    return result;
}

audit_result audit(const caller_record& record, const std::vector<execution>& executions)
{
    audit_result result;
    std::map<std::string, std::string> service_of;
    for (const auto& it : record.requests) {
        service_of[it.id] = it.service;
    }
    std::map<std::string, run_counts> runs;
    for (const auto& it : executions) {
        const auto service = service_of.find(it.id);
        const bool is_own = service == service_of.end() || service->second == it.service;
        ++(is_own ? runs[it.id].own_service : runs[it.id].other_service);
    }
    for (const auto& it : record.requests) {
        audit_request(it, runs[it.id], result);
    }
    for (const auto& it : record.feeds) {
        audit_feed(it, result);
    }
    result.broken_flows = record.broken_flows;
    result.wrong_answers = record.wrong_answers + record.repeated_outcomes;
    return result;
}

bool print_audit(std::ostream& out, const audit_result& result)
{
    for (std::size_t i = 0; i < result.findings.size() && i < max_printed_findings; ++i) {
        out << "finding: " << result.findings[i] << '\n';
    }
    out << "audit: unknown=" << result.unknown << " untrue_refusals=" << result.untrue_refusals
        << " wrong_answers=" << result.wrong_answers << " feed_gaps=" << result.feed_gaps
        << " feed_repeats=" << result.feed_repeats << " stalled_feeds=" << result.stalled_feeds << '\n';
    out << "demo: requests=" << result.requests << " answered=" << result.answered << " refused=" << result.refused
        << " lost=" << result.lost << " doubled=" << result.doubled << " broken_flows=" << result.broken_flows
        << " misrouted=" << result.misrouted << std::endl;
    const auto faults = result.lost + result.doubled + result.broken_flows + result.misrouted + result.untrue_refusals +
                        result.wrong_answers + result.feed_gaps + result.feed_repeats + result.stalled_feeds;
    return result.answered > 0 && faults == 0;
}

} // namespace daisydoor::standins
