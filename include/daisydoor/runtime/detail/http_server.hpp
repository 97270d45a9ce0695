#pragma once

#include "daisydoor/core/endpoint.hpp"
#include "daisydoor/runtime/events.hpp"
#include "daisydoor/runtime/kernel.hpp"

#include <functional>
#include <memory>
#include <string>

struct evhtp;
struct evhtp_request;

namespace daisydoor::runtime::detail
{

struct http_response
{
    int status = 200;
    /// Value of the Content-Type header.
    const char* type = "text/plain";
    std::string body;
};

constexpr const char* json_type = "application/json";
constexpr const char* prometheus_type = "text/plain; version=0.0.4; charset=utf-8";

/// @brief Response for an unknown path.
http_response path_not_found();

/// @brief HTTP server for GET requests without a body.
class http_server
{
  public:
    /// @brief Returns the response for a path; `query` returns the value of a query field, or nullptr if it is absent.
    using handler =
        std::function<http_response(const std::string& path, const std::function<const char*(const char*)>& query)>;

    /// @throws runtime_error with errc::admin_failed if the address cannot be bound.
    http_server(kernel& owner, const core::endpoint& listen, handler request_handler);
    ~http_server();

  private:
    struct server_deleter
    {
        void operator()(evhtp* value) const noexcept;
    };

    static void on_request(evhtp_request* request, void* self);
    void handle_request(evhtp_request* request);

    handler m_handler;
    std::unique_ptr<evhtp, server_deleter> m_server;
    rate_limit m_reject_log_limit{log_interval_ns};
};

} // namespace daisydoor::runtime::detail
