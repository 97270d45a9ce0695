#pragma once

#include "daisydoor/core/time.hpp"
#include "daisydoor/wire/token.hpp"

#include <vector>

namespace daisydoor::wire
{

/// Agents renew tokens with the keepalive that follows a new signing key; this leaves room for two lost keepalives.
constexpr core::milliseconds key_retention{30000};
/// Bounds the state when keys are replaced in quick succession; the oldest retired key goes first.
constexpr std::size_t max_retired_keys = 4;

/// @brief Published token keys, and for a while those that are no longer published.
///
/// A configuration that replaces a key in one step would otherwise break every flow whose token is not renewed yet.
class key_ring
{
  public:
    /// @brief Takes over the published keys; keys that are missing from them verify for key_retention from now on.
    /// Complexity: linear in the number of keys.
    void update(core::time_point now, const std::vector<token_key>& published);

    /// @brief Drops retired keys whose retention has ended.
    /// @return whether keys() has changed
    bool expire(core::time_point now);

    /// @brief All keys to verify with; exactly the published signing key signs.
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
