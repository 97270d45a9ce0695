#include "daisydoor/runtime/detail/http_client.hpp"
#include "daisydoor/runtime/detail/socket_address.hpp"

#include <gtest/gtest.h>

#include <array>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

namespace daisydoor::runtime::detail
{
namespace
{

/// Runs an http_client against a TCP listener on loopback. The test provides the function that is called whenever bytes
/// arrive on a connection, and that writes the response.
class http_client_test : public ::testing::Test
{
  protected:
    struct connection
    {
        int fd = -1;
        std::string received;
        io_event readable;
    };

    http_client_test() : m_listener(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
    {
        socket_address address;
        to_socket_address(core::parse_endpoint("127.0.0.1:1"), address);
        reinterpret_cast<sockaddr_in&>(address.storage).sin_port = 0;
        EXPECT_EQ(bind(m_listener, address.get(), address.size), 0);
        sockaddr_storage bound{};
        socklen_t size = sizeof bound;
        getsockname(m_listener, reinterpret_cast<sockaddr*>(&bound), &size);
        server = from_socket_address(bound);
        client = std::make_unique<http_client>(owner, server);
    }

    ~http_client_test() override
    {
        client.reset();
        stop_listening();
        for (const auto& it : m_connections) {
            close(it->fd);
        }
    }

    void listen_with(std::function<void(connection&)> on_request)
    {
        m_on_request = std::move(on_request);
        ASSERT_EQ(::listen(m_listener, 8), 0);
        m_acceptable = io_event(owner.base(), m_listener, EV_READ | EV_PERSIST, [this] { accept_one(); });
        m_acceptable.add();
    }

    void stop_listening()
    {
        m_acceptable.remove();
        if (m_listener >= 0) {
            close(m_listener);
            m_listener = -1;
        }
    }

    /// While one exists, no file descriptor can be opened.
    class no_descriptors
    {
      public:
        no_descriptors()
        {
            getrlimit(RLIMIT_NOFILE, &m_former);
            const rlimit none{0, m_former.rlim_max};
            EXPECT_EQ(setrlimit(RLIMIT_NOFILE, &none), 0);
        }
        ~no_descriptors() { setrlimit(RLIMIT_NOFILE, &m_former); }
        no_descriptors(const no_descriptors&) = delete;
        no_descriptors& operator=(const no_descriptors&) = delete;

      private:
        rlimit m_former{};
    };

    static http_request request_of(core::milliseconds timeout)
    {
        http_request result;
        result.path = "/x";
        result.timeout = timeout;
        return result;
    }

    http_result run(core::milliseconds timeout = core::milliseconds(5000))
    {
        http_result result;
        owner.defer([&] {
            client->start(request_of(timeout), [&](http_result response) {
                result = std::move(response);
                owner.stop(0);
            });
        });
        owner.run();
        return result;
    }

    static void send_response(connection& to, const std::string& text)
    {
        EXPECT_EQ(write(to.fd, text.data(), text.size()), static_cast<ssize_t>(text.size()));
    }

    static void reset_connection(connection& to)
    {
        // Sends RST instead of FIN. The client must not report it as a failed connect.
        const linger now{1, 0};
        setsockopt(to.fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        to.readable.remove();
        close(to.fd);
        to.fd = -1;
    }

    [[nodiscard]] std::size_t connections() const { return m_connections.size(); }

    kernel owner;
    core::endpoint server;
    std::unique_ptr<http_client> client;

  private:
    void accept_one()
    {
        const int fd = ::accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK);
        if (fd < 0) {
            return;
        }
        m_connections.push_back(std::make_unique<connection>());
        auto& it = *m_connections.back();
        it.fd = fd;
        it.readable = io_event(owner.base(), fd, EV_READ | EV_PERSIST, [this, &it] {
            std::array<char, 4096> buf{};
            const auto n = read(it.fd, buf.data(), buf.size());
            if (n <= 0) {
                it.readable.remove();
                return;
            }
            it.received.append(buf.data(), static_cast<std::size_t>(n));
            m_on_request(it);
        });
        it.readable.add();
    }

    int m_listener;
    io_event m_acceptable;
    std::function<void(connection&)> m_on_request;
    std::vector<std::unique_ptr<connection>> m_connections;
};

constexpr const char* short_response = "HTTP/1.1 200 OK\r\nX-Version: 7\r\nContent-Length: 2\r\n\r\nok";

// Guards against opening a new connection for each exchange, and against losing the X-Version header.
TEST_F(http_client_test, start_twice_connection_reused)
{
    listen_with([](connection& it) { send_response(it, short_response); });
    for (int i = 0; i < 2; ++i) {
        const auto response = run();
        EXPECT_EQ(response.outcome, http_outcome::answered);
        EXPECT_EQ(response.status, 200);
        EXPECT_EQ(response.version, "7");
        EXPECT_EQ(std::string(response.body.begin(), response.body.end()), "ok");
    }
    EXPECT_EQ(connections(), 1U);
}

// Guards against the outcome 'unknown' for a request of which no byte was sent.
TEST_F(http_client_test, start_without_listener_connect_failed)
{
    EXPECT_EQ(run().outcome, http_outcome::connect_failed);
}

// Guards against a wrong outcome 'not_run': the target may have run a request whose connection was reset.
TEST_F(http_client_test, start_reset_after_request_broken)
{
    listen_with([](connection& it) { reset_connection(it); });
    EXPECT_EQ(run().outcome, http_outcome::broken);
}

// Guards against a wrong outcome 'not_run' when a reused connection is reset before the response.
TEST_F(http_client_test, start_reset_on_reused_connection_broken)
{
    int requests = 0;
    listen_with([&requests](connection& it) {
        if (++requests == 1) {
            send_response(it, short_response);
        } else {
            reset_connection(it);
        }
    });
    EXPECT_EQ(run().outcome, http_outcome::answered);
    EXPECT_EQ(run().outcome, http_outcome::broken);
    EXPECT_EQ(connections(), 1U);
}

// Guards against the outcome 'unknown' for a request after the target has closed the idle connection.
TEST_F(http_client_test, start_after_idle_close_new_connection)
{
    listen_with([](connection& it) {
        send_response(it, short_response);
        it.readable.remove();
        shutdown(it.fd, SHUT_WR);
    });
    EXPECT_EQ(run().outcome, http_outcome::answered);
    // Lets the client process the FIN of the idle connection, which arrives after the response.
    constexpr int rounds = 20;
    for (int i = 0; i < rounds; ++i) {
        event_base_loop(owner.base(), EVLOOP_NONBLOCK);
        usleep(1000);
    }
    EXPECT_EQ(run().outcome, http_outcome::answered);
    EXPECT_EQ(connections(), 2U);
}

// Guards against an exchange that never finishes because the target does not respond.
TEST_F(http_client_test, start_no_response_timed_out)
{
    listen_with([](connection&) {});
    EXPECT_EQ(run(core::milliseconds(20)).outcome, http_outcome::timed_out);
}

// Guards against a truncated response that is reported as complete.
TEST_F(http_client_test, start_truncated_response_broken)
{
    listen_with([](connection& it) {
        send_response(it, "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok");
        reset_connection(it);
    });
    EXPECT_EQ(run().outcome, http_outcome::broken);
}

// Guards against a cancelled exchange that still calls its handler, or whose connection stays open at the target.
TEST_F(http_client_test, cancel_in_flight_connection_closed)
{
    bool closed = false;
    std::uint64_t id = 0;
    listen_with([&](connection& it) {
        it.readable = io_event(owner.base(), it.fd, EV_READ | EV_PERSIST, [&] {
            char byte = 0;
            closed = read(it.fd, &byte, 1) == 0;
            owner.stop(0);
        });
        it.readable.add();
        owner.defer([&] { EXPECT_TRUE(client->cancel(id)); });
    });
    http_request request;
    request.path = "/x";
    request.timeout = core::milliseconds(5000);
    id = client->start(std::move(request), [](const http_result&) { ADD_FAILURE() << "handler called after cancel"; });
    owner.run();
    EXPECT_TRUE(closed);
    EXPECT_EQ(client->in_flight(), 0U);
}

// Guards against a caller that records the id of an exchange after its handler was called, and then takes the exchange
// for one in flight.
TEST_F(http_client_test, start_without_descriptors_fails_after_it_returns)
{
    bool has_returned = false;
    http_result result;
    {
        const no_descriptors exhausted;
        client->start(request_of(core::milliseconds(5000)), [&](const http_result& response) {
            EXPECT_TRUE(has_returned);
            result = response;
            owner.stop(0);
        });
    }
    has_returned = true;
    EXPECT_EQ(client->in_flight(), 1U);
    owner.run();
    EXPECT_EQ(result.outcome, http_outcome::connect_failed);
    EXPECT_EQ(client->in_flight(), 0U);
}

// Guards against a handler that is called for an exchange which was cancelled before its failure was reported.
TEST_F(http_client_test, cancel_of_failed_start_calls_no_handler)
{
    std::uint64_t id = 0;
    {
        const no_descriptors exhausted;
        id = client->start(request_of(core::milliseconds(5000)),
                           [](const http_result&) { ADD_FAILURE() << "handler called after cancel"; });
    }
    EXPECT_FALSE(client->cancel(id)) << "no byte was sent";
    for (int i = 0; i < 3; ++i) {
        event_base_loop(owner.base(), EVLOOP_NONBLOCK);
    }
    EXPECT_EQ(client->in_flight(), 0U);
}

// Guards against stream chunks that are delivered only when the stream ends, and against a crash when the chunk handler
// cancels the exchange.
TEST_F(http_client_test, start_stream_chunks_delivered_immediately)
{
    listen_with([](connection& it) {
        send_response(it, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                          "5\r\nhello\r\n");
    });
    std::string parts;
    std::uint64_t id = 0;
    http_request request;
    request.path = "/feed";
    request.on_headers = [](int status, const std::string& type) {
        return status == 200 && type == "text/event-stream";
    };
    request.on_body_chunk = [&](wire::bytes_view part) {
        parts.append(reinterpret_cast<const char*>(part.data), part.size);
        client->cancel(id);
        owner.stop(0);
    };
    id = client->start(std::move(request), [](const http_result&) { ADD_FAILURE() << "handler called after cancel"; });
    owner.run();
    EXPECT_EQ(parts, "hello");
    owner.run_deferred();
}

// Guards against request smuggling: a path with a line break would send a second request to the target.
TEST(http_path_test, is_valid_path_control_characters_rejected)
{
    EXPECT_TRUE(is_valid_path("/a/b?c=d"));
    for (const char* path : {"", "a", "/a b", "/a\r\nX: y", "/\x7f", "/\xc3\xa4"}) {
        EXPECT_FALSE(is_valid_path(path)) << path;
    }
}

} // namespace
} // namespace daisydoor::runtime::detail
