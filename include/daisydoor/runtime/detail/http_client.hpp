#pragma once

#include "daisydoor/core/endpoint.hpp"
#include "daisydoor/runtime/detail/io_event.hpp"
#include "daisydoor/wire/datagram.hpp"

#include <event2/http.h>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace daisydoor::runtime::detail
{

enum class http_outcome
{
    /// A complete response was received, whatever its status.
    answered,
    /// No byte of the request was sent.
    connect_failed,
    /// The connection broke after bytes may have been sent.
    broken,
    timed_out,
};

struct http_request
{
    evhttp_cmd_type method = EVHTTP_REQ_GET;
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers;
    std::vector<std::uint8_t> body;
    /// Name of the response header that `http_result::version` returns.
    const char* version_header = "X-Version";
    /// Time limit of the whole exchange; 0 for a stream, which has none.
    core::milliseconds timeout{0};
    /// Set for a stream: receives the status and the content type; returns false to abort the exchange.
    std::function<bool(int, const std::string&)> on_headers;
    /// Set for a stream: receives each chunk of the body as it arrives.
    std::function<void(wire::bytes_view)> on_body_chunk;
};

/// @brief Result of an exchange; the other fields are set only if the outcome is `answered`.
struct http_result
{
    http_outcome outcome = http_outcome::answered;
    int status = 0;
    /// Value of the header that `http_request::version_header` names, or empty.
    std::string version;
    std::vector<std::uint8_t> body;
};

/// @brief Whether a path is safe in a request line: it starts with '/' and contains only printable ASCII without
/// spaces.
bool is_valid_path(const std::string& path) noexcept;

/// @brief HTTP/1.1 client of one server. Each exchange in flight has its own connection; idle connections are reused.
class http_client
{
  public:
    using done_handler = std::function<void(http_result)>;

    http_client(kernel& owner, const core::endpoint& server);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// @brief Starts an exchange. `done` is called exactly once unless the exchange is cancelled, and never before this
    /// returns; if no connection can be opened, with the outcome `connect_failed`.
    /// @param request its path must satisfy is_valid_path()
    /// @returns id for cancel()
    std::uint64_t start(http_request request, done_handler done);

    /// @brief Aborts an exchange by closing its connection; `done` is not called. Has no effect if it has finished.
    /// @returns whether a byte of the request may have been sent; true if the exchange has finished
    bool cancel(std::uint64_t id);

    [[nodiscard]] std::size_t in_flight() const noexcept { return m_exchanges.size(); }

  private:
    struct exchange;

    /// @return whether the request was handed to libevent
    bool begin(exchange& http_exchange);
    /// @return null if libevent cannot create a connection
    evhttp_connection* acquire_connection(core::milliseconds timeout);
    evhttp_request* make_request(exchange& http_exchange);
    void free_deferred(evhttp_connection* connection);
    void on_done(exchange& http_exchange, evhttp_request* request);
    void on_timeout(std::uint64_t id);
    void finish(exchange& http_exchange, http_result response, bool reusable);

    kernel& m_kernel;
    std::string m_ip;
    core::endpoint m_server;
    std::uint64_t m_next_id = 1;
    std::map<std::uint64_t, std::unique_ptr<exchange>> m_exchanges;
    std::vector<evhttp_connection*> m_idle;
    /// Shared with deferred functions that free the connections: they may run after the client is destroyed, and then
    /// find the list empty.
    std::shared_ptr<std::vector<evhttp_connection*>> m_connections_to_free;
};

} // namespace daisydoor::runtime::detail
