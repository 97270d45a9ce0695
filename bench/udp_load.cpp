#include "daisydoor/config/published.hpp"
#include "daisydoor/runtime/detail/socket_address.hpp"
#include "entry_load.hpp"

#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstring>
#include <exception>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

/// @brief Load generator of scripts/measure_rate.sh.
///
/// `udp_load prepare FOLDER PREFIX` writes the published values and the entry's settings for addresses PREFIX.N.
/// `udp_load run FOLDER FORWARDER SECONDS` sends datagrams of established flows to a forwarder and counts what arrives
/// at the agent address. It prints: sent, received, datagrams a second, lost at the agent address, bytes a datagram.
namespace daisydoor::bench
{
namespace
{

using clock = std::chrono::steady_clock;

constexpr int socket_buffer_bytes = 4 * 1024 * 1024;
constexpr std::size_t batch_size = 64;
/// Number of different datagrams, each of a flow of its own; a multiple of the batch size.
constexpr std::size_t flow_count = 1024;
constexpr std::size_t payload_size = 64;
constexpr std::uint32_t load_host = 11;
constexpr double max_seconds = 10;
/// The forwarder's queue counts as empty if nothing arrives for this time.
constexpr std::chrono::milliseconds quiet_time{200};
constexpr std::chrono::seconds start_limit{10};

std::string read_file(const std::filesystem::path& path)
{
    std::ifstream in(path, std::ios::binary);
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

void write_file(const std::filesystem::path& path, const std::string& content)
{
    std::filesystem::create_directories(path.parent_path());
    if (!(std::ofstream(path, std::ios::binary) << content)) {
        throw std::runtime_error("cannot write " + path.string());
    }
}

void prepare(const std::filesystem::path& folder, const std::string& prefix)
{
    const std::string part = "services:\n  - id: 1\n    name: load\n    address: " + prefix +
                             ".7:9001\n    preset: ordinary\n    hosts:\n      - {id: " + std::to_string(load_host) +
                             ", name: load-1, zone: zone-a, agent: " + prefix + ".5:7100, slots: 5}\n";
    std::array<char, 17> digest{};
    std::snprintf(digest.data(), digest.size(), "%016llx",
                  static_cast<unsigned long long>(config::content_digest(part)));
    const auto values = folder / "values";
    write_file(values / "services" / "0", part);
    write_file(values / "index", "version: 1\nzones:\n  - {name: zone-a, entry_share: 1}\nkeys:\n"
                                 "  - {id: 1, secret: 000102030405060708090a0b0c0d0e0f, signing: true}\n"
                                 "parts:\n  - {key: services/0, digest: " +
                                     std::string(digest.data()) + "}\n");
    write_file(values / "fleet", "version: 1\ninstances:\n  - {role: entry, zone: zone-a, address: " + prefix +
                                     ".3:7000, state: live}\n  - {role: agent, host: " + std::to_string(load_host) +
                                     ", zone: zone-a, address: " + prefix + ".5:7100, state: live}\n");
    write_file(folder / "entry.yaml", "role: entry\nzone: zone-a\nlisten: " + prefix + ".3:7000\nadmin: " + prefix +
                                          ".3:7001\nreturn_path: " + prefix + ".6:6000\nplatform: " + prefix +
                                          ".2:5000\nbootstrap_peers: []\n");
}

config::snapshot read_configuration(const std::filesystem::path& folder)
{
    const auto index = config::parse_index(read_file(folder / "values" / "index"));
    const auto& key = index.parts.at(0).key;
    const auto part = config::parse_part(key, read_file(folder / "values" / key), index.zones);
    return config::make_snapshot(index, {std::make_shared<const config::published_part>(part)});
}

std::vector<wire::buffer> make_requests(const config::snapshot& configuration)
{
    const auto& service = configuration.services.at(0);
    wire::token_signer signer(configuration.keys);
    std::vector<wire::buffer> result;
    for (std::size_t i = 0; i < flow_count; ++i) {
        const auto token =
            signer.sign({service.id, service.hosts.at(0).id, core::incarnation_id{1}, core::flow_id{i + 1}, 1});
        wire::envelope env;
        env.mutable_service_address() = wire::to_wire(service.address);
        wire::requestT body;
        body.number = 1;
        body.path = "/load";
        body.payload.assign(payload_size, 0);
        result.push_back(wire::encode_datagram(env, {wire::packet_magic, wire::packet_class::established, 0, 0, token},
                                               wire::make_packet(std::move(body))));
    }
    return result;
}

/// @brief Counts the datagrams that arrive at the agent address, in a thread of its own.
class arrival_counter
{
  public:
    explicit arrival_counter(const core::endpoint& address) : m_fd(runtime::detail::bind_socket(address, SOCK_DGRAM))
    {
        const int on = 1;
        setsockopt(m_fd, SOL_SOCKET, SO_RCVBUF, &socket_buffer_bytes, sizeof socket_buffer_bytes);
        setsockopt(m_fd, SOL_SOCKET, SO_RXQ_OVFL, &on, sizeof on);
        m_thread = std::thread([this] { count(); });
    }
    ~arrival_counter()
    {
        m_stop = true;
        m_thread.join();
        close(m_fd);
    }
    arrival_counter(const arrival_counter&) = delete;
    arrival_counter& operator=(const arrival_counter&) = delete;

    [[nodiscard]] std::uint64_t received() const { return m_received; }
    [[nodiscard]] std::uint32_t lost() const { return m_lost; }
    [[nodiscard]] clock::time_point last_arrival() const { return clock::time_point(clock::duration(m_last)); }

  private:
    void count()
    {
        static std::array<std::array<char, wire::max_datagram_size>, batch_size> buffers;
        std::array<std::array<char, 64>, batch_size> controls{};
        std::array<iovec, batch_size> parts{};
        std::array<mmsghdr, batch_size> headers{};
        while (!m_stop) {
            for (std::size_t i = 0; i < batch_size; ++i) {
                parts[i] = {buffers[i].data(), buffers[i].size()};
                headers[i].msg_hdr = {};
                headers[i].msg_hdr.msg_iov = &parts[i];
                headers[i].msg_hdr.msg_iovlen = 1;
                headers[i].msg_hdr.msg_control = controls[i].data();
                headers[i].msg_hdr.msg_controllen = controls[i].size();
            }
            const int n = recvmmsg(m_fd, headers.data(), batch_size, MSG_DONTWAIT, nullptr);
            if (n <= 0) {
                std::this_thread::sleep_for(std::chrono::microseconds(20));
                continue;
            }
            m_last = clock::now().time_since_epoch().count();
            m_received += static_cast<std::uint64_t>(n);
            read_lost(headers[static_cast<std::size_t>(n) - 1].msg_hdr);
        }
    }

    void read_lost(msghdr& header)
    {
        for (cmsghdr* it = CMSG_FIRSTHDR(&header); it != nullptr; it = CMSG_NXTHDR(&header, it)) {
            if (it->cmsg_level == SOL_SOCKET && it->cmsg_type == SO_RXQ_OVFL) {
                std::uint32_t value = 0;
                std::memcpy(&value, CMSG_DATA(it), sizeof value);
                m_lost = value;
            }
        }
    }

    int m_fd;
    std::atomic<bool> m_stop{false};
    std::atomic<std::uint64_t> m_received{0};
    std::atomic<std::uint32_t> m_lost{0};
    std::atomic<clock::rep> m_last{0};
    std::thread m_thread;
};

int connect_to(const core::endpoint& forwarder)
{
    runtime::detail::socket_address address;
    runtime::detail::to_socket_address(forwarder, address);
    const int fd = socket(address.storage.ss_family, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    if (fd < 0 || connect(fd, address.get(), address.size) != 0) {
        throw std::runtime_error("cannot connect to " + core::to_string(forwarder));
    }
    return fd;
}

/// @brief Sends one datagram every 50 ms until one arrives, since an entry drops datagrams until it has a
/// configuration.
/// @throws std::runtime_error if none arrives within `start_limit`
void wait_until_forwarding(int fd, const wire::buffer& datagram, const arrival_counter& counter)
{
    const auto end = clock::now() + start_limit;
    while (counter.received() == 0) {
        if (clock::now() > end) {
            throw std::runtime_error("the forwarder forwarded no datagram within 10 s");
        }
        send(fd, datagram.data(), datagram.size(), 0);
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    std::this_thread::sleep_for(quiet_time);
}

std::uint64_t send_until(int fd, std::vector<wire::buffer>& datagrams, clock::time_point end)
{
    std::vector<iovec> parts(datagrams.size());
    std::vector<mmsghdr> headers(datagrams.size());
    for (std::size_t i = 0; i < datagrams.size(); ++i) {
        parts[i] = {datagrams[i].data(), datagrams[i].size()};
        headers[i].msg_hdr.msg_iov = &parts[i];
        headers[i].msg_hdr.msg_iovlen = 1;
    }
    std::uint64_t sent = 0;
    for (std::size_t next = 0; clock::now() < end; next = (next + batch_size) % datagrams.size()) {
        const int n = sendmmsg(fd, headers.data() + next, batch_size, 0);
        sent += n > 0 ? static_cast<std::uint64_t>(n) : 0;
    }
    return sent;
}

void run(const std::filesystem::path& folder, const std::string& forwarder, double seconds)
{
    if (!(seconds > 0 && seconds <= max_seconds)) {
        throw std::runtime_error("SECONDS must be above 0 and at most 10");
    }
    const auto configuration = read_configuration(folder);
    auto datagrams = make_requests(configuration);
    const arrival_counter counter(configuration.services.at(0).hosts.at(0).agent);
    const int fd = connect_to(core::parse_endpoint(forwarder));
    wait_until_forwarding(fd, datagrams.at(0), counter);
    const auto before = counter.received();
    const auto start = clock::now();
    const auto sent = send_until(
        fd, datagrams, start + std::chrono::duration_cast<clock::duration>(std::chrono::duration<double>(seconds)));
    while (clock::now() - counter.last_arrival() < quiet_time) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    close(fd);
    const auto received = counter.received() - before;
    const std::chrono::duration<double> elapsed = counter.last_arrival() - start;
    std::printf("%llu %llu %.0f %u %zu\n", static_cast<unsigned long long>(sent),
                static_cast<unsigned long long>(received), static_cast<double>(received) / elapsed.count(),
                counter.lost(), datagrams.at(0).size());
}

} // namespace
} // namespace daisydoor::bench

int main(int argc, char** argv)
{
    const std::string mode = argc > 1 ? argv[1] : "";
    try {
        if (mode == "prepare" && argc == 4) {
            daisydoor::bench::prepare(argv[2], argv[3]);
            return 0;
        }
        if (mode == "run" && argc == 5) {
            daisydoor::bench::run(argv[2], argv[3], std::stod(argv[4]));
            return 0;
        }
    } catch (const std::exception& ex) {
        std::fprintf(stderr, "udp_load: %s\n", ex.what());
        return 1;
    }
    std::fprintf(stderr, "usage: udp_load prepare FOLDER PREFIX | run FOLDER FORWARDER SECONDS\n");
    return 2;
}
