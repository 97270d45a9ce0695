#include "daisydoor/config/error.hpp"
#include "daisydoor/config/published.hpp"
#include "support/published_text.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <ostream>
#include <random>

namespace daisydoor::config
{
namespace
{

using ::testing::HasSubstr;

/// @brief Replacement of a text in a valid published value, and the error that parsing must then report.
struct bad_value
{
    const char* name;
    const char* old_text;
    const char* new_text;
    errc code;
    /// Key, line and field that the message must contain.
    const char* location;
};

/// Prints the name, since GoogleTest would otherwise print pointer values in the names that ctest lists.
void PrintTo(const bad_value& value, std::ostream* out) // NOLINT(readability-identifier-naming): name set by GoogleTest
{
    *out << value.name;
}

std::string replaced(std::string text, const bad_value& change)
{
    const auto at = text.find(change.old_text);
    EXPECT_NE(at, std::string::npos) << change.name;
    return text.replace(at, std::string(change.old_text).size(), change.new_text);
}

template <typename Parse>
void expect_error(const bad_value& param, Parse parse)
{
    try {
        parse();
        FAIL() << param.name << " was accepted";
    } catch (const config_error& e) {
        EXPECT_EQ(e.number(), static_cast<int>(param.code)) << param.name << ": " << e.what();
        EXPECT_THAT(e.what(), HasSubstr(param.location)) << param.name;
        EXPECT_THAT(e.what(), HasSubstr("; allowed: ")) << param.name;
    }
}

std::string print_name(const ::testing::TestParamInfo<bad_value>& info) { return info.param.name; }

const std::string valid_index = R"(version: 12
zones:
  - {name: zone-a, entry_share: 0.34}
  - {name: zone-b, entry_share: 0.33}
  - {name: zone-c, entry_share: 0.33}
keys:
  - {id: 1, secret: 000102030405060708090a0b0c0d0e0f}
  - {id: 2, secret: 100102030405060708090a0b0c0d0e0f, signing: true}
presets:
  peak: {queue_per_slot: 6, shed_first: newest}
  maintenance: {accept_postings: true}
parts:
  - {key: services/0, digest: 89abcdef01234567}
  - {key: services/1, digest: 0000000000000001}
)";

const std::vector<zone> zones{{"zone-a", 0.5}, {"zone-b", 0.5}};

const std::string valid_part = R"(services:
  - id: 1
    name: ledger
    address: 127.0.100.1:9001
    preset: peak
    hosts:
      - {id: 11, name: ledger-a1, zone: zone-a, agent: 127.0.0.11:7100, slots: 5}
      - {id: 12, name: ledger-a2, zone: zone-b, agent: "[2001:db8::1]:7100", slots: 7, draining: true}
  - {id: 2, name: search, address: 127.0.100.2:9001, preset: ordinary, hosts: []}
)";

const std::string valid_fleet = R"(version: 77
instances:
  - {role: entry, zone: zone-a, address: 127.0.0.2:7000, state: live}
  - {role: agent, host: 11, zone: zone-a, address: 127.0.0.11:7100, state: leaving}
)";

class bad_index_test : public ::testing::TestWithParam<bad_value>
{
};

// Guards against an operator's mistake in the index taking effect in part, or being reported without its location.
TEST_P(bad_index_test, parse_rejected_with_location)
{
    expect_error(GetParam(), [] { parse_index(replaced(valid_index, GetParam())); });
}

