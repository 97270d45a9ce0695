#pragma once

#include "daisydoor/core/random.hpp"
#include "standins/common/http.hpp"

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace daisydoor::standins
{

struct target_options
{
    core::endpoint listen;
    core::endpoint control;
    std::string service;
    std::size_t slots = 5;
    core::milliseconds service_time{20};
    /// Exponentially distributed service times; otherwise each takes `service_time`.
    bool exponential = false;
    std::uint64_t seed = 1;
    /// File to which a line is appended before each execution, so that the log is complete after a SIGKILL; none if
    /// empty.
    std::string execution_log;
};

enum class target_mode
{
    normal,
    /// The mean service time is ten times as long, or as given.
    slow,
    /// Like `slow`, but only for the next 20 requests.
    cold,
    /// Answers requests with 503 without running them.
    shedding,
    /// The health endpoint reports `draining`; requests still run.
    draining,
    /// Accepts connections, but neither runs nor answers requests and sends no events.
    frozen,
};

/// @brief HTTP/1.1 server that behaves as a target has to, with an execution log and failure modes.
class target
{
  public:
    target(loop& events, const target_options& options);
    ~target();
    target(const target&) = delete;
    target& operator=(const target&) = delete;

  private:
    using exchange_number = std::uint64_t;

    struct exchange
    {
        evhttp_request* request = nullptr;
        http_request_line call;
        bool is_running = false;
    };

    struct feed
    {
        evhttp_request* request = nullptr;
        std::uint64_t last = 0;
        bool is_silent = false;
    };

    void on_request(evhttp_request* request);
    void accept_request(evhttp_request* request, http_request_line call);
    void start_queued();
    void execute(exchange_number number);
    void finish(exchange_number number);
    core::milliseconds next_service_time();
    void log_execution(const exchange& item);
    void open_feed(evhttp_request* request);
    void publish_events();
    void on_closed(evhttp_connection* connection);
    [[nodiscard]] std::string health() const;
    [[nodiscard]] std::string load() const;
    void on_control(evhttp_request* request);
    bool apply(const http_request_line& call);

    loop& m_loop;
    target_options m_options;
    core::random_source m_random;
    target_mode m_mode = target_mode::normal;
    core::milliseconds m_slow_time{0};
    std::size_t m_cold_requests_left = 0;
    /// Wrong values that /health and /load report on request of a test; empty to report the real ones.
    std::string m_health_override;
    std::string m_load_override;
    exchange_number m_last_number = 0;
    std::map<exchange_number, exchange> m_exchanges;
    std::deque<exchange_number> m_queue;
    std::size_t m_running = 0;
    std::deque<evhttp_request*> m_unanswered_requests;
    std::list<feed> m_feeds;
    bool m_new_feeds_silent = false;
    std::string m_executions;
    std::uint64_t m_executed = 0;
    std::uint64_t m_cancelled = 0;
    int m_log_fd = -1;
    std::unique_ptr<http_server> m_service;
    std::unique_ptr<http_server> m_control;
};

} // namespace daisydoor::standins
