#include "daisydoor/entry/entry_core.hpp"

#include "routing_table.hpp"

#include "daisydoor/core/fault.hpp"
#include "daisydoor/core/limits.hpp"
#include "daisydoor/wire/key_ring.hpp"

#include <algorithm>
#include <cstring>
#include <optional>
#include <utility>

namespace daisydoor::entry
{

namespace
{

/// Half of core::confirmation_timeout, so that a caller repeats a refused open once or twice before opens are accepted
/// again.
constexpr core::milliseconds refusal_retry_after{1000};

/// @brief Envelope and header of a datagram, copied because receive buffers need not be aligned.
struct datagram_head
{
    wire::envelope envelope;
    wire::packet_header header;
};
static_assert(sizeof(datagram_head) == sizeof(wire::envelope) + sizeof(wire::packet_header));

} // namespace

struct entry_core::impl
{
    explicit impl(entry_options value) : options(std::move(value)) {}

    entry_options options;
    config::snapshot_ptr configuration;
    config::fleet_view_ptr fleet;
    std::optional<detail::routing_table> table;
    wire::key_ring keys;
    std::optional<wire::token_signer> signer;
    entry_counters counters;
    std::optional<core::time_point> last_call_time;
    /// Set after a pause: end of the time in which opens are refused unless the configuration is confirmed.
    std::optional<core::time_point> unconfirmed_until;