INSTANTIATE_TEST_SUITE_P(
    config, bad_index_test,
    ::testing::Values(
        bad_value{"unknown_field", "version: 12", "version: 12\nregion: x", errc::unknown_field, "index:2: region"},
        bad_value{"repeated_field", "version: 12", "version: 12\nversion: 13", errc::duplicate_field,
                  "index:2: version"},
        bad_value{"missing_version", "version: 12\n", "", errc::missing_field, "version: missing"},
        bad_value{"version_text", "version: 12", "version: high", errc::wrong_type, "index:1: version"},
        bad_value{"version_quoted", "version: 12", "version: '12'", errc::wrong_type, "index:1: version"},
        bad_value{"version_decimal", "version: 12", "version: 12.5", errc::wrong_type, "index:1: version"},
        bad_value{"version_zero", "version: 12", "version: 0", errc::out_of_range, "index:1: version"},
        bad_value{"version_negative", "version: 12", "version: -1", errc::out_of_range, "index:1: version"},
        bad_value{"version_huge", "version: 12", "version: 18446744073709551616", errc::out_of_range,
                  "index:1: version"},
        bad_value{"shares", "0.34", "0.44", errc::bad_entry_shares, "index:3: zones"},
        bad_value{"share_above_one", "0.34", "1.34", errc::out_of_range, "index:3: zones[0].entry_share"},
        bad_value{"share_not_a_number", "0.34", "nan", errc::out_of_range, "index:3: zones[0].entry_share"},
        bad_value{"share_text", "0.34", "third", errc::wrong_type, "index:3: zones[0].entry_share"},
        bad_value{"repeated_zone", "zone-b", "zone-a", errc::duplicate_name, "index:4: zones[1].name"},
        bad_value{"zone_name", "zone-b", "'zone b'", errc::out_of_range, "index:4: zones[1].name"},
        bad_value{"zones_map", "zones:\n", "zones: {}\nx:\n", errc::unknown_field, "index:3: x"},
        bad_value{"no_signing_key", ", signing: true", "", errc::bad_key_count, "index:7: keys"},
        bad_value{"two_signing_keys", "0e0f}", "0e0f, signing: true}", errc::bad_key_count, "index:7: keys"},
        bad_value{"three_keys", "keys:\n", "keys:\n  - {id: 3, secret: 200102030405060708090a0b0c0d0e0f}\n",
                  errc::bad_key_count, "index:7: keys"},
        bad_value{"repeated_key", "{id: 2", "{id: 1", errc::duplicate_id, "index:8: keys[1].id"},
        bad_value{"short_secret", "0e0f}", "0e0}", errc::wrong_type, "index:7: keys[0].secret"},
        bad_value{"preset_name", "  peak:", "  rush:", errc::unknown_field, "index:10: presets.rush"},
        bad_value{"preset_field", "queue_per_slot", "queue", errc::unknown_field, "index:10: presets.peak.queue"},
        bad_value{"preset_queue", "queue_per_slot: 6", "queue_per_slot: 0", errc::out_of_range,
                  "index:10: presets.peak.queue_per_slot"},
        bad_value{"preset_shed", "newest", "oldest", errc::unknown_name, "index:10: presets.peak.shed_first"},
        bad_value{"preset_boolean", "accept_postings: true", "accept_postings: yes", errc::wrong_type,
                  "index:11: presets.maintenance.accept_postings"},
        bad_value{"part_key", "services/1", "service/1", errc::out_of_range, "index:14: parts[1].key"},
        bad_value{"part_key_zeros", "services/1", "services/01", errc::out_of_range, "index:14: parts[1].key"},
        bad_value{"repeated_part", "services/1", "services/0", errc::duplicate_name, "index:14: parts[1].key"},
        bad_value{"digest", "0000000000000001", "000000000000000g", errc::wrong_type, "index:14: parts[1].digest"},
        bad_value{"anchor", "version: 12", "version: &a 12", errc::bad_yaml, "index:1: "},
        bad_value{"second_document", "version: 12", "--- {}\n---\nversion: 12", errc::bad_yaml, "index:2: "},
        bad_value{"broken", "{name: zone-a", "{name: zone-a]", errc::bad_yaml, "index:"},
        bad_value{"deep", "version: 12", "version: [[[[[[[[[[[[[[[[[[1]]]]]]]]]]]]]]]]]]", errc::bad_yaml,
                  "index:1: "}),
    print_name);

class bad_part_test : public ::testing::TestWithParam<bad_value>
{
};

