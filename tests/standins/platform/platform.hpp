#pragma once

#include "standins/common/http.hpp"
#include "standins/platform/value_store.hpp"

#include <list>
#include <memory>
#include <optional>
#include <string>

namespace daisydoor::standins
{

enum class platform_mode
{
    up,
    /// The service address refuses connections.
    down,
    /// Serves the values from the time when the mode was set.
    stale,
    /// Each answer is delayed.
    slow,
};

struct platform_options
{
    core::endpoint listen;
    core::endpoint control;
    std::string folder;
};

/// @brief Serves the published configuration over HTTP and counts the reads.
class platform
{
  public:
    platform(loop& events, const platform_options& options);

  private:
    struct pending_watch
    {
        evhttp_request* request = nullptr;
        std::string key;
        std::uint64_t after = 0;
        core::time_point end;
    };

    void on_request(evhttp_request* request);
    void answer_or_wait(evhttp_request* request, const http_request_line& call);
    void answer_due_watches();
    void on_control(evhttp_request* request);
    bool set_mode(const std::string& name, const http_request_line& call);
    void open_service();
    void close_service();
    [[nodiscard]] std::string stats() const;

    loop& m_loop;
    platform_options m_options;
    value_store m_values;
    platform_mode m_mode = platform_mode::up;
    core::milliseconds m_delay{0};
    std::list<pending_watch> m_watches;
    std::uint64_t m_calls = 0;
    std::uint64_t m_watch_calls = 0;
    std::size_t m_max_pending = 0;
    /// Number of times that the service was closed; a delayed call from before the last close is not answered.
    std::uint64_t m_service_generation = 0;
    std::unique_ptr<http_server> m_service;
    std::unique_ptr<http_server> m_control;
};

} // namespace daisydoor::standins
