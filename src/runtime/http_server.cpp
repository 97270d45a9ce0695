#include "daisydoor/runtime/detail/http_server.hpp"

#include "daisydoor/runtime/detail/socket_address.hpp"

#include <cstring>
#include <event2/buffer.h>
#include <evhtp/evhtp.h>

namespace daisydoor::runtime::detail
{

namespace
{

constexpr int listen_backlog = 16;
/// No path accepts a body.
constexpr std::uint64_t max_body_bytes = 1024;
constexpr timeval connection_timeout{10, 0};
constexpr int status_bad_request = 400;

void send_reply(evhtp_request_t* request, const http_response& reply)
{
    evhtp_headers_add_header(request->headers_out, evhtp_header_new("Content-Type", reply.type, 0, 1));
    evbuffer_add(request->buffer_out, reply.body.data(), reply.body.size());
    evhtp_send_reply(request, static_cast<evhtp_res>(reply.status));
}

} // namespace

http_response path_not_found()
{
    return {EVHTP_RES_NOTFOUND, "text/plain", "unknown path; allowed are GET /dump and GET /metrics\n"};
}

void http_server::server_deleter::operator()(evhtp* value) const noexcept
{
    evhtp_unbind_socket(value);
    evhtp_free(value);
}

http_server::http_server(kernel& owner, const core::endpoint& listen, handler request_handler)
    : m_handler(std::move(request_handler)), m_server(evhtp_new(owner.base(), nullptr))
{
    if (!m_server) {
        throw runtime_error(errc::admin_failed, "libevhtp cannot create a server");
    }
    evhtp_set_timeouts(m_server.get(), &connection_timeout, &connection_timeout);
    evhtp_set_max_body_size(m_server.get(), max_body_bytes);
    evhtp_set_gencb(m_server.get(), &http_server::on_request, this);
    const std::string address = (listen.is_ipv4() ? "ipv4:" : "ipv6:") + ip_of(listen);
    if (evhtp_bind_socket(m_server.get(), address.c_str(), listen.port, listen_backlog) != 0) {
        throw runtime_error(errc::admin_failed, "cannot bind the admin address " + core::to_string(listen));
    }
}

http_server::~http_server() = default;

void http_server::on_request(evhtp_request_t* request, void* self)
{
    run_and_log_exceptions([=] { static_cast<http_server*>(self)->handle_request(request); });
}

void http_server::handle_request(evhtp_request_t* request)
{
    const char* path = request->uri != nullptr && request->uri->path != nullptr ? request->uri->path->full : "";
    const auto query = [request](const char* name) {
        return request->uri->query != nullptr ? evhtp_kv_find(request->uri->query, name) : nullptr;
    };
    http_response reply{EVHTP_RES_METHNALLOWED, "text/plain", "method not allowed; only GET is supported\n"};
    if (evhtp_request_get_method(request) == htp_method_GET) {
        reply = m_handler(path, query);
    }
    if (reply.status >= status_bad_request && reply.status != EVHTP_RES_SERVUNAVAIL) {
        write_rate_limited_log(m_reject_log_limit, log_event::admin_bad_request,
                               "status " + std::to_string(reply.status) + " for a path of " +
                                   std::to_string(std::strlen(path)) + " bytes");
    }
    send_reply(request, reply);
}

} // namespace daisydoor::runtime::detail
