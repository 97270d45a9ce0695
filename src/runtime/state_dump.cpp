#include "daisydoor/runtime/detail/state_dump.hpp"

#include <nlohmann/json.hpp>

namespace daisydoor::runtime::detail
{

namespace
{

/// JSON type that preserves the insertion order of fields.
using json = nlohmann::ordered_json;

template <typename Names, typename Value>
std::string name_of(const Names& names, Value value)
{
    return std::string(names.at(static_cast<std::size_t>(value)));
}

json dump_process(const dump_input& input)
{
    const auto& process_settings = input.process_settings;
    json result{{"role", name_of(role_names, process_settings.role)},
                {"zone", process_settings.zone},
                {"listen", core::to_string(process_settings.listen)},
                {"admin", core::to_string(process_settings.admin)},
                {"uptime_s", input.uptime.count()}};
    if (process_settings.agent) {
        result["host"] = core::raw(process_settings.agent->host);
        result["service"] = core::raw(process_settings.agent->service);
        result["target"] = core::to_string(process_settings.agent->target);
    }
    return result;
}

json dump_policy(const config::preset_policy& policy)
{
    return {{"queue_per_slot", policy.queue_per_slot},
            {"shed_first", name_of(config::shed_order_names, policy.shed_first)},
            {"zone_spill_queue", policy.zone_spill_queue},
            {"accept_postings", policy.accept_postings},
            {"feed_moves_per_second", policy.feed_moves_per_second}};
}

json dump_service(const config::service& service, const config::snapshot& snapshot, bool with_hosts)
{
    json result{{"id", core::raw(service.id)},
                {"name", service.name},
                {"address", core::to_string(service.address)},
                {"preset", name_of(config::preset_names, service.preset)},
                {"host_count", service.hosts.size()}};
    if (!with_hosts) {
        return result;
    }
    result["hosts"] = json::array();
    for (const auto& host : service.hosts) {
        result["hosts"].push_back({{"id", core::raw(host.id)},
                                   {"name", host.name},
                                   {"zone", snapshot.zones.at(host.zone).name},
                                   {"agent", core::to_string(host.agent)},
                                   {"slots", host.slots},
                                   {"draining", host.draining}});
    }
    return result;
}

json dump_configuration(const dump_input& input)
{
    const auto& snapshot = input.state.snapshot;
    if (!snapshot) {
        return nullptr;
    }
    json result{{"version", core::raw(snapshot->version)}};
    result["zones"] = json::array();
    for (const auto& zone : snapshot->zones) {
        result["zones"].push_back({{"name", zone.name}, {"entry_share", zone.entry_share}});
    }
    result["keys"] = json::array();
    for (const auto& key : snapshot->keys) {
        result["keys"].push_back({{"id", core::raw(key.id)}, {"signing", key.signing}});
    }
    for (std::size_t i = 0; i < config::preset_names.size(); ++i) {
        result["presets"][std::string(config::preset_names.at(i))] = dump_policy(snapshot->policies.at(i));
    }
    std::size_t hosts = 0;
    for (const auto& service : snapshot->services) {
        hosts += service.hosts.size();
    }
    result["services"] = json::array();
    for (const auto& service : snapshot->services) {
        if (!input.service || *input.service == service.id) {
            result["services"].push_back(
                dump_service(service, *snapshot, input.service.has_value() || hosts <= max_dumped_hosts));
        }
    }
    return result;
}

json dump_fleet(const config::fleet_view_ptr& fleet)
{
    if (!fleet) {
        return nullptr;
    }
    json result{{"version", fleet->version}, {"instance_count", fleet->instances.size()}};
    if (fleet->instances.size() > max_dumped_hosts) {
        return result;
    }
    result["instances"] = json::array();
    for (const auto& instance : fleet->instances) {
        json row{{"role", instance.is_entry ? "entry" : "agent"},
                 {"zone", instance.zone},
                 {"address", core::to_string(instance.address)},
                 {"state", name_of(config::instance_state_names, instance.state)}};
        if (!instance.is_entry) {
            row["host"] = core::raw(instance.host);
        }
        result["instances"].push_back(std::move(row));
    }
    return result;
}

json dump_agent(const collect_state& state)
{
    json result{{"state", state.agent_state}};
    result["peers"] = json::array();
    for (const auto& peer : state.peers) {
        result["peers"].push_back({{"host", core::raw(peer.host)},
                                   {"zone", peer.zone},
                                   {"link_up", peer.link_up},
                                   {"incarnation", std::to_string(core::raw(peer.incarnation))},
                                   {"state", wire::EnumNameagent_state(peer.report.state)},
                                   {"free_slots", peer.report.free_slots},
                                   {"queued", peer.report.queued},
                                   {"held_flows", peer.report.held_flows},
                                   {"held_feeds", peer.report.held_feeds},
                                   {"report_age_ms", peer.report_age.count()}});
    }
    return result;
}

json dump_tasks(const std::map<std::string, collect_metrics>& tasks)
{
    json result = json::object();
    for (const auto& [name, message] : tasks) {
        json& section = result[name];
        for (const auto& value : message.samples) {
            json& place = value.kind.empty() ? section[value.name] : section[value.name][value.kind];
            place = static_cast<std::uint64_t>(value.value);
        }
    }
    return result;
}

} // namespace

std::string write_dump(const dump_input& input)
{
    json result{{"process", dump_process(input)},
                {"tasks", dump_tasks(input.tasks)},
                {"configuration", dump_configuration(input)},
                {"fleet", dump_fleet(input.state.fleet)}};
    if (!input.state.agent_state.empty()) {
        result["agent"] = dump_agent(input.state);
    }
    // Names in the published configuration may contain any bytes; invalid UTF-8 is replaced so that the dump succeeds.
    return result.dump(2, ' ', false, json::error_handler_t::replace) + '\n';
}

} // namespace daisydoor::runtime::detail
