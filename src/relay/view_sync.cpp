#include "daisydoor/relay/view_sync.hpp"

#include "daisydoor/core/rendezvous.hpp"

#include <algorithm>
#include <iterator>
#include <map>
#include <tuple>

namespace daisydoor::relay
{

namespace
{

/// Key of the rendezvous hashing by which all processes choose the same readers.
constexpr std::uint64_t reader_key = 0x7265616465727331;
/// Maximum number of former services in a datagram, which holds about 20 with names of 15 bytes.
constexpr std::size_t max_told_services = 64;
/// Largest age that a message can carry; also stands for never.
constexpr core::milliseconds max_age{0xffffffff};

/// Derives the number of a question from its time, so that a restarted process does not reuse a number.
std::uint32_t question_number_at(core::time_point asked_at) noexcept
{
    const auto number = static_cast<std::uint32_t>(asked_at.time_since_epoch() / core::milliseconds(1));
    return std::max(number, 1U);
}

struct reader_candidate
{
    double distance = 0;
    ipv4 agent{};

    friend bool operator<(const reader_candidate& a, const reader_candidate& b) noexcept
    {
        return std::tie(a.distance, a.agent) < std::tie(b.distance, b.agent);
    }
};

} // namespace

view_sync::view_sync(ipv4 self, std::vector<ipv4> seeds, fleet_view& view,
                     std::function<std::size_t(const fleet_update&)> encoded_size)
    : m_self(self), m_seeds(std::move(seeds)), m_view(view), m_encoded_size(std::move(encoded_size))
{
}

core::milliseconds view_sync::age(core::time_point now) const
{
    if (!m_confirmed_at) {
        return max_age;
    }
    return std::min(max_age, std::chrono::duration_cast<core::milliseconds>(now - *m_confirmed_at));
}

bool view_sync::should_read(core::time_point now) const
{
    return m_is_reader || !m_view.is_ready() || age(now) > confirmation_limit;
}

void view_sync::on_confirmed(core::time_point at) noexcept
{
    m_confirmed_at = m_confirmed_at ? std::max(*m_confirmed_at, at) : at;
}

view_change view_sync::on_platform_state(const fleet_update& value, core::time_point at, core::time_point now)
{
    auto result = m_view.apply(value, now);
    if (!result.is_from_former_era && !m_view.lacks_evacuations()) {
        on_confirmed(at);
    }
    return result;
}

void view_sync::on_subscribe(ipv4 from, const fleet_subscribe& value, core::time_point now, actions& out)
{
    auto& subscription = m_subscribers[static_cast<std::uint32_t>(from)];
    subscription.position = value.position();
    if (value.era == store_era{} && !m_view.has_changed_era()) {
        subscription.position.era = m_view.era();
    }
    subscription.last_message_at = now;
    subscription.awaits_fetch = false;
    subscription.past = value.past;
    if (m_is_reader && value.question != 0 && (value.question != subscription.question || !subscription.asked_at)) {
        subscription.question = value.question;
        subscription.asked_at = now;
    }
    if (m_view.is_ready()) {
        send_changes(from, subscription, 0, now, out);
    }
}

void view_sync::send_changes(ipv4 to, subscriber& subscription, std::uint32_t answered, core::time_point now,
                             actions& out)
{
    fleet_news news;
    news.age = age(now);
    news.regained = max_age;
    if (const auto at = m_view.regained_at()) {
        news.regained = std::min(max_age, std::chrono::duration_cast<core::milliseconds>(now - *at));
    }
    news.after = subscription.position.revision;
    news.after_era = subscription.position.era;
    std::vector<fleet_update> parts;
    if (is_incomparable(subscription.position)) {
        // Such a process can only use a whole view with a higher revision than its own.
        news.fetch = subscription.position.revision < m_view.revision();
        news.age = max_age;
        subscription.awaits_fetch = true;
    } else if (subscription.position < m_view.position()) {
        if (auto update = m_view.changes_after(subscription.position)) {
            parts = split(std::move(*update));
        }
        news.fetch = parts.empty();
        subscription.awaits_fetch = news.fetch;
    }
    const bool needs_past =
        !subscription.awaits_fetch && m_view.history().helps(subscription.past, subscribe_interval, now);
    if (parts.empty() || needs_past) {
        auto& part = parts.emplace_back();
        part.revision = m_view.revision();
        part.era = m_view.era();
        part.lacks_evacuations = m_view.lacks_evacuations();
    }
    if (needs_past) {
        parts.back().past = past_of_one_datagram(now);
        subscription.past = core::milliseconds(0);
    }
    for (auto& part : parts) {
        // The state is complete only with the last part.
        const bool is_last = &part == &parts.back();
        auto message = news;
        message.age = is_last ? news.age : max_age;
        message.answered = is_last && !news.fetch ? answered : 0;
        message.version = is_last ? m_view.version() : route_version{};
        news.after = part.revision;
        news.after_era = part.era;
        message.update = std::move(part);
        out.push_back(send_message{to, std::move(message)});
    }
    if (!subscription.awaits_fetch) {
        // If a datagram is lost, the next subscription has the position that the subscriber really has, and the
        // missing changes are sent again.
        subscription.position = std::max(subscription.position, m_view.position());
    }
}

routes_past view_sync::past_of_one_datagram(core::time_point now) const
{
    fleet_update result;
    for (std::size_t n = max_told_services;; n /= 2) {
        result.past = m_view.history().describe(now, n);
        if (n == 0 || m_encoded_size(result) <= max_update_datagram_bytes) {
            return result.past;
        }
    }
}

bool view_sync::is_incomparable(store_position position) const noexcept
{
    return position.era == store_era{} && m_view.era() != store_era{} && m_view.has_changed_era();
}

std::vector<fleet_update> view_sync::split(fleet_update value) const
{
    std::vector<fleet_update> result(1);
    std::size_t bytes = 0;
    for (auto it = value.changes.begin(); it != value.changes.end();) {
        // Changes of one revision stay together: a receiver applies a revision as a whole.
        fleet_update group;
        group.era = value.era;
        group.revision = it->revision;
        for (; it != value.changes.end() && it->revision == group.revision; ++it) {
            group.changes.push_back(std::move(*it));
        }
        const auto size = m_encoded_size(group);
        if (size > max_update_datagram_bytes) {
            return {};
        }
        if (bytes + size > max_update_datagram_bytes) {
            result.emplace_back();
            bytes = 0;
        }
        bytes += size;
        auto& part = result.back();
        part.revision = group.revision;
        part.era = value.era;
        part.exact = value.exact;
        part.lacks_evacuations = value.lacks_evacuations;
        std::move(group.changes.begin(), group.changes.end(), std::back_inserter(part.changes));
    }
    result.back().revision = value.revision;
    result.back().era = value.era;
    result.back().exact = value.exact;
    result.back().lacks_evacuations = value.lacks_evacuations;
    return result.size() <= max_update_datagrams ? result : std::vector<fleet_update>();
}

view_change view_sync::on_news(ipv4 from, const fleet_news& value, core::time_point now, actions& out)
{
    m_source_states[static_cast<std::uint32_t>(from)].last_message_at = now;
    if (value.regained < lapsed_entry_grace) {
        m_view.on_platform_regained(now - value.regained);
    }
    view_change result;
    const bool is_behind = value.update.position() > m_view.position();
    const auto after = value.after_position();
    const bool is_exact = value.update.exact || value.update.era != m_view.era();
    const bool is_applicable = is_exact ? after == m_view.position() : after <= m_view.position();
    if (is_behind && !value.fetch && is_applicable) {
        result = m_view.apply(value.update, now);
    }
    // A source that sends an older position has not received the subscription after the latest fetch yet.
    const bool must_fetch = value.fetch && after >= m_view.position();
    m_view.learn_past(value.update.past, now);
    const bool lacks_past = value.update.past.is_partial && value.update.past.version >= m_view.version() &&
                            !m_view.knows_former_services(now);
    // The copy that a restored store returned to may have older routes than the source.
    const bool lacks_routes = value.update.position() <= m_view.position() && value.version > m_view.version();
    if (((is_behind && (must_fetch || result.needs_whole)) || lacks_routes || lacks_past) && !m_fetching) {
        m_fetching = true;
        out.push_back(fetch_view{from});
    } else if (is_behind && ((value.fetch && !must_fetch) || (!value.fetch && !is_applicable))) {
        m_next_subscribe = now;
    }
    if (is_complete_for(value) && value.age < max_age && !m_view.lacks_evacuations()) {
        on_confirmed(now - value.age);
    }
    complete_confirmation(value);
    return result;
}

bool view_sync::is_complete_for(const fleet_news& value) const noexcept
{
    return value.update.era == m_view.era() && value.update.revision <= m_view.revision();
}

void view_sync::complete_confirmation(const fleet_news& value)
{
    if (is_complete_for(value) && m_question_at && value.answered == question_number_at(*m_question_at)) {
        m_confirmed_since = std::exchange(m_question_at, std::nullopt);
    }
}

bool view_sync::request_confirmation(core::time_point now, actions& out)
{
    if (m_is_reader || m_sources.empty()) {
        return true;
    }
    if (!m_question_at) {
        m_question_at = now;
        out.push_back(send_message{m_sources.front(), subscription(question_number_at(now), now)});
    }
    return now - *m_question_at > question_timeout;
}

bool view_sync::has_pending_questions() const noexcept
{
    return std::any_of(m_subscribers.begin(), m_subscribers.end(),
                       [](const auto& it) { return it.second.asked_at.has_value(); });
}

void view_sync::on_platform_answer(core::time_point asked_at, core::time_point now, actions& out)
{
    if (m_question_at && *m_question_at <= asked_at) {
        m_question_at.reset();
    }
    for (auto& [address, subscription] : m_subscribers) {
        if (subscription.asked_at && *subscription.asked_at <= asked_at) {
            subscription.asked_at.reset();
            send_changes(ipv4{address}, subscription, subscription.question, now, out);
        }
    }
}

view_change view_sync::on_fetched(const fleet_update& value, core::time_point now)
{
    m_fetching = false;
    // The next subscription reports the fetched revision to the sources.
    m_next_subscribe = now;
    return m_view.apply(value, now);
}

void view_sync::on_change(core::time_point now, actions& out)
{
    choose_readers();
    choose_sources(now);
    for (auto& [address, subscription] : m_subscribers) {
        if (subscription.position < m_view.position() && !subscription.awaits_fetch) {
            send_changes(ipv4{address}, subscription, 0, now, out);
        }
    }
}

void view_sync::choose_readers()
{
    std::map<std::string, std::vector<reader_candidate>> zones;
    std::vector<reader_candidate> all;
    for (const auto& [id, host] : m_view.hosts()) {
        if (host.is_staying() && host.service_configured) {
            const reader_candidate value{core::rendezvous_distance(reader_key, host.rendezvous_key),
                                         host.value.address};
            zones[host.value.availability_zone].push_back(value);
            all.push_back(value);
        }
    }
    m_readers.clear();
    for (auto& [zone, agents] : zones) {
        std::sort(agents.begin(), agents.end());
        const auto n = std::min(agents.size(), 1 + agents.size() / hosts_per_reader);
        for (std::size_t i = 0; i < n; ++i) {
            m_readers.push_back(agents[i].agent);
        }
    }
    std::sort(all.begin(), all.end());
    for (std::size_t i = 0; i < all.size() && m_readers.size() < min_readers; ++i) {
        if (std::find(m_readers.begin(), m_readers.end(), all[i].agent) == m_readers.end()) {
            m_readers.push_back(all[i].agent);
        }
    }
    const auto& reading = m_readers.empty() ? m_seeds : m_readers;
    m_is_reader = std::find(reading.begin(), reading.end(), m_self) != reading.end();
}

std::vector<ipv4> view_sync::source_candidates() const
{
    auto result = m_readers;
    // Spreads the subscribers over the readers, those of this process's zone first.
    const auto rank = [this](ipv4 agent) {
        const auto* host = m_view.find_host(agent);
        const bool is_near = host != nullptr && host->in_own_zone;
        return std::make_pair(
            !is_near, core::rendezvous_distance(static_cast<std::uint64_t>(m_self), static_cast<std::uint64_t>(agent)));
    };
    std::sort(result.begin(), result.end(), [&rank](ipv4 a, ipv4 b) { return rank(a) < rank(b); });
    // Seeds answer subscriptions too; a process without any state knows no readers.
    result.insert(result.end(), m_seeds.begin(), m_seeds.end());
    result.erase(std::remove(result.begin(), result.end(), m_self), result.end());
    return result;
}

void view_sync::choose_sources(core::time_point now)
{
    std::vector<ipv4> chosen;
    for (const auto it : source_candidates()) {
        const auto& state = m_source_states[static_cast<std::uint32_t>(it)];
        if (chosen.size() < source_count && now >= state.avoid_until &&
            std::find(chosen.begin(), chosen.end(), it) == chosen.end()) {
            chosen.push_back(it);
        }
    }
    for (const auto it : chosen) {
        if (std::find(m_sources.begin(), m_sources.end(), it) == m_sources.end()) {
            m_source_states[static_cast<std::uint32_t>(it)].chosen_at = now;
            // The new source does not send its changes before it has a subscription.
            m_next_subscribe = now;
        }
    }
    m_sources = std::move(chosen);
}

void view_sync::on_tick(core::time_point now, actions& out)
{
    if (now < m_next_subscribe) {
        return;
    }
    for (auto it = m_subscribers.begin(); it != m_subscribers.end();) {
        it = now - it->second.last_message_at > subscriber_timeout ? m_subscribers.erase(it) : std::next(it);
    }
    for (const auto it : m_sources) {
        auto& state = m_source_states[static_cast<std::uint32_t>(it)];
        if (now - std::max(state.last_message_at, state.chosen_at) > source_timeout) {
            state.avoid_until = now + source_avoid_time;
        }
    }
    choose_sources(now);
    m_next_subscribe = now + subscribe_interval;
    subscribe(now, out);
}

void view_sync::subscribe(core::time_point now, actions& out) const
{
    for (const auto it : m_sources) {
        out.push_back(send_message{it, subscription(0, now)});
    }
}

fleet_subscribe view_sync::subscription(std::uint32_t question, core::time_point now) const
{
    // A process without a view gets the history with the whole view.
    const auto past =
        m_view.is_ready() ? std::max(m_view.history().complete_for(now), core::milliseconds(1)) : core::milliseconds(0);
    return {m_view.revision(), question, m_view.era(), past};
}

} // namespace daisydoor::relay
