#include "daisydoor/runtime/detail/http_client.hpp"

#include "daisydoor/runtime/detail/socket_address.hpp"

#include <algorithm>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http_struct.h>

namespace daisydoor::runtime::detail
{

namespace
{

/// Bounds the idle connections that remain open after a burst.
constexpr std::size_t max_idle_connections = 64;
/// Largest accepted response body. The answer to a caller could be larger, since it may have up to 65,535 segments, but
/// the memory of an agent is limited.
constexpr std::size_t max_response_bytes = std::size_t{16} * 1024 * 1024;
constexpr std::size_t max_header_bytes = std::size_t{64} * 1024;
/// libevent's own timeout must not fire before the timer of the exchange, whose handler checks whether bytes were sent.
constexpr core::milliseconds timeout_margin{2000};
/// A stream is closed after this time without any byte; the agent core replaces a silent feed earlier.
constexpr core::milliseconds stream_timeout{60'000};

} // namespace

struct http_client::exchange
{
    http_client* owner = nullptr;
    std::uint64_t id = 0;
    http_request request;
    done_handler done;
    evhttp_connection* connection = nullptr;
    evbuffer_cb_entry* output_callback = nullptr;
    bool bytes_sent = false;
    /// start() has not returned yet.
    bool is_starting = true;
    /// Set by the error callback, which libevent calls before it empties the output buffer: emptying it looks like sent
    /// bytes.
    bool failed = false;
    http_outcome failure = http_outcome::broken;
    io_event timer;

