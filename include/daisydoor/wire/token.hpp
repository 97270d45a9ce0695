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

struct token_key
{
    core::key_id id{};
    token_secret secret{};
    bool signing = false;
};

/// @brief Fields of a flow token before it is sealed.
struct token_fields
{
    core::service_id service{};
    core::host_id host{};
    core::incarnation_id incarnation{};
    core::flow_id flow{};
    std::uint32_t issued_s = 0;
};

enum class token_status
{
    valid,
    unknown_key,
    bad_mac,
};

/// @brief Seals and verifies flow tokens with AES-128 CMAC truncated to 8 bytes.
///
/// Holds one prepared MAC context for each key, so that verification allocates nothing. Not thread-safe.
class token_signer
{
  public:
    /// @throws wire_error with errc::no_signing_key unless exactly one key signs, or if OpenSSL fails.
    explicit token_signer(const std::vector<token_key>& keys);
    ~token_signer();
    token_signer(token_signer&&) noexcept;
    token_signer& operator=(token_signer&&) noexcept;
    token_signer(const token_signer&) = delete;
    token_signer& operator=(const token_signer&) = delete;

    /// @brief Issues a token under the signing key.
    [[nodiscard]] flow_token sign(const token_fields& fields);

    /// @brief Verifies key and MAC. Complexity: constant; no allocation.
    [[nodiscard]] token_status verify(const flow_token& token) noexcept;

    [[nodiscard]] core::key_id signing_key() const noexcept;

  private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace daisydoor::wire
