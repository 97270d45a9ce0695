#pragma once

#include "daisydoor/core/endpoint.hpp"
#include "standins/common/loop.hpp"

#include <event2/http.h>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace daisydoor::standins
{

/// @brief Parsed request line of an HTTP request.
struct http_request_line
{
    bool is_post = false;
    /// Path without the query.
    std::string path;
    /// Path and query as sent.
    std::string target;
    std::map<std::string, std::string> query;

    [[nodiscard]] std::optional<std::string> find(const std::string& name) const;
    /// @brief Value of a query parameter as a number, or `fallback` if it is missing or not a number.
    [[nodiscard]] double number(const std::string& name, double fallback) const;
};

http_request_line parse_request_line(evhttp_request* request);
/// @brief Value of a request header, or an empty string.
std::string header(evhttp_request* request, const char* name);
std::string body(evhttp_request* request);
void reply(evhttp_request* request, int status, const std::string& text);

/// @brief evhttp server on one address. The handler must reply to each request, at once or later.
class http_server
{
  public:
    using handler = std::function<void(evhttp_request*)>;

    /// @throws std::runtime_error if the address cannot be bound
    http_server(loop& events, const core::endpoint& address, handler fn);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

  private:
    evhttp* m_http;
    handler m_handler;
};

} // namespace daisydoor::standins
