#include "daisydoor/caller/client.hpp"

#include "daisydoor/caller/detail/socket_address.hpp"

#include <array>
#include <event2/event.h>
#include <gtest/gtest.h>
#include <optional>
#include <unistd.h>

namespace daisydoor::caller
{

namespace
{

constexpr core::milliseconds run_time{5000};

/// UDP server on the client's event loop that replies to opens and requests in place of a service.
class fake_service
{
  public:
    fake_service() : m_fd(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0))
    {
        core::endpoint any = core::parse_endpoint("127.0.0.1:1");
        any.port = 0;
        sockaddr_storage address{};
        socklen_t size = detail::to_sockaddr(any, address);
        EXPECT_EQ(::bind(m_fd, reinterpret_cast<sockaddr*>(&address), size), 0);
        ::getsockname(m_fd, reinterpret_cast<sockaddr*>(&address), &size);
        m_address = detail::from_sockaddr(address);
    }
    ~fake_service()
    {
        if (m_event != nullptr) {
            event_free(m_event);
        }
        ::close(m_fd);
    }
    fake_service(const fake_service&) = delete;
    fake_service& operator=(const fake_service&) = delete;

    void serve_on(event_base* loop)
    {
        m_event = event_new(
            loop, m_fd, EV_READ | EV_PERSIST,
            [](evutil_socket_t, short, void* self) { static_cast<fake_service*>(self)->receive(); }, this);
        event_add(m_event, nullptr);
    }

    [[nodiscard]] core::endpoint address() const { return m_address; }
    bool answers_requests = true;

  private:
    void receive()
    {
        std::array<std::uint8_t, 2048> buf{};
        sockaddr_storage from{};
        socklen_t size = sizeof from;
        const auto n = ::recvfrom(m_fd, buf.data(), buf.size(), 0, reinterpret_cast<sockaddr*>(&from), &size);
        const auto decoded = n > 0 ? wire::decode_packet({buf.data(), static_cast<std::size_t>(n)})
                                   : std::optional<wire::decoded_packet>{};
        if (!decoded) {
            return;
        }
        const wire::flow_token token(1, 11, 5, 1, 1, 0, 99);
        const wire::packet_header header(wire::packet_magic, wire::packet_class::reply, 0, decoded->header.flow_hash(),
                                         token);
        wire::packetT reply;
        if (decoded->packet.body.Asopen() != nullptr) {
            wire::open_replyT body;
            body.token = std::make_unique<wire::flow_token>(token);
            body.keepalive_ms = 10'000;
            reply = wire::make_packet(std::move(body));
        } else if (const auto* request = decoded->packet.body.Asrequest(); request != nullptr && answers_requests) {
            wire::answerT body;
            body.number = request->number;
            body.status = 200;
            body.segment_count = 1;
            body.payload.assign(request->path.begin(), request->path.end());
            body.total_size = static_cast<std::uint32_t>(body.payload.size());
            reply = wire::make_packet(std::move(body));
        } else {
            return;
        }
        const auto bytes = wire::encode_packet(header, reply);
        ::sendto(m_fd, bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr*>(&from), size);
    }

    int m_fd;
    event* m_event = nullptr;
    core::endpoint m_address;
};

class client_test : public testing::Test
{
  protected:
    client_test() : m_loop(event_base_new()) { m_service.serve_on(m_loop); }
    ~client_test() override
    {
        m_client.reset();
        m_service_holder.reset();
        event_base_free(m_loop);
    }

    client& make_client(core::milliseconds open_timeout = core::milliseconds(2000))
    {
        client_options options;
        options.service = m_service.address();
        options.open_timeout = open_timeout;
        options.seed = 7;
        m_client = std::make_unique<client>(options, m_loop);
        return *m_client;
    }

    /// Runs the loop until `is_done` returns true or `run_time` has passed, which happens only in a failing test.
    bool run_until(const std::function<bool()>& is_done)
    {
        const auto end = core::clock::now() + run_time;
        while (!is_done() && core::clock::now() < end) {
            event_base_loop(m_loop, EVLOOP_ONCE);
        }
        return is_done();
    }

