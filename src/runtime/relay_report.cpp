#include "daisydoor/runtime/detail/relay_task.hpp"
#include "daisydoor/runtime/detail/socket_address.hpp"

#include <nlohmann/json.hpp>

namespace daisydoor::runtime::detail
{

namespace
{

std::int64_t milliseconds_since(core::time_point at)
{
    return std::chrono::duration_cast<core::milliseconds>(core::clock::now() - at).count();
}

} // namespace

std::string relay_task::metrics_text()
{
    collect_metrics message;
    message.samples = {
        {"packets_received", "", static_cast<double>(m_packets.counters().received)},
        {"packets_malformed", "", static_cast<double>(m_packets.counters().malformed)},
        {"packets_sent", "", static_cast<double>(m_packets.counters().sent)},
        {"packets_send_failed", "", static_cast<double>(m_packets.counters().send_failed)},
        {"messages_malformed", "", static_cast<double>(m_malformed_messages)},
        {"resets", "", static_cast<double>(m_resets)},
        {"updates_ignored", "", static_cast<double>(m_older_updates)},
        {"log_lines_dropped", "", static_cast<double>(m_log.dropped())},
        {"flows", "", static_cast<double>(m_entry ? m_entry->flow_count() : m_agent->flow_count()), false},
        {"zones_suspected", "", static_cast<double>(m_entry ? m_entry->suspected_zones().size() : 0), false},
        {"hosts", "", static_cast<double>(m_view.hosts().size()), false},
        {"hosts_of_unconfigured_services", "", static_cast<double>(m_view.unconfigured_host_count()), false},
        {"view_age_ms", "", static_cast<double>(m_sync.age(core::clock::now()).count()), false},
        {"former_services", "", static_cast<double>(m_view.history().former().size()), false},
        {"routes_past_ms", "", static_cast<double>(m_view.history().complete_for(core::clock::now()).count()), false},
        {"route_version", "", static_cast<double>(static_cast<std::uint64_t>(m_view.version())), false}};
    message.samples.push_back({"evacuated_zones", "", static_cast<double>(m_view.evacuated_zones().size()), false});
    for (const auto& [zone, entry] : m_view.evacuated_zones()) {
        message.samples.push_back(
            {"evacuation_age_ms", zone, static_cast<double>(milliseconds_since(entry.since)), false});
    }
    if (m_agent) {
        const auto& work = m_agent->work();
        message.samples.push_back({"idle_flows_discarded", "", static_cast<double>(m_agent->idle_flows_discarded())});
        message.samples.push_back({"work_left_ms", "", work.work_left_ms(), false});
        message.samples.push_back({"mean_work_ms", "", work.mean_ms(), false});
        message.samples.push_back({"slots_per_idle_flow", "", work.slots_per_idle_flow(), false});
    }
    for (std::size_t i = 0; i < m_decisions.size(); ++i) {
        message.samples.push_back(
            {"decisions", std::string(relay::decision_names.at(i)), static_cast<double>(m_decisions.at(i))});
    }
    if (m_agent) {
        const auto limit = m_agent->cold().limit();
        message.samples.push_back({"cold_limit", "", limit ? static_cast<double>(*limit) : -1.0, false});
    }
    m_metrics.update(message);
    collect_metrics platform;
    if (const auto found = m_kernel.find_optional_handler<collect_metrics>(task_names::platform)) {
        found.call(platform);
        m_metrics.update(platform);
    }
    return m_metrics.text();
}

std::string relay_task::dump() const
{
    nlohmann::json result;
    result["name"] = m_settings.name;
    result["role"] = relay_role_names.at(static_cast<std::size_t>(m_settings.role));
    result["version"] = static_cast<std::uint64_t>(m_view.version());
    result["era"] = static_cast<std::uint64_t>(m_view.era());
    result["revision"] = static_cast<std::uint64_t>(m_view.revision());
    result["flows"] = m_entry ? m_entry->flow_count() : m_agent->flow_count();
    for (const auto& [id, entry] : m_view.hosts()) {
        result["hosts"].push_back({{"id", id},
                                   {"service", entry.value.service},
                                   {"service_configured", entry.service_configured},
                                   {"zone", entry.value.availability_zone},
                                   {"address", ip_of(relay::endpoint_of(entry.value.address, 0))},
                                   {"port", entry.value.port},
                                   {"slots", entry.value.slots},
                                   {"state", relay::host_state_names.at(static_cast<std::size_t>(entry.value.state))},
                                   {"lapsing", entry.grace_ends_at.has_value()},
                                   {"evacuated", entry.zone_evacuated},
                                   {"disputed", entry.disputed_until.has_value()}});
    }
    if (m_entry) {
        result["suspected_zones"] = m_entry->suspected_zones();
    }
    for (const auto& [zone, entry] : m_view.evacuated_zones()) {
        result["evacuated_zones"].push_back({{"zone", zone},
                                             {"revision", static_cast<std::uint64_t>(entry.revision)},
                                             {"age_ms", milliseconds_since(entry.since)}});
    }
    const auto past = m_view.history().describe(core::clock::now());
    result["routes_past_ms"] = past.complete_for.count();
    for (const auto& it : past.former) {
        result["former_services"].push_back({{"route", to_string(relay::endpoint_of(it.address, it.port))},
                                             {"service", it.service},
                                             {"age_ms", it.age.count()}});
    }
    if (m_agent) {
        const auto load = m_agent->load();
        result["load"] = {{"in_flight", load.in_flight},
                          {"open_flows", load.open_flows},
                          {"slots", load.slots},
                          {"accepts", load.accepts},
                          {"work_left_ms", m_agent->work().work_left_ms()},
                          {"mean_work_ms", m_agent->work().mean_ms()},
                          {"slots_per_idle_flow", m_agent->work().slots_per_idle_flow()}};
        for (const auto& it : m_agent->work().routes()) {
            result["route_work"].push_back({{"address", ip_of(relay::endpoint_of(it.service, 0))},
                                            {"port", it.port},
                                            {"mean_work_ms", it.mean_ms}});
        }
        if (const auto limit = m_agent->cold().limit()) {
            result["cold_limit"] = *limit;
        }
    }
    return result.dump(2) + '\n';
}

} // namespace daisydoor::runtime::detail
