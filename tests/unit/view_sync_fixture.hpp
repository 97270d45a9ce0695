#pragma once

#include "daisydoor/relay/codec.hpp"
#include "daisydoor/relay/view_sync.hpp"

#include "relay_fixture.hpp"

#include <algorithm>
#include <map>
#include <memory>

namespace daisydoor::relay
{

/// @brief Processes that exchange views over a network from which a test can disconnect them; a further view is the
/// platform's state.
class view_sync_test : public relay_fixture
{
  protected:
    struct process
    {
        fleet_view view{"a"};
        std::unique_ptr<view_sync> sync;
        bool is_disconnected = false;
    };

    view_sync_test()
    {
        set_routes(m_platform, {make_route({{"svc", 1}})});
        for (std::uint32_t n = 1; n <= 6; ++n) {
            add_host(m_platform, make_host(n, "svc", n <= 3 ? "a" : "b"));
            add_process(agent_address(n));
        }
        add_process(entry_address);
    }

    process& add_process(ipv4 address)
    {
        auto& result = m_processes[address];
        result = std::make_unique<process>();
        result->sync =
            std::make_unique<view_sync>(address, std::vector<ipv4>{}, result->view,
                                        [](const fleet_update& value) { return encode_update(value).size(); });
        return *result;
    }

    process& at(ipv4 address) { return *m_processes.at(address); }

    /// A read of the platform by one process.
    void read(process& value) { read(value, m_now); }

    void read(process& value, core::time_point asked_at)
    {
        actions out;
        const auto newer = m_platform.changes_after(value.view.position());
        auto state = newer ? *newer : m_platform.snapshot(m_now);
        // The platform knows nothing of former services.
        state.past = {};
        const auto change = value.view.apply(state, m_now);
        value.sync->on_confirmed(m_now);
        if (change.routes || change.hosts > 0) {
            value.sync->on_change(m_now, out);
        }
        value.sync->on_platform_answer(asked_at, m_now, out);
        deliver(address_of(value), out);
    }

    ipv4 address_of(const process& value) const
    {
        for (const auto& [address, it] : m_processes) {
            if (it.get() == &value) {
                return address;
            }
        }
        return {};
    }

    void deliver(ipv4 from, const actions& out)
    {
        for (const auto& it : out) {
            if (const auto* fetch = std::get_if<fetch_view>(&it)) {
                ++m_fetches;
                at(from).sync->on_fetched(at(fetch->from).view.snapshot(m_now), m_now);
                continue;
            }
            const auto* sent = std::get_if<send_message>(&it);
            if (sent == nullptr || m_processes.count(sent->to) == 0 || at(from).is_disconnected ||
                at(sent->to).is_disconnected) {
                continue;
            }
            auto& to = at(sent->to);
            // Every message passes the codec, as it does between processes.
            const auto bytes = encode_message(sent->value);
            const auto message = decode_message({bytes.data(), bytes.size()});
            ASSERT_TRUE(message);
            actions answers;
            if (const auto* subscribe = std::get_if<fleet_subscribe>(&*message)) {
                to.sync->on_subscribe(from, *subscribe, m_now, answers);
            } else if (const auto* news = std::get_if<fleet_news>(&*message)) {
                const auto change = to.sync->on_news(from, *news, m_now, answers);
                if (change.routes || change.hosts > 0) {
                    to.sync->on_change(m_now, answers);
                }
            }
            deliver(sent->to, answers);
        }
    }

    /// Runs all processes; those that should read and have a connection to the platform read the platform.
    void run(core::milliseconds time)
    {
        for (const auto end = m_now + time; m_now < end;) {
            advance(core::milliseconds(50));
            for (auto& [address, it] : m_processes) {
                if (it->sync->should_read(m_now) && m_is_platform_up && m_without_platform.count(address) == 0) {
                    ++m_reads[address];
                    read(*it);
                }
                actions out;
                it->sync->on_tick(m_now, out);
                deliver(address, out);
            }
        }
    }

    /// Starts a process again, which then reads the platform itself.
    void restart(ipv4 address)
    {
        read(add_process(address));
        run(core::milliseconds(100));
    }

    /// Whether a process knows that the route's flows may be open at hosts of a service.
    bool knows_former(ipv4 address, const std::string& service)
    {
        const auto& view = at(address).view;
        const auto* route = view.find_route(service_address, service_port);
        const auto index = view.find_service(service);
        return view.knows_former_services(m_now) && index &&
               std::count(route->former_services.begin(), route->former_services.end(), *index) > 0;
    }

    std::size_t readers() const
    {
        std::size_t n = 0;
        for (const auto& [address, it] : m_processes) {
            n += it->sync->is_reader() ? 1 : 0;
        }
        return n;
    }

    fleet_view m_platform{"a"};
    std::map<ipv4, std::unique_ptr<process>> m_processes;
    std::map<ipv4, int> m_reads;
    std::map<ipv4, int> m_without_platform;
    bool m_is_platform_up = true;
    int m_fetches = 0;
};

} // namespace daisydoor::relay
