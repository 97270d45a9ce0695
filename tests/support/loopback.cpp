#include "support/loopback.hpp"

#include "daisydoor/core/endpoint.hpp"

#include <arpa/inet.h>
#include <array>
#include <cstdlib>
#include <netinet/in.h>
#include <random>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace daisydoor::support
{

namespace
{

constexpr int max_attempts = 200;
/// Ports of each address; all of them must be free on one address of the range.
constexpr int ports_per_address = 4;
constexpr timeval call_timeout{2, 0};

sockaddr_in to_address(const std::string& text)
{
    const auto value = core::parse_endpoint(text);
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(value.port);
    ::inet_pton(AF_INET, text.substr(0, text.rfind(':')).c_str(), &result.sin_addr);
    return result;
}

int bind_socket(const std::string& text, int type)
{
    const auto address = to_address(text);
    const int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    if (fd >= 0 && ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

bool is_free(const std::string& text)
{
    for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
        const int fd = bind_socket(text, type);
        if (fd < 0) {
            return false;
        }
        ::close(fd);
    }
    return true;
}

/// Sends the call and reads until the server closes.
std::string exchange(int fd, const std::string& call)
{
    if (::send(fd, call.data(), call.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(call.size())) {
        return "";
    }
    std::string result;
    std::array<char, 4096> buf{};
    for (;;) {
        const auto n = ::recv(fd, buf.data(), buf.size(), 0);
        if (n <= 0) {
            return n == 0 ? result : "";
        }
        result.append(buf.data(), static_cast<std::size_t>(n));
    }
}

} // namespace

loopback_range::loopback_range()
{
    std::random_device random;
    for (int i = 0; i < max_attempts; ++i) {
        m_prefix = "127." + std::to_string(16 + random() % 200) + '.' + std::to_string(1 + random() % 250) + '.';
        // Below the usual range of ephemeral ports, which starts at 32768.
        m_base_port = static_cast<std::uint16_t>(10'000 + 4 * (random() % 5000));
        bool all_free = true;
        for (int offset = 0; offset < ports_per_address; ++offset) {
            all_free = all_free && is_free(address(2, offset));
        }
        m_fd = all_free ? bind_socket(m_prefix + "1:9999", SOCK_STREAM) : -1;
        if (m_fd >= 0 && ::listen(m_fd, 1) == 0) {
            return;
        }
        ::close(m_fd);
    }
    throw std::runtime_error("no free range of loopback addresses found in 200 attempts");
}

loopback_range::~loopback_range() { ::close(m_fd); }

std::string loopback_range::address(int last, int offset) const
{
    return m_prefix + std::to_string(last) + ':' + std::to_string(m_base_port + offset);
}

std::string http_call(const std::string& method, const std::string& address, const std::string& target)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto peer = to_address(address);
    ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &call_timeout, sizeof call_timeout);
    ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &call_timeout, sizeof call_timeout);
    std::string answer;
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&peer), sizeof peer) == 0) {
        answer = exchange(fd, method + ' ' + target + " HTTP/1.1\r\nHost: " + address +
                                  "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    }
    ::close(fd);
    const auto end = answer.find("\r\n\r\n");
    if (answer.rfind("HTTP/1.1 200", 0) != 0 || end == std::string::npos) {
        return "";
    }
    return answer.substr(end + 4);
}

double json_number(const std::string& json, const std::string& name)
{
    const std::string key = '"' + name + "\": ";
    const auto at = json.find(key);
    return at == std::string::npos ? -1 : std::strtod(json.c_str() + at + key.size(), nullptr);
}

} // namespace daisydoor::support
