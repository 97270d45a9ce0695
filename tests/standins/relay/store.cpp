#include "standins/relay/store.hpp"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <iterator>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>
#include <stdexcept>
#include <utility>

namespace daisydoor::standins::relay
{

namespace
{

using nlohmann::json;

constexpr int status_gone = 410;
constexpr int status_too_many = 429;

std::string base64(const std::string& text)
{
    std::string result(4 * ((text.size() + 2) / 3) + 1, '\0');
    const int n = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(result.data()),
                                  reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
    result.resize(static_cast<std::size_t>(n));
    return result;
}

} // namespace

store::store(loop& owner, const core::endpoint& listen) : m_loop(owner), m_server(evhttp_new(owner.base()))
{
    const auto text = core::to_string(listen);
    if (evhttp_bind_socket(m_server, text.substr(0, text.rfind(':')).c_str(), listen.port) != 0) {
        throw std::runtime_error("the store cannot listen at " + text);
    }
    evhttp_set_gencb(m_server, &store::on_request, this);
}

store::~store() { evhttp_free(m_server); }

void store::reply(evhttp_request* request, int status, const std::string& body) const
{
    evbuffer* buffer = evbuffer_new();
    evbuffer_add(buffer, body.data(), body.size());
    auto* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Content-Type", "application/json");
    evhttp_add_header(headers, "Store-Era", std::to_string(m_era).c_str());
    evhttp_send_reply(request, status, nullptr, buffer);
    evbuffer_free(buffer);
}

void store::put(const std::string& key, const std::string& value)
{
    m_items[key] = {value, ++m_revision, false};
    reply_to_watches();
}

void store::remove(const std::string& key)
{
    if (const auto it = m_items.find(key); it != m_items.end() && !it->second.removed) {
        it->second = {"", ++m_revision, true};
        reply_to_watches();
    }
}

std::string store::value(const std::string& key) const
{
    const auto it = m_items.find(key);
    return it != m_items.end() ? it->second.value : "";
}

std::vector<std::string> store::keys(const std::string& prefix) const
{
    std::vector<std::string> result;
    for (const auto& [key, it] : m_items) {
        if (!it.removed && key.compare(0, prefix.size(), prefix) == 0) {
            result.push_back(key);
        }
    }
    return result;
}

void store::compact() { m_history_start = m_revision; }

void store::save_copy()
{
    m_copy = m_items;
    m_copy_revision = m_revision;
}

void store::restore()
{
    ++m_era;
    m_items = m_copy;
    m_revision = m_copy_revision;
    m_history_start = m_copy_revision;
    for (const auto& [id, watch] : std::exchange(m_watches, {})) {
        reply(watch.request, HTTP_SERVUNAVAIL, "{}");
    }
}

void store::on_request(evhttp_request* request, void* self) { static_cast<store*>(self)->answer(request); }

void store::answer(evhttp_request* request)
{
    ++m_calls;
    if (m_mode == store_mode::busy || m_mode == store_mode::too_many) {
        reply(request, m_mode == store_mode::busy ? HTTP_SERVUNAVAIL : status_too_many, "{}");
        return;
    }
    if (m_mode == store_mode::silent) {
        // Never answered; the client's timeout ends the connection.
        return;
    }
    const auto* uri = evhttp_request_get_evhttp_uri(request);
    evkeyvalq query{};
    evhttp_parse_query_str(evhttp_uri_get_query(uri) != nullptr ? evhttp_uri_get_query(uri) : "", &query);
    const auto field = [&query](const char* name) {
        const char* value = evhttp_find_header(&query, name);
        return std::string(value != nullptr ? value : "");
    };
    const std::string path = evhttp_uri_get_path(uri);
    const std::string after = field("after");
    if (path == "/-/kv-range") {
        answer_range(request, field("Prefix"), after);
    } else if (path == "/-/kv-watch" && !after.empty()) {
        answer_watch(request, std::stoull(after), std::atoi(field("WaitMs").c_str()));
    } else {
        reply(request, HTTP_NOTFOUND, "{}");
    }
    evhttp_clear_headers(&query);
}

void store::answer_range(evhttp_request* request, const std::string& prefix, const std::string& after)
{
    json items = json::array();
    bool more = false;
    for (const auto& [key, value] : m_items) {
        if (value.removed || key.compare(0, prefix.size(), prefix) != 0 || key <= after) {
            continue;
        }
        if (items.size() == page_size) {
            more = true;
            break;
        }
        items.push_back({{"Key", key}, {"Value", base64(value.value)}, {"Revision", value.revision}});
    }
    reply(request, HTTP_OK, json{{"items", items}, {"HasMore", more}, {"StoreRevision", m_revision}}.dump());
}

void store::answer_watch(evhttp_request* request, std::uint64_t after, int wait_ms)
{
    if (after < m_history_start || after > m_revision) {
        reply(request, status_gone, "{}");
    } else if (after < m_revision || wait_ms == 0) {
        reply(request, HTTP_OK, events_after(after));
    } else {
        const auto id = m_next_watch++;
        m_watches[id] = {request, after};
        // libevent frees the request when its client closes the connection.
        evhttp_connection_set_closecb(
            evhttp_request_get_connection(request),
            [](evhttp_connection* connection, void* self) {
                auto& watches = static_cast<store*>(self)->m_watches;
                for (auto it = watches.begin(); it != watches.end();) {
                    const bool is_gone = evhttp_request_get_connection(it->second.request) == connection;
                    it = is_gone ? watches.erase(it) : std::next(it);
                }
            },
            this);
        m_loop.after(core::milliseconds(wait_ms), [this, id] {
            if (const auto it = m_watches.find(id); it != m_watches.end()) {
                auto* waiting = it->second.request;
                const auto from = it->second.after;
                m_watches.erase(it);
                if (m_mode == store_mode::normal) {
                    reply(waiting, HTTP_OK, events_after(from));
                }
            }
        });
    }
}

std::string store::events_after(std::uint64_t after) const
{
    json events = json::array();
    for (const auto& [key, value] : m_items) {
        if (value.revision <= after) {
            continue;
        }
        if (value.removed) {
            events.push_back({{"Key", key}, {"Revision", value.revision}, {"Tombstone", true}});
        } else {
            events.push_back({{"Key", key}, {"Value", base64(value.value)}, {"Revision", value.revision}});
        }
    }
    return json{{"events", events}, {"StoreRevision", m_revision}}.dump();
}

void store::reply_to_watches()
{
    if (m_mode != store_mode::normal) {
        return;
    }
    auto watches = std::move(m_watches);
    m_watches.clear();
    for (const auto& [id, watch] : watches) {
        reply(watch.request, HTTP_OK, events_after(watch.after));
    }
}

} // namespace daisydoor::standins::relay
