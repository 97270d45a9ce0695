#include "daisydoor/agent/detail/fair_queue.hpp"

#include "daisydoor/core/fault.hpp"

#include <algorithm>

namespace daisydoor::agent::detail
{

fair_queue::workspace_queue& fair_queue::queue_of(core::workspace_id workspace)
{
    const auto it = std::find_if(m_turns.begin(), m_turns.end(),
                                 [workspace](const auto& queue) { return queue.workspace == workspace; });
    if (it != m_turns.end()) {
        return *it;
    }
    return m_turns.emplace_back(workspace_queue{workspace, {}});
}

const fair_queue::workspace_queue* fair_queue::find_queue(core::workspace_id workspace) const
{
    const auto it = std::find_if(m_turns.begin(), m_turns.end(),
                                 [workspace](const auto& queue) { return queue.workspace == workspace; });
    return it == m_turns.end() ? nullptr : &*it;
}

void fair_queue::push(const queued_work& entry)
{
    queue_of(entry.workspace).entries.push_back(entry);
    ++m_size;
}

void fair_queue::push_front(const queued_work& entry)
{
    queue_of(entry.workspace).entries.push_front(entry);
    ++m_size;
}

queued_work fair_queue::remove_entry(std::size_t position, const std::deque<queued_work>::const_iterator& entry)
{
    const queued_work result = *entry;
    auto& queue = m_turns[position];
    queue.entries.erase(entry);
    --m_size;
    if (core::is_active(core::fault::unfair_queue) && !queue.entries.empty()) {
        return result;
    }
    // The workspace has used its turn and moves to the back of the order.
    workspace_queue served = std::move(queue);
    m_turns.erase(m_turns.begin() + static_cast<std::ptrdiff_t>(position));
    if (!served.entries.empty()) {
        m_turns.push_back(std::move(served));
    }
    return result;
}

std::optional<queued_work> fair_queue::pop()
{
    if (m_turns.empty()) {
        return std::nullopt;
    }
    return remove_entry(0, m_turns.front().entries.begin());
}

std::optional<queued_work> fair_queue::pop_if(const predicate& accept)
{
    for (std::size_t i = 0; i < m_turns.size(); ++i) {
        auto& entries = m_turns[i].entries;
        const auto it = std::find_if(entries.begin(), entries.end(), accept);
        if (it != entries.end()) {
            return remove_entry(i, it);
        }
    }
    return std::nullopt;
}

bool fair_queue::erase(const work_key& key)
{
    for (auto queue = m_turns.begin(); queue != m_turns.end(); ++queue) {
        auto& entries = queue->entries;
        const auto it =
            std::find_if(entries.begin(), entries.end(), [&key](const auto& entry) { return entry.key == key; });
        if (it == entries.end()) {
            continue;
        }
        entries.erase(it);
        --m_size;
        if (entries.empty()) {
            m_turns.erase(queue);
        }
        return true;
    }
    return false;
}

const fair_queue::workspace_queue* fair_queue::longest() const
{
    const auto it = std::max_element(m_turns.begin(), m_turns.end(),
                                     [](const auto& a, const auto& b) { return a.entries.size() < b.entries.size(); });
    return it == m_turns.end() ? nullptr : &*it;
}

std::optional<queued_work> fair_queue::choose_victim(const queued_work& incoming, config::shed_order order) const
{
    const workspace_queue* own = find_queue(incoming.workspace);
    const workspace_queue* other = longest();
    if (other == nullptr) {
        return std::nullopt;
    }
    const std::size_t own_size = (own != nullptr ? own->entries.size() : 0) + 1;
    const bool own_is_longest = other == own || own_size >= other->entries.size();
    const workspace_queue* chosen = own_is_longest ? own : other;
    if (order == config::shed_order::idempotent) {
        if (own_is_longest && incoming.kind == wire::request_kind::idempotent) {
            return std::nullopt;
        }
        if (chosen != nullptr) {
            const auto it = std::find_if(chosen->entries.rbegin(), chosen->entries.rend(), [](const auto& entry) {
                return entry.kind == wire::request_kind::idempotent;
            });
            if (it != chosen->entries.rend()) {
                return *it;
            }
        }
    }
    if (own_is_longest) {
        return std::nullopt;
    }
    return chosen->entries.back();
}

std::size_t fair_queue::ahead_of(core::workspace_id workspace) const
{
    const workspace_queue* own = find_queue(workspace);
    const std::size_t rounds = own != nullptr ? own->entries.size() : 0;
    std::size_t result = rounds;
    for (const auto& queue : m_turns) {
        if (queue.workspace != workspace) {
            result += std::min(queue.entries.size(), rounds + 1);
        }
    }
    return result;
}

} // namespace daisydoor::agent::detail