    std::unique_ptr<fake_service> m_service_holder = std::make_unique<fake_service>();
    fake_service& m_service = *m_service_holder;
    event_base* m_loop;
    std::unique_ptr<client> m_client;
};

errc code_of(const std::function<void()>& call)
{
    try {
        call();
    } catch (const caller_error& ex) {
        return static_cast<errc>(ex.number());
    }
    return errc{};
}

} // namespace

// Guards against an answer that is passed to no handler or to the handler of another request.
TEST_F(client_test, two_requests_each_get_own_answer)
{
    auto& client = make_client();
    client.open(nullptr);
    std::vector<std::string> answers(2);
    for (std::size_t i = 0; i < answers.size(); ++i) {
        client.request("/call/" + std::to_string(i), core::milliseconds(3000), [&answers, i](const outcome& value) {
            answers[i].assign(value.payload.begin(), value.payload.end());
        });
    }
    EXPECT_TRUE(run_until([&] { return !answers[0].empty() && !answers[1].empty(); }));
    EXPECT_EQ(answers, (std::vector<std::string>{"/call/0", "/call/1"}));
    EXPECT_EQ(client.broken_flows(), 0U);
}

// Guards against a handler that runs within the call that registers it, before that call returns the request's number.
TEST_F(client_test, handlers_run_from_loop_only)
{
    auto& client = make_client();
    bool was_called = false;
    client.open(nullptr);
    client.request("/x", core::milliseconds(3000), [&](const outcome&) { was_called = true; });
    client.close();
    EXPECT_FALSE(was_called);
    EXPECT_TRUE(run_until([&] { return was_called; }));
}

// Guards against requests that get no outcome after close().
TEST_F(client_test, close_with_sent_request_reports_unknown)
{
    m_service.answers_requests = false;
    auto& client = make_client();
    bool is_open = false;
    client.open([&](const open_result& result) { is_open = result.is_open; });
    ASSERT_TRUE(run_until([&] { return is_open; }));
    std::vector<outcome> outcomes;
    client.post("/x", {1}, core::milliseconds(3000), [&](const outcome& value) { outcomes.push_back(value); });
    client.close();
    ASSERT_TRUE(run_until([&] { return !outcomes.empty(); }));
    ASSERT_EQ(outcomes.size(), 1U);
    EXPECT_EQ(outcomes.front().kind, outcome_kind::unknown);
}

// Guards against an open that waits forever when nothing replies.
TEST_F(client_test, open_without_service_fails)
{
    core::endpoint closed = m_service.address();
    m_service_holder.reset();
    client_options options;
    options.service = closed;
    options.open_timeout = core::milliseconds(200);
    client client(options);
    EXPECT_EQ(code_of([&] { client.open_and_wait(); }), errc::open_failed);
    EXPECT_EQ(code_of([&] { client.request("/x", core::milliseconds(10), nullptr); }), errc::not_open);
}

// Guards against a use after free when a handler destroys its client.
TEST_F(client_test, handler_destroys_client_no_use_after_free)
{
    auto& client = make_client();
    bool was_called = false;
    client.open([&](const open_result&) {
        was_called = true;
        m_client.reset();
    });
    EXPECT_TRUE(run_until([&] { return was_called; }));
}

// Guards against invalid arguments that are sent or ignored instead of reported as errors.
TEST_F(client_test, invalid_arguments_throw_errors)
{
    auto& client = make_client();
    const core::milliseconds deadline(100);
    EXPECT_EQ(code_of([&] { client.request("/x", deadline, nullptr); }), errc::not_open);
    client.open(nullptr);
    EXPECT_EQ(code_of([&] { client.open(nullptr); }), errc::already_opened);
    EXPECT_EQ(code_of([&] { client.request("", deadline, nullptr); }), errc::bad_argument);
    EXPECT_EQ(code_of([&] { client.request("x", deadline, nullptr); }), errc::bad_argument);
    EXPECT_EQ(code_of([&] { client.request("/a b", deadline, nullptr); }), errc::bad_argument);
    EXPECT_EQ(code_of([&] { client.request("/x", core::milliseconds(0), nullptr); }), errc::bad_argument);
    EXPECT_EQ(code_of([&] { client.post("/x", std::vector<std::uint8_t>(max_request_size), deadline, nullptr); }),
              errc::bad_argument);
    EXPECT_EQ(code_of([&] { client.request_and_wait("/x", deadline); }), errc::foreign_loop);
}

} // namespace daisydoor::caller
