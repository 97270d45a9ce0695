#include "daisydoor/runtime/detail/entry_task.hpp"

#include "daisydoor/core/limits.hpp"
namespace daisydoor::runtime::detail
{

namespace
{
constexpr core::milliseconds entry_tick{100};
/// An entry has no state to drain; the delay lets it forward the datagrams that it has already received.
constexpr core::milliseconds stop_delay{100};
} // namespace

entry_task::entry_task(kernel& owner, entry::entry_options options, const core::endpoint& return_path)
    : m_kernel(owner), m_core(std::move(options)), m_return_path(return_path),
      m_timer(owner.base(), -1, EV_PERSIST, [this] { on_tick(); })
{
    const std::string name = task_names::role;
    owner.register_handler<received_datagram>(name, [this](received_datagram& message) { on_datagram(message); });
    owner.register_handler<configuration_accepted>(name, [this](configuration_accepted& message) {
        m_snapshot = message.snapshot;
        m_core.on_configuration(core::clock::now(), message.snapshot);
    });
    owner.register_handler<fleet_view_accepted>(name, [this](fleet_view_accepted& message) {
        m_fleet = message.fleet;
        m_core.on_fleet_view(core::clock::now(), message.fleet);
    });
    owner.register_handler<configuration_confirmed>(
        name, [this](configuration_confirmed&) { m_core.confirm_configuration(core::clock::now()); });
    owner.register_handler<drain_request>(name, [this](drain_request&) {
        m_timer = io_event(m_kernel.base(), [this] { m_kernel.stop(0); });
        m_timer.add(stop_delay);
    });
    owner.register_handler<collect_metrics>(name, [this](collect_metrics& message) { collect(message); });
    owner.register_handler<collect_state>(name, [this](collect_state& message) {
        message.snapshot = m_snapshot;
        message.fleet = m_fleet;
    });
}

void entry_task::start()
{
    m_udp = m_kernel.find_handler<outgoing_datagram>(task_names::udp);
    m_refresh = m_kernel.find_handler<refresh_request>(task_names::config);
    m_last_tick = core::clock::now();
    m_timer.add(entry_tick);
}

void entry_task::on_datagram(const received_datagram& message)
{
    const auto now = core::clock::now();
    if (now - m_last_tick > core::pause_threshold) {
        // After a pause the socket may become readable before the timer fires, but the pause must be handled first.
        on_tick();
    }
    auto verdict = m_core.on_datagram(now, message.data, message.size, message.age);
    if (verdict.kind == entry::verdict_kind::drop) {
        write_rate_limited_log(m_drop_log_limit, log_event::datagram_dropped,
                               entry::drop_reason_names.at(static_cast<std::size_t>(verdict.reason)));
        return;
    }
    outgoing_datagram out;
    if (verdict.kind == entry::verdict_kind::forward) {
        out.bytes = {message.data, message.size};
        out.destination = verdict.next_hop;
    } else {
        out.owned = std::move(verdict.reply);
        out.destination = m_return_path;
    }
    m_udp.call(out);
}

void entry_task::on_tick()
{
    const auto now = core::clock::now();
    const auto gap = std::chrono::duration_cast<core::milliseconds>(now - m_last_tick);
    m_last_tick = now;
    if (gap > core::pause_threshold) {
        write_log(log_event::pause_detected, std::to_string(gap.count()) + " ms");
        m_refresh.post({});
    }
    m_core.on_tick(now);
}

void entry_task::collect(collect_metrics& message) const
{
    const auto& counters = m_core.counters();
    message.samples = {{"entry_forwarded", "", static_cast<double>(counters.forwarded)},
                       {"entry_opens", "", static_cast<double>(counters.opens)},
                       {"entry_refused", "", static_cast<double>(counters.refused)}};
    for (std::size_t i = 1; i < counters.dropped.size(); ++i) {
        message.samples.push_back({"entry_dropped", std::string(entry::drop_reason_names.at(i)),
                                   static_cast<double>(counters.dropped.at(i))});
    }
}

} // namespace daisydoor::runtime::detail
