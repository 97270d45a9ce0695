#include "peer_directory.hpp"

#include "daisydoor/config/published.hpp"

#include <algorithm>
#include <tuple>
#include <xxhash.h>

namespace daisydoor::config::detail
{

namespace
{

using endpoint_list = std::vector<core::endpoint>;

/// Two, so that the failure of one reader delays nothing.
constexpr std::size_t readers_per_zone = 2;
/// Number of an entry's notices that go to agents; the others go to entries. Entries serve parts to each other; one
/// notice from each is enough to start the distribution among the agents, of which there are many more.
constexpr std::size_t entry_notices_to_agents = 1;

std::tuple<bool, std::uint64_t, core::endpoint> reader_rank(bool is_entry, const core::endpoint& address,
                                                            std::uint64_t zone_hash)
{
    return {is_entry, XXH3_64bits_withSeed(&address, sizeof address, zone_hash), address};
}

bool contains(const endpoint_list& sorted, const core::endpoint& value)
{
    return std::binary_search(sorted.begin(), sorted.end(), value);
}

void sort_unique(endpoint_list& list)
{
    std::sort(list.begin(), list.end());
    list.erase(std::unique(list.begin(), list.end()), list.end());
}

/// @brief Appends random elements of `from`, without repeats, until `result` has `n` elements.
void append_random(const endpoint_list& from, std::size_t n, core::random_source& random,
                   const std::optional<core::endpoint>& except, endpoint_list& result)
{
    if (from.empty()) {
        return;
    }
    std::uniform_int_distribution<std::size_t> random_index(0, from.size() - 1);
    // A repeated element is drawn again. The bound on the draws only matters if there are few peers; with these, it is
    // high enough to find all of them almost certainly.
    for (std::size_t i = 0; i < 16 * n && result.size() < n; ++i) {
        const auto& peer = from[random_index(random)];
        if (peer != except && std::find(result.begin(), result.end(), peer) == result.end()) {
            result.push_back(peer);
        }
    }
}

} // namespace

void peer_directory::update_from_view(const fleet_view& view)
{
    const auto zone_hash = content_digest(m_options.zone);
    const auto own = reader_rank(!m_options.service, m_options.self, zone_hash);
    std::size_t higher_ranked = 0;
    bool is_listed = false;
    for (const auto& it : view.instances) {
        if (it.state != instance_state::live) {
            continue;
        }
        const bool is_self = it.address == m_options.self;
        if (it.zone == m_options.zone) {
            ++m_zone_instance_count;
            is_listed = is_listed || is_self;
            higher_ranked += reader_rank(it.is_entry, it.address, zone_hash) > own ? 1 : 0;
        }
        if (!is_self) {
            (it.is_entry ? m_entries : m_agents).push_back(it.address);
        }
    }
    m_is_reader = m_zone_instance_count == 0 || (is_listed && higher_ranked < readers_per_zone);
}

void peer_directory::update_from_configuration(const snapshot_ptr& configuration)
{
    m_agents = m_options.bootstrap_peers;
    if (configuration) {
        for (const auto& service : configuration->services) {
            for (const auto& host : service.hosts) {
                m_agents.push_back(host.agent);
            }
        }
    }
    m_agents.erase(std::remove(m_agents.begin(), m_agents.end(), m_options.self), m_agents.end());
}

void peer_directory::update(const snapshot_ptr& configuration, const fleet_view_ptr& view)
{
    m_entries.clear();
    m_agents.clear();
    m_same_service.clear();
    m_zone_instance_count = 0;
    m_is_reader = true;
    if (view) {
        update_from_view(*view);
    }
    if (m_entries.empty() && m_agents.empty()) {
        update_from_configuration(configuration);
    }
    sort_unique(m_entries);
    sort_unique(m_agents);
    if (configuration && m_options.service) {
        for (const auto& service : configuration->services) {
            if (service.id == *m_options.service) {
                std::transform(service.hosts.begin(), service.hosts.end(), std::back_inserter(m_same_service),
                               [](const host& it) { return it.agent; });
            }
        }
        sort_unique(m_same_service);
    }
}

endpoint_list peer_directory::random_peers(std::size_t n, core::random_source& random) const
{
    endpoint_list result;
    // Draws entries and agents in proportion to their numbers.
    std::binomial_distribution<std::size_t> entries(
        n, static_cast<double>(m_entries.size()) /
               static_cast<double>(std::max<std::size_t>(m_entries.size() + m_agents.size(), 1)));
    append_random(m_entries, entries(random), random, std::nullopt, result);
    append_random(m_agents, n, random, std::nullopt, result);
    append_random(m_entries, n, random, std::nullopt, result);
    return result;
}

endpoint_list peer_directory::random_entries(std::size_t n, core::random_source& random) const
{
    endpoint_list result;
    append_random(m_entries, n, random, std::nullopt, result);
    return result;
}

endpoint_list peer_directory::notice_recipients(std::size_t n, core::random_source& random,
                                                const std::optional<core::endpoint>& except) const
{
    endpoint_list result;
    if (!m_options.service) {
        append_random(m_entries, n - entry_notices_to_agents, random, except, result);
    }
    append_random(m_agents, n, random, except, result);
    append_random(m_entries, n, random, except, result);
    return result;
}

bool peer_directory::is_part_source(const core::endpoint& peer) const
{
    return !contains(m_agents, peer) || contains(m_entries, peer) || contains(m_same_service, peer) ||
           std::find(m_options.bootstrap_peers.begin(), m_options.bootstrap_peers.end(), peer) !=
               m_options.bootstrap_peers.end();
}

} // namespace daisydoor::config::detail
