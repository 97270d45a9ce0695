#pragma once

#include "daisydoor/config/published.hpp"
#include "daisydoor/core/random.hpp"
#include "daisydoor/entry/entry_core.hpp"
#include "support/published_text.hpp"

#include <memory>
#include <vector>

/// @brief Configuration with 5,600 services on 62,000 hosts in 19 availability zones, the size expected in two years,
/// and datagrams for it.
namespace daisydoor::bench
{

constexpr std::size_t service_count = 5600;
constexpr std::size_t host_count = 62000;
constexpr std::size_t zone_count = 19;
/// Makes parts of about 19 KB, so that both the index and the part that changes with one host are small.
constexpr std::size_t services_per_part = 16;

inline test::published_text large_fleet_text()
{
    return test::uniform_fleet(service_count, host_count, zone_count, services_per_part);
}

inline config::snapshot_ptr parse_snapshot(const test::published_text& text)
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

inline wire::buffer make_datagram(const config::service& service, wire::packet_class kind, std::uint64_t flow_hash,
                                  std::uint8_t attempt, const wire::flow_token& token)
{
    wire::envelope env;
    env.mutable_service_address() = wire::to_wire(service.address);
    return wire::encode_datagram(env, {wire::packet_magic, kind, attempt, flow_hash, token},
                                 wire::make_packet(wire::keepaliveT{}));
}

/// @brief Open datagrams for random services; every tenth one is a retransmission (attempt 1).
inline std::vector<wire::buffer> make_opens(const config::snapshot& configuration, std::size_t n)
{
    core::random_source random(1);
    std::vector<wire::buffer> result;
    for (std::size_t i = 0; i < n; ++i) {
        const auto& service = configuration.services[random() % configuration.services.size()];
        result.push_back(make_datagram(service, wire::packet_class::open, random(), i % 10 == 0 ? 1 : 0, {}));
    }
    return result;
}

/// @brief Datagrams of established flows at random hosts.
inline std::vector<wire::buffer> make_established(const config::snapshot& configuration, std::size_t n)
{
    core::random_source random(2);
    wire::token_signer signer(configuration.keys);
    std::vector<wire::buffer> result;
    for (std::size_t i = 0; i < n; ++i) {
        const auto& service = configuration.services[random() % configuration.services.size()];
        const auto& host = service.hosts[random() % service.hosts.size()];
        const auto token = signer.sign({service.id, host.id, core::incarnation_id{random()}, core::flow_id{i}, 1});
        result.push_back(make_datagram(service, wire::packet_class::established, 0, 0, token));
    }
    return result;
}

} // namespace daisydoor::bench
