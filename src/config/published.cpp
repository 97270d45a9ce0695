#include "daisydoor/config/published.hpp"

#include "yaml_tree.hpp"

#include "daisydoor/core/error.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>
#include <unordered_set>
#include <xxhash.h>

namespace daisydoor::config
{

namespace
{

using detail::field_path;
using detail::map_reader;
using detail::yaml_node;
using detail::yaml_tree;

constexpr std::uint64_t max_u32 = 0xffffffff;
constexpr std::uint64_t max_version = ~std::uint64_t{0};
constexpr std::uint64_t max_slots = 65535;
constexpr std::uint64_t max_queue_per_slot = 10000;
constexpr std::uint64_t max_moves_per_second = 1000000;
/// Shares are written with a few decimals, so thirds do not sum to exactly 1.
constexpr double entry_share_tolerance = 0.001;

const field_path root_path{};

std::optional<unsigned> hex_digit(char c)
{
    unsigned value = 0;
    const auto [end, ec] = std::from_chars(&c, &c + 1, value, 16);
    return ec == std::errc{} ? std::optional(value) : std::nullopt;
}

template <std::size_t N>
std::array<std::uint8_t, N> parse_hexadecimal(const map_reader& map, std::string_view name)
{
    const auto& text = map.text(name);
    std::array<std::uint8_t, N> result{};
    bool is_valid = text.size() == 2 * N;
    for (std::size_t i = 0; is_valid && i < N; ++i) {
        const auto high = hex_digit(text[2 * i]);
        const auto low = hex_digit(text[2 * i + 1]);
        is_valid = high && low;
        result[i] = static_cast<std::uint8_t>(high.value_or(0) * 16 + low.value_or(0));
    }
    if (!is_valid) {
        // The message does not quote the text, since it may be a secret.
        map.fail(errc::wrong_type, name, "not hexadecimal digits, or not the right number of them",
                 std::to_string(2 * N) + " hexadecimal digits");
    }
    return result;
}

core::endpoint address(const map_reader& map, std::string_view name)
{
    const auto& text = map.text(name);
    try {
        return core::parse_endpoint(text);
    } catch (const core::core_error&) {
        map.fail(errc::bad_address, name, "'" + text + "' is not a numeric IP address with a port",
                 "A.B.C.D:PORT or [IPV6]:PORT, port 1 to 65535");
    }
}

/// @brief Reads a scalar that must be one of the names of an enum class.
template <typename Enum, std::size_t N>
Enum parse_enum(const map_reader& map, std::string_view field, const std::array<std::string_view, N>& names)
{
    const auto& text = map.text(field);
    const auto it = std::find(names.begin(), names.end(), text);
    if (it == names.end()) {
        std::string allowed;
        for (const auto name : names) {
            allowed += (allowed.empty() ? "" : ", ") + std::string(name);
        }
        map.fail(errc::unknown_name, field, "'" + text + "' is unknown", allowed);
    }
    return static_cast<Enum>(it - names.begin());
}

std::vector<zone> parse_zones(const yaml_tree& tree, const map_reader& map)
{
    const auto nodes = map.sequence("zones");
    if (nodes.empty() || nodes.size() > max_zone_count) {
        map.fail(errc::out_of_range, "zones", std::to_string(nodes.size()) + " zones", "1 to 255 zones");
    }
    std::vector<zone> result;
    double sum = 0;
    const field_path list{&map.path(), "zones", 0};
    for (const auto* node : nodes) {
        const field_path path{&list, "", result.size()};
        const map_reader fields(tree, *node, path, {"name", "entry_share"});
        zone value{fields.identifier("name"), fields.fraction("entry_share")};
        if (std::any_of(result.begin(), result.end(), [&value](const zone& it) { return it.name == value.name; })) {
            fields.fail(errc::duplicate_name, "name", "'" + value.name + "' is listed twice", "each zone name once");
        }
        sum += value.entry_share;
        result.push_back(std::move(value));
    }
    if (std::abs(sum - 1) > entry_share_tolerance) {
        map.fail(errc::bad_entry_shares, "zones", "the entry shares sum to " + std::to_string(sum), "a sum of 1");
    }
    return result;
}

std::vector<wire::token_key> parse_keys(const yaml_tree& tree, const map_reader& map)
{
    std::vector<wire::token_key> result;
    const auto nodes = map.sequence("keys");
    if (nodes.empty() || nodes.size() > 2) {
        map.fail(errc::bad_key_count, "keys", std::to_string(nodes.size()) + " keys", "one or two keys");
    }
    const field_path list{&map.path(), "keys", 0};
    for (const auto* node : nodes) {
        const field_path path{&list, "", result.size()};
        const map_reader fields(tree, *node, path, {"id", "secret", "signing"});
        const wire::token_key key{core::key_id{static_cast<std::uint32_t>(fields.number("id", 1, max_u32))},
                                  parse_hexadecimal<16>(fields, "secret"), fields.boolean_or("signing", false)};
        if (!result.empty() && result.front().id == key.id) {
            fields.fail(errc::duplicate_id, "id", "key " + std::to_string(core::raw(key.id)) + " is listed twice",
                        "each key id once");
        }
        result.push_back(key);
    }
    const auto signing = std::count_if(result.begin(), result.end(), [](const auto& key) { return key.signing; });
    if (signing != 1) {
        map.fail(errc::bad_key_count, "keys", std::to_string(signing) + " signing keys", "exactly one signing key");
    }
    return result;
}

void parse_policy(const map_reader& map, preset_policy& policy)
{
    policy.queue_per_slot =
        static_cast<std::uint32_t>(map.number_or("queue_per_slot", 1, max_queue_per_slot, policy.queue_per_slot));
    if (map.find("shed_first") != nullptr) {
        policy.shed_first = parse_enum<shed_order>(map, "shed_first", shed_order_names);
    }
    policy.zone_spill_queue =
        static_cast<std::uint32_t>(map.number_or("zone_spill_queue", 0, max_queue_per_slot, policy.zone_spill_queue));
    policy.accept_postings = map.boolean_or("accept_postings", policy.accept_postings);
    policy.feed_moves_per_second = static_cast<std::uint32_t>(
        map.number_or("feed_moves_per_second", 1, max_moves_per_second, policy.feed_moves_per_second));
}

std::array<preset_policy, 3> parse_policies(const yaml_tree& tree, const map_reader& map)
{
    auto result = built_in_policies();
    const auto* node = map.find("presets");
    if (node == nullptr) {
        return result;
    }
    const field_path list{&map.path(), "presets", 0};
    const map_reader presets(tree, *node, list, {preset_names[0], preset_names[1], preset_names[2]});
    for (std::size_t i = 0; i < preset_names.size(); ++i) {
        const field_path path{&list, preset_names.at(i), 0};
        if (const auto* values = presets.find(preset_names.at(i))) {
            parse_policy(map_reader(tree, *values, path,
                                    {"queue_per_slot", "shed_first", "zone_spill_queue", "accept_postings",
                                     "feed_moves_per_second"}),
                         result.at(i));
        }
    }
    return result;
}

bool is_part_key(const std::string& key)
{
    const auto digits = std::string_view(key).substr(std::min(key.size(), part_key_prefix.size()));
    std::uint32_t n = 0;
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), n);
    return key.compare(0, part_key_prefix.size(), part_key_prefix) == 0 && ec == std::errc{} &&
           end == digits.data() + digits.size() && std::to_string(n) == digits;
}

