#include "standins/relay/proxy.hpp"

#include "standins/relay/udp.hpp"

#include <array>
#include <stdexcept>
#include <string>

namespace daisydoor::standins::relay
{

namespace
{

constexpr core::milliseconds added_delay{300};

} // namespace

proxy::proxy(loop& owner, const core::endpoint& listen, const core::endpoint& target) : m_loop(owner), m_target(target)
{
    const auto address = address_of(listen);
    m_listener = evconnlistener_new_bind(
        owner.base(),
        [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) { static_cast<proxy*>(self)->accept(fd); },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1, reinterpret_cast<const sockaddr*>(&address),
        sizeof address);
    if (m_listener == nullptr) {
        throw std::runtime_error("the proxy cannot listen at " + core::to_string(listen));
    }
}

proxy::~proxy()
{
    *m_alive = false;
    while (!m_pairs.empty()) {
        close(m_pairs.begin()->first);
    }
    evconnlistener_free(m_listener);
}

void proxy::set_mode(proxy_mode mode)
{
    m_mode = mode;
    if (mode == proxy_mode::reset) {
        while (!m_pairs.empty()) {
            close(m_pairs.begin()->first);
        }
    } else if (mode == proxy_mode::stall_open_connections) {
        for (auto& [id, it] : m_pairs) {
            it->is_stalled = true;
        }
    }
}

void proxy::accept(evutil_socket_t fd)
{
    evutil_make_socket_nonblocking(fd);
    if (m_mode == proxy_mode::reset) {
        evutil_closesocket(fd);
        return;
    }
    auto owned = std::make_unique<pair>();
    auto* value = owned.get();
    value->owner = this;
    value->id = m_next_id++;
    value->process_side = bufferevent_socket_new(m_loop.base(), fd, BEV_OPT_CLOSE_ON_FREE);
    value->store_side = bufferevent_socket_new(m_loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    for (auto* it : {value->process_side, value->store_side}) {
        bufferevent_setcb(it, &proxy::on_read, nullptr, &proxy::on_event, value);
        bufferevent_enable(it, EV_READ | EV_WRITE);
    }
    const auto address = address_of(m_target);
    m_pairs[value->id] = std::move(owned);
    bufferevent_socket_connect(value->store_side, reinterpret_cast<const sockaddr*>(&address), sizeof address);
}

void proxy::on_read(bufferevent* from, void* argument)
{
    auto* const value = static_cast<pair*>(argument);
    std::array<char, std::size_t{16} * 1024> buf{};
    std::string bytes;
    for (std::size_t n = bufferevent_read(from, buf.data(), buf.size()); n > 0;
         n = bufferevent_read(from, buf.data(), buf.size())) {
        bytes.append(buf.data(), n);
    }
    const bool to_process = from == value->store_side;
    const auto mode = value->owner->m_mode;
    if (value->is_stalled || mode == proxy_mode::silent || (to_process && mode == proxy_mode::drop_answers)) {
        return;
    }
    if (mode == proxy_mode::delay) {
        value->owner->m_loop.after(
            added_delay, [owner = value->owner, id = value->id, to_process, bytes, alive = value->owner->m_alive] {
                if (*alive) {
                    owner->forward(id, to_process, bytes);
                }
            });
        return;
    }
    value->owner->forward(value->id, to_process, std::move(bytes));
}

void proxy::forward(std::uint64_t id, bool to_process, std::string bytes)
{
    if (const auto it = m_pairs.find(id); it != m_pairs.end()) {
        bufferevent_write(to_process ? it->second->process_side : it->second->store_side, bytes.data(), bytes.size());
    }
}

void proxy::on_event(bufferevent* /*from*/, short what, void* argument)
{
    auto* const value = static_cast<pair*>(argument);
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
        value->owner->close(value->id);
    }
}

void proxy::close(std::uint64_t id)
{
    const auto it = m_pairs.find(id);
    bufferevent_free(it->second->process_side);
    bufferevent_free(it->second->store_side);
    m_pairs.erase(it);
}

} // namespace daisydoor::standins::relay
