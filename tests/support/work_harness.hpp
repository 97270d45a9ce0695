#pragma once

#include "daisydoor/agent/work.hpp"

#include <algorithm>
#include <set>
#include <string>
#include <vector>

/// @brief Test fixture parts: one agent::work with its context, and helpers that read its actions.
namespace daisydoor::support
{

constexpr core::time_point work_epoch = core::time_point{} + core::seconds{1000};

/// @brief Configuration of one service with hosts 1 to `hosts`, all in zone-a.
inline std::shared_ptr<config::snapshot> make_work_snapshot(std::uint32_t hosts, std::uint16_t slots)
{
    auto result = std::make_shared<config::snapshot>();
    result->version = core::config_version{1};
    result->zones = {{"zone-a", 1.0}};
    result->keys = {{core::key_id{1}, {1, 2, 3}, true}};
    result->services.emplace_back();
    auto& service = result->services.back();
    service.id = core::service_id{1};
    service.address = core::parse_endpoint("127.0.100.1:9001");
    for (std::uint32_t i = 1; i <= hosts; ++i) {
        config::host item;
        item.id = core::host_id{i};
        item.slots = slots;
        service.hosts.push_back(item);
    }
    return result;
}

/// @brief Reply that an agent sent to a caller about one request: a segment of an answer, or a refusal.
struct caller_reply
{
    bool answered = false;
    wire::refusal_kind kind = wire::refusal_kind::unknown;
    wire::refusal_reason reason = wire::refusal_reason::none;
    std::uint64_t flow = 0;
    std::uint64_t number = 0;
    std::vector<std::uint8_t> payload;
    std::size_t segment = 0;
    std::size_t segment_count = 0;
};

class work_agent
{
  public:
    work_agent(std::uint32_t host, std::uint64_t incarnation, std::shared_ptr<config::snapshot> snapshot)
        : m_snapshot(std::move(snapshot))
    {
        ctx.options.host = core::host_id{host};
        ctx.options.service = core::service_id{1};
        ctx.options.zone = "zone-a";
        ctx.options.incarnation = core::incarnation_id{incarnation};
        ctx.snapshot = m_snapshot;
        ctx.service = &m_snapshot->services.front();
        ctx.self = &ctx.service->hosts.at(host - 1);
        ctx.own.state = wire::agent_state::active;
        requests.on_tick(work_epoch, actions);
    }

    static agent::flow_address flow(std::uint64_t id, std::uint32_t workspace = 1)
    {
        agent::flow_address result;
        result.flow = core::flow_id{id};
        result.workspace = core::workspace_id{workspace};
        result.token = wire::flow_token(1, 0, 0, id, 1, 0, 0);
        return result;
    }

    void request(core::time_point now, const agent::flow_address& from, std::uint64_t number, wire::request_kind kind,
                 std::uint32_t deadline_ms = 1000, std::uint64_t acknowledged = 0)
    {
        wire::requestT body;
        body.number = number;
        body.kind = kind;
        body.path = "/" + std::to_string(core::raw(from.flow)) + "/" + std::to_string(number);
        body.deadline_ms = deadline_ms;
        body.acknowledged = acknowledged;
        requests.on_request(now, from, body, actions);
    }

    /// @brief Raises the concurrency limit to the number of slots, as for a warm target.
    void warm_up(core::time_point now)
    {
        const auto address = flow(1000000);
        for (std::uint64_t number = 1; requests.limit() < ctx.self->slots; ++number) {
            request(now, address, number, wire::request_kind::idempotent, 1000, number - 1);
            for (const auto id : take_started_exchanges()) {
                requests.on_exchange_result(now, id, {agent::exchange_status::answered, 200, {}}, actions);
            }
        }
        requests.forget_flow(address.flow);
        actions.clear();
    }

