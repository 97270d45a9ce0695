#include "daisydoor/config/published.hpp"
#include "daisydoor/core/random.hpp"
#include "daisydoor/entry/entry_core.hpp"
#include "daisydoor/wire/key_ring.hpp"
#include "support/allocation_counter.hpp"
#include "support/published_text.hpp"

#include <cmath>
#include <cstring>
#include <gtest/gtest.h>
#include <map>
#include <set>

namespace daisydoor::entry
{
namespace
{

using test::published_text;
using wire::packet_class;

config::snapshot_ptr snapshot_of(const published_text& text)
{
    const auto values = text.values();
    const auto index = config::parse_index(values.at("index"));
    std::vector<config::published_part_ptr> parts;
    for (const auto& it : index.parts) {
        parts.push_back(
            std::make_shared<const config::published_part>(config::parse_part(it.key, values.at(it.key), index.zones)));
    }
    return std::make_shared<const config::snapshot>(config::make_snapshot(index, parts));
}

config::fleet_view_ptr view_of(const std::string& text)
{
    return std::make_shared<const config::fleet_view>(config::parse_fleet(text));
}

class entry_test : public ::testing::Test
{
  protected:
    entry_test() { configure(test::two_service_deployment(1)); }

    void configure(const published_text& value)
    {
        text = value;
        core.on_configuration(now, snapshot_of(text));
    }

    /// @brief Datagram with an empty body, which the entry does not read.
    static wire::buffer datagram(std::uint32_t service, packet_class kind, std::uint64_t flow_hash,
                                 std::uint8_t attempt, const wire::flow_token& token)
    {
        wire::envelope env;
        env.mutable_service_address() = wire::to_wire(core::parse_endpoint(test::service_address(service)));
        env.mutable_caller_address() = wire::to_wire(core::parse_endpoint("192.0.2.1:4000"));
        return wire::encode_datagram(env, {wire::packet_magic, kind, attempt, flow_hash, token},
                                     wire::make_packet(wire::keepaliveT{}));
    }

    static wire::buffer open(std::uint32_t service, std::uint64_t flow_hash = 1, std::uint8_t attempt = 0)
    {
        return datagram(service, packet_class::open, flow_hash, attempt, {});
    }

    static wire::flow_token token(std::uint32_t service, std::uint32_t host, const published_text& keys)
    {
        wire::token_signer signer(config::parse_index(keys.values().at("index")).keys);
        return signer.sign(
            {core::service_id{service}, core::host_id{host}, core::incarnation_id{7}, core::flow_id{3}, 1});
    }

    wire::buffer established(std::uint32_t envelope_service, std::uint32_t service, std::uint32_t host) const
    {
        return datagram(envelope_service, packet_class::established, 0, 0, token(service, host, text));
    }

    verdict decide(wire::buffer buf, core::milliseconds age = core::milliseconds(0))
    {
        return core.on_datagram(now, buf.data(), buf.size(), age);
    }

    void expect_drop(const wire::buffer& buf, drop_reason reason)
    {
        const auto result = decide(buf);
        EXPECT_EQ(result.kind, verdict_kind::drop);
        EXPECT_EQ(drop_reason_names.at(static_cast<std::size_t>(result.reason)),
                  drop_reason_names.at(static_cast<std::size_t>(reason)));
    }

    /// @brief Host that an open is forwarded to; 0 if it is not forwarded.
    std::uint32_t host_for(entry_core& entry, std::uint32_t service, std::uint64_t flow_hash, std::uint8_t attempt = 0)
    {
        auto buf = open(service, flow_hash, attempt);
        const auto result = entry.on_datagram(now, buf.data(), buf.size(), core::milliseconds(0));
        for (const auto& part : text.parts) {
            for (const auto& it : part) {
                for (const auto& host : it.hosts) {
                    if (core::parse_endpoint(test::agent_address(host.id)) == result.next_hop) {
                        return host.id;
                    }
                }
            }
        }
        return 0;
    }

    std::set<std::uint32_t> hosts_of_rank(std::uint8_t attempt, std::uint32_t service = 1)
    {
        std::set<std::uint32_t> result;
        for (std::uint64_t hash = 0; hash < 500; ++hash) {
            result.insert(host_for(core, service, hash * 7919, attempt));
        }
        return result;
    }