// Guards against an invalid service or host that some processes accept and others reject.
TEST_P(bad_part_test, parse_rejected_with_location)
{
    expect_error(GetParam(), [] {
        const auto text = replaced(valid_part, GetParam());
        const auto part = std::make_shared<const published_part>(parse_part("services/3", text, zones));
        make_snapshot(parse_index(valid_index), {part});
    });
}

INSTANTIATE_TEST_SUITE_P(
    config, bad_part_test,
    ::testing::Values(
        bad_value{"unknown_field", "name: ledger\n", "name: ledger\n    nmae: x\n", errc::unknown_field,
                  "services/3:4: services[0].nmae"},
        bad_value{"host_name_address", "127.0.0.11", "ledger.example", errc::bad_address,
                  "services/3:7: services[0].hosts[0].agent"},
        bad_value{"address_without_port", "127.0.100.1:9001", "127.0.100.1", errc::bad_address,
                  "services/3:4: services[0].address"},
        bad_value{"slots_zero", "slots: 7", "slots: 0", errc::out_of_range, "services/3:8: services[0].hosts[1].slots"},
        bad_value{"slots_huge", "slots: 7", "slots: 65536", errc::out_of_range,
                  "services/3:8: services[0].hosts[1].slots"},
        bad_value{"unknown_zone", "zone-b", "zone-x", errc::unknown_name, "services/3:8: services[0].hosts[1].zone"},
        bad_value{"unknown_preset", "preset: peak", "preset: rush", errc::unknown_name,
                  "services/3:5: services[0].preset"},
        bad_value{"service_id_huge", "id: 1\n", "id: 4294967296\n", errc::out_of_range, "services/3:2: services[0].id"},
        bad_value{"missing_agent", "agent: 127.0.0.11:7100, ", "", errc::missing_field,
                  "services/3:7: services[0].hosts[0].agent"},
        bad_value{"hosts_scalar", "hosts: []", "hosts: 3", errc::wrong_type, "services/3:9: services[1].hosts"},
        bad_value{"repeated_host", "id: 12", "id: 11", errc::duplicate_id, "services/3:8: services[0].hosts[1].id"},
        bad_value{"repeated_agent", "\"[2001:db8::1]:7100\"", "127.0.0.11:7100", errc::duplicate_address,
                  "services/3:8: services[0].hosts[1].agent"},
        bad_value{"repeated_service", "{id: 2", "{id: 1", errc::duplicate_id, "services/3:9: services[1].id"},
        bad_value{"repeated_service_name", "search", "ledger", errc::duplicate_name, "services/3:9: services[1].name"},
        bad_value{"repeated_service_address", "127.0.100.2", "127.0.100.1", errc::duplicate_address,
                  "services/3:9: services[1].address"}),
    print_name);

class bad_fleet_test : public ::testing::TestWithParam<bad_value>
{
};

// Guards against a fleet view that lists instances which no process can reach.
TEST_P(bad_fleet_test, parse_rejected_with_location)
{
    expect_error(GetParam(), [] { parse_fleet(replaced(valid_fleet, GetParam())); });
}

INSTANTIATE_TEST_SUITE_P(
    config, bad_fleet_test,
    ::testing::Values(
        bad_value{"role", "role: entry", "role: relay", errc::unknown_name, "fleet:3: instances[0].role"},
        bad_value{"state", "leaving", "gone", errc::unknown_name, "fleet:4: instances[1].state"},
        bad_value{"entry_host", "role: entry", "role: entry, host: 3", errc::unknown_field,
                  "fleet:3: instances[0].host"},
        bad_value{"agent_without_host", "host: 11, ", "", errc::missing_field, "fleet:4: instances[1].host"},
        bad_value{"address", "127.0.0.2:7000", "127.0.0.2:0", errc::bad_address, "fleet:3: instances[0].address"},
        bad_value{"repeated_host", "instances:\n",
                  "instances:\n  - {role: agent, host: 11, zone: z, address: 127.0.0.9:1, state: live}\n",
                  errc::duplicate_id, "fleet:5: instances[2].host"}),
    print_name);

