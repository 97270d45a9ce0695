#include "support/config_network.hpp"

namespace daisydoor::test
{

namespace
{

constexpr core::milliseconds step{20};
constexpr core::milliseconds tick{100};

std::vector<core::endpoint> endpoints(const std::vector<std::string>& texts)
{
    std::vector<core::endpoint> result;
    std::transform(texts.begin(), texts.end(), std::back_inserter(result),
                   [](const std::string& it) { return core::parse_endpoint(it); });
    return result;
}

} // namespace

void config_network::publish(const published_text& text)
{
    for (const auto& [key, content] : text.values()) {
        const auto it = m_values.find(key);
        if (it == m_values.end() || it->second.content != content) {
            publish_value(key, it == m_values.end() ? 1 : it->second.version + 1, content);
        }
    }
}

void config_network::publish_value(const std::string& key, std::uint64_t value_version, const std::string& content)
{
    m_values[key] = {value_version, content};
}

config::config_sync& config_network::add(config::sync_options options)
{
    const auto self = options.self;
    auto& node = m_nodes[self];
    node = {};
    node.sync = std::make_unique<config::config_sync>(std::move(options), core::random_source(m_random()));
    std::vector<config::sync_action> actions;
    node.sync->on_start(now, actions);
    perform(self, actions);
    return *node.sync;
}

config::config_sync& config_network::add_entry(std::uint32_t number, const std::string& zone,
                                               const std::vector<std::string>& bootstrap)
{
    return add({core::parse_endpoint(entry_address(number)), zone, std::nullopt, endpoints(bootstrap)});
}

config::config_sync& config_network::add_agent(std::uint32_t host, std::uint32_t service, const std::string& zone,
                                               const std::vector<std::string>& bootstrap)
{
    return add({core::parse_endpoint(agent_address(host)), zone, core::service_id{service}, endpoints(bootstrap)});
}

void config_network::add_agents(const published_text& text)
{
    for (const auto& part : text.parts) {
        for (const auto& service : part) {
            for (const auto& host : service.hosts) {
                add_agent(host.id, service.id, host.zone);
            }
        }
    }
}

void config_network::schedule(core::milliseconds delay, const core::endpoint& at,
                              std::function<void(config::config_sync&, std::vector<config::sync_action>&)> body)
{
    m_events.emplace(now + delay, [this, at, body = std::move(body)] {
        const auto it = m_nodes.find(at);
        if (it != m_nodes.end() && !it->second.is_paused) {
            std::vector<config::sync_action> actions;
            body(*it->second.sync, actions);
            perform(at, actions);
        }
    });
}

void config_network::send(const core::endpoint& from, const config::send_config_message& message)
{
    if (filter && !filter(from, message.peer, message.message)) {
        return;
    }
    auto frame = wire::encode_frame(message.message);
    schedule(core::milliseconds(1 + random() % 10), message.peer,
             [this, from, frame = std::move(frame)](auto& sync, auto& actions) {
                 const auto decoded = wire::decode_frame({frame.data(), frame.size()});
                 sync.on_peer_message(now, from, *decoded, actions);
             });
}

void config_network::answer(const core::endpoint& reader, const std::string& key)
{
    const auto it = m_values.find(key);
    const bool is_failed = !is_platform_up || it == m_values.end() || (platform_filter && !platform_filter(reader));
    const platform_value result = is_failed ? platform_value{} : it->second;
    schedule(core::milliseconds(1 + random() % 10), reader, [this, key, is_failed, result](auto& sync, auto& actions) {
        if (is_failed) {
            sync.on_platform_failure(now, key, false, actions);
        } else {
            sync.on_platform_value(now, key, result.version, result.content, actions);
        }
    });
}

void config_network::read(const core::endpoint& reader, const config::read_platform_value& call)
{
    m_part_reads += call.key.rfind("services/", 0) == 0 ? 1 : 0;
    if (call.after && is_platform_up) {
        m_watches.push_back({reader, call.key, *call.after, now + call.wait});
    } else {
        answer(reader, call.key);
    }
}

void config_network::check_watches()
{
    auto watches = std::move(m_watches);
    m_watches.clear();
    for (const auto& it : watches) {
        const auto published = m_values.find(it.key);
        if (!is_platform_up || (published != m_values.end() && published->second.version > it.after)) {
            answer(it.reader, it.key);
        } else if (now >= it.until) {
            schedule(core::milliseconds(1), it.reader, [this, key = it.key](auto& sync, auto& actions) {
                sync.on_platform_failure(now, key, true, actions);
            });
        } else {
            m_watches.push_back(it);
        }
    }
}

void config_network::perform(const core::endpoint& self, const std::vector<config::sync_action>& actions)
{
    auto& node = m_nodes.at(self);
    for (const auto& action : actions) {
        if (const auto* message = std::get_if<config::send_config_message>(&action)) {
            send(self, *message);
        } else if (const auto* call = std::get_if<config::read_platform_value>(&action)) {
            read(self, *call);
        } else if (const auto* accepted = std::get_if<config::accept_configuration>(&action)) {
            node.accepted.push_back(core::raw(accepted->configuration->version));
        } else if (const auto* rejected = std::get_if<config::reject_configuration>(&action)) {
            m_rejections.insert(rejected->error_number);
        } else if (std::holds_alternative<config::confirm_configuration>(action)) {
            ++node.confirmations;
        }
    }
}

void config_network::run(core::milliseconds time)
{
    const auto end = now + time;
    while (now < end) {
        now += step;
        check_watches();
        if (now.time_since_epoch() % tick < step) {
            for (auto& [address, node] : m_nodes) {
                schedule(core::milliseconds(0), address,
                         [this](auto& sync, auto& actions) { sync.on_tick(now, actions); });
            }
        }
        while (!m_events.empty() && m_events.begin()->first <= now) {
            const auto body = m_events.begin()->second;
            m_events.erase(m_events.begin());
            body();
        }
    }
}

void config_network::revalidate(const core::endpoint& address)
{
    std::vector<config::sync_action> actions;
    m_nodes.at(address).sync->revalidate(now, actions);
    perform(address, actions);
}

void config_network::remove_readers()
{
    for (auto it = m_nodes.begin(); it != m_nodes.end();) {
        it = it->second.sync->is_reader() ? m_nodes.erase(it) : std::next(it);
    }
}

bool config_network::all_have_version(std::uint64_t version) const
{
    return std::all_of(m_nodes.begin(), m_nodes.end(), [version](const auto& it) {
        const auto current = it.second.sync->current();
        return current && core::raw(current->version) == version;
    });
}

std::size_t config_network::reader_count() const
{
    return static_cast<std::size_t>(
        std::count_if(m_nodes.begin(), m_nodes.end(), [](const auto& it) { return it.second.sync->is_reader(); }));
}

std::uint64_t config_network::platform_calls() const
{
    std::uint64_t result = 0;
    for (const auto& [address, node] : m_nodes) {
        result += node.sync->platform_calls();
    }
    return result;
}

bool config_network::has_rejection(config::errc code) const { return m_rejections.count(static_cast<int>(code)) != 0; }

std::size_t config_network::confirmations(const core::endpoint& address) const
{
    return m_nodes.at(address).confirmations;
}

bool config_network::versions_never_decreased() const
{
    return std::all_of(m_nodes.begin(), m_nodes.end(), [](const auto& it) {
        const auto& list = it.second.accepted;
        return std::adjacent_find(list.begin(), list.end(), std::greater_equal<>()) == list.end();
    });
}

std::uint64_t config_network::lowest_after_acceptance_of(std::uint64_t version) const
{
    std::uint64_t result = version;
    for (const auto& [address, node] : m_nodes) {
        const auto it = std::find(node.accepted.begin(), node.accepted.end(), version);
        for (auto later = it; later != node.accepted.end(); ++later) {
            result = std::min(result, *later);
        }
    }
    return result;
}

} // namespace daisydoor::test
