#include "daisydoor/agent/detail/request_table.hpp"

namespace daisydoor::agent::detail
{

wire::work_id to_wire(const work_key& key) noexcept
{
    return {core::raw(key.incarnation), core::raw(key.flow), core::raw(key.number), core::raw(key.home)};
}

work_key from_wire(const wire::work_id& id) noexcept
{
    return {core::host_id{id.home_host()}, core::incarnation_id{id.home_incarnation()}, core::flow_id{id.flow()},
            core::request_number{id.number()}};
}

work_record* request_table::find(const work_key& key)
{
    const auto it = m_records.find(key);
    return it == m_records.end() ? nullptr : &it->second;
}

work_record& request_table::insert(work_record record)
{
    const work_key key = record.key;
    m_open.insert(key);
    return m_records.insert_or_assign(key, std::move(record)).first->second;
}

void request_table::erase(const work_key& key)
{
    m_open.erase(key);
    m_records.erase(key);
}

number_position request_table::position(core::flow_id flow, core::request_number number) const
{
    const std::uint64_t low = core::raw(acknowledged(flow));
    if (core::raw(number) <= low) {
        return number_position::acknowledged;
    }
    const std::uint64_t distance = core::raw(number) - low;
    if (distance <= request_window) {
        return number_position::inside;
    }
    return distance <= 2 * request_window ? number_position::beyond : number_position::far_beyond;
}

bool request_table::raise_acknowledged(core::flow_id flow, core::request_number acknowledged)
{
    if (core::raw(acknowledged) == 0) {
        return false;
    }
    auto& current = m_acknowledged[flow];
    if (acknowledged <= current) {
        return false;
    }
    current = acknowledged;
    return true;
}

core::request_number request_table::acknowledged(core::flow_id flow) const
{
    const auto it = m_acknowledged.find(flow);
    return it == m_acknowledged.end() ? core::request_number{} : it->second;
}

std::vector<work_key> request_table::keys_of_flow(core::host_id home, core::incarnation_id incarnation,
                                                  core::flow_id flow) const
{
    std::vector<work_key> result;
    for (auto it = m_records.lower_bound({home, incarnation, flow, {}}); it != m_records.end(); ++it) {
        if (it->first.home != home || it->first.incarnation != incarnation || it->first.flow != flow) {
            break;
        }
        result.push_back(it->first);
    }
    return result;
}

std::vector<work_key> request_table::keys_if(const predicate& accept) const
{
    std::vector<work_key> result;
    for (const auto& [key, record] : m_records) {
        if (accept(record)) {
            result.push_back(key);
        }
    }
    return result;
}

std::vector<work_key> request_table::open_keys_if(const predicate& accept) const
{
    std::vector<work_key> result;
    for (const auto& key : m_open) {
        if (accept(m_records.at(key))) {
            result.push_back(key);
        }
    }
    return result;
}

} // namespace daisydoor::agent::detail
