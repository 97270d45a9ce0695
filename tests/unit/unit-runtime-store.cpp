#include "daisydoor/runtime/detail/socket_address.hpp"
#include "daisydoor/runtime/detail/store_task.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <random>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

namespace daisydoor::runtime::detail
{
namespace
{

/// Runs a store_task against a TCP listener on loopback that answers calls only while the platform is `up`.
class store_task_test : public ::testing::Test
{
  protected:
    store_task_test() : m_listener(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
    {
        socket_address address;
        to_socket_address(core::parse_endpoint("127.0.0.1:1"), address);
        reinterpret_cast<sockaddr_in&>(address.storage).sin_port = 0;
        EXPECT_EQ(bind(m_listener, address.get(), address.size), 0);
        EXPECT_EQ(listen(m_listener, 8), 0);
        sockaddr_storage bound{};
        socklen_t size = sizeof bound;
        getsockname(m_listener, reinterpret_cast<sockaddr*>(&bound), &size);
        m_acceptable = io_event(m_kernel.base(), m_listener, EV_READ | EV_PERSIST, [this] { accept_one(); });
        m_acceptable.add();
        m_kernel.register_handler<platform_update>(task_names::role, [this](platform_update&) { ++m_updates; });
        store = std::make_unique<store_task>(m_kernel, from_socket_address(bound));
        store->start();
    }

    ~store_task_test() override
    {
        store.reset();
        m_connections.clear();
        close(m_listener);
    }

    /// Runs the event loop until `condition` holds. @return whether it held before the time was over
    bool run_until(const std::function<bool()>& condition, core::milliseconds time = core::milliseconds(5000))
    {
        const auto end = core::clock::now() + time;
        while (!condition() && core::clock::now() < end) {
            event_base_loop(m_kernel.base(), EVLOOP_NONBLOCK);
            usleep(poll_microseconds);
        }
        return condition();
    }

    double metric(const std::string& name)
    {
        collect_metrics message;
        m_kernel.find_handler<collect_metrics>(task_names::platform).call(message);
        const auto it = std::find_if(message.samples.begin(), message.samples.end(),
                                     [&name](const metric_sample& value) { return value.name == name; });
        EXPECT_NE(it, message.samples.end()) << name;
        return it != message.samples.end() ? it->value : 0;
    }

    std::size_t calls() const { return m_calls.size(); }
    std::size_t updates() const { return m_updates; }
    const std::string& call(std::size_t n) const { return m_calls.at(n); }

    bool up = true;
    /// Closes the connection instead of an answer.
    bool breaks = false;
    /// Body of the response to every call.
    std::string body = R"({"items":[],"events":[],"HasMore":false,"StoreRevision":20})";
    std::unique_ptr<store_task> store;

  private:
    static constexpr useconds_t poll_microseconds = 500;
    static constexpr core::milliseconds answer_delay{20};

    struct connection
    {
        explicit connection(int descriptor) : fd(descriptor) {}
        ~connection() { close(fd); }
        connection(const connection&) = delete;
        connection& operator=(const connection&) = delete;

        int fd;
        io_event readable;
        io_event answer;
        /// Rest of the response.
        std::string unsent;
    };

    void accept_one()
    {
        const int fd = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK);
        ASSERT_GE(fd, 0);
        auto& it = *m_connections.emplace_back(std::make_unique<connection>(fd));
        it.readable = io_event(m_kernel.base(), fd, EV_READ | EV_PERSIST, [this, &it] { answer(it); });
        it.readable.add();
        it.answer = io_event(m_kernel.base(), [this, &it] {
            const auto n = send(it.fd, it.unsent.data(), it.unsent.size(), MSG_NOSIGNAL);
            if (n <= 0 && errno != EAGAIN) {
                // The task has given the call up.
                return;
            }
            it.unsent.erase(0, static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
            if (!it.unsent.empty()) {
                it.answer.add(core::milliseconds(1));
            }
        });
    }

    void answer(connection& to)
    {
        std::array<char, 4096> buf{};
        const auto n = read(to.fd, buf.data(), buf.size());
        if (n <= 0) {
            to.readable.remove();
            return;
        }
        const std::string request(buf.data(), static_cast<std::size_t>(n));
        m_calls.push_back(request.substr(0, request.find('\r')));
        if (breaks) {
            to.readable.remove();
            shutdown(to.fd, SHUT_RDWR);
        } else if (up) {
            to.unsent = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
            to.answer.add(answer_delay);
        }
    }

    kernel m_kernel;
    int m_listener;
    io_event m_acceptable;
    std::vector<std::unique_ptr<connection>> m_connections;
    std::vector<std::string> m_calls;
    std::size_t m_updates = 0;
};

// Guards against a reader that never calls the platform again after an outage, because a check cancelled the retry that
// was in flight.
TEST_F(store_task_test, check_during_retry_after_outage_reads_on)
{
    ASSERT_TRUE(run_until([this] { return updates() >= 1; }));
    up = false;
    ASSERT_TRUE(run_until([this] { return metric("platform_outages") == 1; }));
    const auto before = calls();
    ASSERT_TRUE(run_until([&] { return calls() > before; })) << "no retry after the failed call";
    store->check_now();
    EXPECT_EQ(metric("platform_call_expected"), metric("platform_calls_in_flight"));
    up = true;
    EXPECT_TRUE(run_until([this] { return metric("platform_reachable") == 1; }));
    const auto read = updates();
    EXPECT_TRUE(run_until([&] { return updates() > read + 1; })) << "the watch does not continue";
}

// Guards against a check that waits for a watch, which may return only after a second.
TEST_F(store_task_test, check_replaces_waiting_watch)
{
    ASSERT_TRUE(run_until([this] { return updates() >= 1; }));
    up = false;
    ASSERT_TRUE(run_until([this] { return calls() == 2 && call(1).find("WaitMs=1100") != std::string::npos; }));
    up = true;
    store->check_now();
    EXPECT_TRUE(run_until([this] { return updates() >= 2; }, core::milliseconds(700)));
    EXPECT_NE(call(2).find("WaitMs=10 "), std::string::npos) << call(2);
    EXPECT_EQ(metric("platform_outages"), 0);
}

// Guards against any order of events after which the reader and the HTTP client disagree about the call in flight.
TEST_F(store_task_test, random_events_keep_reader_and_client_in_step)
{
    constexpr int events = 600;
    std::mt19937 random(1);
    const auto pick = [&random](int n) { return static_cast<int>(random() % static_cast<unsigned>(n)); };
    for (int i = 0; i < events; ++i) {
        switch (pick(5)) {
        case 0:
            store->check_now();
            break;
        case 1:
            store->on_pause();
            break;
        case 2:
            store->set_mode(static_cast<relay::read_mode>(pick(3)), {relay::store_era{}, relay::revision{20}});
            break;
        case 3:
            up = pick(2) == 0;
            break;
        default:
            breaks = pick(3) == 0;
        }
        run_until([] { return false; }, core::milliseconds(pick(10)));
        ASSERT_EQ(metric("platform_call_expected"), metric("platform_calls_in_flight")) << "after event " << i;
    }
    up = true;
    breaks = false;
    store->set_mode(relay::read_mode::watch, {relay::store_era{}, relay::revision{20}});
    const auto before = updates();
    EXPECT_TRUE(run_until([&] { return updates() > before + 1; })) << "the process has stopped reading";
}

// Guards against a reader that waits for ever for the end of a call because decoding its response threw an exception:
// here a value that takes more memory than a node has.
TEST_F(store_task_test, response_that_cannot_be_decoded_is_a_failed_call)
{
    constexpr rlim_t node_bytes = rlim_t{64} * 1024 * 1024;
    constexpr std::size_t encoded_bytes = 1'398'104;
    const std::string usable = body;
    body = R"({"items":[{"Key":"op/config","Revision":3,"Value":")";
    while (body.size() < encoded_bytes) {
        body += "W1tb"; // "[[[" in base64
    }
    body += R"("}],"HasMore":false,"StoreRevision":20})";
    rlimit former{};
    getrlimit(RLIMIT_DATA, &former);
    const rlimit of_node{node_bytes, former.rlim_max};
    setrlimit(RLIMIT_DATA, &of_node);
    EXPECT_TRUE(run_until([this] { return metric("platform_outages") == 1; }));
    setrlimit(RLIMIT_DATA, &former);
    EXPECT_EQ(metric("platform_call_expected"), metric("platform_calls_in_flight"));
    body = usable;
    EXPECT_TRUE(run_until([this] { return updates() >= 1; })) << "the process has stopped reading";
}

} // namespace
} // namespace daisydoor::runtime::detail