std::vector<part_reference> parse_parts(const yaml_tree& tree, const map_reader& map)
{
    std::vector<part_reference> result;
    std::unordered_set<std::string> keys;
    const field_path list{&map.path(), "parts", 0};
    for (const auto* node : map.sequence("parts")) {
        const field_path path{&list, "", result.size()};
        const map_reader fields(tree, *node, path, {"key", "digest"});
        part_reference part{fields.text("key"), 0};
        if (!is_part_key(part.key)) {
            fields.fail(errc::out_of_range, "key", "'" + part.key.substr(0, 80) + "' is not the key of a part",
                        "services/N with N from 0 to 4294967295");
        }
        for (const auto byte : parse_hexadecimal<8>(fields, "digest")) {
            part.digest = part.digest << 8U | byte;
        }
        if (!keys.insert(part.key).second) {
            fields.fail(errc::duplicate_name, "key", "'" + part.key + "' is listed twice", "each part once");
        }
        result.push_back(std::move(part));
    }
    return result;
}

host parse_host(const yaml_tree& tree, const yaml_node& node, const field_path& path, const std::vector<zone>& zones)
{
    const map_reader map(tree, node, path, {"id", "name", "zone", "agent", "slots", "draining"});
    host result;
    result.id = core::host_id{static_cast<std::uint32_t>(map.number("id", 1, max_u32))};
    result.name = map.identifier("name");
    const auto& zone_name = map.identifier("zone");
    const auto it =
        std::find_if(zones.begin(), zones.end(), [&zone_name](const zone& value) { return value.name == zone_name; });
    if (it == zones.end()) {
        map.fail(errc::unknown_name, "zone", "'" + zone_name + "' is unknown", "a zone that the index lists");
    }
    result.zone = static_cast<zone_index>(it - zones.begin());
    result.agent = address(map, "agent");
    result.slots = static_cast<std::uint16_t>(map.number("slots", 1, max_slots));
    result.draining = map.boolean_or("draining", false);
    return result;
}

