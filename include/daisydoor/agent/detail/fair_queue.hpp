#pragma once

#include "daisydoor/agent/detail/work_record.hpp"

#include <deque>
#include <functional>
#include <vector>

namespace daisydoor::agent::detail
{

/// @brief Queue entry; refers to the record with the same key.
struct queued_work
{
    work_key key;
    core::workspace_id workspace{};
    wire::request_kind kind = wire::request_kind::idempotent;
};

/// @brief Round-robin queue over workspaces, first in, first out within a workspace.
///
/// Removal and shedding are linear in the queue length, which the queue bound keeps small.
class fair_queue
{
  public:
    using predicate = std::function<bool(const queued_work&)>;

    void push(const queued_work& entry);
    /// @brief Puts a request that was already popped back at the front of its workspace's queue.
    void push_front(const queued_work& entry);
    /// @brief Removes and returns the first entry of the workspace whose turn it is, or nullopt if the queue is empty.
    std::optional<queued_work> pop();
    /// @brief Removes and returns the first entry, in the order of turns, that `accept` returns true for. Workspaces
    /// without such an entry keep their turn.
    std::optional<queued_work> pop_if(const predicate& accept);
    bool erase(const work_key& key);

    /// @brief Chooses the entry to shed so that `incoming` fits into a full queue.
    ///
    /// The shed entry belongs to the workspace with the longest queue, counting `incoming`; on a tie `incoming` itself
    /// counts as the longest. Returns nullopt if `incoming` is the one to refuse.
    [[nodiscard]] std::optional<queued_work> choose_victim(const queued_work& incoming, config::shed_order order) const;

    /// @brief Number of entries that round-robin serves before a new entry of the workspace.
    [[nodiscard]] std::size_t ahead_of(core::workspace_id workspace) const;
    [[nodiscard]] std::size_t size() const noexcept { return m_size; }
    [[nodiscard]] bool empty() const noexcept { return m_size == 0; }

  private:
    struct workspace_queue
    {
        core::workspace_id workspace{};
        std::deque<queued_work> entries;
    };

    workspace_queue& queue_of(core::workspace_id workspace);
    [[nodiscard]] const workspace_queue* find_queue(core::workspace_id workspace) const;
    [[nodiscard]] const workspace_queue* longest() const;
    queued_work remove_entry(std::size_t position, const std::deque<queued_work>::const_iterator& entry);

    /// Workspaces with queued work, in the order of their turns. The front has the next turn.
    std::vector<workspace_queue> m_turns;
    std::size_t m_size = 0;
};

} // namespace daisydoor::agent::detail
