#include "standins/fabric/fabric.hpp"

#include <algorithm>
#include <sstream>

namespace daisydoor::standins
{

void fabric::on_control(evhttp_request* request)
{
    const auto call = parse_request_line(request);
    if (!call.is_post && call.path == "/stats") {
        reply(request, HTTP_OK, stats());
        return;
    }
    if (!call.is_post || call.path != "/control") {
        reply(request, HTTP_NOTFOUND, "");
        return;
    }
    try {
        apply(call);
        apply_cuts(call);
        apply_host_cuts(call);
        reply(request, HTTP_OK, "ok\n");
    } catch (const std::exception& ex) {
        reply(request, HTTP_BADREQUEST, std::string(ex.what()) + "\n");
    }
}

void fabric::apply(const http_request_line& call)
{
    m_options.loss = call.number("loss", m_options.loss);
    m_options.duplicate = call.number("duplicate", m_options.duplicate);
    m_options.reorder = call.number("reorder", m_options.reorder);
    m_options.caller_delay = core::milliseconds(
        static_cast<std::int64_t>(call.number("delay_ms", static_cast<double>(m_options.caller_delay.count()))));
    if (const auto address = call.find("add_entry")) {
        add_entry({call.find("zone").value_or(""), core::parse_endpoint(*address)});
    }
    if (const auto address = call.find("remove_entry")) {
        const auto entry = core::parse_endpoint(*address);
        m_entries.erase(std::remove_if(m_entries.begin(), m_entries.end(),
                                       [&](const auto& it) { return it->entry.address == entry; }),
                        m_entries.end());
    }
    if (const auto which = call.find("forget")) {
        blackhole(*which);
    }
}

void fabric::apply_cuts(const http_request_line& call)
{
    if (const auto address = call.find("cut")) {
        m_cut_addresses.insert(core::parse_endpoint(*address));
    }
    if (const auto address = call.find("restore")) {
        m_cut_addresses.erase(core::parse_endpoint(*address));
    }
    if (const auto zone = call.find("cut_zone")) {
        m_cut_zones.insert(*zone);
    }
    if (const auto zone = call.find("restore_zone")) {
        m_cut_zones.erase(*zone);
    }
}

void fabric::apply_host_cuts(const http_request_line& call)
{
    const auto host = [&call](const char* name) { return static_cast<std::uint32_t>(call.number(name, 0)); };
    if (call.find("cut_host")) {
        m_cut_hosts.insert(host("cut_host"));
    }
    if (call.find("restore_host")) {
        m_cut_hosts.erase(host("restore_host"));
    }
    if (call.find("cut_link")) {
        m_cut_links.insert(std::minmax({host("cut_link"), host("with")}));
    }
    if (call.find("restore_link")) {
        m_cut_links.erase(std::minmax({host("restore_link"), host("with")}));
    }
    for (const auto& it : m_relays) {
        it->links->refresh();
    }
}

void fabric::blackhole(const std::string& which)
{
    if (which == "all") {
        m_blackholed.insert(m_callers.begin(), m_callers.end());
    } else if (which == "none") {
        m_blackholed.clear();
    } else {
        m_blackholed.insert(core::parse_endpoint(which));
    }
}

std::string fabric::stats() const
{
    std::ostringstream out;
    out << "{\"from_callers\": " << m_counters.from_callers << ", \"returned\": " << m_counters.returned
        << ", \"lost\": " << m_counters.lost << ", \"duplicated\": " << m_counters.duplicated
        << ", \"reordered\": " << m_counters.reordered << ", \"cut\": " << m_counters.cut
        << ", \"forgotten\": " << m_counters.forgotten << ", \"malformed\": " << m_counters.malformed
        << ", \"without_entry\": " << m_counters.without_entry << ", \"callers\": " << m_callers.size()
        << ", \"entries\": {";
    const char* separator = "";
    for (const auto& it : m_entries) {
        out << separator << '"' << core::to_string(it->entry.address) << "\": " << it->sent;
        separator = ", ";
    }
    out << "}}\n";
    return out.str();
}

} // namespace daisydoor::standins