// Guards against fields that are stored in the wrong member, and against defaults that override published values.
TEST(published_test, parse_valid_all_fields)
{
    const auto index = parse_index(valid_index);
    EXPECT_EQ(index.version, core::config_version{12});
    ASSERT_EQ(index.zones.size(), 3U);
    EXPECT_DOUBLE_EQ(index.zones[0].entry_share, 0.34);
    ASSERT_EQ(index.keys.size(), 2U);
    EXPECT_EQ(index.keys[0].secret[15], 0x0f);
    EXPECT_TRUE(index.keys[1].signing);
    EXPECT_EQ(index.policies[1].queue_per_slot, 6U);
    EXPECT_EQ(index.policies[1].shed_first, shed_order::newest);
    EXPECT_EQ(index.policies[1].zone_spill_queue, 1U);
    EXPECT_TRUE(index.policies[2].accept_postings);
    EXPECT_EQ(index.policies[0].feed_moves_per_second, 20U);
    EXPECT_EQ(index.parts[0].digest, 0x89abcdef01234567U);

    const auto part = parse_part("services/3", valid_part, zones);
    ASSERT_EQ(part.services.size(), 2U);
    EXPECT_EQ(part.services[0].preset, preset::peak);
    EXPECT_EQ(part.services[0].address, core::parse_endpoint("127.0.100.1:9001"));
    const auto& host = part.services[0].hosts.at(1);
    EXPECT_EQ(host.agent, core::parse_endpoint("[2001:db8::1]:7100"));
    EXPECT_EQ(host.zone, 1);
    EXPECT_EQ(host.slots, 7);
    EXPECT_TRUE(host.draining);

    const auto fleet = parse_fleet(valid_fleet);
    EXPECT_EQ(fleet.version, 77U);
    EXPECT_TRUE(fleet.instances.at(0).is_entry);
    EXPECT_EQ(fleet.instances.at(1).state, instance_state::leaving);
}

// Guards against a duplicate in two parts, which a check of each part alone does not find.
TEST(published_test, make_snapshot_duplicate_in_other_part_names_both)
{
    auto text = test::two_service_deployment(1);
    text.parts[1][0].hosts[0].id = 13;
    const auto index = parse_index(text.values().at("index"));
    std::vector<published_part_ptr> parts;
    for (std::size_t i = 0; i < 2; ++i) {
        parts.push_back(std::make_shared<const published_part>(
            parse_part("services/" + std::to_string(i), text.part_text(i), index.zones)));
    }
    expect_error({"host", "", "", errc::duplicate_id, "services/1:7: services[0].hosts[0].id"},
                 [&] { make_snapshot(index, parts); });
}

// Guards against a value above the platform's limit filling the memory of every process.
TEST(published_test, parse_too_large_rejected)
{
    expect_error({"size", "", "", errc::value_too_large, "index: "},
                 [] { parse_index(valid_index + std::string(max_value_size, '\n')); });
    expect_error({"empty", "", "", errc::bad_yaml, "index: "}, [] { parse_index(""); });
}

// Guards against a secret that is logged as part of an error message.
TEST(published_test, parse_bad_secret_not_in_message)
{
    try {
        parse_index(replaced(valid_index, {"", "0e0f}", "zzzz}", errc::wrong_type, ""}));
        FAIL();
    } catch (const config_error& e) {
        EXPECT_THAT(e.what(), ::testing::Not(HasSubstr("000102")));
    }
}

// Guards against a crash, or an exception other than config_error, on values that were truncated or corrupted in
// transit.
TEST(published_test, parse_damaged_throws_config_error_only)
{
    std::mt19937_64 random(7);
    for (int i = 0; i < 3000; ++i) {
        std::string text = i % 2 == 0 ? valid_index : valid_part;
        for (int k = 0; k < 3; ++k) {
            text[random() % text.size()] = static_cast<char>(random());
        }
        text.resize(text.size() - random() % 20);
        try {
            i % 2 == 0 ? static_cast<void>(parse_index(text))
                       : static_cast<void>(parse_part("services/0", text, zones));
        } catch (const config_error&) {
        }
    }
}

} // namespace
} // namespace daisydoor::config
