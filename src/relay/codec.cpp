#include "daisydoor/relay/codec.hpp"

#include "daisydoor/wire/generated/relay_generated.h"

#include <type_traits>

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
    return {value.in_flight(), value.open_flows(), value.slots(), value.accepts()};
}

flatbuffers::Offset<wire::host_load> pack(flatbuffers::FlatBufferBuilder& builder, const host_load& value)
{
    return wire::Createhost_load(builder, value.in_flight, value.open_flows, value.slots, value.accepts);
}

} // namespace

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
    }
    builder.Finish(wire::Createrelay_message(builder, type, body));
    return {builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize()};
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
    return std::nullopt;
}

} // namespace daisydoor::relay
