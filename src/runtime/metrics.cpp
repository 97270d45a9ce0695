#include "daisydoor/runtime/detail/metrics.hpp"

#include <prometheus/text_serializer.h>

namespace daisydoor::runtime::detail
{

namespace
{

constexpr const char* help_text = "See docs/operators.md.";

prometheus::Labels labels_of(const metric_sample& value)
{
    return value.kind.empty() ? prometheus::Labels{} : prometheus::Labels{{"kind", value.kind}};
}

} // namespace

void metrics::update(const collect_metrics& message)
{
    for (const auto& value : message.samples) {
        if (value.is_counter) {
            auto*& family = m_counters[value.name];
            if (family == nullptr) {
                family = &prometheus::BuildCounter()
                              .Name("daisydoor_" + value.name + "_total")
                              .Help(help_text)
                              .Register(m_registry);
            }
            auto& counter = family->Add(labels_of(value));
            counter.Increment(value.value - counter.Value());
            continue;
        }
        auto*& family = m_gauges[value.name];
        if (family == nullptr) {
            family = &prometheus::BuildGauge().Name("daisydoor_" + value.name).Help(help_text).Register(m_registry);
        }
        family->Add(labels_of(value)).Set(value.value);
    }
}

std::string metrics::text() const { return prometheus::TextSerializer().Serialize(m_registry.Collect()); }

} // namespace daisydoor::runtime::detail
