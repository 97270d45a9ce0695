#include "standins/fabric/link_relay.hpp"

#include "daisydoor/caller/detail/socket_address.hpp"
#include "daisydoor/wire/peer.hpp"

#include <deque>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <optional>
#include <stdexcept>

namespace daisydoor::standins
{

namespace
{

/// Reads the dialler's identity from the hello at the start of a link; nullopt until the hello is complete.
std::optional<link_end> read_hello(evbuffer* input)
{
    const std::size_t size = evbuffer_get_length(input);
    if (size < wire::frame_prefix_size) {
        return std::nullopt;
    }
    wire::buffer bytes(size);
    evbuffer_copyout(input, bytes.data(), size);
    const std::size_t frame_size = wire::frame_prefix_size + flatbuffers::ReadScalar<std::uint32_t>(bytes.data());
    if (size < frame_size) {
        return std::nullopt;
    }
    const auto message = wire::decode_frame({bytes.data(), frame_size});
    const auto* hello = message ? message->body.Ashello() : nullptr;
    return hello != nullptr ? link_end{hello->host, hello->zone} : link_end{};
}

} // namespace

/// @brief The two connections of one relayed link.
class link_relay::link : public std::enable_shared_from_this<link_relay::link>
{
  public:
    link(link_relay& owner, int fd, const core::endpoint& agent)
        : m_owner(owner), m_dialler(bufferevent_socket_new(owner.m_loop.base(), fd, BEV_OPT_CLOSE_ON_FREE)),
          m_agent(bufferevent_socket_new(owner.m_loop.base(), -1, BEV_OPT_CLOSE_ON_FREE))
    {
        for (auto* side : {m_dialler, m_agent}) {
            bufferevent_setcb(side, on_read, nullptr, on_event, this);
        }
        bufferevent_enable(m_dialler, EV_READ | EV_WRITE);
        bufferevent_enable(m_agent, EV_WRITE);
        bufferevent_disable(m_agent, EV_READ);
        sockaddr_storage address{};
        const auto size = caller::detail::to_sockaddr(agent, address);
        bufferevent_socket_connect(m_agent, reinterpret_cast<sockaddr*>(&address), static_cast<int>(size));
    }

    ~link()
    {
        bufferevent_free(m_dialler);
        bufferevent_free(m_agent);
    }
    link(const link&) = delete;
    link& operator=(const link&) = delete;

    void refresh()
    {
        if (!m_dialler_end) {
            return;
        }
        m_is_cut = m_owner.m_policy.is_cut(*m_dialler_end);
        for (auto* side : {m_dialler, m_agent}) {
            (m_is_cut ? bufferevent_disable : bufferevent_enable)(side, EV_READ);
            if (!m_is_cut) {
                read(side);
                forward_all(side);
            }
        }
    }

  private:
    using chunk = std::vector<std::uint8_t>;

    static void on_read(bufferevent* side, void* self)
    {
        const auto relayed_link = static_cast<link*>(self)->shared_from_this();
        relayed_link->read(side);
    }

    static void on_event(bufferevent* side, short what, void* self)
    {
        const auto relayed_link = static_cast<link*>(self)->shared_from_this();
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
            relayed_link->read(side);
            // The rest of the data and the end of the connection are forwarded after the delay.
            relayed_link->m_owner.m_loop.after(relayed_link->delay(), [weak = relayed_link->weak_from_this()] {
                if (const auto link = weak.lock()) {
                    link->m_owner.m_links.remove(link);
                }
            });
        }
    }

    [[nodiscard]] core::milliseconds delay() const
    {
        return m_dialler_end ? m_owner.m_policy.delay(*m_dialler_end) : core::milliseconds(0);
    }

    std::deque<chunk>& queue_from(const bufferevent* side) { return side == m_dialler ? m_to_agent : m_to_dialler; }

    void read(bufferevent* side)
    {
        evbuffer* input = bufferevent_get_input(side);
        if (!m_dialler_end && side == m_dialler) {
            m_dialler_end = read_hello(input);
            if (m_dialler_end) {
                refresh();
            }
            return;
        }
        const std::size_t size = evbuffer_get_length(input);
        if (!m_dialler_end || m_is_cut || size == 0) {
            return;
        }
        chunk bytes(size);
        evbuffer_remove(input, bytes.data(), size);
        queue_from(side).push_back(std::move(bytes));
        const auto wait = delay();
        if (wait.count() == 0) {
            forward_all(side);
            return;
        }
        m_owner.m_loop.after(wait, [weak = weak_from_this(), side] {
            if (const auto link = weak.lock()) {
                link->forward_one(side);
            }
        });
    }

    /// Each timer forwards the oldest chunk, so that timers due at the same time cannot reorder the stream.
    void forward_one(bufferevent* side)
    {
        auto& queue = queue_from(side);
        if (m_is_cut || queue.empty()) {
            return;
        }
        bufferevent_write(side == m_dialler ? m_agent : m_dialler, queue.front().data(), queue.front().size());
        queue.pop_front();
    }

    void forward_all(bufferevent* side)
    {
        while (!m_is_cut && !queue_from(side).empty()) {
            forward_one(side);
        }
    }

    link_relay& m_owner;
    bufferevent* m_dialler;
    bufferevent* m_agent;
    std::optional<link_end> m_dialler_end;
    bool m_is_cut = false;
    std::deque<chunk> m_to_agent;
    std::deque<chunk> m_to_dialler;
};

link_relay::link_relay(loop& events, const core::endpoint& published, const core::endpoint& agent, policy rules)
    : m_loop(events), m_agent(agent), m_policy(std::move(rules))
{
    sockaddr_storage address{};
    const auto size = caller::detail::to_sockaddr(published, address);
    m_listener = evconnlistener_new_bind(
        events.base(),
        [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
            static_cast<link_relay*>(self)->accept(fd);
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE, -1,
        reinterpret_cast<sockaddr*>(&address), static_cast<int>(size));
    if (m_listener == nullptr) {
        throw std::runtime_error("cannot listen on " + core::to_string(published));
    }
}

link_relay::~link_relay()
{
    evconnlistener_free(m_listener);
    m_links.clear();
}

void link_relay::accept(int fd) { m_links.push_back(std::make_shared<link>(*this, fd, m_agent)); }

void link_relay::refresh()
{
    const auto links = m_links;
    for (const auto& it : links) {
        it->refresh();
    }
}

} // namespace daisydoor::standins
