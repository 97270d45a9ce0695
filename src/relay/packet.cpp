#include "daisydoor/relay/packet.hpp"

#include <xxhash.h>

namespace daisydoor::relay
{

ipv4 ipv4_of(const core::endpoint& value) noexcept
{
    std::uint32_t result = 0;
    for (std::size_t i = value.address.size() - sizeof result; i < value.address.size(); ++i) {
        result = result << 8U | value.address[i];
    }
    return ipv4{result};
}

core::endpoint endpoint_of(ipv4 address, std::uint16_t port) noexcept
{
    core::endpoint result;
    result.port = port;
    auto raw = static_cast<std::uint32_t>(address);
    auto it = result.address.rbegin();
    for (std::size_t i = 0; i < sizeof raw; ++i, ++it) {
        *it = static_cast<std::uint8_t>(raw);
        raw >>= 8U;
    }
    *it++ = 0xff;
    *it = 0xff;
    return result;
}

std::uint64_t hash_of(const flow_key& flow) noexcept { return XXH3_64bits(&flow, sizeof flow); }

} // namespace daisydoor::relay
