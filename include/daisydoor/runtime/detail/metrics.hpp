#pragma once

#include "daisydoor/runtime/messages.hpp"

#include <map>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

namespace daisydoor::runtime::detail
{

/// @brief Keeps the tasks' values in a prometheus registry and writes them in the text format.
class metrics
{
  public:
    /// @brief Takes over the current values of a task. Counters only go up.
    void update(const collect_metrics& message);

    /// @brief Text exposition of all values. Complexity: linear in their number.
    [[nodiscard]] std::string text() const;

  private:
    prometheus::Registry m_registry;
    std::map<std::string, prometheus::Family<prometheus::Counter>*> m_counters;
    std::map<std::string, prometheus::Family<prometheus::Gauge>*> m_gauges;
};

} // namespace daisydoor::runtime::detail
