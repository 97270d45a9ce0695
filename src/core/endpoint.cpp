#include "daisydoor/core/endpoint.hpp"

#include "daisydoor/core/error.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <cstring>

namespace daisydoor::core
{

namespace
{

constexpr std::array<std::uint8_t, 12> ipv4_mapped_prefix{0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff};

[[noreturn]] void throw_bad_endpoint(std::string_view text)
{
    throw core_error(errc::bad_endpoint, "'" + std::string(text) +
                                             "' is not an endpoint; expected A.B.C.D:PORT or [IPV6]:PORT, "
                                             "port 1 to 65535");
}

std::uint16_t parse_port(std::string_view text, std::string_view whole)
{
    std::uint16_t port = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), port);
    if (ec != std::errc{} || end != text.data() + text.size() || port == 0) {
        throw_bad_endpoint(whole);
    }
    return port;
}

} // namespace

bool endpoint::is_ipv4() const noexcept
{
    return std::equal(ipv4_mapped_prefix.begin(), ipv4_mapped_prefix.end(), address.begin());
}

endpoint parse_endpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        throw_bad_endpoint(text);
    }
    endpoint result;
    result.port = parse_port(text.substr(colon + 1), text);
    std::string ip(text.substr(0, colon));
    if (ip.front() == '[' && ip.back() == ']') {
        ip = ip.substr(1, ip.size() - 2);
        if (inet_pton(AF_INET6, ip.c_str(), result.address.data()) != 1) {
            throw_bad_endpoint(text);
        }
        return result;
    }
    std::copy(ipv4_mapped_prefix.begin(), ipv4_mapped_prefix.end(), result.address.begin());
    if (inet_pton(AF_INET, ip.c_str(), result.address.data() + ipv4_mapped_prefix.size()) != 1) {
        throw_bad_endpoint(text);
    }
    return result;
}

std::string to_string(const endpoint& value)
{
    std::array<char, INET6_ADDRSTRLEN> buf{};
    if (value.is_ipv4()) {
        inet_ntop(AF_INET, value.address.data() + ipv4_mapped_prefix.size(), buf.data(), buf.size());
        return std::string(buf.data()) + ':' + std::to_string(value.port);
    }
    inet_ntop(AF_INET6, value.address.data(), buf.data(), buf.size());
    return '[' + std::string(buf.data()) + "]:" + std::to_string(value.port);
}

} // namespace daisydoor::core
