#include "standins/relay/router.hpp"

#include <algorithm>
#include <event2/http.h>
#include <xxhash.h>

namespace daisydoor::standins::relay
{

namespace
{

constexpr core::milliseconds probe_interval{500};
constexpr int probe_timeout_s = 1;
constexpr int max_failed_probes = 2;

} // namespace

void router::add(const core::endpoint& packets, const core::endpoint& readiness)
{
    m_entries.push_back({packets, readiness});
}

void router::start()
{
    m_loop.every(probe_interval, [this] { probe(); });
}

void router::probe()
{
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        probe(i);
    }
}

void router::probe(std::size_t index)
{
    struct exchange
    {
        router* owner;
        std::size_t index;
        evhttp_connection* connection;
    };
    const auto text = core::to_string(m_entries[index].readiness);
    const std::string ip = text.substr(0, text.rfind(':'));
    auto* connection = evhttp_connection_base_new(m_loop.base(), nullptr, ip.c_str(), m_entries[index].readiness.port);
    evhttp_connection_set_timeout(connection, probe_timeout_s);
    evhttp_connection_free_on_completion(connection);
    auto* state = new exchange{this, index, connection};
    auto* request = evhttp_request_new(
        [](evhttp_request* answer, void* argument) {
            const std::unique_ptr<exchange> self(static_cast<exchange*>(argument));
            auto& failed_probes = self->owner->m_entries[self->index].failed_probes;
            const bool is_ready = answer != nullptr && evhttp_request_get_response_code(answer) == HTTP_OK;
            failed_probes = is_ready ? 0 : std::min(failed_probes + 1, max_failed_probes);
        },
        state);
    if (evhttp_make_request(connection, request, EVHTTP_REQ_GET, "/-/readiness") != 0) {
        m_entries[index].failed_probes = std::min(m_entries[index].failed_probes + 1, max_failed_probes);
    }
}

std::size_t router::ready_count() const
{
    return static_cast<std::size_t>(std::count_if(
        m_entries.begin(), m_entries.end(), [](const entry& it) { return it.failed_probes < max_failed_probes; }));
}

std::optional<core::endpoint> router::choose(const flow_id& id) const
{
    const bool any_ready = ready_count() > 0;
    std::optional<core::endpoint> result;
    XXH64_hash_t best = 0;
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        if (any_ready && m_entries[i].failed_probes >= max_failed_probes) {
            continue;
        }
        const std::uint64_t key = std::uint64_t{id.first.ip} << 16U | id.first.port;
        const auto weight = XXH64(&key, sizeof key, i);
        if (!result || weight > best) {
            best = weight;
            result = m_entries[i].packets;
        }
    }
    return result;
}

} // namespace daisydoor::standins::relay