service parse_service(const yaml_tree& tree, const yaml_node& node, const field_path& path,
                      const std::vector<zone>& zones, std::vector<std::uint32_t>& lines)
{
    const map_reader map(tree, node, path, {"id", "name", "address", "preset", "hosts"});
    service result;
    result.id = core::service_id{static_cast<std::uint32_t>(map.number("id", 1, max_u32))};
    result.name = map.identifier("name");
    result.address = address(map, "address");
    result.preset = parse_enum<preset>(map, "preset", preset_names);
    lines.push_back(map.line());
    const auto hosts = map.sequence("hosts");
    result.hosts.reserve(hosts.size());
    const field_path list{&path, "hosts", 0};
    for (const auto* it : hosts) {
        const field_path host_path{&list, "", result.hosts.size()};
        result.hosts.push_back(parse_host(tree, *it, host_path, zones));
        lines.push_back(it->line);
    }
    return result;
}

fleet_instance parse_instance(const yaml_tree& tree, const yaml_node& node, const field_path& path)
{
    static constexpr std::array<std::string_view, 2> role_names{"agent", "entry"};
    const map_reader map(tree, node, path, {"role", "host", "zone", "address", "state"});
    fleet_instance result;
    result.is_entry = parse_enum<std::size_t>(map, "role", role_names) == 1;
    if (result.is_entry && map.find("host") != nullptr) {
        map.fail(errc::unknown_field, "host", "an entry has no host", "the field host only with the role agent");
    }
    if (!result.is_entry) {
        result.host = core::host_id{static_cast<std::uint32_t>(map.number("host", 1, max_u32))};
    }
    result.zone = map.identifier("zone");
    result.address = address(map, "address");
    result.state = parse_enum<instance_state>(map, "state", instance_state_names);
    return result;
}

} // namespace

std::uint64_t content_digest(std::string_view content) noexcept { return XXH3_64bits(content.data(), content.size()); }

std::array<preset_policy, 3> built_in_policies() noexcept
{
    return {{{8, shed_order::newest, 0, true, 20},
             {4, shed_order::idempotent, 1, true, 5},
             {8, shed_order::newest, 0, false, 50}}};
}

published_index parse_index(const std::string& content)
{
    const yaml_tree tree(std::string(index_key), content);
    const map_reader map(tree, tree.root(), root_path, {"version", "zones", "keys", "presets", "parts"});
    published_index result;
    result.version = core::config_version{map.number("version", 1, max_version)};
    result.zones = parse_zones(tree, map);
    result.keys = parse_keys(tree, map);
    result.policies = parse_policies(tree, map);
    result.parts = parse_parts(tree, map);
    return result;
}

published_part parse_part(const std::string& key, const std::string& content, const std::vector<zone>& zones)
{
    const yaml_tree tree(key, content);
    const map_reader map(tree, tree.root(), root_path, {"services"});
    published_part result;
    result.key = key;
    const auto nodes = map.sequence("services");
    result.services.reserve(nodes.size());
    const field_path list{&root_path, "services", 0};
    for (const auto* node : nodes) {
        const field_path path{&list, "", result.services.size()};
        result.services.push_back(parse_service(tree, *node, path, zones, result.lines));
    }
    return result;
}

fleet_view parse_fleet(const std::string& content)
{
    const yaml_tree tree(std::string(fleet_key), content);
    const map_reader map(tree, tree.root(), root_path, {"version", "instances"});
    fleet_view result;
    result.version = map.number("version", 1, max_version);
    const field_path list{&root_path, "instances", 0};
    std::unordered_set<std::uint32_t> hosts;
    for (const auto* node : map.sequence("instances")) {
        const field_path path{&list, "", result.instances.size()};
        auto instance = parse_instance(tree, *node, path);
        if (!instance.is_entry && !hosts.insert(core::raw(instance.host)).second) {
            const auto id = std::to_string(core::raw(instance.host));
            throw config_error(errc::duplicate_id, tree.key(), node->line, to_string(path) + ".host",
                               "host " + id + " is listed twice", "each host once");
        }
        result.instances.push_back(std::move(instance));
    }
    return result;
}

} // namespace daisydoor::config