    void detect_pause(core::time_point now);
    verdict drop(drop_reason reason);
    verdict refuse(const datagram_head& head, drop_reason reason, wire::refusal_reason wire_reason);
    verdict forward(std::uint8_t* datagram, datagram_head& head, core::milliseconds age, const detail::target& target);
    verdict on_open(std::uint8_t* datagram, datagram_head& head, core::milliseconds age);
    verdict on_established(std::uint8_t* datagram, datagram_head& head, core::milliseconds age);
};

void entry_core::impl::detect_pause(core::time_point now)
{
    if (last_call_time && now - *last_call_time > core::pause_threshold) {
        unconfirmed_until = now + core::confirmation_timeout;
    }
    if (unconfirmed_until && now >= *unconfirmed_until) {
        unconfirmed_until.reset();
    }
    last_call_time = now;
}

verdict entry_core::impl::drop(drop_reason reason)
{
    ++counters.dropped.at(static_cast<std::size_t>(reason));
    verdict result;
    result.reason = reason;
    return result;
}

verdict entry_core::impl::refuse(const datagram_head& head, drop_reason reason, wire::refusal_reason wire_reason)
{
    ++counters.refused;
    wire::refusalT body;
    body.kind = wire::refusal_kind::not_run;
    body.reason = wire_reason;
    body.retry_after_ms = static_cast<std::uint32_t>(refusal_retry_after.count());
    wire::envelope env = head.envelope;
    env.mutate_config_version(configuration ? core::raw(configuration->version) : 0);
    env.mutate_age_ms(0);
    const wire::packet_header header(wire::packet_magic, wire::packet_class::reply, head.header.attempt(),
                                     head.header.flow_hash(), {});
    verdict result;
    result.kind = verdict_kind::refuse;
    result.reason = reason;
    result.reply = wire::encode_datagram(env, header, wire::make_packet(body));
    return result;
}

verdict entry_core::impl::forward(std::uint8_t* datagram, datagram_head& head, core::milliseconds age,
                                  const detail::target& target)
{
    ++counters.forwarded;
    head.envelope.mutate_config_version(core::raw(configuration->version));
    head.envelope.mutate_age_ms(static_cast<std::uint32_t>(age.count()));
    std::memcpy(datagram, &head.envelope, sizeof head.envelope);
    verdict result;
    result.kind = verdict_kind::forward;
    result.next_hop = target.agent;
    return result;
}

verdict entry_core::impl::on_open(std::uint8_t* datagram, datagram_head& head, core::milliseconds age)
{
    if (!configuration || unconfirmed_until) {
        return refuse(head, drop_reason::no_configuration, wire::refusal_reason::no_configuration);
    }
    const auto* service = table->find_service(wire::from_wire(head.envelope.service_address()));
    if (service == nullptr) {
        return drop(drop_reason::unknown_service);
    }
    const auto* target = table->select(*service, head.header.flow_hash(), head.header.attempt());
    if (target == nullptr) {
        return refuse(head, drop_reason::no_target, wire::refusal_reason::no_target);
    }
    ++counters.opens;
    return forward(datagram, head, age, *target);
}

verdict entry_core::impl::on_established(std::uint8_t* datagram, datagram_head& head, core::milliseconds age)
{
    if (!configuration) {
        return drop(drop_reason::no_configuration);
    }
    const auto* service = table->find_service(wire::from_wire(head.envelope.service_address()));
    if (service == nullptr) {
        return drop(drop_reason::unknown_service);
    }
    const auto& token = head.header.token();
    if (const auto status = signer->verify(token);
        status != wire::token_status::valid && !core::is_active(core::fault::skip_mac_check)) {
        return drop(status == wire::token_status::unknown_key ? drop_reason::unknown_key : drop_reason::bad_mac);
    }
    if (core::service_id{token.service()} != service->id && !core::is_active(core::fault::ignore_token_service)) {
        return drop(drop_reason::wrong_service);
    }
    const auto* target = table->find_target(*service, core::host_id{token.host()});
    if (target == nullptr) {
        return drop(drop_reason::unknown_host);
    }
    return forward(datagram, head, age, *target);
}

entry_core::entry_core(entry_options options) : m_impl(std::make_unique<impl>(std::move(options))) {}
entry_core::~entry_core() = default;

verdict entry_core::on_datagram(core::time_point now, std::uint8_t* datagram, std::size_t size, core::milliseconds age)
{
    if (m_impl->last_call_time) {
        m_impl->detect_pause(now);
    }
    if (size > wire::max_datagram_size || wire::header_of({datagram, size}) == nullptr) {
        return m_impl->drop(drop_reason::malformed);
    }
    datagram_head head;
    std::memcpy(&head, datagram, sizeof head);
    const auto total_age = core::milliseconds(head.envelope.age_ms()) + std::max(age, core::milliseconds(0));
    if (total_age > core::max_datagram_age && !core::is_active(core::fault::accept_stale_datagram)) {
        return m_impl->drop(drop_reason::stale);
    }
    switch (head.header.packet_class()) {
    case wire::packet_class::open:
        return m_impl->on_open(datagram, head, total_age);
    case wire::packet_class::established:
        return m_impl->on_established(datagram, head, total_age);
    default:
        return m_impl->drop(drop_reason::malformed);
    }
}

void entry_core::on_configuration(core::time_point now, config::snapshot_ptr value)
{
    // Builds the new tables before replacing the old ones, so that the old ones stay in force if an exception is
    // thrown.
    detail::routing_table table(*value, m_impl->options.zone);
    auto keys = m_impl->keys;
    keys.update(now, value->keys);
    wire::token_signer signer(keys.keys());
    table.apply_fleet_view(m_impl->fleet.get());
    m_impl->table.emplace(std::move(table));
    m_impl->keys = std::move(keys);
    m_impl->signer.emplace(std::move(signer));
    m_impl->configuration = std::move(value);
}

void entry_core::on_fleet_view(core::time_point /*now*/, config::fleet_view_ptr value)
{
    m_impl->fleet = std::move(value);
    if (m_impl->table) {
        m_impl->table->apply_fleet_view(m_impl->fleet.get());
    }
}

void entry_core::on_tick(core::time_point now)
{
    m_impl->detect_pause(now);
    if (m_impl->keys.expire(now)) {
        m_impl->signer.emplace(m_impl->keys.keys());
    }
}

void entry_core::confirm_configuration(core::time_point /*now*/) { m_impl->unconfirmed_until.reset(); }

const entry_counters& entry_core::counters() const noexcept { return m_impl->counters; }

core::config_version entry_core::version() const noexcept
{
    return m_impl->configuration ? m_impl->configuration->version : core::config_version{};
}

} // namespace daisydoor::entry
