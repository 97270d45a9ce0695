#pragma once

#include "daisydoor/relay/actions.hpp"
#include "daisydoor/relay/fleet_view.hpp"

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace daisydoor::relay
{

/// A subscription is repeated this often; an answer tells that the source lives and how old its state is.
constexpr core::milliseconds subscribe_interval{500};
/// A subscriber that stays silent for this long is told nothing more: three repetitions may be lost.
constexpr core::milliseconds subscriber_timeout{2000};
/// A source that stays silent for this long is replaced by the next one.
constexpr core::milliseconds source_timeout{1100};
/// A source that stayed silent is not chosen again for this long.
constexpr core::milliseconds source_avoid_time{3000};
/// State that the platform has not confirmed for this long is refreshed by a read of the own. A change must be in force
/// after ConfigApplyMs (at least 3 s); the rest is for the read.
constexpr core::milliseconds confirmation_limit{1900};
/// A question that no reader has answered for this long makes the process call the platform itself: a reader's call and
/// its pause between calls, with room for a busy processor.
constexpr core::milliseconds question_timeout{500};
/// Sources of a process: one may be cut off from the platform while it still answers.
constexpr std::size_t source_count = 2;
/// Hosts of one availability zone for which one agent reads the platform.
constexpr std::size_t hosts_for_reader = 32;
/// Agents that read the platform in the whole fleet at least.
constexpr std::size_t min_readers = 2;
/// Largest encoded update that is told in a datagram; larger ones are told in parts.
constexpr std::size_t max_update_datagram_bytes = 1100;
/// An update of more datagrams is fetched; about a whole view of 60 hosts.
constexpr std::size_t max_update_datagrams = 12;

/// @brief Decides which processes read the platform, and from whom the others learn of changes.
///
/// Few agents, chosen by rendezvous among the hosts of each availability zone, watch the platform. Every other process
/// subscribes to two of them, and reads the platform itself only when its state was not confirmed in time. Ages add up
/// along the way, so that no process takes old state for new. No sockets or clock.
class view_sync
{
  public:
    /// @param encoded_size size of an update as it would be sent
    view_sync(ipv4 self, std::vector<ipv4> seeds, fleet_view& view,
              std::function<std::size_t(const fleet_update&)> encoded_size);

    /// @brief Whether this process should have the platform's next change told by the platform itself.
    [[nodiscard]] bool should_read(core::time_point now) const;

    /// @brief Whether this process is one of the chosen readers.
    [[nodiscard]] bool is_reader() const noexcept { return m_is_reader; }

    /// @brief The platform answered at `at`, so that the view is complete up to then.
    void on_confirmed(core::time_point at) noexcept;

    /// @brief The process was paused: nothing that it holds counts as confirmed.
    void on_pause() noexcept { m_confirmed_at.reset(); }

    void on_subscribe(ipv4 from, const fleet_subscribe& value, core::time_point now, actions& out);

    /// @brief Takes over what a source tells.
    view_change on_news(ipv4 from, const fleet_news& value, core::time_point now, actions& out);

    /// @brief Takes over a whole view that was fetched.
    view_change on_fetched(const fleet_update& value, core::time_point now);

    /// @brief A fetch failed: another may be started.
    void on_fetch_failed() noexcept { m_fetching = false; }

    /// @brief The view has changed: tells the subscribers and chooses readers and sources again.
    void on_change(core::time_point now, actions& out);

    void on_tick(core::time_point now, actions& out);

    /// @brief Sees to a confirmation that the view lacks nothing: asks a reader, which answers many processes with one
    /// call of the platform.
    /// @return whether this process must call the platform itself, as a reader or because no reader answers
    [[nodiscard]] bool request_confirmation(core::time_point now, actions& out);

    /// @brief When this process asked the question that a reader has answered, once; the view is complete up to then.
    std::optional<core::time_point> take_confirmed_since() { return std::exchange(m_confirmed_since, std::nullopt); }

    /// @brief Whether subscribers of this reader wait for a call of the platform.
    [[nodiscard]] bool has_pending_questions() const noexcept;

    /// @brief The view is complete up to `asked_at`, when a call of the platform began: answers the questions before.
    void on_platform_answer(core::time_point asked_at, core::time_point now, actions& out);

    [[nodiscard]] core::milliseconds age(core::time_point now) const;
    [[nodiscard]] const std::vector<ipv4>& sources() const noexcept { return m_sources; }
    [[nodiscard]] std::size_t subscriber_count() const noexcept { return m_subscribers.size(); }

  private:
    struct subscriber
    {
        relay::revision revision{};
        core::time_point last_message_at;
        /// Was told to fetch the whole view; names its revision when it has done so.
        bool awaits_fetch = false;
        std::uint32_t question = 0;
        /// When the question arrived, if it is not answered yet.
        std::optional<core::time_point> asked_at;
    };

    struct source_state
    {
        core::time_point chosen_at;
        core::time_point last_message_at;
        core::time_point avoid_until;
    };

    void choose_readers();
    void choose_sources(core::time_point now);
    void subscribe(actions& out) const;
    void send_changes(ipv4 to, subscriber& entry, std::uint32_t answered, core::time_point now, actions& out);
    void complete_confirmation(const fleet_news& value);
    /// @return nothing if the update must be fetched
    [[nodiscard]] std::vector<fleet_update> split(fleet_update value) const;
    [[nodiscard]] std::vector<ipv4> source_candidates() const;

    ipv4 m_self;
    std::vector<ipv4> m_seeds;
    fleet_view& m_view;
    std::function<std::size_t(const fleet_update&)> m_encoded_size;
    std::optional<core::time_point> m_confirmed_at;
    /// When the own question was asked, if it is not answered yet.
    std::optional<core::time_point> m_question_at;
    std::optional<core::time_point> m_confirmed_since;
    bool m_is_reader = false;
    bool m_fetching = false;
    std::vector<ipv4> m_readers;
    std::vector<ipv4> m_sources;
    std::unordered_map<std::uint32_t, source_state> m_source_states;
    std::unordered_map<std::uint32_t, subscriber> m_subscribers;
    core::time_point m_next_subscribe;
};

} // namespace daisydoor::relay
