#pragma once

#include "daisydoor/runtime/detail/http_server.hpp"
#include "daisydoor/runtime/detail/metrics.hpp"
#include "daisydoor/runtime/events.hpp"
#include "daisydoor/runtime/kernel.hpp"
#include "daisydoor/runtime/messages.hpp"
#include "daisydoor/runtime/settings.hpp"

#include <map>
#include <memory>

namespace daisydoor::runtime::detail
{

/// @brief Read-only HTTP server for operators: `/dump` (JSON) and `/metrics` (Prometheus text).
class admin_task : public task
{
  public:
    /// @throws runtime_error with errc::admin_failed if the address cannot be bound.
    admin_task(kernel& owner, const settings& process_settings);
    ~admin_task() override;

    void start() override;

  private:
    http_response handle_request(const std::string& path, const char* service);
    std::string dump(const char* service);
    std::string metrics_text();
    std::map<std::string, collect_metrics> collect();

    kernel& m_kernel;
    settings m_settings;
    core::time_point m_started_at;
    http_server m_server;
    metrics m_metrics;
    std::map<std::string, handler_ref<collect_metrics>> m_tasks;
    handler_ref<collect_state> m_state;
};

} // namespace daisydoor::runtime::detail
