#include "daisydoor/runtime/detail/admin_task.hpp"

#include "daisydoor/runtime/detail/socket_address.hpp"
#include "daisydoor/runtime/detail/state_dump.hpp"

#include <charconv>
#include <cstring>
#include <event2/buffer.h>
#include <evhtp/evhtp.h>

namespace daisydoor::runtime::detail
{

namespace
{

constexpr int listen_backlog = 16;
/// Neither path takes a body.
constexpr std::uint64_t max_body_bytes = 1024;
constexpr timeval connection_timeout{10, 0};
constexpr const char* json_type = "application/json";
constexpr const char* prometheus_type = "text/plain; version=0.0.4; charset=utf-8";

void send_reply(evhtp_request_t* request, evhtp_res status, const char* type, const std::string& body)
{
    evhtp_headers_add_header(request->headers_out, evhtp_header_new("Content-Type", type, 0, 1));
    evbuffer_add(request->buffer_out, body.data(), body.size());
    evhtp_send_reply(request, status);
}

} // namespace

void admin_task::server_deleter::operator()(evhtp* value) const noexcept
{
    evhtp_unbind_socket(value);
    evhtp_free(value);
}

admin_task::admin_task(kernel& owner, const settings& values)
    : m_kernel(owner), m_settings(values), m_started_at(core::clock::now()), m_server(evhtp_new(owner.base(), nullptr))
{
    if (!m_server) {
        throw runtime_error(errc::admin_failed, "libevhtp cannot create a server");
    }
    evhtp_set_timeouts(m_server.get(), &connection_timeout, &connection_timeout);
    evhtp_set_max_body_size(m_server.get(), max_body_bytes);
    evhtp_set_gencb(m_server.get(), &admin_task::on_request, this);
    const std::string address = (values.admin.is_ipv4() ? "ipv4:" : "ipv6:") + ip_of(values.admin);
    if (evhtp_bind_socket(m_server.get(), address.c_str(), values.admin.port, listen_backlog) != 0) {
        throw runtime_error(errc::admin_failed, "cannot bind the admin address " + core::to_string(values.admin));
    }
}

admin_task::~admin_task() = default;

void admin_task::start()
{
    for (const char* name : {service_names::udp, service_names::links, service_names::platform, service_names::config,
                             service_names::target, service_names::role}) {
        if (auto found = m_kernel.find_optional<collect_values>(name)) {
            m_tasks.emplace(name, std::move(found));
        }
    }
    m_state = m_kernel.find<collect_state>(service_names::role);
}

void admin_task::on_request(evhtp_request_t* request, void* self)
{
    run_guarded([=] { static_cast<admin_task*>(self)->answer(request); });
}

void admin_task::answer(evhtp_request_t* request)
{
    const char* path = request->uri != nullptr && request->uri->path != nullptr ? request->uri->path->full : "";
    if (evhtp_request_get_method(request) != htp_method_GET) {
        reject(request, EVHTP_RES_METHNALLOWED, path);
    } else if (std::strcmp(path, "/dump") == 0) {
        const char* service = request->uri->query != nullptr ? evhtp_kv_find(request->uri->query, "service") : nullptr;
        send_reply(request, EVHTP_RES_OK, json_type, dump(service));
    } else if (std::strcmp(path, "/metrics") == 0) {
        send_reply(request, EVHTP_RES_OK, prometheus_type, metrics_text());
    } else {
        reject(request, EVHTP_RES_NOTFOUND, path);
    }
}

void admin_task::reject(evhtp_request_t* request, int status, const char* path)
{
    write_limited_log(m_reject_log, log_event::admin_bad_request,
                      "status " + std::to_string(status) + " for a path of " + std::to_string(std::strlen(path)) +
                          " bytes");
    send_reply(request, static_cast<evhtp_res>(status), "text/plain", "offered are GET /dump and GET /metrics\n");
}

std::string admin_task::dump(const char* service)
{
    dump_input input;
    input.values = m_settings;
    input.uptime = std::chrono::duration_cast<core::seconds>(core::clock::now() - m_started_at);
    input.tasks = collect();
    m_state.call(input.state);
    std::uint32_t id = 0;
    if (service != nullptr && std::from_chars(service, service + std::strlen(service), id).ec == std::errc{}) {
        input.service = core::service_id{id};
    }
    return write_dump(input);
}

std::string admin_task::metrics_text()
{
    for (const auto& [name, values] : collect()) {
        m_metrics.update(values);
    }
    return m_metrics.text();
}

std::map<std::string, collect_values> admin_task::collect()
{
    std::map<std::string, collect_values> result;
    for (const auto& [name, task] : m_tasks) {
        task.call(result[name]);
    }
    return result;
}

} // namespace daisydoor::runtime::detail
