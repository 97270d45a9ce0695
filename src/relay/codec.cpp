#include "daisydoor/relay/codec.hpp"

#include "daisydoor/wire/generated/relay_generated.h"

#include <algorithm>
#include <utility>

namespace daisydoor::relay
{

namespace
{

wire::relay_flow to_wire(const flow_key& value) noexcept
{
    return {static_cast<std::uint32_t>(value.client), static_cast<std::uint32_t>(value.service), value.client_port,
            value.service_port};
}

flow_key from_wire(const wire::relay_flow& value) noexcept
{
    return {ipv4{value.client()}, ipv4{value.service()}, value.client_port(), value.service_port()};
}

host_load from_wire(const wire::host_load& value) noexcept
{
    return {value.in_flight(), value.open_flows(),   value.slots(),    value.accepts(),
            value.work_us(),   value.mean_work_us(), value.flow_work()};
}

flatbuffers::Offset<wire::host_load> pack(flatbuffers::FlatBufferBuilder& builder, const host_load& value)
{
    return wire::Createhost_load(builder, value.in_flight, value.open_flows, value.slots, value.accepts, value.work_us,
                                 value.mean_work_us, value.flow_work);
}

std::uint32_t to_wire(core::milliseconds value) noexcept { return static_cast<std::uint32_t>(value.count()); }

flatbuffers::Offset<wire::fleet_host> pack(flatbuffers::FlatBufferBuilder& builder, const host& value)
{
    const auto id = builder.CreateString(value.id);
    const auto service = builder.CreateString(value.service);
    const auto zone = builder.CreateString(value.availability_zone);
    return wire::Createfleet_host(builder, id, service, zone, static_cast<std::uint32_t>(value.address), value.slots,
                                  value.state == host_state::draining, to_wire(value.cold_remaining), value.born,
                                  value.sequence, value.port);
}

flatbuffers::Offset<wire::fleet_route> pack(flatbuffers::FlatBufferBuilder& builder, const route& value)
{
    std::vector<flatbuffers::Offset<wire::fleet_service>> services;
    for (const auto& it : value.services) {
        services.push_back(wire::Createfleet_service(builder, builder.CreateString(it.service), it.weight));
    }
    return wire::Createfleet_route(builder, static_cast<std::uint32_t>(value.address), value.port,
                                   static_cast<std::uint8_t>(value.kind), to_wire(value.timeout),
                                   to_wire(value.target_latency), value.priority, builder.CreateVector(services));
}

/// Names of services in a message; absent if the sender does not know them.
struct packed_services
{
    flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>>> named;
    flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>>> removed;
};

packed_services pack_services(flatbuffers::FlatBufferBuilder& builder, const route_set& value)
{
    packed_services result;
    if (!value.services.empty()) {
        result.named = builder.CreateVectorOfStrings(value.services);
    }
    return result;
}

packed_services pack_services(flatbuffers::FlatBufferBuilder& builder, const route_delta& value)
{
    packed_services result;
    if (value.has_services) {
        result.named = builder.CreateVectorOfStrings(value.added_services);
        if (!value.removed_services.empty()) {
            result.removed = builder.CreateVectorOfStrings(value.removed_services);
        }
    }
    return result;
}

flatbuffers::Offset<wire::fleet_routes>
pack_routes(flatbuffers::FlatBufferBuilder& builder, route_version version, route_version base,
            core::milliseconds idle_timeout, const std::vector<route>& changed, const std::vector<route>& dropped,
            const std::vector<cold_rate>& rates, const packed_services& services)
{
    // Nothing is sent where no service publishes one.
    flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<wire::fleet_cold_rate>>> packed_rates;
    if (!rates.empty()) {
        std::vector<flatbuffers::Offset<wire::fleet_cold_rate>> cold_rates;
        cold_rates.reserve(rates.size());
        for (const auto& it : rates) {
            cold_rates.push_back(
                wire::Createfleet_cold_rate(builder, builder.CreateString(it.service), it.requests_per_second));
        }
        packed_rates = builder.CreateVector(cold_rates);
    }
    std::vector<flatbuffers::Offset<wire::fleet_route>> routes;
    routes.reserve(changed.size());
    for (const auto& it : changed) {
        routes.push_back(pack(builder, it));
    }
    std::vector<flatbuffers::Offset<wire::fleet_route_key>> keys;
    keys.reserve(dropped.size());
    for (const auto& it : dropped) {
        keys.push_back(wire::Createfleet_route_key(builder, static_cast<std::uint32_t>(it.address), it.port));
    }
    const auto packed_routes = builder.CreateVector(routes);
    const auto packed_keys = builder.CreateVector(keys);
    return wire::Createfleet_routes(builder, static_cast<std::uint64_t>(version), static_cast<std::uint64_t>(base),
                                    to_wire(idle_timeout), packed_routes, packed_keys, packed_rates, services.named,
                                    services.removed);
}

flatbuffers::Offset<wire::fleet_change> pack(flatbuffers::FlatBufferBuilder& builder, const fleet_change& value)
{
    const auto revision = static_cast<std::uint64_t>(value.revision);
    if (const auto* it = std::get_if<host>(&value.value)) {
        return wire::Createfleet_change(builder, revision, pack(builder, *it), 0, 0, to_wire(value.grace),
                                        to_wire(value.disputed));
    }
    if (const auto* removed = std::get_if<host_removed>(&value.value)) {
        return wire::Createfleet_change(builder, revision, 0, builder.CreateString(removed->id));
    }
    if (const auto* routes = std::get_if<route_set>(&value.value)) {
        return wire::Createfleet_change(builder, revision, 0, 0,
                                        pack_routes(builder, routes->version, route_version{}, routes->idle_timeout,
                                                    routes->routes, {}, routes->cold_rates,
                                                    pack_services(builder, *routes)));
    }
    if (const auto* evacuated = std::get_if<zone_evacuated>(&value.value)) {
        return wire::Createfleet_change(builder, revision, 0, 0, 0, 0, 0,
                                        builder.CreateString(evacuated->availability_zone));
    }
    if (const auto* ended = std::get_if<evacuation_ended>(&value.value)) {
        return wire::Createfleet_change(builder, revision, 0, 0, 0, 0, 0, 0,
                                        builder.CreateString(ended->availability_zone));
    }
    const auto& delta = std::get<route_delta>(value.value);
    return wire::Createfleet_change(builder, revision, 0, 0,
                                    pack_routes(builder, delta.version, delta.base, delta.idle_timeout, delta.changed,
                                                delta.dropped, delta.cold_rates, pack_services(builder, delta)));
}

flatbuffers::Offset<wire::fleet_past> pack(flatbuffers::FlatBufferBuilder& builder, const routes_past& value)
{
    std::vector<flatbuffers::Offset<wire::fleet_former_service>> former;
    for (const auto& it : value.former) {
        former.push_back(wire::Createfleet_former_service(builder, static_cast<std::uint32_t>(it.address), it.port,
                                                          builder.CreateSharedString(it.service), to_wire(it.age)));
    }
    return wire::Createfleet_past(builder, static_cast<std::uint64_t>(value.version), to_wire(value.complete_for),
                                  builder.CreateVector(former), value.is_partial);
}

flatbuffers::Offset<wire::fleet_update> pack(flatbuffers::FlatBufferBuilder& builder, const fleet_update& value)
{
    std::vector<flatbuffers::Offset<wire::fleet_change>> changes;
    for (const auto& it : value.changes) {
        changes.push_back(pack(builder, it));
    }
    const auto packed_changes = builder.CreateVector(changes);
    const auto past = value.past.complete_for.count() > 0 ? pack(builder, value.past) : 0;
    return wire::Createfleet_update(builder, static_cast<std::uint64_t>(value.revision), value.whole, packed_changes,
                                    static_cast<std::uint64_t>(value.era), value.exact, !value.lacks_evacuations, past);
}

host from_wire(const wire::fleet_host& value)
{
    host result;
    result.id = value.id()->str();
    result.service = value.service()->str();
    result.availability_zone = value.availability_zone()->str();
    result.address = ipv4{value.address()};
    result.slots = std::max(value.slots(), 1U);
    result.state = value.draining() ? host_state::draining : host_state::ready;
    result.cold_remaining = core::milliseconds(value.cold_remaining_ms());
    result.born = value.born();
    result.sequence = value.sequence();
    result.port = value.port();
    return result;
}

route from_wire(const wire::fleet_route& value)
{
    route result;
    result.address = ipv4{value.address()};
    result.port = value.port();
    result.kind = static_cast<request_kind>(std::min<std::size_t>(value.kind(), request_kind_names.size() - 1));
    result.timeout = core::milliseconds(value.timeout_ms());
    result.target_latency = core::milliseconds(value.target_latency_ms());
    result.priority = value.priority();
    for (const auto* it : *value.services()) {
        result.services.push_back({it->name()->str(), it->weight()});
    }
    return result;
}

std::vector<std::string> from_wire(const flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>>* value)
{
    std::vector<std::string> result;
    if (value != nullptr) {
        for (const auto* it : *value) {
            result.push_back(it->str());
        }
    }
    return result;
}

void add_routes(const wire::fleet_routes& value, fleet_change& change)
{
    std::vector<route> routes;
    for (const auto* it : *value.changed()) {
        routes.push_back(from_wire(*it));
    }
    const route_version version{value.version()};
    const core::milliseconds idle_timeout(value.idle_timeout_ms());
    std::vector<cold_rate> rates;
    if (value.cold_rates() != nullptr) {
        for (const auto* it : *value.cold_rates()) {
            rates.push_back({it->service()->str(), it->requests_per_second()});
        }
    }
    if (value.base_version() == 0) {
        change.value.emplace<route_set>(
            route_set{version, std::move(routes), idle_timeout, std::move(rates), from_wire(value.services())});
        return;
    }
    route_delta delta{
        route_version{value.base_version()}, version, std::move(routes), {}, idle_timeout, std::move(rates)};
    delta.has_services = value.services() != nullptr;
    delta.added_services = from_wire(value.services());
    delta.removed_services = from_wire(value.removed_services());
    if (value.dropped() != nullptr) {
        for (const auto* it : *value.dropped()) {
            route key;
            key.address = ipv4{it->address()};
            key.port = it->port();
            delta.dropped.push_back(std::move(key));
        }
    }
    change.value.emplace<route_delta>(std::move(delta));
}

routes_past from_wire(const wire::fleet_past& value)
{
    routes_past result;
    result.version = route_version{value.version()};
    result.complete_for = core::milliseconds(value.complete_for_ms());
    result.is_partial = value.partial();
    if (value.former() != nullptr) {
        for (const auto* it : *value.former()) {
            result.former.push_back(
                {ipv4{it->address()}, it->port(), it->service()->str(), core::milliseconds(it->age_ms())});
        }
    }
    return result;
}

fleet_update from_wire(const wire::fleet_update& value)
{
    fleet_update result;
    result.revision = revision{value.revision()};
    result.whole = value.whole();
    result.era = store_era{value.era()};
    result.exact = value.exact();
    result.lacks_evacuations = !value.evacuations();
    if (value.past() != nullptr) {
        result.past = from_wire(*value.past());
    }
    for (const auto* it : *value.changes()) {
        fleet_change change;
        change.revision = revision{it->revision()};
        if (it->host() != nullptr) {
            change.value.emplace<host>(from_wire(*it->host()));
            change.grace = core::milliseconds(it->grace_ms());
            change.disputed = core::milliseconds(it->disputed_ms());
        } else if (it->removed_host() != nullptr) {
            change.value.emplace<host_removed>(host_removed{it->removed_host()->str()});
        } else if (it->routes() != nullptr) {
            add_routes(*it->routes(), change);
        } else if (it->evacuated_zone() != nullptr) {
            change.value.emplace<zone_evacuated>(zone_evacuated{it->evacuated_zone()->str()});
        } else if (it->evacuation_ended() != nullptr) {
            change.value.emplace<evacuation_ended>(evacuation_ended{it->evacuation_ended()->str()});
        } else {
            continue;
        }
        result.changes.push_back(std::move(change));
    }
    return result;
}

wire::buffer to_buffer(const flatbuffers::FlatBufferBuilder& builder)
{
    return {builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize()};
}

} // namespace

wire::buffer encode_update(const fleet_update& value)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(pack(builder, value));
    return to_buffer(builder);
}

