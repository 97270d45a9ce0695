#pragma once

#include "daisydoor/runtime/detail/http_client.hpp"
#include "daisydoor/runtime/messages.hpp"

namespace daisydoor::runtime::detail
{

struct platform_counters
{
    std::uint64_t reads = 0;
    std::uint64_t failed = 0;
    std::uint64_t unchanged = 0;
};

/// @brief Reads and watches published values of the platform: handles platform_read and posts platform_result.
class platform_task : public task
{
  public:
    platform_task(kernel& owner, const core::endpoint& platform);

    void start() override;

  private:
    void collect(collect_metrics& message) const;
    void read(const platform_read& message);
    void on_http_result(const std::string& key, http_result response);

    kernel& m_kernel;
    http_client m_client;
    bool m_reachable = true;
    platform_counters m_counters;
    handler_ref<platform_result> m_config;
};

} // namespace daisydoor::runtime::detail
