#include "daisydoor/config/config_sync.hpp"

#include "part_fetcher.hpp"
#include "peer_directory.hpp"
#include "platform_reader.hpp"
#include "version_store.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace daisydoor::config
{

namespace
{

/// Peers that are notified of an accepted version. With 8 random peers about one process in 3,000 gets no notice and
/// depends on the periodic pull; with 4 it would be one in 50.
constexpr std::size_t config_fanout = 8;
constexpr core::milliseconds config_pull_interval{5000};
/// Until there is a configuration, the process can serve nothing, so it pulls more often.
constexpr core::milliseconds initial_pull_interval{1000};
/// Peers that are asked to confirm the configuration.
constexpr std::size_t revalidation_peers = 3;
/// Entries that are asked for parts besides the notifier.
constexpr std::size_t random_part_sources = 2;
/// Time after which a revalidation ends without an answer; far above the 2 s for which opens are held back
/// (core::confirmation_timeout).
constexpr core::milliseconds revalidation_timeout{10000};
/// Time before the same announced version is pulled again, if the first pull was not answered.
constexpr core::milliseconds announced_version_retry{1000};
/// The same if the answer did not lead to a new candidate.
constexpr core::milliseconds failed_pull_retry{5000};
constexpr core::milliseconds reader_max_source_timeout{8000};
/// Limits 6,800 entries that all lack the same part to about a hundred reads a second.
constexpr core::milliseconds non_reader_max_source_timeout{64000};
/// Average number of non-readers in a zone that read the platform in each pull interval, in case both readers according
/// to the fleet view have failed.
constexpr std::size_t fallback_reads_per_interval = 2;

} // namespace

struct config_sync::impl
{
    using action_list = std::vector<sync_action>;

    impl(sync_options value, core::random_source source)
        : options(std::move(value)), random(source), store(options.service), directory(options), platform(random),
          fetcher(store)
    {
    }

    sync_options options;
    core::random_source random;
    detail::version_store store;
    detail::peer_directory directory;
    detail::platform_reader platform;
    detail::part_fetcher fetcher;
    core::time_point next_pull{};
    /// Announced versions above the current one, and the earliest time at which each is pulled again.
    std::map<core::config_version, core::time_point> next_pull_by_version;
    std::uint64_t next_sequence = 1;
    /// Lowest sequence of the pulls that were sent after revalidate(); answers to earlier ones do not confirm.
    std::uint64_t first_revalidation_sequence = 0;
    std::optional<core::time_point> revalidation_deadline;
    /// Reads of the index that were unanswered at revalidate(). If there were any, the next value may be from before it
    /// and does not confirm.
    std::size_t reads_before_revalidation = 0;

    template <typename Body>
    void send(const core::endpoint& peer, Body body, action_list& actions)
    {
        actions.emplace_back(send_config_message{peer, wire::make_peer_message(store.version(), std::move(body))});
    }

    void pull(const core::endpoint& peer, std::vector<std::string> parts, action_list& actions);
    void notify_peers(const std::optional<core::endpoint>& source, action_list& actions);
    void request_confirmation(core::time_point now, action_list& actions);
    void confirm(action_list& actions);
    void handle_offer_result(core::time_point now, const detail::offer_result& result,
                             const std::optional<core::endpoint>& source, action_list& actions);
    detail::offer_status offer_index(core::time_point now, const std::string& content,
                                     const std::optional<core::endpoint>& source, action_list& actions);
    void add_sources(std::uint64_t digest, const std::optional<core::endpoint>& peer);
    void offer_part(core::time_point now, const std::string& key, const std::string& content,
                    const std::optional<core::endpoint>& source, action_list& actions);
    void offer_fleet(const std::string& content, const std::optional<core::endpoint>& source, action_list& actions);
    void advance(core::time_point now, action_list& actions);
    void pull_periodically(core::time_point now, action_list& actions);
    void answer_pull(const core::endpoint& peer, const wire::config_pullT& request, action_list& actions);
    void on_push(core::time_point now, const core::endpoint& peer, const wire::config_pushT& push,
                 action_list& actions);
    void on_version(core::time_point now, const core::endpoint& peer, core::config_version version,
                    action_list& actions);
};

void config_sync::impl::pull(const core::endpoint& peer, std::vector<std::string> parts, action_list& actions)
{
    wire::config_pullT body;
    body.have_version = core::raw(store.version());
    body.have_fleet_version = store.fleet_version();
    body.parts = std::move(parts);
    body.sequence = next_sequence++;
    send(peer, std::move(body), actions);
}

void config_sync::impl::notify_peers(const std::optional<core::endpoint>& source, action_list& actions)
{
    wire::config_noticeT body;
    body.version = core::raw(store.version());
    body.fleet_version = store.fleet_version();
    for (const auto& peer : directory.notice_recipients(config_fanout, random, source)) {
        send(peer, body, actions);
    }
}

void config_sync::impl::request_confirmation(core::time_point now, action_list& actions)
{
    const auto peers = directory.random_peers(revalidation_peers, random);
    for (const auto& peer : peers) {
        pull(peer, {}, actions);
    }
    if (directory.is_reader() || peers.empty()) {
        platform.read(now, std::string(index_key), false, actions);
    }
}

void config_sync::impl::confirm(action_list& actions)
{
    revalidation_deadline.reset();
    actions.emplace_back(confirm_configuration{});
}

void config_sync::impl::handle_offer_result(core::time_point now, const detail::offer_result& result,
                                            const std::optional<core::endpoint>& source, action_list& actions)
{
    if (result.error) {
        actions.emplace_back(reject_configuration{result.error->number, result.error->what});
    }
    if (result.status != detail::offer_status::accepted) {
        return;
    }
    directory.update(store.current(), store.fleet());
    actions.emplace_back(accept_configuration{store.current()});
    notify_peers(source, actions);
    if (revalidation_deadline) {
        // The accepted version may have been received before the pause, so it must be confirmed too.
        request_confirmation(now, actions);
    }
}

detail::offer_status config_sync::impl::offer_index(core::time_point now, const std::string& content,
                                                    const std::optional<core::endpoint>& source, action_list& actions)
{
    const auto result = store.offer_index(content);
    handle_offer_result(now, result, source, actions);
    if (result.status == detail::offer_status::added) {
        add_sources(content_digest(content), source);
    }
    return result.status;
}

void config_sync::impl::add_sources(std::uint64_t digest, const std::optional<core::endpoint>& peer)
{
    const bool has_source = fetcher.has_source(digest);
    if (!peer || directory.is_part_source(*peer)) {
        fetcher.add_source(digest, peer);
    }
    if (peer && !has_source) {
        // The peer that announced the version may be an agent of another service, which lacks the parts.
        for (const auto& entry : directory.random_entries(random_part_sources, random)) {
            fetcher.add_source(digest, entry);
        }
    }
    if (!fetcher.has_source(digest)) {
        // No known peer can have the parts, so they are read from the platform.
        fetcher.add_source(digest, std::nullopt);
    }
}

void config_sync::impl::offer_part(core::time_point now, const std::string& key, const std::string& content,
                                   const std::optional<core::endpoint>& source, action_list& actions)
{
    auto result = store.offer_part(key, content);
    fetcher.on_answer(now, key);
    if (result.status == detail::offer_status::mismatched && source) {
        // Not an error: a peer serves the parts of its own version, which may differ from the candidate's.
        result.error.reset();
        fetcher.on_parts_unavailable(now, *source);
    }
    handle_offer_result(now, result, source, actions);
}

void config_sync::impl::offer_fleet(const std::string& content, const std::optional<core::endpoint>& source,
                                    action_list& actions)
{
    const auto result = store.offer_fleet(content);
    if (result.error) {
        actions.emplace_back(reject_configuration{result.error->number, result.error->what});
    }
    if (result.status == detail::offer_status::accepted) {
        directory.update(store.current(), store.fleet());
        actions.emplace_back(accept_fleet_view{store.fleet()});
        notify_peers(source, actions);
    }
}

void config_sync::impl::advance(core::time_point now, action_list& actions)
{
    const auto step = directory.is_reader() ? fetcher.advance(now, reader_max_source_timeout, true)
                                            : fetcher.advance(now, non_reader_max_source_timeout, false);
    for (const auto& error : step.rejections) {
        actions.emplace_back(reject_configuration{error.number, error.what});
    }
    for (const auto& request : step.requests) {
        if (request.peer) {
            pull(*request.peer, request.keys, actions);
            continue;
        }
        for (const auto& key : request.keys) {
            platform.read(now, key, false, actions);
        }
    }
    if (step.all_sources_failed) {
        request_confirmation(now, actions);
    }
}

void config_sync::impl::pull_periodically(core::time_point now, action_list& actions)
{
    if (now < next_pull) {
        return;
    }
    next_pull = now + (store.current() ? config_pull_interval : initial_pull_interval);
    for (const auto& peer : directory.random_peers(1, random)) {
        pull(peer, {}, actions);
    }
    if (!directory.is_reader()) {
        std::uniform_int_distribution<std::size_t> random_index(0, directory.zone_instance_count() - 1);
        if (random_index(random) < fallback_reads_per_interval) {
            platform.read(now, std::string(index_key), true, actions);
            platform.read(now, std::string(fleet_key), true, actions);
        }
    }
}

void config_sync::impl::answer_pull(const core::endpoint& peer, const wire::config_pullT& request, action_list& actions)
{
    wire::config_pushT body;
    body.version = core::raw(store.version());
    body.fleet_version = store.fleet_version();
    body.sequence = request.sequence;
    const auto add = [&body, this](const std::string& key) {
        if (const auto* raw = store.find_accepted_value(key)) {
            auto value = std::make_unique<wire::config_valueT>();
            value->key = key;
            value->digest = raw->digest;
            value->content.assign(raw->content->begin(), raw->content->end());
            body.values.push_back(std::move(value));
        }
    };
    bool is_answered = false;
    for (const auto& key : request.parts) {
        // Sends one part in each message, since a frame has room for little more than one value of 1 MB.
        body.values.clear();
        if (key.compare(0, part_key_prefix.size(), part_key_prefix) == 0) {
            add(key);
        }
        if (!body.values.empty()) {
            send(peer, body, actions);
            is_answered = true;
        }
    }
    if (!request.parts.empty()) {
        if (!is_answered) {
            // After an empty answer the peer tries another source at once.
            send(peer, body, actions);
        }
        return;
    }
    if (body.version > request.have_version) {
        add(std::string(index_key));
    }
    const bool is_fleet_newer = body.fleet_version > request.have_fleet_version;
    const auto* fleet = is_fleet_newer ? store.find_accepted_value(std::string(fleet_key)) : nullptr;
    if (fleet != nullptr) {
        const std::size_t index_size = body.values.empty() ? 0 : body.values.front()->content.size();
        if (index_size + fleet->content->size() > max_value_size) {
            send(peer, body, actions);
            body.values.clear();
        }
        add(std::string(fleet_key));
    }
    send(peer, std::move(body), actions);
}

void config_sync::impl::on_push(core::time_point now, const core::endpoint& peer, const wire::config_pushT& push,
                                action_list& actions)
{
    const core::config_version announced{push.version};
    for (const auto& value : push.values) {
        if (!value) {
            continue;
        }
        const std::string content(value->content.begin(), value->content.end());
        if (value->key == index_key) {
            const auto status = offer_index(now, content, peer, actions);
            if (status != detail::offer_status::added && store.version() < announced) {
                next_pull_by_version[announced] = now + failed_pull_retry;
            }
        } else if (value->key == fleet_key) {
            offer_fleet(content, peer, actions);
        } else {
            offer_part(now, value->key, content, peer, actions);
        }
    }
    if (push.values.empty()) {
        fetcher.on_parts_unavailable(now, peer);
    }
    const bool is_answer = push.sequence >= first_revalidation_sequence && push.sequence < next_sequence;
    if (revalidation_deadline && is_answer && store.current() && announced == store.version()) {
        confirm(actions);
    }
}

void config_sync::impl::on_version(core::time_point now, const core::endpoint& peer, core::config_version version,
                                   action_list& actions)
{
    if (version <= store.version()) {
        return;
    }
    bool is_candidate = false;
    for (const auto& info : store.candidates()) {
        if (info.version == version) {
            add_sources(info.digest, peer);
            is_candidate = true;
        }
    }
    const auto earlier_pull = next_pull_by_version.find(version);
    if (is_candidate || (earlier_pull != next_pull_by_version.end() && now < earlier_pull->second)) {
        return;
    }
    next_pull_by_version[version] = now + announced_version_retry;
    pull(peer, {}, actions);
}

config_sync::config_sync(sync_options options, core::random_source random)
    : m_impl(std::make_unique<impl>(std::move(options), random))
{
    m_impl->directory.update(nullptr, nullptr);
}

config_sync::~config_sync() = default;

void config_sync::on_start(core::time_point now, std::vector<sync_action>& actions)
{
    for (const auto& peer : m_impl->options.bootstrap_peers) {
        m_impl->pull(peer, {}, actions);
    }
    m_impl->platform.ensure_watch(now, std::string(index_key), actions);
    m_impl->platform.ensure_watch(now, std::string(fleet_key), actions);
    // The random delay spreads the pulls of processes that start at the same time.
    std::uniform_int_distribution<core::duration::rep> delay(0, core::duration(initial_pull_interval).count());
    m_impl->next_pull = now + initial_pull_interval + core::duration(delay(m_impl->random));
}

void config_sync::on_tick(core::time_point now, std::vector<sync_action>& actions)
{
    if (m_impl->revalidation_deadline && now >= *m_impl->revalidation_deadline) {
        m_impl->revalidation_deadline.reset();
    }
    for (auto it = m_impl->next_pull_by_version.begin(); it != m_impl->next_pull_by_version.end();) {
        it = now >= it->second ? m_impl->next_pull_by_version.erase(it) : std::next(it);
    }
    if (m_impl->directory.is_reader()) {
        for (const auto key : {index_key, fleet_key}) {
            m_impl->platform.ensure_watch(now, std::string(key), actions);
            m_impl->platform.ensure_reread(now, std::string(key), actions);
        }
    }
    m_impl->pull_periodically(now, actions);
    m_impl->advance(now, actions);
}

void config_sync::on_platform_value(core::time_point now, const std::string& key, std::uint64_t value_version,
                                    const std::string& content, std::vector<sync_action>& actions)
{
    const bool is_unchanged = m_impl->platform.on_value(now, key, value_version);
    if (key == index_key) {
        const auto status = m_impl->offer_index(now, content, std::nullopt, actions);
        const bool may_predate_revalidation = std::exchange(m_impl->reads_before_revalidation, 0) > 0;
        if (m_impl->revalidation_deadline && status == detail::offer_status::current && is_unchanged &&
            !may_predate_revalidation) {
            m_impl->confirm(actions);
        }
    } else if (key == fleet_key) {
        m_impl->offer_fleet(content, std::nullopt, actions);
    } else {
        m_impl->offer_part(now, key, content, std::nullopt, actions);
    }
    m_impl->advance(now, actions);
}

void config_sync::on_platform_failure(core::time_point now, const std::string& key, bool unchanged,
                                      std::vector<sync_action>& actions)
{
    m_impl->platform.on_failure(now, key, unchanged);
    m_impl->fetcher.on_answer(now, key);
    m_impl->advance(now, actions);
}

void config_sync::on_peer_message(core::time_point now, const core::endpoint& peer, const wire::peer_messageT& message,
                                  std::vector<sync_action>& actions)
{
    if (const auto* notice = message.body.Asconfig_notice()) {
        on_version_seen(now, peer, core::config_version{notice->version}, actions);
        if (notice->fleet_version > m_impl->store.fleet_version()) {
            m_impl->pull(peer, {}, actions);
        }
    } else if (const auto* request = message.body.Asconfig_pull()) {
        m_impl->answer_pull(peer, *request, actions);
    } else if (const auto* push = message.body.Asconfig_push()) {
        m_impl->on_push(now, peer, *push, actions);
    }
    m_impl->on_version(now, peer, core::config_version{message.config_version}, actions);
    m_impl->advance(now, actions);
}

void config_sync::on_version_seen(core::time_point now, const core::endpoint& peer, core::config_version version,
                                  std::vector<sync_action>& actions)
{
    m_impl->on_version(now, peer, version, actions);
}

void config_sync::revalidate(core::time_point now, std::vector<sync_action>& actions)
{
    m_impl->revalidation_deadline = now + revalidation_timeout;
    m_impl->first_revalidation_sequence = m_impl->next_sequence;
    m_impl->reads_before_revalidation = m_impl->platform.pending_reads(std::string(index_key));
    m_impl->request_confirmation(now, actions);
}

snapshot_ptr config_sync::current() const noexcept { return m_impl->store.current(); }
fleet_view_ptr config_sync::fleet() const noexcept { return m_impl->store.fleet(); }
bool config_sync::is_reader() const noexcept { return m_impl->directory.is_reader(); }
std::uint64_t config_sync::platform_calls() const noexcept { return m_impl->platform.calls(); }

} // namespace daisydoor::config
