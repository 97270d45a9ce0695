#pragma once

#include "daisydoor/core/endpoint.hpp"
#include "standins/common/loop.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

struct evhttp;
struct evhttp_request;

namespace daisydoor::standins::relay
{

/// @brief How the store treats calls.
enum class store_mode
{
    normal,
    /// Every call is refused with 503.
    busy,
    /// Every call is refused with 429.
    too_many,
    /// Calls are accepted and never answered.
    silent,
};

/// @brief The platform's key-value store: paged range reads, watches that wait for changes, and a history that can be
/// dropped.
class store
{
  public:
    /// @throws std::runtime_error if the store cannot listen
    store(loop& owner, const core::endpoint& listen);
    ~store();
    store(const store&) = delete;
    store& operator=(const store&) = delete;

    /// @brief Writes a value, which is acknowledged when the call returns.
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    /// @return the value, or an empty string if there is none
    [[nodiscard]] std::string value(const std::string& key) const;
    /// @brief Keys that begin with a prefix and have a value.
    [[nodiscard]] std::vector<std::string> keys(const std::string& prefix) const;
    /// @brief Drops the history, so that older watches get 410.
    void compact();
    /// @brief Makes the copy that restore() returns to.
    void save_copy();
    /// @brief Returns to the last copy: what was written since is gone, its revisions are given out again, and the era
    /// rises.
    void restore();
    void set_mode(store_mode mode) { m_mode = mode; }
    /// @brief Items on one page; small, so that every read has several.
    static constexpr std::size_t page_size = 4;
    [[nodiscard]] std::uint64_t calls() const { return m_calls; }

  private:
    struct item
    {
        std::string value;
        std::uint64_t revision = 0;
        bool removed = false;
    };

    struct waiting_watch
    {
        evhttp_request* request = nullptr;
        std::uint64_t after = 0;
    };

    static void on_request(evhttp_request* request, void* self);
    void answer(evhttp_request* request);
    void reply(evhttp_request* request, int status, const std::string& body) const;
    void answer_range(evhttp_request* request, const std::string& prefix, const std::string& after);
    void answer_watch(evhttp_request* request, std::uint64_t after, int wait_ms);
    std::string events_after(std::uint64_t after) const;
    void reply_to_watches();

    loop& m_loop;
    evhttp* m_server = nullptr;
    store_mode m_mode = store_mode::normal;
    std::map<std::string, item> m_items;
    std::uint64_t m_revision = 10;
    std::uint64_t m_history_start = 10;
    std::uint64_t m_era = 1;
    std::map<std::string, item> m_copy;
    std::uint64_t m_copy_revision = 10;
    std::uint64_t m_calls = 0;
    std::map<std::uint64_t, waiting_watch> m_watches;
    std::uint64_t m_next_watch = 1;
};

} // namespace daisydoor::standins::relay