    [[nodiscard]] evbuffer* output() const
    {
        return bufferevent_get_output(evhttp_connection_get_bufferevent(connection));
    }
};

bool is_valid_path(const std::string& path) noexcept
{
    return !path.empty() && path.front() == '/' &&
           std::all_of(path.begin(), path.end(), [](char c) { return c > ' ' && c < '\x7f'; });
}

http_client::http_client(kernel& owner, const core::endpoint& server)
    : m_kernel(owner), m_ip(ip_of(server)), m_server(server),
      m_connections_to_free(std::make_shared<std::vector<evhttp_connection*>>())
{
}

http_client::~http_client()
{
    for (auto& [id, http_exchange] : m_exchanges) {
        if (http_exchange->connection != nullptr) {
            evhttp_connection_free(http_exchange->connection);
        }
    }
    for (auto* list : {&m_idle, m_connections_to_free.get()}) {
        std::for_each(list->begin(), list->end(), evhttp_connection_free);
        list->clear();
    }
}

evhttp_connection* http_client::acquire_connection(core::milliseconds timeout)
{
    evhttp_connection* result = nullptr;
    if (m_idle.empty()) {
        result = evhttp_connection_base_bufferevent_new(m_kernel.base(), nullptr, nullptr, m_ip.c_str(), m_server.port);
        if (result == nullptr) {
            return nullptr;
        }
        evhttp_connection_set_max_body_size(result, max_response_bytes);
        evhttp_connection_set_max_headers_size(result, max_header_bytes);
    } else {
        result = m_idle.back();
        m_idle.pop_back();
    }
    const auto limit = timeout.count() == 0 ? stream_timeout : timeout + timeout_margin;
    const timeval libevent_timeout{limit.count() / 1000, limit.count() % 1000 * 1000};
    evhttp_connection_set_timeout_tv(result, &libevent_timeout);
    return result;
}

evhttp_request* http_client::make_request(exchange& http_exchange)
{
    evhttp_request* request = evhttp_request_new(
        [](evhttp_request* response, void* argument) {
            auto* const self = static_cast<exchange*>(argument);
            run_and_log_exceptions([&] { self->owner->on_done(*self, response); });
        },
        &http_exchange);
    evhttp_request_set_error_cb(request, [](evhttp_request_error code, void* argument) {
        auto* const self = static_cast<exchange*>(argument);
        self->failed = true;
        self->failure = !self->bytes_sent            ? http_outcome::connect_failed
                        : code == EVREQ_HTTP_TIMEOUT ? http_outcome::timed_out
                                                     : http_outcome::broken;
    });
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", core::to_string(m_server).c_str());
    for (const auto& [name, text] : http_exchange.request.headers) {
        evhttp_add_header(headers, name.c_str(), text.c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(request), http_exchange.request.body.data(),
                 http_exchange.request.body.size());
    if (!http_exchange.request.on_body_chunk) {
        return request;
    }
    evhttp_request_set_header_cb(request, [](evhttp_request* response, void* argument) {
        auto* const self = static_cast<exchange*>(argument);
        const char* type = evhttp_find_header(evhttp_request_get_input_headers(response), "Content-Type");
        const int status = evhttp_request_get_response_code(response);
        return self->request.on_headers(status, type != nullptr ? type : "") ? 0 : -1;
    });
    evhttp_request_set_chunked_cb(request, [](evhttp_request* response, void* argument) {
        auto* const self = static_cast<exchange*>(argument);
        evbuffer* input = evhttp_request_get_input_buffer(response);
        const std::size_t size = evbuffer_get_length(input);
        const unsigned char* data = evbuffer_pullup(input, -1);
        run_and_log_exceptions([&] { self->request.on_body_chunk({data, size}); });
    });
    return request;
}

std::uint64_t http_client::start(http_request request, done_handler done)
{
    auto owned = std::make_unique<exchange>();
    auto& http_exchange = *owned;
    const std::uint64_t id = m_next_id++;
    http_exchange.owner = this;
    http_exchange.id = id;
    http_exchange.request = std::move(request);
    http_exchange.done = std::move(done);
    m_exchanges.emplace(id, std::move(owned));
    if (!begin(http_exchange)) {
        http_exchange.failed = true;
        // Callers record the id that this function returns, and the handler would clear it first.
        http_exchange.timer = io_event(m_kernel.base(), [this, id] { on_timeout(id); });
        http_exchange.timer.add(core::milliseconds(0));
    }
    http_exchange.is_starting = false;
    return id;
}

bool http_client::begin(exchange& http_exchange)
{
    http_exchange.connection = acquire_connection(http_exchange.request.timeout);
    if (http_exchange.connection == nullptr) {
        return false;
    }
    http_exchange.output_callback = evbuffer_add_cb(
        http_exchange.output(),
        [](evbuffer*, const evbuffer_cb_info* info, void* argument) {
            auto* const self = static_cast<exchange*>(argument);
            self->bytes_sent = self->bytes_sent || info->n_deleted > 0;
        },
        &http_exchange);
    if (http_exchange.request.timeout.count() > 0) {
        http_exchange.timer = io_event(m_kernel.base(), [this, id = http_exchange.id] { on_timeout(id); });
        http_exchange.timer.add(http_exchange.request.timeout);
    }
    const auto& request = http_exchange.request;
    const int result = evhttp_make_request(http_exchange.connection, make_request(http_exchange), request.method,
                                           request.path.c_str());
    return result == 0 && !http_exchange.failed;
}

bool http_client::cancel(std::uint64_t id)
{
    const auto it = m_exchanges.find(id);
    if (it == m_exchanges.end()) {
        return true;
    }
    const bool bytes_sent = it->second->bytes_sent;
    it->second->done = nullptr;
    finish(*it->second, {}, false);
    return bytes_sent;
}

void http_client::on_timeout(std::uint64_t id)
{
    if (const auto it = m_exchanges.find(id); it != m_exchanges.end()) {
        const auto outcome = it->second->bytes_sent ? http_outcome::timed_out : http_outcome::connect_failed;
        finish(*it->second, {outcome, 0, {}, {}}, false);
    }
}

void http_client::on_done(exchange& http_exchange, evhttp_request* request)
{
    if (http_exchange.is_starting) {
        http_exchange.failed = true;
        return;
    }
    if (request == nullptr || http_exchange.failed) {
        finish(http_exchange, {http_exchange.failed ? http_exchange.failure : http_outcome::broken, 0, {}, {}}, false);
        return;
    }
    const int status = evhttp_request_get_response_code(request);
    if (status == 0) {
        // libevent reports a failed connect as a request with status 0.
        finish(http_exchange, {http_outcome::connect_failed, 0, {}, {}}, false);
        return;
    }
    http_result response{http_outcome::answered, status, {}, {}};
    if (const char* version =
            evhttp_find_header(evhttp_request_get_input_headers(request), http_exchange.request.version_header)) {
        response.version = version;
    }
    evbuffer* input = evhttp_request_get_input_buffer(request);
    response.body.resize(evbuffer_get_length(input));
    evbuffer_remove(input, response.body.data(), response.body.size());
    finish(http_exchange, std::move(response), !http_exchange.request.on_body_chunk);
}

void http_client::finish(exchange& http_exchange, http_result response, bool reusable)
{
    const auto it = m_exchanges.find(http_exchange.id);
    if (it == m_exchanges.end()) {
        // Cancelled by one of its own handlers; libevent still reports the closed connection afterwards.
        return;
    }
    if (http_exchange.output_callback != nullptr) {
        evbuffer_remove_cb_entry(http_exchange.output(), http_exchange.output_callback);
    }
    if (reusable && m_idle.size() < max_idle_connections) {
        m_idle.push_back(http_exchange.connection);
    } else if (http_exchange.connection != nullptr) {
        free_deferred(http_exchange.connection);
    }
    auto owned = std::move(it->second);
    m_exchanges.erase(it);
    if (owned->done) {
        owned->done(std::move(response));
    }
    // This function may be called by the timer of the exchange, so the exchange is destroyed later.
    m_kernel.defer([kept = std::shared_ptr<exchange>(std::move(owned))] {});
}

void http_client::free_deferred(evhttp_connection* connection)
{
    m_connections_to_free->push_back(connection);
    m_kernel.defer([retired = m_connections_to_free] {
        std::for_each(retired->begin(), retired->end(), evhttp_connection_free);
        retired->clear();
    });
}

} // namespace daisydoor::runtime::detail
