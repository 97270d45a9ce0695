#pragma once

#include "daisydoor/agent/actions.hpp"
#include "daisydoor/config/snapshot.hpp"
#include "daisydoor/wire/peer.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// @brief Messages between tasks. Each is handled by the service named in its comment.
namespace daisydoor::runtime
{

namespace task_names
{
constexpr const char* udp = "udp";
constexpr const char* links = "links";
constexpr const char* platform = "platform";
constexpr const char* target = "target";
constexpr const char* config = "config";
/// Entry task or agent task, whichever role the process has.
constexpr const char* role = "role";
constexpr const char* admin = "admin";
} // namespace task_names

/// @brief One received datagram; `data` may be changed in place until the handler returns.
struct received_datagram
{
    std::uint8_t* data = nullptr;
    std::size_t size = 0;
    core::endpoint source;
    core::milliseconds age{0};
};

/// @brief udp: sends bytes of the received datagram in whose handler this is called, or bytes that it takes over.
struct outgoing_datagram
{
    /// Used if `owned` is empty; stays valid until the received batch has been handled.
    wire::bytes_view bytes;
    wire::buffer owned;
    core::endpoint destination;
};

/// @brief udp: sends all outgoing datagrams at once. Not needed in the handler of a received datagram.
struct flush_datagrams
{
};

/// @brief links: the agents that this agent keeps a link to; others are closed.
struct set_mesh_peers
{
    struct peer
    {
        core::host_id host{};
        core::endpoint address;
    };
    std::vector<peer> peers;
};

/// @brief links: sends to an agent of the mesh; dropped if its link is down.
struct send_to_host
{
    core::host_id host{};
    wire::peer_messageT message;
};

/// @brief links: sends to any process; opens a link if there is none.
struct send_to_endpoint
{
    core::endpoint peer;
    wire::peer_messageT message;
};

/// @brief role: the link to an agent of the mesh is established.
struct mesh_peer_up
{
    core::host_id host{};
    core::incarnation_id incarnation{};
};

struct mesh_peer_down
{
    core::host_id host{};
};

/// @brief role: message from an agent of the mesh.
struct mesh_message
{
    core::host_id host{};
    std::shared_ptr<const wire::peer_messageT> message;
};

/// @brief config: message from any process.
struct peer_message_received
{
    core::endpoint peer;
    std::shared_ptr<const wire::peer_messageT> message;
};

/// @brief config: a datagram's envelope names this version.
struct version_seen
{
    core::endpoint peer;
    core::config_version version{};
};

/// @brief config: asks for a confirmation that the held configuration is current.
struct refresh_request
{
};

/// @brief role: the configuration is in force from now on.
struct configuration_accepted
{
    config::snapshot_ptr value;
};

struct fleet_view_accepted
{
    config::fleet_view_ptr value;
};

struct configuration_confirmed
{
};

/// @brief platform: reads or watches a value.
struct platform_read
{
    std::string key;
    std::optional<std::uint64_t> after;
    core::milliseconds wait{0};
};

/// @brief config: result of a platform_read.
struct platform_result
{
    std::string key;
    bool ok = false;
    bool unchanged = false;
    std::uint64_t version = 0;
    std::string content;
};

/// @brief role: result of an agent::start_exchange, which the target service handles.
struct exchange_finished
{
    agent::exchange_id id{};
    agent::exchange_result result;
};

struct feed_event_received
{
    agent::feed_connection_id id{};
    core::event_id event{};
    std::vector<std::uint8_t> data;
};

struct feed_activity
{
    agent::feed_connection_id id{};
};

struct feed_closed
{
    agent::feed_connection_id id{};
};

/// @brief One value of a task's state, for the dump and the metrics.
struct metric_sample
{
    std::string name;
    /// Value of the label `kind`, for families with several members; may be empty.
    std::string kind;
    double value = 0;
    bool is_counter = true;
};

/// @brief Handled by every task under its own name: fills in counters and gauges.
struct collect_metrics
{
    std::vector<metric_sample> values;
};

/// @brief State of a peer agent, for the dump.
struct peer_state
{
    core::host_id host{};
    std::string zone;
    bool link_up = false;
    core::incarnation_id incarnation{};
    wire::load_reportT report;
    core::milliseconds report_age{0};
};

/// @brief role: fills in the configuration and the peers, for the dump.
struct collect_state
{
    config::snapshot_ptr snapshot;
    config::fleet_view_ptr fleet;
    std::vector<peer_state> peers;
    /// Empty for an entry.
    std::string agent_state;
};

/// @brief role: the process was asked to end, or the target reports that it drains.
struct drain_request
{
};

} // namespace daisydoor::runtime
