#pragma once

#include "daisydoor/runtime/detail/event_stream.hpp"
#include "daisydoor/runtime/detail/http_client.hpp"
#include "daisydoor/runtime/messages.hpp"

namespace daisydoor::runtime::detail
{

struct target_counters
{
    std::uint64_t exchanges = 0;
    std::uint64_t answered = 0;
    std::uint64_t connect_failed = 0;
    std::uint64_t broken = 0;
    std::uint64_t timed_out = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t bad_paths = 0;
    std::uint64_t feeds_opened = 0;
    std::uint64_t feeds_closed = 0;
};

/// @brief HTTP client of the target: requests, feeds and health polls.
///
/// Handles the agent core's actions start_exchange, cancel_exchange, open_feed and close_feed, and posts the results to
/// the role task.
class target_task : public task
{
  public:
    target_task(kernel& owner, const core::endpoint& target);

    void start() override;

  private:
    struct feed
    {
        std::uint64_t exchange = 0;
        event_stream_parser parser;
    };

    void collect(collect_metrics& message) const;
    void start_exchange(agent::start_exchange& message);
    void cancel_exchange(agent::exchange_id id);
    void on_http_result(agent::exchange_id id, http_result response);
    void open_feed(const agent::open_feed& message);
    void close_feed(agent::feed_connection_id id);
    void on_feed_chunk(agent::feed_connection_id id, wire::bytes_view part);
    void on_feed_end(agent::feed_connection_id id);
    void poll_health();
    void on_health(const http_result& response);

    kernel& m_kernel;
    http_client m_client;
    io_event m_health_timer;
    std::map<agent::exchange_id, std::uint64_t> m_exchanges;
    std::map<agent::feed_connection_id, feed> m_feeds;
    bool m_health_poll_in_flight = false;
    bool m_reachable = true;
    bool m_draining = false;
    target_counters m_counters;
    handler_ref<exchange_finished> m_finished;
    handler_ref<feed_event_received> m_feed_event;
    handler_ref<feed_activity> m_feed_activity;
    handler_ref<feed_closed> m_feed_closed;
    handler_ref<drain_request> m_drain;
};

} // namespace daisydoor::runtime::detail