std::optional<fleet_update> decode_update(wire::bytes_view bytes)
{
    flatbuffers::Verifier verifier(bytes.data, bytes.size);
    if (!verifier.VerifyBuffer<wire::fleet_update>(nullptr)) {
        return std::nullopt;
    }
    return from_wire(*flatbuffers::GetRoot<wire::fleet_update>(bytes.data));
}

wire::buffer encode_message(const message& value)
{
    flatbuffers::FlatBufferBuilder builder(128);
    auto type = wire::relay_body::NONE;
    flatbuffers::Offset<void> body;
    if (const auto* load = std::get_if<host_load>(&value)) {
        type = wire::relay_body::host_load;
        body = pack(builder, *load).Union();
    } else if (const auto* found = std::get_if<flow_found>(&value)) {
        type = wire::relay_body::flow_found;
        const auto flow = to_wire(found->flow);
        body = wire::Createflow_found(builder, &flow, pack(builder, found->load)).Union();
    } else if (const auto* unknown = std::get_if<flow_unknown>(&value)) {
        type = wire::relay_body::flow_unknown;
        const auto flow = to_wire(unknown->flow);
        body = wire::Createflow_unknown(builder, &flow).Union();
    } else if (const auto* subscribe = std::get_if<fleet_subscribe>(&value)) {
        type = wire::relay_body::fleet_subscribe;
        body =
            wire::Createfleet_subscribe(builder, static_cast<std::uint64_t>(subscribe->revision), subscribe->question,
                                        static_cast<std::uint64_t>(subscribe->era), to_wire(subscribe->past))
                .Union();
    } else if (const auto* news = std::get_if<fleet_news>(&value)) {
        type = wire::relay_body::fleet_news;
        const auto update = pack(builder, news->update);
        body = wire::Createfleet_news(builder, to_wire(news->age), to_wire(news->regained),
                                      static_cast<std::uint64_t>(news->after), news->fetch, update, news->answered,
                                      static_cast<std::uint64_t>(news->after_era),
                                      static_cast<std::uint64_t>(news->version))
                   .Union();
    }
    builder.Finish(wire::Createrelay_message(builder, type, body));
    return to_buffer(builder);
}

