#include "daisydoor/runtime/detail/link_task.hpp"

#include "daisydoor/core/limits.hpp"
#include "daisydoor/runtime/detail/socket_address.hpp"
#include "daisydoor/runtime/events.hpp"

#include <algorithm>

namespace daisydoor::runtime::detail
{

namespace
{

constexpr core::milliseconds link_tick{50};
constexpr core::milliseconds backoff_initial{100};
constexpr core::milliseconds backoff_max{2000};
/// An agent sends a load report on each mesh link every 500 ms. A link without any message for this time is broken,
/// even if a new connection to the peer would work.
constexpr core::milliseconds mesh_silence_timeout{4000};
constexpr core::milliseconds connect_timeout{2000};
/// Links outside the mesh are closed after this idle time, to bound their number.
constexpr core::milliseconds idle_timeout{30'000};
/// Far above the number of processes that exchange the configuration with this one.
constexpr std::size_t max_links = 512;
constexpr int listen_backlog = 128;

} // namespace

link_task::link_task(kernel& owner, link_options options, core::random_source random)
    : m_kernel(owner), m_options(std::move(options)), m_random(random),
      m_fd(bind_socket(m_options.listen, SOCK_STREAM)), m_listener(nullptr, &evconnlistener_free),
      m_timer(owner.base(), -1, EV_PERSIST, [this] { on_tick(); })
{
    m_options.hello.listen = std::make_unique<wire::wire_endpoint>(wire::to_wire(m_options.listen));
    const auto callback = [](evconnlistener*, evutil_socket_t fd, sockaddr* address, int size, void* self) {
        sockaddr_storage storage{};
        std::copy_n(reinterpret_cast<const char*>(address), std::min<std::size_t>(size, sizeof storage),
                    reinterpret_cast<char*>(&storage));
        run_and_log_exceptions([=] { static_cast<link_task*>(self)->accept(fd, from_socket_address(storage)); });
    };
    m_listener.reset(evconnlistener_new(owner.base(), callback, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC,
                                        listen_backlog, m_fd));
    if (!m_listener) {
        throw runtime_error(errc::bind_failed, "cannot listen on " + core::to_string(m_options.listen));
    }
    owner.register_handler<collect_metrics>(task_names::links, [this](collect_metrics& message) { collect(message); });
    owner.register_handler<set_mesh_peers>(task_names::links, [this](set_mesh_peers& message) { set_mesh(message); });
    owner.register_handler<send_to_host>(task_names::links, [this](send_to_host& message) { send_host(message); });
    owner.register_handler<send_to_endpoint>(task_names::links,
                                             [this](send_to_endpoint& message) { send_endpoint(message); });
}

link_task::~link_task() = default;

void link_task::start()
{
    m_config = m_kernel.find_handler<peer_message_received>(task_names::config);
    m_peer_up = m_kernel.find_optional_handler<mesh_peer_up>(task_names::role);
    m_peer_down = m_kernel.find_optional_handler<mesh_peer_down>(task_names::role);
    m_mesh_message = m_kernel.find_optional_handler<mesh_message>(task_names::role);
    m_last_tick = core::clock::now();
    m_timer.add(link_tick);
}

void link_task::collect(collect_metrics& message) const
{
    message.samples = {{"links", "", static_cast<double>(m_links.size()), false},
                       {"mesh_links", "", static_cast<double>(m_mesh_links.size()), false},
                       {"links_accepted", "", static_cast<double>(m_counters.accepted)},
                       {"links_dialled", "", static_cast<double>(m_counters.dialled)},
                       {"links_closed", "", static_cast<double>(m_counters.closed)},
                       {"link_bad_frames", "", static_cast<double>(m_counters.bad_frames)},
                       {"link_output_full", "", static_cast<double>(m_counters.output_full)},
                       {"link_undeliverable", "", static_cast<double>(m_counters.undeliverable)},
                       {"link_frames_received", "", static_cast<double>(m_counters.frames_received)},
                       {"link_frames_sent", "", static_cast<double>(m_counters.frames_sent)},
                       {"link_bytes_sent", "", static_cast<double>(m_counters.bytes_sent)}};
}

link_callbacks link_task::make_callbacks()
{
    return {[this](peer_link& link) { on_hello(link); },
            [this](peer_link& link, wire::peer_messageT message) { on_message(link, std::move(message)); },
            [this](peer_link& link) { on_closed(link); }};
}

peer_link* link_task::add_link(std::unique_ptr<peer_link> link)
{
    peer_link* const result = link.get();
    m_links.emplace(result, std::move(link));
    return result;
}

void link_task::accept(int fd, const core::endpoint& remote)
{
    if (m_links.size() >= max_links) {
        write_rate_limited_log(m_counters.log_limit, log_event::link_refused, core::to_string(remote));
        evutil_closesocket(fd);
        return;
    }
    ++m_counters.accepted;
    add_link(std::make_unique<peer_link>(m_kernel.base(), fd, remote, m_options.hello, m_counters, make_callbacks()));
}

peer_link* link_task::dial(const core::endpoint& remote, bool mesh)
{
    ++m_counters.dialled;
    wire::helloT hello = m_options.hello;
    hello.mesh = mesh;
    return add_link(std::make_unique<peer_link>(m_kernel.base(), -1, remote, hello, m_counters, make_callbacks()));
}

bool link_task::is_mesh_link(const peer_link& link) const
{
    const auto& own = m_options.hello;
    const auto& peer = *link.hello();
    if (own.role != wire::process_role::agent || peer.role != wire::process_role::agent ||
        own.service != peer.service || own.host == peer.host) {
        return false;
    }
    if (!link.is_dialled()) {
        return peer.mesh && peer.host < own.host;
    }
    const auto it = m_mesh_peers.find(core::host_id{peer.host});
    return it != m_mesh_peers.end() && it->second.dialled_link == &link;
}

void link_task::on_hello(peer_link& link)
{
    if (is_mesh_link(link)) {
        join_mesh(link, core::host_id{link.hello()->host});
        return;
    }
    const bool dialled_for_mesh = std::any_of(m_mesh_peers.begin(), m_mesh_peers.end(),
                                              [&link](const auto& pair) { return pair.second.dialled_link == &link; });
    if (dialled_for_mesh) {
        // The peer treats this connection as its mesh link, so it must be closed.
        write_rate_limited_log(m_counters.log_limit, log_event::link_refused,
                               core::to_string(link.remote()) + " is host " + std::to_string(link.hello()->host) +
                                   " of service " + std::to_string(link.hello()->service));
        link.close();
    }
}

void link_task::join_mesh(peer_link& link, core::host_id host)
{
    if (const auto it = m_mesh_links.find(host); it != m_mesh_links.end() && it->second != &link) {
        // The peer dialled again, so the earlier link is closed on its side.
        it->second->close();
    }
    m_mesh_links[host] = &link;
    if (const auto it = m_mesh_peers.find(host); it != m_mesh_peers.end()) {
        it->second.backoff = core::milliseconds{0};
    }
    write_log(log_event::link_up, "host " + std::to_string(core::raw(host)) + " at " + core::to_string(link.remote()));
    m_peer_up.post({host, core::incarnation_id{link.hello()->incarnation}});
}

void link_task::on_message(peer_link& link, wire::peer_messageT message)
{
    auto shared = std::make_shared<const wire::peer_messageT>(std::move(message));
    m_config.post({link.remote(), shared});
    const core::host_id host{link.hello()->host};
    if (const auto it = m_mesh_links.find(host); m_mesh_message && it != m_mesh_links.end() && it->second == &link) {
        m_mesh_message.post({host, std::move(shared)});
    }
}

void link_task::on_closed(peer_link& link)
{
    for (auto& [host, peer] : m_mesh_peers) {
        if (peer.dialled_link == &link) {
            peer.dialled_link = nullptr;
            peer.backoff = next_backoff(peer.backoff);
            peer.next_dial = core::clock::now() + peer.backoff;
        }
    }
    const auto it =
        std::find_if(m_mesh_links.begin(), m_mesh_links.end(), [&](const auto& pair) { return pair.second == &link; });
    if (it != m_mesh_links.end()) {
        write_log(log_event::link_down, "host " + std::to_string(core::raw(it->first)));
        m_peer_down.post({it->first});
        m_mesh_links.erase(it);
    }
    // This function may be called by a handler of the link, so the link is destroyed later.
    m_kernel.defer([this, closed = &link] { m_links.erase(closed); });
}

void link_task::set_mesh(const set_mesh_peers& message)
{
    std::map<core::host_id, mesh_peer> mesh_peers;
    for (const auto& peer : message.peers) {
        const auto it = m_mesh_peers.find(peer.host);
        if (it != m_mesh_peers.end() && it->second.address == peer.address) {
            mesh_peers.emplace(peer.host, it->second);
        } else {
            mesh_peers.emplace(peer.host, mesh_peer{peer.host, peer.address, nullptr, {}, {}});
        }
    }
    std::vector<peer_link*> links_to_close;
    for (const auto& [host, link] : m_mesh_links) {
        const auto it = mesh_peers.find(host);
        if (it == mesh_peers.end() || (link->is_dialled() && it->second.dialled_link != link)) {
            links_to_close.push_back(link);
        }
    }
    m_mesh_peers.swap(mesh_peers);
    for (auto* link : links_to_close) {
        link->close();
    }
    dial_mesh(core::clock::now());
}

void link_task::send_host(const send_to_host& message)
{
    if (const auto it = m_mesh_links.find(message.host); it != m_mesh_links.end()) {
        it->second->send(message.message);
        return;
    }
    ++m_counters.undeliverable;
}

peer_link* link_task::find_link(const core::endpoint& remote)
{
    peer_link* found = nullptr;
    for (const auto& [link, owned] : m_links) {
        if (link->is_closed() || link->remote() != remote) {
            continue;
        }
        if (link->hello()) {
            return link;
        }
        found = link->is_dialled() ? link : found;
    }
    return found;
}

void link_task::send_endpoint(const send_to_endpoint& message)
{
    if (message.peer == m_options.listen || message.peer.empty()) {
        ++m_counters.undeliverable;
        return;
    }
    peer_link* link = find_link(message.peer);
    if (link == nullptr && m_links.size() < max_links) {
        link = dial(message.peer, false);
    }
    if (link == nullptr) {
        ++m_counters.undeliverable;
        return;
    }
    link->send(message.message);
}

void link_task::on_tick()
{
    const auto now = core::clock::now();
    if (now - m_last_tick > core::pause_threshold) {
        // This process was paused: messages that its peers sent meanwhile are still in the socket buffers.
        m_silence_counted_from = now;
    }
    m_last_tick = now;
    std::vector<peer_link*> silent;
    for (const auto& [link, owned] : m_links) {
        const auto it = link->hello() ? m_mesh_links.find(core::host_id{link->hello()->host}) : m_mesh_links.end();
        const bool mesh = it != m_mesh_links.end() && it->second == link;
        const auto used = mesh ? link->last_received() : std::max(link->last_received(), link->last_sent());
        const auto last = std::max(used, m_silence_counted_from);
        const auto limit = mesh ? mesh_silence_timeout : link->hello() ? idle_timeout : connect_timeout;
        if (!link->is_closed() && now - last > limit) {
            silent.push_back(link);
        }
    }
    for (auto* link : silent) {
        link->close();
    }
    dial_mesh(now);
}

void link_task::dial_mesh(core::time_point now)
{
    for (auto& [host, peer] : m_mesh_peers) {
        if (m_options.hello.host >= core::raw(host) || peer.dialled_link != nullptr || now < peer.next_dial) {
            continue;
        }
        peer.dialled_link = dial(peer.address, true);
    }
}

core::milliseconds link_task::next_backoff(core::milliseconds previous)
{
    const auto base = previous.count() == 0 ? backoff_initial : std::min(previous * 2, backoff_max * 4 / 5);
    // Jitter prevents the peers of a restarted process from dialling it at the same time.
    std::uniform_int_distribution<std::int64_t> jitter(base.count(), base.count() * 5 / 4);
    return core::milliseconds(jitter(m_random));
}

} // namespace daisydoor::runtime::detail
