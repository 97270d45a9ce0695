#include "support/sync_fleet.hpp"

#include "daisydoor/relay/codec.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace daisydoor::support
{

namespace
{

constexpr core::milliseconds step_time{20};

std::size_t encoded_size(const relay::fleet_update& value) { return relay::encode_update(value).size(); }

/// Removes what a build without eras does not send.
void remove_eras(relay::message& value)
{
    if (auto* subscribe = std::get_if<relay::fleet_subscribe>(&value)) {
        subscribe->era = {};
    } else if (auto* news = std::get_if<relay::fleet_news>(&value)) {
        news->after_era = {};
        news->version = {};
        news->update.era = {};
    }
}

/// Removes what a build without evacuations does not send.
void remove_evacuations(relay::fleet_update& value)
{
    const auto is_unknown = [](const relay::fleet_change& it) {
        return std::holds_alternative<relay::zone_evacuated>(it.value) ||
               std::holds_alternative<relay::evacuation_ended>(it.value);
    };
    value.changes.erase(std::remove_if(value.changes.begin(), value.changes.end(), is_unknown), value.changes.end());
    value.lacks_evacuations = true;
}

} // namespace

void simulated_store::put(const relay::host& value)
{
    m_hosts[value.id] = {next(), value};
    m_history.push_back(m_hosts[value.id]);
}

void simulated_store::remove(const std::string& id)
{
    if (m_hosts.erase(id) != 0) {
        m_history.push_back({next(), relay::host_removed{id}});
    }
}

void simulated_store::publish(const relay::route_set& value)
{
    m_routes = value;
    m_routes_revision = static_cast<std::uint64_t>(next());
    m_history.push_back({relay::revision{m_routes_revision}, value});
}

void simulated_store::evacuate(const std::string& zone)
{
    m_evacuated[zone] = next();
    m_history.push_back({m_evacuated[zone], relay::zone_evacuated{zone}});
}

void simulated_store::end_evacuation(const std::string& zone)
{
    if (m_evacuated.erase(zone) != 0) {
        m_history.push_back({next(), relay::evacuation_ended{zone}});
    }
}

void simulated_store::save_copy() { m_copy = {m_revision, m_hosts, m_routes, m_routes_revision, m_evacuated}; }

void simulated_store::restore()
{
    ++m_era;
    m_revision = m_copy.revision;
    m_hosts = m_copy.hosts;
    m_routes = m_copy.routes;
    m_routes_revision = m_copy.routes_revision;
    m_evacuated = m_copy.evacuated;
    m_history.clear();
    m_history_start = m_revision;
}

const relay::host* simulated_store::find(const std::string& id) const
{
    const auto it = m_hosts.find(id);
    return it != m_hosts.end() ? std::get_if<relay::host>(&it->second.value) : nullptr;
}

relay::fleet_update simulated_store::read_all() const
{
    relay::fleet_update result;
    result.era = era();
    result.revision = relay::revision{m_revision};
    for (const auto& [id, change] : m_hosts) {
        result.changes.push_back(change);
    }
    if (m_routes.version != relay::route_version{}) {
        result.changes.push_back({relay::revision{m_routes_revision}, m_routes});
    }
    for (const auto& [zone, at] : m_evacuated) {
        result.changes.push_back({at, relay::zone_evacuated{zone}});
    }
    return result;
}

std::optional<relay::fleet_update> simulated_store::changes_after(relay::revision after) const
{
    if (after < relay::revision{m_history_start} || after > relay::revision{m_revision}) {
        return std::nullopt;
    }
    relay::fleet_update result;
    result.era = era();
    result.revision = relay::revision{m_revision};
    std::copy_if(m_history.begin(), m_history.end(), std::back_inserter(result.changes),
                 [after](const auto& it) { return it.revision > after; });
    return result;
}

sync_fleet::sync_fleet(std::uint32_t agents, std::uint32_t entries)
{
    for (std::uint32_t n = 1; n <= std::min(agents, 3U); ++n) {
        m_seeds.push_back(agent(n));
    }
    for (std::uint32_t n = 1; n <= agents; ++n) {
        m_processes[agent(n)] = make_process(agent(n));
    }
    for (std::uint32_t n = 1; n <= entries; ++n) {
        m_processes[entry(n)] = make_process(entry(n));
    }
}

std::unique_ptr<sync_process> sync_fleet::make_process(relay::ipv4 address) const
{
    auto result = std::make_unique<sync_process>();
    result->sync = std::make_unique<relay::view_sync>(address, m_seeds, result->view, &encoded_size);
    return result;
}

void sync_fleet::restart(relay::ipv4 address)
{
    const bool is_cut_from_store = at(address).is_cut_from_store;
    const bool is_cut_from_peers = at(address).is_cut_from_peers;
    m_processes[address] = make_process(address);
    at(address).is_cut_from_store = is_cut_from_store;
    at(address).is_cut_from_peers = is_cut_from_peers;
}

void sync_fleet::resume(relay::ipv4 address)
{
    auto& value = at(address);
    value.is_paused = false;
    value.call.reset();
    value.sync->on_pause();
    value.reader.on_pause(m_now);
}

void sync_fleet::run(core::milliseconds time)
{
    for (const auto end = m_now + time; m_now < end;) {
        m_now += step_time;
        step();
    }
}

void sync_fleet::step()
{
    std::deque<datagram> kept;
    for (const auto& it : std::exchange(m_messages, {})) {
        const auto to = m_processes.find(it.to);
        if (to != m_processes.end() && to->second->is_paused) {
            kept.push_back(it);
        } else {
            receive(it);
        }
    }
    m_messages.insert(m_messages.end(), kept.begin(), kept.end());
    for (auto& [address, value] : m_processes) {
        if (value->is_up && !value->is_paused) {
            tick(address, *value);
        }
    }
}

void sync_fleet::tick(relay::ipv4 address, sync_process& value)
{
    relay::actions out;
    read_store(value, out);
    if (value.view.expire(m_now) + value.view.end_disputes(m_now) > 0) {
        value.sync->on_change(m_now, out);
    }
    value.sync->on_tick(m_now, out);
    const auto mode = value.sync->is_reader() || !value.view.is_ready() ? relay::read_mode::watch
                      : value.sync->should_read(m_now)                  ? relay::read_mode::check
                                                                        : relay::read_mode::off;
    value.reader.set_mode(mode, value.view.is_ready() ? value.view.position() : relay::store_position{}, m_now);
    if (value.view.lacks_evacuations() && value.sync->age(m_now) > relay::confirmation_limit &&
        value.reader.read_again(m_now)) {
        value.call.reset();
    }
    perform(address, out);
    value.regressions += value.view.version() < value.highest_version ? 1 : 0;
    value.highest_version = std::max(value.highest_version, value.view.version());
}

void sync_fleet::read_store(sync_process& value, relay::actions& out)
{
    if (!value.call) {
        value.call = value.reader.next(m_now);
        value.call_started_at = m_now;
        return;
    }
    if (is_store_down || value.is_cut_from_store) {
        finish_call(value, relay::store_result::failed, {}, out);
        return;
    }
    if (value.call->call == relay::store_call::read_all) {
        finish_call(value, relay::store_result::answered, store.read_all(), out);
        return;
    }
    auto changes = store.changes_after(value.call->revision);
    if (!changes) {
        relay::fleet_update none;
        none.era = store.era();
        finish_call(value, relay::store_result::history_lost, none, out);
    } else if (!changes->changes.empty() || m_now - value.call_started_at >= value.call->wait) {
        finish_call(value, relay::store_result::answered, std::move(*changes), out);
    }
}

void sync_fleet::finish_call(sync_process& value, relay::store_result result, relay::fleet_update update,
                             relay::actions& out)
{
    value.call.reset();
    const auto progress = value.reader.on_result(result, std::move(update), false, "", m_now);
    if (progress.became_reachable || progress.restored_from) {
        value.view.on_platform_regained(m_now);
    }
    if (progress.update) {
        const auto change = value.sync->on_platform_state(*progress.update, m_now, m_now);
        handle_change(value, change, out);
        if (!change.is_from_former_era) {
            value.sync->on_platform_answer(value.call_started_at, m_now, out);
        }
    }
}

void sync_fleet::handle_change(sync_process& value, const relay::view_change& change, relay::actions& out) const
{
    if (change.changes_view()) {
        value.sync->on_change(m_now, out);
    }
}

void sync_fleet::deliver(relay::ipv4 from, relay::ipv4 to, const relay::message& value)
{
    receive({from, to, relay::encode_message(value)});
}

void sync_fleet::receive(const datagram& message)
{
    const auto it = m_processes.find(message.to);
    if (it == m_processes.end() || !it->second->is_up || it->second->is_cut_from_peers) {
        return;
    }
    auto& to = *it->second;
    auto value = relay::decode_message({message.bytes.data(), message.bytes.size()});
    if (!value) {
        return;
    }
    relay::actions out;
    if (const auto* subscribe = std::get_if<relay::fleet_subscribe>(&*value)) {
        to.sync->on_subscribe(message.from, *subscribe, m_now, out);
    } else if (const auto* news = std::get_if<relay::fleet_news>(&*value)) {
        handle_change(to, to.sync->on_news(message.from, *news, m_now, out), out);
    }
    perform(message.to, out);
}

void sync_fleet::perform(relay::ipv4 from, const relay::actions& out)
{
    for (const auto& it : out) {
        auto& sender = at(from);
        if (sender.is_cut_from_peers) {
            continue;
        }
        if (const auto* sent = std::get_if<relay::send_message>(&it)) {
            auto value = sent->value;
            if (sender.is_without_eras) {
                remove_eras(value);
            }
            if (auto* news = std::get_if<relay::fleet_news>(&value); news != nullptr && sender.is_without_evacuations) {
                remove_evacuations(news->update);
            }
            m_messages.push_back({from, sent->to, relay::encode_message(value)});
        } else if (const auto* fetch = std::get_if<relay::fetch_view>(&it)) {
            ++m_fetches;
            const auto source = m_processes.find(fetch->from);
            if (source == m_processes.end() || !source->second->is_up || source->second->is_paused ||
                source->second->is_cut_from_peers || !source->second->view.is_ready()) {
                sender.sync->on_fetch_failed();
                continue;
            }
            const auto bytes = relay::encode_update(source->second->view.snapshot(m_now));
            auto update = relay::decode_update({bytes.data(), bytes.size()});
            if (sender.is_without_eras || source->second->is_without_eras) {
                update->era = {};
            }
            if (source->second->is_without_evacuations) {
                remove_evacuations(*update);
            }
            relay::actions effects;
            handle_change(sender, sender.sync->on_fetched(*update, m_now), effects);
            perform(from, effects);
        }
    }
}

} // namespace daisydoor::support