std::optional<message> decode_message(wire::bytes_view datagram)
{
    flatbuffers::Verifier verifier(datagram.data, datagram.size);
    if (!verifier.VerifyBuffer<wire::relay_message>(nullptr)) {
        return std::nullopt;
    }
    const auto* root = flatbuffers::GetRoot<wire::relay_message>(datagram.data);
    if (const auto* load = root->body_as_host_load()) {
        return from_wire(*load);
    }
    if (const auto* found = root->body_as_flow_found()) {
        if (found->flow() == nullptr || found->load() == nullptr) {
            return std::nullopt;
        }
        return flow_found{from_wire(*found->flow()), from_wire(*found->load())};
    }
    if (const auto* unknown = root->body_as_flow_unknown(); unknown != nullptr && unknown->flow() != nullptr) {
        return flow_unknown{from_wire(*unknown->flow())};
    }
    if (const auto* subscribe = root->body_as_fleet_subscribe()) {
        return fleet_subscribe{revision{subscribe->revision()}, subscribe->question(), store_era{subscribe->era()},
                               core::milliseconds(subscribe->past_ms())};
    }
    if (const auto* news = root->body_as_fleet_news()) {
        return fleet_news{core::milliseconds(news->age_ms()),
                          core::milliseconds(news->regained_ms()),
                          revision{news->after()},
                          news->fetch(),
                          from_wire(*news->update()),
                          news->answered(),
                          store_era{news->after_era()},
                          route_version{news->version()}};
    }
    return std::nullopt;
}

} // namespace daisydoor::relay
