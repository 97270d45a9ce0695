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
    /// Time for the whole exchange; 0 for a stream, which has no end.
    core::milliseconds timeout{0};
    /// Set for a stream: receives status and content type; returns whether to go on.
    std::function<bool(int, const std::string&)> on_headers;
    /// Set for a stream: receives each part of the body.
    std::function<void(wire::bytes_view)> on_body_chunk;
};

struct http_result
{
    http_outcome outcome = http_outcome::answered;
    int status = 0;
    /// Value of the X-Version header, or empty.
    std::string version;
    std::vector<std::uint8_t> body;
};

/// @brief Whether a path can stand in a request line: starts with '/' and has only printable ASCII without spaces.
bool is_valid_path(const std::string& path) noexcept;

/// @brief HTTP/1.1 client of one server: one connection for each exchange in flight; idle ones are used again.
class http_client
{
  public:
    using done_handler = std::function<void(http_result)>;

    http_client(kernel& owner, const core::endpoint& server);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// @brief Starts an exchange; `done` may be called before this returns if no connection can be opened.
    /// @param request its path must be valid
    /// @returns a number for cancel()
    std::uint64_t start(http_request request, done_handler done);

    /// @brief Closes the exchange's connection. `done` is not called. Does nothing if the exchange has ended.
    /// @returns whether a byte of the request may have been sent
    bool cancel(std::uint64_t id);

    [[nodiscard]] std::size_t in_flight() const noexcept { return m_exchanges.size(); }

  private:
    struct exchange;

    evhttp_connection* acquire_connection(core::milliseconds timeout);
    evhttp_request* make_request(exchange& value);
    void free_deferred(evhttp_connection* connection);
    void on_done(exchange& value, evhttp_request* request);
    void on_timeout(std::uint64_t id);
    void finish(exchange& value, http_result response, bool reusable);

    kernel& m_kernel;
    std::string m_ip;
    core::endpoint m_server;
    std::uint64_t m_next_id = 1;
    std::map<std::uint64_t, std::unique_ptr<exchange>> m_exchanges;
    std::vector<evhttp_connection*> m_idle;
    /// Outlives the client in deferred functions, which then do nothing.
    std::shared_ptr<std::vector<evhttp_connection*>> m_connections_to_free;
};

} // namespace daisydoor::runtime::detail
