// OpenSSL 3 deprecates the CMAC_ functions in favour of EVP_MAC, which looks up parameters by name in each call and so
// costs about twice as many instructions for a token.
#define OPENSSL_SUPPRESS_DEPRECATED

#include "daisydoor/wire/token.hpp"

#include "daisydoor/wire/error.hpp"

#include <algorithm>
#include <array>
#include <cstring>
#include <openssl/cmac.h>
#include <openssl/evp.h>

namespace daisydoor::wire
{

namespace
{

/// The MAC covers all fields before it.
constexpr std::size_t mac_input_size = sizeof(flow_token) - sizeof(std::uint64_t);
static_assert(mac_input_size == 32);
constexpr std::size_t cmac_size = 16;

struct mac_deleter
{
    void operator()(CMAC_CTX* context) const noexcept { CMAC_CTX_free(context); }
};

using mac_context = std::unique_ptr<CMAC_CTX, mac_deleter>;

struct prepared_key
{
    token_key key;
    mac_context context;
};

mac_context create_mac_context(const token_secret& secret)
{
    mac_context context(CMAC_CTX_new());
    if (!context || CMAC_Init(context.get(), secret.data(), secret.size(), EVP_aes_128_cbc(), nullptr) != 1) {
        throw wire_error(errc::mac_failed, "OpenSSL does not support AES-128 CMAC");
    }
    return context;
}

/// Computes the truncated MAC of a token; returns false if OpenSSL fails.
bool compute_mac(CMAC_CTX* context, const flow_token& token, std::uint64_t& mac) noexcept
{
    std::array<unsigned char, cmac_size> full{};
    std::size_t n = 0;
    // Without a key, CMAC_Init() resets the context and reuses its key schedule.
    if (CMAC_Init(context, nullptr, 0, nullptr, nullptr) != 1 || CMAC_Update(context, &token, mac_input_size) != 1 ||
        CMAC_Final(context, full.data(), &n) != 1) {
        return false;
    }
    std::memcpy(&mac, full.data(), sizeof mac);
    return true;
}

} // namespace

struct token_signer::impl
{
    std::vector<prepared_key> keys;
    std::size_t signing_index = 0;
};

token_signer::token_signer(const std::vector<token_key>& keys) : m_impl(std::make_unique<impl>())
{
    const auto signs = [](const token_key& key) { return key.signing; };
    if (std::count_if(keys.begin(), keys.end(), signs) != 1) {
        throw wire_error(errc::no_signing_key, "the token keys must include exactly one signing key");
    }
    m_impl->signing_index = static_cast<std::size_t>(std::find_if(keys.begin(), keys.end(), signs) - keys.begin());
    for (const auto& key : keys) {
        m_impl->keys.push_back({key, create_mac_context(key.secret)});
    }
}

token_signer::~token_signer() = default;
token_signer::token_signer(token_signer&&) noexcept = default;
token_signer& token_signer::operator=(token_signer&&) noexcept = default;

flow_token token_signer::sign(const token_fields& fields)
{
    const auto& key = m_impl->keys[m_impl->signing_index];
    flow_token token(core::raw(fields.service), core::raw(fields.host), core::raw(fields.incarnation),
                     core::raw(fields.flow), core::raw(key.key.id), fields.issued_s, 0);
    std::uint64_t mac = 0;
    if (!compute_mac(key.context.get(), token, mac)) {
        throw wire_error(errc::mac_failed, "OpenSSL failed to compute a CMAC");
    }
    token.mutate_mac(mac);
    return token;
}

token_status token_signer::verify(const flow_token& token) noexcept
{
    const auto it = std::find_if(m_impl->keys.begin(), m_impl->keys.end(), [&token](const prepared_key& candidate) {
        return core::raw(candidate.key.id) == token.key();
    });
    if (it == m_impl->keys.end()) {
        return token_status::unknown_key;
    }
    std::uint64_t mac = 0;
    // A single 64-bit comparison takes the same time wherever the values differ, so its timing does not reveal the MAC.
    if (!compute_mac(it->context.get(), token, mac) || mac != token.mac()) {
        return token_status::bad_mac;
    }
    return token_status::valid;
}

core::key_id token_signer::signing_key() const noexcept { return m_impl->keys[m_impl->signing_index].key.id; }

} // namespace daisydoor::wire
