#pragma once

#include "daisydoor/runtime/messages.hpp"

#include <map>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

namespace daisydoor::runtime::detail
{

/// @brief Stores the metrics of the tasks in a Prometheus registry and formats them as text.
class metrics
{
  public:
    /// @brief Sets the metrics of a task to their current values. A counter must not decrease.
    void update(const collect_metrics& message);

    /// @brief All metrics in Prometheus text exposition format. Complexity: linear in their number.
    [[nodiscard]] std::string text() const;

  private:
    prometheus::Registry m_registry;
    std::map<std::string, prometheus::Family<prometheus::Counter>*> m_counters;
    std::map<std::string, prometheus::Family<prometheus::Gauge>*> m_gauges;
};

} // namespace daisydoor::runtime::detail
