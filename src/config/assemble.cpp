#include "daisydoor/config/error.hpp"
#include "daisydoor/config/published.hpp"

#include <algorithm>
#include <tuple>

namespace daisydoor::config
{

namespace
{

/// @brief Position of a service or host in the published parts, for error messages.
struct source_position
{
    const published_part* part = nullptr;
    std::size_t service = 0;
    /// -1 if the position is that of the service itself.
    std::ptrdiff_t host = -1;
    std::uint32_t line = 0;
};

[[noreturn]] void fail_duplicate(errc code, const source_position& first, const source_position& second,
                                 const char* field, const std::string& value)
{
    auto path = "services[" + std::to_string(second.service) + ']';
    if (second.host >= 0) {
        path += ".hosts[" + std::to_string(second.host) + ']';
    }
    throw config_error(code, second.part->key, second.line, path + '.' + field,
                       value + " is already used in " + first.part->key + ':' + std::to_string(first.line),
                       "a value that is unique in the configuration");
}

template <typename Value>
using located = std::vector<std::pair<Value, source_position>>;

template <typename Value, typename Format>
void check_unique(located<Value>& values, errc code, const char* field, Format format)
{
    std::stable_sort(values.begin(), values.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    const auto it = std::adjacent_find(values.begin(), values.end(),
                                       [](const auto& a, const auto& b) { return a.first == b.first; });
    if (it != values.end()) {
        fail_duplicate(code, it->second, (it + 1)->second, field, format(it->first));
    }
}

/// @brief Calls `visit_service` with each service and `visit_host` with each host, each with its position.
template <typename Service_visitor, typename Host_visitor>
void visit_all(const std::vector<published_part_ptr>& parts, Service_visitor visit_service, Host_visitor visit_host)
{
    for (const auto& part : parts) {
        std::size_t line = 0;
        for (std::size_t i = 0; i < part->services.size(); ++i) {
            const auto& value = part->services[i];
            visit_service(value, source_position{part.get(), i, -1, part->lines[line++]});
            for (std::size_t k = 0; k < value.hosts.size(); ++k) {
                visit_host(value.hosts[k],
                           source_position{part.get(), i, static_cast<std::ptrdiff_t>(k), part->lines[line++]});
            }
        }
    }
}

template <typename Id>
std::string format_id(Id id)
{
    return std::to_string(core::raw(id));
}

void check_services(const std::vector<published_part_ptr>& parts)
{
    const auto ignore_host = [](const host& /*value*/, const source_position& /*where*/) {};
    located<core::service_id> ids;
    located<std::string> names;
    located<core::endpoint> addresses;
    visit_all(
        parts,
        [&](const service& value, const source_position& where) {
            ids.emplace_back(value.id, where);
            names.emplace_back(value.name, where);
            addresses.emplace_back(value.address, where);
        },
        ignore_host);
    check_unique(ids, errc::duplicate_id, "id", format_id<core::service_id>);
    check_unique(names, errc::duplicate_name, "name", [](const std::string& name) { return name; });
    check_unique(addresses, errc::duplicate_address, "address",
                 [](const core::endpoint& value) { return core::to_string(value); });
}

/// Checks the ids before it collects the addresses, so that only one of these lists is in memory at a time.
void check_hosts(const std::vector<published_part_ptr>& parts)
{
    const auto ignore_service = [](const service& /*value*/, const source_position& /*where*/) {};
    {
        located<core::host_id> ids;
        visit_all(parts, ignore_service,
                  [&ids](const host& value, const source_position& where) { ids.emplace_back(value.id, where); });
        check_unique(ids, errc::duplicate_id, "id", format_id<core::host_id>);
    }
    located<core::endpoint> agents;
    visit_all(parts, ignore_service,
              [&agents](const host& value, const source_position& where) { agents.emplace_back(value.agent, where); });
    check_unique(agents, errc::duplicate_address, "agent",
                 [](const core::endpoint& value) { return core::to_string(value); });
}

} // namespace

snapshot make_snapshot(const published_index& index, const std::vector<published_part_ptr>& parts)
{
    check_services(parts);
    check_hosts(parts);
    snapshot result;
    result.version = index.version;
    result.zones = index.zones;
    result.keys = index.keys;
    result.policies = index.policies;
    std::size_t n = 0;
    for (const auto& part : parts) {
        n += part->services.size();
    }
    result.services.reserve(n);
    for (const auto& part : parts) {
        result.services.insert(result.services.end(), part->services.begin(), part->services.end());
    }
    return result;
}

} // namespace daisydoor::config
