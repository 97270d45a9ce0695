#pragma once

#include "daisydoor/core/random.hpp"
#include "daisydoor/wire/datagram.hpp"
#include "standins/common/http.hpp"
#include "standins/common/udp.hpp"
#include "standins/fabric/link_relay.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace daisydoor::standins
{

struct fabric_entry
{
    std::string zone;
    core::endpoint address;
};

struct fabric_agent
{
    std::uint32_t host = 0;
    std::string zone;
    /// Where the agent listens.
    core::endpoint address;
    /// Address in the published configuration if it differs; the fabric relays its datagrams and links to the agent.
    core::endpoint published;
};

struct fabric_options
{
    core::endpoint return_path;
    core::endpoint control;
    std::vector<core::endpoint> services;
    std::vector<fabric_entry> entries;
    std::vector<fabric_agent> agents;
    std::uint64_t seed = 1;
    core::milliseconds caller_delay{0};
    /// One-way delay of relayed datagrams and links between availability zones.
    core::milliseconds zone_delay{0};
    double loss = 0;
    double duplicate = 0;
    double reorder = 0;
};

/// @brief Network between callers and entries: sends each datagram of a caller to a random entry, and the replies from
/// the return path to the callers.
class fabric
{
  public:
    fabric(loop& events, fabric_options options);

  private:
    struct entry_path
    {
        fabric_entry entry;
        std::unique_ptr<udp_socket> socket;
        std::uint64_t sent = 0;
        /// The entry gets no datagrams until then, since an ICMP message reported its port as closed.
        core::time_point down_until;
    };

    /// Paths of datagrams and links to an agent that is published under an address of the fabric.
    struct agent_path
    {
        fabric_agent agent;
        std::unique_ptr<udp_socket> socket;
        std::unique_ptr<link_relay> links;
    };

    struct counters
    {
        std::uint64_t from_callers = 0;
        std::uint64_t returned = 0;
        std::uint64_t lost = 0;
        std::uint64_t duplicated = 0;
        std::uint64_t reordered = 0;
        std::uint64_t cut = 0;
        std::uint64_t forgotten = 0;
        std::uint64_t malformed = 0;
        std::uint64_t without_entry = 0;
    };

    void add_relay(const fabric_agent& agent);
    void on_relayed_datagram(const agent_path& path, const std::uint8_t* data, std::size_t size,
                             const core::endpoint& from);
    [[nodiscard]] bool is_path_cut(const std::string& zone, std::uint32_t host, const fabric_agent& agent) const;
    [[nodiscard]] core::milliseconds delay_between(const std::string& a, const std::string& b) const;
    void add_entry(const fabric_entry& entry);
    void on_caller_datagram(const core::endpoint& service, const std::uint8_t* data, std::size_t size,
                            const core::endpoint& caller);
    void on_return_datagram(const std::uint8_t* data, std::size_t size, const core::endpoint& from);
    entry_path* select_entry();
    /// @brief Runs `send` after `delay`, with random loss, duplication and additional delay as configured.
    void transmit(core::milliseconds delay, const std::function<void()>& send);
    bool happens(double probability);
    [[nodiscard]] bool is_cut(const core::endpoint& address) const;
    [[nodiscard]] std::string zone_of(const core::endpoint& address) const;
    void on_control(evhttp_request* request);
    void apply(const http_request_line& call);
    void apply_cuts(const http_request_line& call);
    void apply_host_cuts(const http_request_line& call);
    void blackhole(const std::string& which);
    [[nodiscard]] std::string stats() const;

    loop& m_loop;
    fabric_options m_options;
    core::random_source m_random;
    std::map<core::endpoint, std::unique_ptr<udp_socket>> m_services;
    std::unique_ptr<udp_socket> m_return;
    std::vector<std::unique_ptr<entry_path>> m_entries;
    std::set<core::endpoint> m_cut_addresses;
    std::set<std::string> m_cut_zones;
    std::set<std::uint32_t> m_cut_hosts;
    /// Pairs of host ids, the lower one first.
    std::set<std::pair<std::uint32_t, std::uint32_t>> m_cut_links;
    std::vector<std::unique_ptr<agent_path>> m_relays;
    std::set<core::endpoint> m_callers;
    std::set<core::endpoint> m_blackholed;
    counters m_counters;
    std::unique_ptr<http_server> m_control;
};

} // namespace daisydoor::standins
