#include "daisydoor/wire/key_ring.hpp"

#include <algorithm>

namespace daisydoor::wire
{

namespace
{

bool contains(const std::vector<token_key>& keys, core::key_id id)
{
    return std::any_of(keys.begin(), keys.end(), [id](const token_key& key) { return key.id == id; });
}

} // namespace

void key_ring::update(core::time_point now, const std::vector<token_key>& published)
{
    for (auto& key : m_published) {
        if (!contains(published, key.id)) {
            key.signing = false;
            m_retired.push_back({key, now + key_retention});
        }
    }
    m_published = published;
    // A key id that is published again verifies with the published secret only.
    m_retired.erase(std::remove_if(m_retired.begin(), m_retired.end(),
                                   [&published](const retired_key& it) { return contains(published, it.key.id); }),
                    m_retired.end());
    if (m_retired.size() > max_retired_keys) {
        m_retired.erase(m_retired.begin(), m_retired.end() - max_retired_keys);
    }
}

bool key_ring::expire(core::time_point now)
{
    const auto first = std::remove_if(m_retired.begin(), m_retired.end(),
                                      [now](const retired_key& it) { return now >= it.expires_at; });
    const bool changed = first != m_retired.end();
    m_retired.erase(first, m_retired.end());
    return changed;
}

std::vector<token_key> key_ring::keys() const
{
    auto result = m_published;
    for (const auto& it : m_retired) {
        result.push_back(it.key);
    }
    return result;
}

} // namespace daisydoor::wire
