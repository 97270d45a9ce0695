#pragma once

#include "daisydoor/agent/actions.hpp"
#include "daisydoor/config/snapshot.hpp"
#include "daisydoor/wire/peer.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// @brief Messages between tasks. The comment of each starts with the name of the task that handles it.
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

/// @brief role: one received datagram. The handler may change `data` in place and must not use it after it returns.
struct received_datagram
{
    std::uint8_t* data = nullptr;
    std::size_t size = 0;
    core::endpoint source;
    /// Time since the Linux kernel received the datagram; 0 if unknown.
    core::milliseconds age{0};
};

/// @brief udp: queues a datagram for sending: either the bytes of the received datagram that is being handled, or bytes
/// whose ownership is transferred.
struct outgoing_datagram
{
    /// Sent if `owned` is empty; must stay valid until the received batch has been handled.
    wire::bytes_view bytes;
    wire::buffer owned;
    core::endpoint destination;
};

/// @brief udp: sends all queued datagrams now. Not needed in the handler of a received datagram, since the queue is
/// flushed after each received batch.
struct flush_datagrams
{
};

/// @brief links: sets the agents to which mesh links are maintained; mesh links to others are closed.
struct set_mesh_peers
{
    struct peer
    {
        core::host_id host{};
        core::endpoint address;
    };
    std::vector<peer> peers;
};

/// @brief links: sends a message to an agent of the mesh; the message is dropped if the link is down.
struct send_to_host
{
    core::host_id host{};
    wire::peer_messageT message;
};

/// @brief links: sends a message to any process; opens a link if there is none.
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

/// @brief role: the link to an agent of the mesh was closed.
struct mesh_peer_down
{
    core::host_id host{};
};

/// @brief role: an agent of the mesh sent a message.
struct mesh_message
{
    core::host_id host{};
    std::shared_ptr<const wire::peer_messageT> message;
};

/// @brief config: a process sent a message, over any link.
struct peer_message_received
{
    core::endpoint peer;
    std::shared_ptr<const wire::peer_messageT> message;
};

/// @brief config: the envelope of a datagram contains a newer configuration version than this process
/// has.
struct version_seen
{
    core::endpoint peer;
    core::config_version version{};
};

/// @brief config: requests a confirmation that the current configuration is still the newest.
struct refresh_request
{
};

/// @brief role: a new configuration is in force.
struct configuration_accepted
{
    config::snapshot_ptr snapshot;
};

/// @brief role: a new list of instances is in force.
struct fleet_view_accepted
{
    config::fleet_view_ptr fleet;
};

/// @brief role: the current configuration was confirmed to be the newest.
struct configuration_confirmed
{
};

/// @brief platform: reads a value, or waits for a newer version of it.
struct platform_read
{
    std::string key;
    /// If set, the platform answers when the version exceeds this, or after `wait`.
    std::optional<std::uint64_t> after;
    core::milliseconds wait{0};
};

/// @brief config: result of a platform_read.
struct platform_result
{
    std::string key;
    /// Whether `version` and `content` are set.
    bool has_content = false;
    /// Whether the platform answered that there is no newer version.
    bool unchanged = false;
    std::uint64_t version = 0;
    std::string content;
};

/// @brief role: result of an agent::start_exchange, which the task `target` handles.
struct exchange_finished
{
    agent::exchange_id id{};
    agent::exchange_result result;
};

/// @brief role: the target sent an event of a feed.
struct feed_event_received
{
    agent::feed_connection_id id{};
    core::event_id event{};
    std::vector<std::uint8_t> data;
};

/// @brief role: the target sent bytes of a feed, which may be a comment or part of an event.
struct feed_activity
{
    agent::feed_connection_id id{};
};

/// @brief role: the connection of a feed failed or was closed by the target.
struct feed_closed
{
    agent::feed_connection_id id{};
};

/// @brief One counter or gauge of a task, for the dump and the metrics.
struct metric_sample
{
    std::string name;
    /// Value of the label `kind`; empty for a metric without labels.
    std::string kind;
    double value = 0;
    /// Counter if true, gauge if false.
    bool is_counter = true;
};

/// @brief Every task under its own name: fills in its counters and gauges.
struct collect_metrics
{
    std::vector<metric_sample> samples;
};

/// @brief Last known state of a peer agent, for the dump.
struct peer_state
{
    core::host_id host{};
    std::string zone;
    bool link_up = false;
    core::incarnation_id incarnation{};
    wire::load_reportT report;
    /// Time since `report` was received.
    core::milliseconds report_age{0};
};

/// @brief role: fills in the configuration and the peers, for the dump.
struct collect_state
{
    config::snapshot_ptr snapshot;
    config::fleet_view_ptr fleet;
    std::vector<peer_state> peers;
    /// Name of the agent's state; empty for an entry.
    std::string agent_state;
};

/// @brief role: starts a drain, because of SIGTERM or because the target reports that it is draining.
struct drain_request
{
};

} // namespace daisydoor::runtime