    /// @brief Removes the start_exchange actions from the list and returns their ids.
    std::vector<agent::exchange_id> take_started_exchanges()
    {
        std::vector<agent::exchange_id> result;
        agent::action_list rest;
        for (auto& item : actions) {
            if (const auto* start = std::get_if<agent::start_exchange>(&item)) {
                result.push_back(start->id);
            } else {
                rest.push_back(std::move(item));
            }
        }
        actions = std::move(rest);
        return result;
    }

    /// @brief Removes the send_datagram actions from the list and returns their replies.
    std::vector<caller_reply> take_replies()
    {
        std::vector<caller_reply> result;
        agent::action_list rest;
        for (auto& item : actions) {
            const auto* datagram = std::get_if<agent::send_datagram>(&item);
            if (datagram == nullptr) {
                rest.push_back(std::move(item));
                continue;
            }
            const auto decoded = wire::decode_packet(
                {datagram->bytes.data() + sizeof(wire::envelope), datagram->bytes.size() - sizeof(wire::envelope)});
            caller_reply entry;
            entry.flow = decoded->header.token().flow();
            if (const auto* answer = decoded->packet.body.Asanswer()) {
                entry.answered = true;
                entry.number = answer->number;
                entry.payload = answer->payload;
                entry.segment = answer->segment;
                entry.segment_count = answer->segment_count;
            } else if (const auto* refusal = decoded->packet.body.Asrefusal()) {
                entry.number = refusal->number;
                entry.kind = refusal->kind;
                entry.reason = refusal->reason;
            }
            result.push_back(entry);
        }
        actions = std::move(rest);
        return result;
    }

    /// @brief Removes the send_peer actions from the list and returns them.
    std::vector<agent::send_peer> take_peer_messages()
    {
        std::vector<agent::send_peer> result;
        agent::action_list rest;
        for (auto& item : actions) {
            if (auto* message = std::get_if<agent::send_peer>(&item)) {
                result.push_back(std::move(*message));
            } else {
                rest.push_back(std::move(item));
            }
        }
        actions = std::move(rest);
        return result;
    }

    void peer_up(core::time_point now, std::uint32_t host, std::uint64_t incarnation)
    {
        auto& peer = ctx.peers[core::host_id{host}];
        peer.host = core::host_id{host};
        peer.zone = "zone-a";
        peer.link_up = true;
        peer.incarnation = core::incarnation_id{incarnation};
        requests.on_peer_up(now, peer.host, peer.incarnation, actions);
    }

    void peer_down(core::time_point now, std::uint32_t host)
    {
        ctx.peers[core::host_id{host}].link_up = false;
        requests.on_peer_down(now, core::host_id{host}, actions);
    }

    /// @brief Delivers a message from a peer; a load report also updates the context, as in agent_core.
    void message(core::time_point now, std::uint32_t host, const wire::peer_messageT& value)
    {
        if (const auto* report = value.body.Asload_report()) {
            ctx.peers[core::host_id{host}].report = *report;
            ctx.peers[core::host_id{host}].reported_at = now;
        }
        requests.on_peer_message(now, core::host_id{host}, value, actions);
    }

    void report_from(core::time_point now, std::uint32_t host, std::uint32_t free_slots, std::uint32_t queued = 0,
                     wire::agent_state state = wire::agent_state::active)
    {
        wire::load_reportT report;
        report.state = state;
        report.free_slots = free_slots;
        report.queued = queued;
        message(now, host, wire::make_peer_message(core::config_version{1}, report));
    }

    void finish(core::time_point now, agent::exchange_id id, agent::exchange_status status,
                std::uint16_t http_status = 200, std::vector<std::uint8_t> payload = {})
    {
        requests.on_exchange_result(now, id, {status, http_status, std::move(payload)}, actions);
    }

    std::shared_ptr<config::snapshot> m_snapshot;
    agent::agent_context ctx;
    agent::work requests{ctx};
    agent::action_list actions;
};

} // namespace daisydoor::support
