#include "standins/common/http.hpp"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <stdexcept>

namespace daisydoor::standins
{

namespace
{

// The agent sends nothing on a feed connection after its request, so evhttp's default timeout of 50 s would close it.
constexpr int connection_timeout_s = 3600;

std::string host_of(const core::endpoint& address)
{
    std::string text = core::to_string(address);
    text.resize(text.rfind(':'));
    return text.front() == '[' ? text.substr(1, text.size() - 2) : text;
}

} // namespace

std::optional<std::string> http_request_line::find(const std::string& name) const
{
    const auto it = query.find(name);
    return it == query.end() ? std::nullopt : std::optional(it->second);
}

double http_request_line::number(const std::string& name, double fallback) const
{
    const auto text = find(name);
    if (!text) {
        return fallback;
    }
    char* end = nullptr;
    const double value = std::strtod(text->c_str(), &end);
    return end == text->c_str() ? fallback : value;
}

http_request_line parse_request_line(evhttp_request* request)
{
    http_request_line result;
    result.is_post = evhttp_request_get_command(request) == EVHTTP_REQ_POST;
    result.target = evhttp_request_get_uri(request);
    const auto* uri = evhttp_request_get_evhttp_uri(request);
    const char* path = evhttp_uri_get_path(uri);
    result.path = path != nullptr ? path : "";
    if (const char* text = evhttp_uri_get_query(uri); text != nullptr) {
        evkeyvalq items{};
        evhttp_parse_query_str(text, &items);
        for (const evkeyval* it = items.tqh_first; it != nullptr; it = it->next.tqe_next) {
            result.query[it->key] = it->value;
        }
        evhttp_clear_headers(&items);
    }
    return result;
}

std::string header(evhttp_request* request, const char* name)
{
    const char* value = evhttp_find_header(evhttp_request_get_input_headers(request), name);
    return value != nullptr ? value : "";
}

std::string body(evhttp_request* request)
{
    evbuffer* buf = evhttp_request_get_input_buffer(request);
    std::string result(evbuffer_get_length(buf), '\0');
    evbuffer_copyout(buf, result.data(), result.size());
    return result;
}

void reply(evhttp_request* request, int status, const std::string& text)
{
    evbuffer* buf = evbuffer_new();
    evbuffer_add(buf, text.data(), text.size());
    evhttp_send_reply(request, status, nullptr, buf);
    evbuffer_free(buf);
}

http_server::http_server(loop& events, const core::endpoint& address, handler fn)
    : m_http(evhttp_new(events.base())), m_handler(std::move(fn))
{
    evhttp_set_timeout(m_http, connection_timeout_s);
    evhttp_set_gencb(
        m_http, [](evhttp_request* request, void* self) { static_cast<http_server*>(self)->m_handler(request); }, this);
    if (evhttp_bind_socket(m_http, host_of(address).c_str(), address.port) != 0) {
        evhttp_free(m_http);
        throw std::runtime_error("cannot bind the HTTP server to " + core::to_string(address));
    }
}

http_server::~http_server() { evhttp_free(m_http); }

} // namespace daisydoor::standins
