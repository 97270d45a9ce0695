#pragma once

#include "daisydoor/agent/context.hpp"
#include "daisydoor/agent/work.hpp"

#include <unordered_map>
#include <vector>

namespace daisydoor::agent::detail
{

/// @brief State of an open flow. Feed and move state is stored elsewhere, so that an idle flow uses little memory.
struct flow_entry
{
    core::flow_id id{};
    core::workspace_id workspace{};
    wire::wire_endpoint service_address;
    wire::wire_endpoint caller_address;
    wire::flow_token token;
    /// Arrival of the last datagram from the caller.
    core::time_point last_seen{};
};

/// @brief Flows of this incarnation by id. Complexity of a lookup: constant on average.
class flow_table
{
  public:
    explicit flow_table(agent_context& context) : m_context(context) {}

    /// @brief Adds a flow with a token signed with the signing key. The context must have a signer.
    flow_entry& create(core::time_point now, core::workspace_id workspace, const wire::wire_endpoint& service_address,
                       const wire::wire_endpoint& caller_address);
    [[nodiscard]] flow_entry* find(core::flow_id id);
    void erase(core::flow_id id) { m_entries.erase(core::raw(id)); }
    /// @brief Replaces the flow's token by one signed with the current signing key, if that key has changed since.
    void renew_token(core::time_point now, flow_entry& entry);
    /// @brief Flows whose last datagram arrived before `limit`.
    [[nodiscard]] std::vector<core::flow_id> idle_since(core::time_point limit) const;
    /// @brief Up to `count` flows for which `wanted` holds. Complexity: linear in the number of flows.
    template <typename Predicate>
    [[nodiscard]] std::vector<core::flow_id> select(std::size_t count, Predicate wanted) const
    {
        std::vector<core::flow_id> result;
        for (auto it = m_entries.begin(); it != m_entries.end() && result.size() < count; ++it) {
            if (wanted(it->second)) {
                result.push_back(it->second.id);
            }
        }
        return result;
    }
    [[nodiscard]] std::size_t size() const noexcept { return m_entries.size(); }

  private:
    wire::flow_token sign(core::time_point now, core::flow_id id);

    agent_context& m_context;
    std::uint64_t m_last_id = 0;
    std::unordered_map<std::uint64_t, flow_entry> m_entries;
};

/// @brief Envelope for the return path to the flow's caller.
wire::envelope reply_envelope(const agent_context& context, const wire::wire_endpoint& service_address,
                              const wire::wire_endpoint& caller_address);

/// @brief Sends a packet along the return path. `flow_hash` is echoed only in answers to an open.
template <typename Body>
void reply(const wire::envelope& env, const wire::flow_token& token, std::uint64_t flow_hash, Body body,
           action_list& actions)
{
    const wire::packet_header header(wire::packet_magic, wire::packet_class::reply, 0, flow_hash, token);
    actions.push_back(send_datagram{wire::encode_datagram(env, header, wire::make_packet(std::move(body)))});
}

/// @brief Sends a packet to the caller of a flow.
template <typename Body>
void send_to_flow(const agent_context& context, const flow_entry& entry, Body body, action_list& actions)
{
    reply(reply_envelope(context, entry.service_address, entry.caller_address), entry.token, 0, std::move(body),
          actions);
}

} // namespace daisydoor::agent::detail
