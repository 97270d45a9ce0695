#include "daisydoor/runtime/detail/socket_address.hpp"
#include "daisydoor/wire/datagram.hpp"

#include <array>
#include <cerrno>
#include <cstdio>
#include <exception>
#include <poll.h>
#include <string>
#include <sys/socket.h>

/// @brief UDP relay without any checks, the baseline of scripts/measure_rate.sh: `udp_relay single|batch LISTEN
/// TARGET`.
///
/// `single` uses recvfrom and sendto; `batch` uses recvmmsg and sendmmsg in the entry's batch size.
namespace daisydoor::bench
{
namespace
{

/// Same as in the daemon's UDP task.
constexpr int socket_buffer_bytes = 4 * 1024 * 1024;
constexpr std::size_t batch_size = 64;

using receive_buffer = std::array<char, wire::max_datagram_size>;

void relay_single(int fd, const runtime::detail::socket_address& target)
{
    receive_buffer buf;
    sockaddr_storage source{};
    for (;;) {
        socklen_t source_size = sizeof source;
        const auto n = recvfrom(fd, buf.data(), buf.size(), 0, reinterpret_cast<sockaddr*>(&source), &source_size);
        if (n < 0) {
            return;
        }
        sendto(fd, buf.data(), static_cast<std::size_t>(n), 0, target.get(), target.size);
    }
}

void relay_batch(int fd, const runtime::detail::socket_address& target)
{
    static std::array<receive_buffer, batch_size> buffers;
    auto destination = target;
    std::array<iovec, batch_size> parts{};
    std::array<mmsghdr, batch_size> headers{};
    for (;;) {
        for (std::size_t i = 0; i < batch_size; ++i) {
            parts[i] = {buffers[i].data(), buffers[i].size()};
            headers[i].msg_hdr = {};
            headers[i].msg_hdr.msg_iov = &parts[i];
            headers[i].msg_hdr.msg_iovlen = 1;
        }
        const int n = recvmmsg(fd, headers.data(), batch_size, 0, nullptr);
        if (n < 0) {
            return;
        }
        for (std::size_t i = 0; i < static_cast<std::size_t>(n); ++i) {
            parts[i].iov_len = headers[i].msg_len;
            headers[i].msg_hdr.msg_name = &destination.storage;
            headers[i].msg_hdr.msg_namelen = destination.size;
        }
        sendmmsg(fd, headers.data(), static_cast<unsigned>(n), 0);
    }
}

void run(const std::string& mode, const std::string& listen, const std::string& target)
{
    const int fd = runtime::detail::bind_socket(core::parse_endpoint(listen), SOCK_DGRAM);
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &socket_buffer_bytes, sizeof socket_buffer_bytes);
    setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &socket_buffer_bytes, sizeof socket_buffer_bytes);
    runtime::detail::socket_address destination;
    runtime::detail::to_socket_address(core::parse_endpoint(target), destination);
    pollfd readable{fd, POLLIN, 0};
    while (poll(&readable, 1, -1) >= 0 || errno == EINTR) {
        // The socket is non-blocking: each function returns when no datagram is queued.
        if (mode == "batch") {
            relay_batch(fd, destination);
        } else {
            relay_single(fd, destination);
        }
    }
}

} // namespace
} // namespace daisydoor::bench

int main(int argc, char** argv)
{
    const std::string mode = argc == 4 ? argv[1] : "";
    if (mode != "single" && mode != "batch") {
        std::fprintf(stderr, "usage: udp_relay single|batch LISTEN TARGET\n");
        return 2;
    }
    try {
        daisydoor::bench::run(mode, argv[2], argv[3]);
    } catch (const std::exception& ex) {
        std::fprintf(stderr, "udp_relay: %s\n", ex.what());
    }
    return 1;
}
