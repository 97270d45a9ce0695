#include "daisydoor/agent/detail/load_reporter.hpp"

namespace daisydoor::agent::detail
{

void load_reporter::update(core::time_point now, const agent_context& context, const wire::load_reportT& report,
                           action_list& actions)
{
    // Flow and feed counts change with every open and are used only for slow moves, so a change of them alone is sent
    // only after report_interval.
    const bool changed =
        report.state != m_sent.state || report.free_slots != m_sent.free_slots || report.queued != m_sent.queued;
    const bool first = m_sent_at == core::time_point{};
    const core::duration gap = now - m_sent_at;
    if (!first && gap < report_interval && (!changed || gap < report_min_gap)) {
        return;
    }
    m_sent = report;
    m_sent_at = now;
    for (const auto& [host, peer] : context.peers) {
        if (peer.link_up) {
            context.send_to_peer(host, wire::make_peer_message(context.version(), report), actions);
        }
    }
}

} // namespace daisydoor::agent::detail
