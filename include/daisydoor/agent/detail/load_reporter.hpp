#pragma once

#include "daisydoor/agent/context.hpp"

namespace daisydoor::agent::detail
{

/// @brief Sends load reports to peers: when state, free slots or queue length change, but at most every report_min_gap,
/// and at least every report_interval.
class load_reporter
{
  public:
    void update(core::time_point now, const agent_context& context, const wire::load_reportT& report,
                action_list& actions);
    /// @brief Sends the next report at once, for example because a link came up.
    void force() noexcept { m_sent_at = {}; }

  private:
    wire::load_reportT m_sent;
    core::time_point m_sent_at{};
};

} // namespace daisydoor::agent::detail
