#pragma once

#include "daisydoor/relay/fleet_view.hpp"

#include <cstddef>
#include <vector>

namespace daisydoor::relay
{

/// Interval at which a search is repeated to peers that have not answered; a starting process is ready within about 100
/// ms.
constexpr core::milliseconds search_repeat_interval{100};
/// Maximum repetitions of a search: they cover the longest pause between a client's retransmissions (1.6 s). Afterwards
/// the client's next packet starts a new search.
constexpr std::uint32_t search_repeat_limit = 16;
/// Time after which a search asks for a confirmation of the view; most find their flow earlier, in a round trip to
/// another availability zone.
constexpr core::milliseconds confirmation_delay{15};
/// Maximum number of peers outside the services of a flow's route that an agent asks in one interval, for all its
/// searches together.
constexpr std::size_t max_wide_questions = 500;
constexpr core::milliseconds wide_question_interval{100};

/// @brief Whom a search asks next.
struct search_round
{
    /// Peers whose hosts may have the flow, in ascending order.
    std::vector<ipv4> owners;
    /// Owners that were not asked before and are to be asked now.
    std::vector<ipv4> next;
    /// Whether all owners have been asked with this round.
    bool is_whole = true;
};

/// @brief Decides which peers may have a flow that this agent does not have: those of the present and former services
/// of its route, and all peers while former services may be missing in the view.
///
/// Load pattern: all processes were killed and the hosts kept their flows, so that nobody knows which services a route
/// has lost. Searches then ask the whole fleet, at a bounded rate.
class search_scope
{
  public:
    search_scope(const fleet_view& view, ipv4 self) noexcept : m_view(view), m_self(self) {}

    /// @brief Plans the next round of a search. Complexity: n log n in the number of owners.
    /// @param asked peers that were asked before, in ascending order
    search_round plan(const flow_key& flow, const std::vector<ipv4>& asked, core::time_point now);

  private:
    void add_hosts(const std::vector<const known_host*>& hosts, std::vector<ipv4>& result) const;
    [[nodiscard]] std::vector<ipv4> owners_by_route(const known_route& route) const;
    [[nodiscard]] std::vector<ipv4> all_peers() const;
    void refill(core::time_point now) noexcept;

    const fleet_view& m_view;
    ipv4 m_self;
    std::size_t m_wide_questions_left = max_wide_questions;
    core::time_point m_refilled_at;
};

} // namespace daisydoor::relay
