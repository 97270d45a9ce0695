#pragma once

#include "daisydoor/core/ids.hpp"
#include "daisydoor/wire/generated/data_generated.h"

#include <array>
#include <cstdint>
#include <memory>
#include <vector>

namespace daisydoor::wire
{

using token_secret = std::array<std::uint8_t, 16>;

/// @brief Key of flow tokens, from the published configuration.
struct token_key
{
    core::key_id id{};
    token_secret secret{};
    /// Whether new tokens are signed with this key; the other keys only verify.
    bool signing = false;
};

/// @brief Fields of a flow token that the agent sets; token_signer::sign() adds the key id and the MAC.
struct token_fields
{
    core::service_id service{};
    core::host_id host{};
    core::incarnation_id incarnation{};
    core::flow_id flow{};
    /// Seconds since the issuing agent started.
    std::uint32_t issued_s = 0;
};

enum class token_status
{
    valid,
    unknown_key,
    bad_mac,
};

/// @brief Signs and verifies flow tokens with AES-128 CMAC truncated to 8 bytes.
///
/// Creates one MAC context for each key in advance, so that verification allocates nothing. Not thread-safe.
class token_signer
{
  public:
    /// @throws wire_error with errc::no_signing_key unless exactly one key has `signing` set, or with errc::mac_failed
    /// if OpenSSL fails.
    explicit token_signer(const std::vector<token_key>& keys);
    ~token_signer();
    token_signer(token_signer&&) noexcept;
    token_signer& operator=(token_signer&&) noexcept;
    token_signer(const token_signer&) = delete;
    token_signer& operator=(const token_signer&) = delete;

    /// @brief Creates a token that is signed with the signing key.
    /// @throws wire_error with errc::mac_failed if OpenSSL fails.
    [[nodiscard]] flow_token sign(const token_fields& fields);

    /// @brief Verifies that the key is known and the MAC is valid; checks no other field.
    /// Complexity: constant; no allocation.
    [[nodiscard]] token_status verify(const flow_token& token) noexcept;

    [[nodiscard]] core::key_id signing_key() const noexcept;

  private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace daisydoor::wire