    core::time_point now{core::seconds(100)};
    published_text text;
    entry_core core{{"zone-a"}};
};

// Guards against a forwarded datagram in which more than version and age is changed, or the age of earlier hops
// ignored.
TEST_F(entry_test, established_valid_forwarded_with_updated_envelope)
{
    auto buf = established(1, 1, 14);
    reinterpret_cast<wire::envelope*>(buf.data())->mutate_age_ms(30);
    auto expected = buf;
    reinterpret_cast<wire::envelope*>(expected.data())->mutate_age_ms(42);
    reinterpret_cast<wire::envelope*>(expected.data())->mutate_config_version(1);
    const auto result = core.on_datagram(now, buf.data(), buf.size(), core::milliseconds(12));
    EXPECT_EQ(result.kind, verdict_kind::forward);
    EXPECT_EQ(result.next_hop, core::parse_endpoint(test::agent_address(14)));
    EXPECT_EQ(buf, expected);
    EXPECT_EQ(core.counters().forwarded, 1U);
    EXPECT_EQ(core.counters().opens, 0U);
}

// Guards against memory that is allocated for each datagram, which costs instructions and fragments the heap.
TEST_F(entry_test, forward_allocates_nothing)
{
    auto first = established(1, 1, 14);
    auto second = open(1, 5, 3);
    const auto before = test::allocation_count();
    for (int i = 0; i < 100; ++i) {
        core.on_datagram(now, first.data(), first.size(), core::milliseconds(0));
        core.on_datagram(now, second.data(), second.size(), core::milliseconds(0));
    }
    EXPECT_EQ(test::allocation_count(), before);
    EXPECT_EQ(core.counters().forwarded, 200U);
}

// Guards against a violation of R2: the token of one service must not give access to another service, even if the host
// moves between them.
TEST_F(entry_test, established_other_service_dropped)
{
    expect_drop(established(2, 1, 11), drop_reason::wrong_service);
    const auto old_token = token(1, 17, text);
    auto next = test::two_service_deployment(2);
    next.parts[1][0].hosts.push_back(next.parts[0][0].hosts.back());
    next.parts[0][0].hosts.pop_back();
    configure(next);
    expect_drop(datagram(2, packet_class::established, 0, 0, old_token), drop_reason::wrong_service);
    expect_drop(datagram(1, packet_class::established, 0, 0, old_token), drop_reason::unknown_host);
}

// Guards against invalid datagrams that are forwarded, or dropped with the wrong reason.
TEST_F(entry_test, datagram_invalid_dropped_with_reason)
{
    expect_drop(established(9, 1, 11), drop_reason::unknown_service);
    expect_drop(open(9), drop_reason::unknown_service);
    expect_drop(established(1, 1, 21), drop_reason::unknown_host);
    auto forged = token(1, 11, text);
    forged.mutate_host(12);
    expect_drop(datagram(1, packet_class::established, 0, 0, forged), drop_reason::bad_mac);
    expect_drop(datagram(1, packet_class::reply, 0, 0, {}), drop_reason::malformed);
    expect_drop(datagram(1, packet_class::none, 0, 0, {}), drop_reason::malformed);
    auto buf = open(1);
    expect_drop(wire::buffer(buf.begin(), buf.begin() + 100), drop_reason::malformed);
    buf.resize(wire::max_datagram_size + 1);
    expect_drop(buf, drop_reason::malformed);
    expect_drop({}, drop_reason::malformed);
    EXPECT_EQ(core.counters().dropped.at(static_cast<std::size_t>(drop_reason::malformed)), 5U);
}

// Guards against flows that break while keys are rotated in three versions, and against a key that never expires.
TEST_F(entry_test, key_rotation_token_valid_until_key_removed)
{
    const auto first = token(1, 11, text);
    auto next = test::two_service_deployment(2);
    next.keys = {1, 2};
    configure(next);
    EXPECT_EQ(decide(datagram(1, packet_class::established, 0, 0, first)).kind, verdict_kind::forward);
    next.version = 3;
    next.signing_key = 2;
    // An entry with the previous version receives a token of the next version.
    EXPECT_EQ(decide(datagram(1, packet_class::established, 0, 0, token(1, 11, next))).kind, verdict_kind::forward);
    configure(next);
    EXPECT_EQ(decide(datagram(1, packet_class::established, 0, 0, first)).kind, verdict_kind::forward);
    next.version = 4;
    next.keys = {2};
    configure(next);
    // Tokens that have not been renewed yet remain valid until the retention of the removed key ends.
    EXPECT_EQ(decide(datagram(1, packet_class::established, 0, 0, first)).kind, verdict_kind::forward);
    for (core::milliseconds time{0}; time < wire::key_retention; time += core::milliseconds{500}) {
        now += core::milliseconds{500};
        core.on_tick(now);
    }
    expect_drop(datagram(1, packet_class::established, 0, 0, first), drop_reason::unknown_key);
    EXPECT_EQ(decide(established(1, 1, 11)).kind, verdict_kind::forward);
}

// Guards against staggered updates that break flows: entries at both versions must forward to the same agent.
TEST_F(entry_test, staggered_update_established_same_agent_at_both_versions)
{
    auto next = test::two_service_deployment(2);
    next.parts[0][0].hosts.push_back({18, "zone-c"});
    next.parts[0][0].hosts[1].draining = true;
    entry_core newer({"zone-b"});
    newer.on_configuration(now, snapshot_of(next));
    for (const auto host : {11U, 12U, 14U, 17U}) {
        auto buf = established(1, 1, host);
        const auto result = newer.on_datagram(now, buf.data(), buf.size(), core::milliseconds(0));
        EXPECT_EQ(result.next_hop, decide(established(1, 1, host)).next_hop);
        EXPECT_EQ(result.kind, verdict_kind::forward);
    }
}

// Guards against running outdated requests: the caller has retransmitted a datagram of this age (design 7.5).
TEST_F(entry_test, datagram_stale_dropped)
{
    EXPECT_EQ(decide(open(1), core::milliseconds(1000)).kind, verdict_kind::forward);
    EXPECT_EQ(decide(open(1), core::milliseconds(1001)).reason, drop_reason::stale);
    auto buf = established(1, 1, 11);
    reinterpret_cast<wire::envelope*>(buf.data())->mutate_age_ms(600);
    EXPECT_EQ(decide(buf, core::milliseconds(401)).reason, drop_reason::stale);
    reinterpret_cast<wire::envelope*>(buf.data())->mutate_age_ms(0xffffffff);
    EXPECT_EQ(decide(buf, core::milliseconds(401)).reason, drop_reason::stale);
}

// Guards against retransmitted opens that are sent to the same host again, or never to some host.
TEST_F(entry_test, open_attempts_visit_every_host_once)
{
    for (std::uint64_t hash = 1; hash < 200; ++hash) {
        std::set<std::uint32_t> hosts;
        for (std::uint8_t attempt = 0; attempt < 7; ++attempt) {
            hosts.insert(host_for(core, 1, hash, attempt));
        }
        EXPECT_EQ(hosts.size(), 7U);
        EXPECT_EQ(hosts.count(0), 0U);
        EXPECT_EQ(host_for(core, 1, hash, 7), host_for(core, 1, hash, 0));
        EXPECT_NE(host_for(core, 1, hash, 255), 0U);
    }
}

// Guards against uneven load with zones of unequal size: 3, 2 and 2 hosts behind equal shares of entries.
TEST_F(entry_test, open_unequal_zones_equal_load_per_host)
{
    auto equal = test::two_service_deployment(1);
    equal.zones = {{"zone-a", "0.3333"}, {"zone-b", "0.3333"}, {"zone-c", "0.3334"}};
    text = equal;
    std::map<std::uint32_t, double> load;
    std::map<std::string, double> local;
    constexpr int opens = 30000;
    core::random_source random(3);
    for (const auto* zone : {"zone-a", "zone-b", "zone-c"}) {
        entry_core entry({zone});
        entry.on_configuration(now, snapshot_of(equal));
        for (int i = 0; i < opens; ++i) {
            const auto host = host_for(entry, 1, random());
            load[host] += 1;
            const bool is_local =
                host <= 13 ? zone == std::string("zone-a") : zone == std::string(host <= 15 ? "zone-b" : "zone-c");
            local[zone] += is_local ? 1.0 / opens : 0;
        }
    }
    ASSERT_EQ(load.size(), 7U);
    const double mean = 3.0 * opens / 7;
    for (const auto& [host, n] : load) {
        // Five standard deviations of a binomial count of this mean.
        EXPECT_NEAR(n, mean, 5 * std::sqrt(mean)) << "host " << host;
    }
    // zone-a has 3/7 of the capacity and 1/3 of the opens, all of which stay in the zone. In each of the others,
    // (2/7) / (1/3) = 6/7 of the opens stay.
    EXPECT_DOUBLE_EQ(std::round(local["zone-a"] * 1e6) / 1e6, 1);
    EXPECT_NEAR(local["zone-b"], 6.0 / 7, 0.012);
    EXPECT_NEAR(local["zone-c"], 6.0 / 7, 0.012);
}

// Guards against hosts with more slots receiving no more flows than others.
TEST_F(entry_test, open_more_slots_more_load)
{
    auto next = test::two_service_deployment(2);
    next.zones = {{"zone-a", "1"}};
    next.parts = {{{1, {{11, "zone-a", 5}, {12, "zone-a", 15}}}}};
    configure(next);
    int n = 0;
    for (std::uint64_t hash = 0; hash < 10000; ++hash) {
        n += host_for(core, 1, hash * 7919) == 12 ? 1 : 0;
    }
    EXPECT_NEAR(n, 7500, 5 * 43);
}

// Guards against new flows on hosts that are draining, leaving or missing, and against dropping their existing flows.
TEST_F(entry_test, open_draining_and_leaving_hosts_last)
{
    auto next = test::two_service_deployment(2);
    next.parts[0][0].hosts[0].draining = true;
    configure(next);
    core.on_fleet_view(now, view_of(test::fleet_text(1, next, 1, {12}, {16})));
    const std::set<std::uint32_t> last{11, 12, 16};
    for (std::uint8_t attempt = 0; attempt < 7; ++attempt) {
        for (const auto host : hosts_of_rank(attempt)) {
            EXPECT_EQ(last.count(host) != 0, attempt >= 4) << "host " << host << " at rank " << int(attempt);
        }
    }
    EXPECT_EQ(decide(established(1, 1, 12)).kind, verdict_kind::forward);
}

// Guards against a wrong fleet view that concentrates all flows on a few hosts (design 7.2: ignored above 30%).
TEST_F(entry_test, open_fleet_view_with_too_many_gone_ignored)
{
    core.on_fleet_view(now, view_of(test::fleet_text(1, text, 1, {11}, {12})));
    EXPECT_EQ(hosts_of_rank(0).count(11), 0U);
    core.on_fleet_view(now, view_of(test::fleet_text(2, text, 1, {11, 14}, {12})));
    EXPECT_EQ(hosts_of_rank(0).count(11), 1U);
    core.on_fleet_view(now, view_of("version: 3\ninstances: []\n"));
    EXPECT_EQ(hosts_of_rank(0).count(11), 1U);
    // The fleet view remains in force when the configuration is replaced.
    core.on_fleet_view(now, view_of(test::fleet_text(4, text, 1, {11}, {12})));
    configure(test::two_service_deployment(2));
    EXPECT_EQ(hosts_of_rank(0).count(12), 0U);
}

// Guards against a wrong or missing answer of an entry that has no configuration yet (R4, R9).
TEST_F(entry_test, no_configuration_open_refused_not_run_others_dropped)
{
    entry_core fresh({"zone-a"});
    auto buf = open(1, 77, 2);
    const auto result = fresh.on_datagram(now, buf.data(), buf.size(), core::milliseconds(0));
    ASSERT_EQ(result.kind, verdict_kind::refuse);
    const auto* env = wire::envelope_of({result.reply.data(), result.reply.size()});
    ASSERT_NE(env, nullptr);
    EXPECT_EQ(wire::from_wire(env->caller_address()), core::parse_endpoint("192.0.2.1:4000"));
    EXPECT_EQ(env->config_version(), 0U);
    const auto reply = wire::decode_packet({result.reply.data() + sizeof *env, result.reply.size() - sizeof *env});
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply->header.packet_class(), packet_class::reply);
    EXPECT_EQ(reply->header.flow_hash(), 77U);
    EXPECT_EQ(reply->header.attempt(), 2);
    const auto* refusal = reply->packet.body.Asrefusal();
    ASSERT_NE(refusal, nullptr);
    EXPECT_EQ(refusal->kind, wire::refusal_kind::not_run);
    EXPECT_EQ(refusal->reason, wire::refusal_reason::no_configuration);
    EXPECT_GT(refusal->retry_after_ms, 0U);
    buf = established(1, 1, 11);
    EXPECT_EQ(fresh.on_datagram(now, buf.data(), buf.size(), core::milliseconds(0)).reason,
              drop_reason::no_configuration);
    EXPECT_EQ(fresh.counters().refused, 1U);
}

// Guards against an open that only ends at its timeout because the service has no hosts.
TEST_F(entry_test, open_service_without_hosts_refused)
{
    auto next = test::two_service_deployment(2);
    next.parts[1][0].hosts.clear();
    configure(next);
    const auto result = decide(open(2));
    EXPECT_EQ(result.kind, verdict_kind::refuse);
    EXPECT_EQ(result.reason, drop_reason::no_target);
}

// Guards against an entry that forwards opens after a pause although its configuration may be outdated (design 7.5),
// and against one that refuses them for ever.
TEST_F(entry_test, pause_opens_refused_until_confirmed_or_two_seconds)
{
    core.on_tick(now);
    now += core::milliseconds(1000);
    core.on_tick(now);
    EXPECT_EQ(decide(open(1)).kind, verdict_kind::forward);
    // A datagram may be handled before the first tick after the pause.
    now += core::milliseconds(1001);
    EXPECT_EQ(decide(open(1)).reason, drop_reason::no_configuration);
    core.on_tick(now);
    EXPECT_EQ(decide(open(1)).kind, verdict_kind::refuse);
    EXPECT_EQ(decide(established(1, 1, 11)).kind, verdict_kind::forward);
    core.confirm_configuration(now);
    EXPECT_EQ(decide(open(1)).kind, verdict_kind::forward);
    now += core::seconds(30);
    core.on_tick(now);
    for (int i = 0; i < 4; ++i) {
        EXPECT_EQ(decide(open(1)).kind, verdict_kind::refuse);
        now += core::milliseconds(500);
        core.on_tick(now);
    }
    EXPECT_EQ(decide(open(1)).kind, verdict_kind::forward);
}

// Guards against any damaged datagram crashing the entry or reaching another service's host.
TEST_F(entry_test, datagram_mutated_never_forwarded_to_other_service)
{
    core::random_source random(20261204);
    std::vector<wire::buffer> valid{open(1), open(2)};
    for (const auto host : {11U, 13U, 14U, 17U}) {
        valid.push_back(established(1, 1, host));
    }
    for (const auto host : {21U, 22U, 23U}) {
        valid.push_back(established(2, 2, host));
    }
    std::size_t forwarded = 0;
    for (int i = 0; i < 100000; ++i) {
        const auto& original = valid[random() % valid.size()];
        auto buf = original;
        for (auto n = 1 + random() % 4; n > 0; --n) {
            buf[random() % buf.size()] ^= static_cast<std::uint8_t>(1U << random() % 8);
        }
        if (random() % 10 == 0) {
            buf.resize(random() % (buf.size() + 1));
        }
        const auto before = buf;
        const auto result = core.on_datagram(now, buf.data(), buf.size(), core::milliseconds(0));
        if (result.kind != verdict_kind::forward) {
            EXPECT_EQ(buf, before);
            continue;
        }
        ++forwarded;
        const auto* env = wire::envelope_of({buf.data(), buf.size()});
        const auto* header = wire::header_of({buf.data(), buf.size()});
        ASSERT_TRUE(env != nullptr && header != nullptr);
        const bool is_first = wire::from_wire(env->service_address()) == core::parse_endpoint(test::service_address(1));
        const auto host = result.next_hop.address[15];
        ASSERT_TRUE(is_first ? host >= 11 && host <= 17 : host >= 21 && host <= 23) << "datagram " << i;
        if (header->packet_class() == packet_class::established) {
            ASSERT_EQ(header->token().service(), is_first ? 1U : 2U) << "datagram " << i;
            ASSERT_EQ(header->token().host(), host) << "datagram " << i;
            const auto& signed_token = wire::header_of({original.data(), original.size()})->token();
            ASSERT_EQ(std::memcmp(&header->token(), &signed_token, sizeof signed_token), 0) << "datagram " << i;
        }
    }
    // Some are forwarded, since the entry leaves it to the agent to check the other fields.
    EXPECT_GT(forwarded, 1000U);
}

} // namespace
} // namespace daisydoor::entry
