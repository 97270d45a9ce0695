#pragma once

#include "daisydoor/core/time.hpp"
#include "daisydoor/wire/token.hpp"

#include <vector>

namespace daisydoor::wire
{

/// Time for which a key that is no longer published still verifies tokens. Agents renew tokens with the keepalive that
/// follows a new signing key; the time allows for two lost keepalives.
constexpr core::milliseconds key_retention{30000};
/// Bounds the memory when keys are replaced in quick succession; the oldest retired key is dropped first.
constexpr std::size_t max_retired_keys = 4;

/// @brief Published token keys, and retired ones, which were published until at most key_retention ago.
///
/// Without the retired keys, a configuration that replaces a key in one step would break every flow whose token has not
/// been renewed yet.
class key_ring
{
  public:
    /// @brief Replaces the published keys; keys that are no longer among them are retired and verify for key_retention.
    /// Complexity: linear in the number of keys.
    void update(core::time_point now, const std::vector<token_key>& published);

    /// @brief Drops retired keys whose retention has ended.
    /// @return whether keys() has changed
    bool expire(core::time_point now);

    /// @brief Returns all keys that verify; only the published signing key has `signing` set.
    [[nodiscard]] std::vector<token_key> keys() const;

  private:
    struct retired_key
    {
        token_key key;
        core::time_point expires_at;
    };

    std::vector<token_key> m_published;
    std::vector<retired_key> m_retired;
};

} // namespace daisydoor::wire
