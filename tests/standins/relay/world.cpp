#include "standins/relay/world.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

namespace daisydoor::standins::relay
{

namespace
{

using nlohmann::json;

// Last octets of the addresses of each kind of machine.
constexpr int first_entry = 10;
constexpr int first_host = 50;
constexpr int first_client = 150;
constexpr int store_octet = 250;
// Offsets of the ports; TCP and UDP port numbers are separate.
constexpr int packets_port = 0;
constexpr int admin_port = 1;
constexpr int outbound_port = 1;
constexpr int peer_port = 2;
constexpr int app_port = 3;
constexpr int link_port = 3;
/// Offset from the host's port to the one that another program beside it publishes.
constexpr int other_program_port_offset = 40;

constexpr std::uint32_t service_ip = 0xc6120001;
constexpr std::uint16_t service_port = 443;
constexpr std::uint16_t second_port = 444;
constexpr const char* service_name = "svc";
constexpr const char* configuration_key = "op/config";
/// Time after which the operator and the hosts write again what a restored store has lost.
constexpr core::milliseconds rewrite_delay{500};
/// Time after which the store removes the entry of a host that does not write: three heartbeats of 1.2 s.
constexpr core::milliseconds entry_lapse_time{3600};
/// Time after the last fault in which a change must be in force (ContactMs and ConfigApplyMs).
constexpr core::milliseconds apply_limit{7000};
constexpr core::milliseconds apply_check_interval{200};
constexpr const char* hosts_prefix = "servers/";
constexpr const char* evacuation_prefix = "op/evacuate/";
constexpr std::array<const char*, 2> zones{"a", "b"};
/// Time after which an evacuated availability zone gets no flow any more (EvacuateMs).
constexpr core::milliseconds evacuation_limit{5000};
/// Time for which clients open flows in that state.
constexpr core::milliseconds evacuation_check_time{1000};
constexpr core::milliseconds step{20};
/// Time after a fault in which the system may reset open flows (ContactMs).
constexpr core::milliseconds allowed_reset_time{4000};
constexpr core::milliseconds restart_interval{200};
constexpr core::milliseconds start_limit{15'000};
/// Time after the faults in which most requests must be answered again (RecoveryS).
constexpr core::milliseconds recovery_limit{12'000};
constexpr core::milliseconds recovery_check_interval{2000};
/// Event of a process that should read the platform and has stopped.
constexpr const char* read_stalled_event = " [1206] ";

const char* zone_of(int last_octet) { return zones.at(static_cast<std::size_t>(last_octet) % zones.size()); }

} // namespace

world::world(const world_options& options) : m_options(options), m_router(m_loop)
{
    std::filesystem::create_directories(m_options.folder);
    m_store = std::make_unique<store>(m_loop, address(store_octet, admin_port));
    for (int i = 0; i < m_options.entries + m_options.hosts; ++i) {
        machine value;
        value.is_entry = i < m_options.entries;
        value.last_octet = value.is_entry ? first_entry + i : first_host + i - m_options.entries;
        value.name = (value.is_entry ? "entry-" : "agent-") + std::to_string(value.last_octet);
        value.link =
            std::make_unique<proxy>(m_loop, address(value.last_octet, link_port), address(store_octet, admin_port));
        m_machines.push_back(std::move(value));
    }
    m_hosts.resize(static_cast<std::size_t>(m_options.hosts));
    m_incarnations.resize(m_hosts.size());
    m_draining.resize(m_hosts.size());
    m_sequences.resize(m_hosts.size());
    publish(true);
    for (int i = 0; i < m_options.hosts; ++i) {
        start_host(i);
    }
}

world::~world() = default;

core::endpoint world::address(int last_octet, int offset) const
{
    return core::parse_endpoint(m_range.address(last_octet, offset));
}

void world::write_settings(const machine& value, bool first_start) const
{
    const auto at = [&value, this](int offset) { return '"' + m_range.address(value.last_octet, offset) + '"'; };
    const int peer = address(value.last_octet, peer_port).port;
    std::ofstream out(m_options.folder + '/' + value.name + ".yaml");
    out << "role: " << (value.is_entry ? "relay_entry" : "relay_agent") << "\nname: " << value.name
        << "\nzone: " << zone_of(value.last_octet) << "\npackets: " << at(packets_port) << "\nadmin: " << at(admin_port)
        << "\npeer_port: " << peer << "\nplatform: " << at(link_port) << "\nseeds: [\""
        << m_range.address(first_entry, admin_port) << "\"]\nfirst_start: " << (first_start ? "true" : "false")
        << "\ngrace_s: 3\n";
    if (!value.is_entry) {
        out << "agent:\n  service: " << service_name << "\n  host: " << at(app_port)
            << "\n  outbound: " << at(outbound_port) << '\n';
    }
}

void world::start_process(machine& value)
{
    value.process = support::child_process(
        {m_options.binaries + "/apps/daisydoor", "--config", m_options.folder + '/' + value.name + ".yaml"},
        m_options.folder + '/' + value.name + ".log");
    value.paused = false;
    value.is_terminating = false;
}

void world::start_host(int index)
{
    const auto i = static_cast<std::size_t>(index);
    const int octet = first_host + index;
    host_options options;
    options.id = "i-" + std::to_string(octet) + '-' + std::to_string(++m_incarnations[i]);
    options.service = service_name;
    options.app = address(octet, app_port);
    options.outbound = address(octet, outbound_port);
    m_hosts[i] = std::make_unique<host>(m_loop, options, m_record);
    m_draining[i] = false;
    m_sequences[i] = 0;
    publish_host(index, "ready");
}

void world::publish_host(int index, const char* state)
{
    const auto i = static_cast<std::size_t>(index);
    const auto& options = m_hosts[i]->options();
    const json value{{"Service", options.service},
                     {"Address", core::to_string(options.app)},
                     {"Zone", zone_of(first_host + index)},
                     {"Version", "v1"},
                     {"Concurrency", options.slots},
                     {"State", state},
                     {"ColdRemainingMs", 0},
                     {"Sequence", ++m_sequences[i]},
                     {"born", 1'700'000'000'000 + m_incarnations[i]}};
    const auto key = hosts_prefix + options.id;
    m_published[key] = value.dump();
    m_store->put(key, m_published[key]);
}

void world::write_entries_beside_hosts()
{
    for (int i = 0; i < m_options.hosts; ++i) {
        const auto index = static_cast<std::size_t>(i);
        auto program = m_hosts[index]->options().app;
        program.port = static_cast<std::uint16_t>(program.port + other_program_port_offset);
        const json value{{"Service", "other-product"},
                         {"Address", core::to_string(program)},
                         {"Zone", zone_of(first_host + i)},
                         {"Version", "v7"},
                         {"Concurrency", 5},
                         {"State", "draining"},
                         {"ColdRemainingMs", 0},
                         {"Sequence", 1},
                         {"born", 1'800'000'000'000}};
        m_store->put(std::string(hosts_prefix) + "other-" + m_hosts[index]->options().id, value.dump());
    }
}

void world::publish(bool with_second_route)
{
    json routes = json::array();
    const auto add = [&routes](std::uint16_t port) {
        routes.push_back({{"Name", "r" + std::to_string(port)},
                          {"Host", "198.18.0.1"},
                          {"Prefix", '/' + std::to_string(port) + '/'},
                          {"Type", "idempotent"},
                          {"TimeoutMs", 3000},
                          {"TargetLatencyMs", 200},
                          {"Priority", 1},
                          {"Service", service_name}});
    };
    add(service_port);
    if (with_second_route) {
        add(second_port);
    }
    m_version += 3;
    m_published[configuration_key] = json{
        {"Version", m_version},
        {"Routes", routes},
        {"Services", {{{"Name", service_name}, {"HealthCheckPath", "/health"}, {"MaxConnections", 2000}}}},
        {"Limits",
         {{"IdleTimeoutMs", 15000}}}}.dump();
    m_store->put(configuration_key, m_published[configuration_key]);
}

void world::set_evacuated(const std::string& zone, bool evacuated)
{
    if (evacuated) {
        m_evacuated_zones.insert(zone);
        m_store->put(evacuation_prefix + zone, "{}");
    } else {
        m_evacuated_zones.erase(zone);
        m_store->remove(evacuation_prefix + zone);
    }
}

std::size_t world::accepted_flows(const std::string& zone) const
{
    std::size_t result = 0;
    for (int i = 0; i < m_options.hosts; ++i) {
        if (zone == zone_of(first_host + i)) {
            result += m_hosts[static_cast<std::size_t>(i)]->accepted_flows();
        }
    }
    return result;
}

void world::check_evacuation()
{
    const std::string zone = zones.front();
    set_evacuated(zone, true);
    run(evacuation_limit);
    const auto before = accepted_flows(zone);
    const auto answered = m_record.answered;
    run(evacuation_check_time);
    if (accepted_flows(zone) != before) {
        m_record.add_violation("hosts of an evacuated zone accepted " + std::to_string(accepted_flows(zone) - before) +
                               " flows 5 s after its evacuation");
    }
    if (m_record.answered == answered) {
        m_record.add_violation("no request is answered while one of two zones is evacuated");
    }
    set_evacuated(zone, false);
}

void world::publish_again()
{
    for (const std::string zone : zones) {
        const bool evacuated = m_evacuated_zones.count(zone) != 0;
        if (evacuated != !m_store->value(evacuation_prefix + zone).empty()) {
            set_evacuated(zone, evacuated);
        }
    }
    if (const auto& newest = m_published.at(configuration_key); m_store->value(configuration_key) != newest) {
        m_store->put(configuration_key, newest);
    }
    for (int i = 0; i < m_options.hosts; ++i) {
        const auto index = static_cast<std::size_t>(i);
        const auto key = hosts_prefix + m_hosts[index]->options().id;
        if (m_store->value(key) != m_published.at(key)) {
            publish_host(i, m_draining[index] ? "draining" : "ready");
        }
    }
}

void world::restore_store()
{
    record_fault_time();
    m_store->restore();
    m_loop.after(rewrite_delay, [this] { publish_again(); });
    m_loop.after(entry_lapse_time, [this] { remove_lapsed_entries(); });
}

void world::remove_lapsed_entries()
{
    for (const auto& key : m_store->keys(hosts_prefix)) {
        const bool is_live = std::any_of(m_hosts.begin(), m_hosts.end(),
                                         [&key](const auto& it) { return hosts_prefix + it->options().id == key; });
        if (!is_live) {
            m_store->remove(key);
        }
    }
}

bool world::has_newest_routes(const machine& value) const
{
    std::ifstream in(m_options.folder + '/' + value.name + ".log");
    std::string newest;
    for (std::string line; std::getline(in, line);) {
        newest = line.find("[1105]") != std::string::npos ? line : newest;
    }
    return newest.find("version=" + std::to_string(m_version) + ' ') != std::string::npos;
}

void world::await_newest_routes()
{
    const auto is_behind = [this](const machine& it) { return !has_newest_routes(it); };
    for (core::milliseconds used{0}; used < apply_limit; used += apply_check_interval) {
        if (std::none_of(m_machines.begin(), m_machines.end(), is_behind)) {
            return;
        }
        run(apply_check_interval);
    }
    for (const auto& it : m_machines) {
        if (is_behind(it)) {
            m_record.add_violation(it.name + " does not have version " + std::to_string(m_version) +
                                   " of the routes 7 s after the faults");
        }
    }
}

bool world::has_logged(const machine& value, const std::string& text) const
{
    std::ifstream in(m_options.folder + '/' + value.name + ".log");
    const std::string log{std::istreambuf_iterator<char>(in), {}};
    return log.find(text) != std::string::npos;
}

bool world::start()
{
    for (auto& it : m_machines) {
        write_settings(it, true);
        start_process(it);
        write_settings(it, false);
        if (it.is_entry) {
            m_router.add(address(it.last_octet, packets_port), address(it.last_octet, admin_port));
        }
    }
    m_router.start();
    for (core::milliseconds used{0}; used < start_limit && m_router.ready_count() < 1; used += step) {
        run(step);
    }
    add_clients();
    for (core::milliseconds used{0}; used < start_limit && m_record.answered < 20; used += step) {
        run(step);
    }
    return m_record.answered >= 20;
}

void world::add_clients()
{
    for (int i = 0; i < m_options.users; ++i) {
        client_options options;
        options.address = address(first_client + i, packets_port);
        options.service = {service_ip, service_port};
        options.service_name = service_name;
        options.long_flow = i % 2 == 0;
        m_clients.push_back(std::make_unique<client>(m_loop, options, m_router, m_record,
                                                     m_options.seed * 1000 + static_cast<std::uint64_t>(i),
                                                     [this](const flow_id& id) { return is_reset_allowed(id); }));
        m_clients.back()->start();
    }
}

void world::run(core::milliseconds time)
{
    m_loop.after(time, [this] { m_loop.stop(); });
    m_loop.run();
}

bool world::is_reset_allowed(const flow_id& id) const
{
    if (core::clock::now() - m_last_fault < allowed_reset_time) {
        return true;
    }
    for (const auto& it : m_hosts) {
        if (it->has_open_flow(id)) {
            return false;
        }
    }
    return true;
}

void world::record_fault_time() { m_last_fault = core::clock::now(); }

void world::kill(int machine)
{
    record_fault_time();
    m_machines.at(static_cast<std::size_t>(machine)).process.kill();
}

void world::terminate(int machine)
{
    auto& it = m_machines.at(static_cast<std::size_t>(machine));
    if (it.process.is_running()) {
        it.process.send_signal(SIGTERM);
        it.is_terminating = true;
    }
}

void world::pause(int machine)
{
    record_fault_time();
    auto& it = m_machines.at(static_cast<std::size_t>(machine));
    if (it.process.is_running()) {
        it.process.send_signal(SIGSTOP);
        it.paused = true;
    }
}

void world::resume(int machine)
{
    record_fault_time();
    auto& it = m_machines.at(static_cast<std::size_t>(machine));
    if (it.paused) {
        it.process.send_signal(SIGCONT);
        it.paused = false;
    }
}

void world::restart(int machine)
{
    auto& it = m_machines.at(static_cast<std::size_t>(machine));
    if (!it.process.is_running()) {
        start_process(it);
    } else if (it.is_terminating) {
        // The process still serves its flows; it is started again when it has exited.
        m_loop.after(restart_interval, [this, machine] { restart(machine); });
    }
}

void world::set_link(int machine, proxy_mode mode)
{
    record_fault_time();
    m_machines.at(static_cast<std::size_t>(machine)).link->set_mode(mode);
}

void world::set_store(store_mode mode)
{
    record_fault_time();
    m_store->set_mode(mode);
}

void world::crash_host(int index)
{
    record_fault_time();
    const auto i = static_cast<std::size_t>(index);
    m_store->remove(hosts_prefix + m_hosts[i]->options().id);
    m_hosts[i].reset();
    start_host(index);
}

void world::drain_host(int index)
{
    m_draining[static_cast<std::size_t>(index)] = true;
    publish_host(index, "draining");
}

void world::recover()
{
    set_store(store_mode::normal);
    for (const std::string zone : zones) {
        set_evacuated(zone, false);
    }
    for (int i = 0; i < machines(); ++i) {
        set_link(i, proxy_mode::pass);
        resume(i);
        restart(i);
    }
    for (int i = 0; i < m_options.hosts; ++i) {
        if (m_draining[static_cast<std::size_t>(i)]) {
            crash_host(i);
        }
    }
    for (core::milliseconds used{0}; used < recovery_limit; used += recovery_check_interval) {
        const auto answered = m_record.answered;
        const auto failed = m_record.failed;
        run(recovery_check_interval);
        const auto more = m_record.answered - answered;
        if (more > 0 && (m_record.failed - failed) * 4 <= more) {
            return;
        }
    }
    m_record.add_violation("more than a fifth of the requests still fail 12 s after the faults");
}

std::vector<std::string> world::finish()
{
    await_newest_routes();
    check_evacuation();
    for (const auto& it : m_clients) {
        it->stop();
    }
    run(core::milliseconds(500));
    for (auto& it : m_machines) {
        const bool was_running = it.process.is_running();
        if (!was_running) {
            m_record.add_violation(it.name + " exited unexpectedly");
        }
        if (has_logged(it, read_stalled_event)) {
            m_record.add_violation(it.name + " stopped reading the platform");
        }
        it.process.kill();
    }
    return m_record.violations;
}

} // namespace daisydoor::standins::relay
