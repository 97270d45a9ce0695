#include "daisydoor/agent/detail/flow_table.hpp"

namespace daisydoor::agent::detail
{

wire::flow_token flow_table::sign(core::time_point now, core::flow_id id)
{
    const auto& options = m_context.options;
    const auto age = std::chrono::duration_cast<core::seconds>(now - m_context.started_at);
    return m_context.signer->sign(
        {options.service, options.host, options.incarnation, id, static_cast<std::uint32_t>(age.count())});
}

flow_entry& flow_table::create(core::time_point now, core::workspace_id workspace,
                               const wire::wire_endpoint& service_address, const wire::wire_endpoint& caller_address)
{
    const core::flow_id id{++m_last_id};
    const flow_entry entry{id, workspace, service_address, caller_address, sign(now, id), now};
    return m_entries.emplace(core::raw(id), entry).first->second;
}

flow_entry* flow_table::find(core::flow_id id)
{
    const auto it = m_entries.find(core::raw(id));
    return it != m_entries.end() ? &it->second : nullptr;
}

void flow_table::renew_token(core::time_point now, flow_entry& entry)
{
    if (m_context.signer && core::raw(m_context.signer->signing_key()) != entry.token.key()) {
        entry.token = sign(now, entry.id);
    }
}

std::vector<core::flow_id> flow_table::idle_since(core::time_point limit) const
{
    return select(m_entries.size(), [limit](const flow_entry& entry) { return entry.last_seen < limit; });
}

wire::envelope reply_envelope(const agent_context& context, const wire::wire_endpoint& service_address,
                              const wire::wire_endpoint& caller_address)
{
    return {service_address, caller_address, core::raw(context.version()), 0, 0};
}

} // namespace daisydoor::agent::detail
