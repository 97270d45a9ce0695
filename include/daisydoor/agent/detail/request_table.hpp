#pragma once

#include "daisydoor/agent/detail/work_record.hpp"

#include <functional>
#include <map>
#include <set>
#include <unordered_map>

namespace daisydoor::agent::detail
{

/// How far a request number may exceed the acknowledged one; bounds the number of records of a flow.
constexpr std::uint64_t request_window = 64;
/// Time for which a peer keeps records that the home agent has not acknowledged.
constexpr core::seconds peer_record_retention{600};

/// @brief Position of a request number relative to the flow's window.
enum class number_position
{
    /// At or below the acknowledged number: may have run, its record is deleted.
    acknowledged,
    inside,
    /// Beyond the window, but near enough that the refusal is recorded.
    beyond,
    /// So far beyond that no record is kept; a delayed copy could be inside the window by the time it arrives.
    far_beyond,
};

/// @brief Records of the requests of this agent's own flows and of requests that it executes for peers, and the
/// acknowledged number of each own flow.
class request_table
{
  public:
    using predicate = std::function<bool(const work_record&)>;

    /// Complexity of all look-ups: logarithmic in the number of records.
    [[nodiscard]] work_record* find(const work_key& key);
    work_record& insert(work_record record);
    void erase(const work_key& key);
    /// @brief Marks the record as final: it stays in the table, but open_keys_if() no longer visits it.
    void close(const work_key& key) { m_open.erase(key); }

    [[nodiscard]] number_position position(core::flow_id flow, core::request_number number) const;
    /// @brief Raises the acknowledged number of a flow; never lowers it. Returns whether it was raised.
    bool raise_acknowledged(core::flow_id flow, core::request_number acknowledged);
    [[nodiscard]] core::request_number acknowledged(core::flow_id flow) const;
    void erase_acknowledged(core::flow_id flow) { m_acknowledged.erase(flow); }

    /// @brief Keys of a home flow's records, in the order of their numbers.
    [[nodiscard]] std::vector<work_key> keys_of_flow(core::host_id home, core::incarnation_id incarnation,
                                                     core::flow_id flow) const;
    /// @brief Keys of the records for which `accept` returns true. Complexity: linear in the number of records.
    [[nodiscard]] std::vector<work_key> keys_if(const predicate& accept) const;
    /// @brief Like keys_if(), but only for records that are not final. The queue bound and the slots limit their
    /// number.
    [[nodiscard]] std::vector<work_key> open_keys_if(const predicate& accept) const;
    [[nodiscard]] std::size_t size() const noexcept { return m_records.size(); }

  private:
    std::map<work_key, work_record> m_records;
    std::set<work_key> m_open;
    std::unordered_map<core::flow_id, core::request_number> m_acknowledged;
};

} // namespace daisydoor::agent::detail
