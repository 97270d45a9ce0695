#pragma once

#include "daisydoor/agent/detail/work_record.hpp"

#include <functional>
#include <map>
#include <unordered_map>

namespace daisydoor::agent::detail
{

/// Numbers above the acknowledged one that a flow may use; bounds the records of a flow.
constexpr std::uint64_t posting_window = 64;
/// Time for which a peer keeps records that the home agent has not acknowledged.
constexpr core::seconds peer_record_retention{600};

/// @brief Position of a request number relative to the flow's window.
enum class number_position
{
    /// At or below the acknowledged number: may have run, its record is gone.
    acknowledged,
    inside,
    /// Beyond the window, but near enough to be remembered as refused.
    beyond,
    /// So far beyond that no record is kept; a delayed copy could come inside the window later.
    far_beyond,
};

/// @brief Records of home and foreign work, and the acknowledged number of each flow.
class request_table
{
  public:
    using record_visitor = std::function<void(work_record&)>;

    /// Complexity of all look-ups: logarithmic in the number of records.
    [[nodiscard]] work_record* find(const work_key& key);
    work_record& insert(work_record record);
    void erase(const work_key& key);

    [[nodiscard]] number_position position(core::flow_id flow, core::request_number number) const;
    /// @brief Raises the acknowledged number of a flow; never lowers it. Returns whether it was raised.
    bool raise_acknowledged(core::flow_id flow, core::request_number acknowledged);
    [[nodiscard]] core::request_number acknowledged(core::flow_id flow) const;
    void forget_acknowledged(core::flow_id flow) { m_acknowledged.erase(flow); }

    /// @brief Keys of a home flow's records, in the order of their numbers.
    [[nodiscard]] std::vector<work_key> keys_of_flow(core::host_id home, core::incarnation_id incarnation,
                                                     core::flow_id flow) const;
    /// @brief Calls `visit` for each record. The visitor must not insert or erase records.
    void for_each(const record_visitor& visit);
    [[nodiscard]] std::size_t size() const noexcept { return m_records.size(); }

  private:
    std::map<work_key, work_record> m_records;
    std::unordered_map<core::flow_id, core::request_number> m_acknowledged;
};

} // namespace daisydoor::agent::detail
