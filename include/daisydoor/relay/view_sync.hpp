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

/// Interval at which a subscription is repeated; the answer shows that the source is alive and how old its state is.
constexpr core::milliseconds subscribe_interval{500};
/// A subscriber that has not repeated its subscription for this long is removed: three repetitions may be lost.
constexpr core::milliseconds subscriber_timeout{2000};
/// A source that stays silent for this long is replaced by the next one.
constexpr core::milliseconds source_timeout{1100};
/// A source that stayed silent is not chosen again for this long.
constexpr core::milliseconds source_avoid_time{3000};
/// A process whose state the platform has not confirmed for this long reads the platform itself. A change must be in
/// force after ConfigApplyMs (at least 3 s); the rest is for the read.
constexpr core::milliseconds confirmation_limit{1900};
/// A question is a process's request for a confirmation that its view is complete. If no reader answers it within this
/// time, the process calls the platform itself. Covers a reader's call and its pause between calls, with a margin for a
/// busy processor.
constexpr core::milliseconds question_timeout{500};
/// Sources of a process: two, since one may have lost its connection to the platform and still answer.
constexpr std::size_t source_count = 2;
/// Hosts of an availability zone for each further reader, an agent that reads the platform; every zone has at least
/// one.
constexpr std::size_t hosts_per_reader = 64;
/// Minimum number of readers in the whole fleet.
constexpr std::size_t min_readers = 2;
/// Maximum size of the encoded changes in a datagram, in bytes; larger updates are split.
constexpr std::size_t max_update_datagram_bytes = 1100;
/// Maximum number of datagrams for an update, about a whole view of 60 hosts; a larger update is fetched over HTTP.
constexpr std::size_t max_update_datagrams = 12;

/// @brief Decides which processes read the platform, and from which sources the others get the changes.
///
/// A few agents, the readers, chosen by rendezvous hashing among the hosts of each availability zone, watch the
/// platform. While no host is known, the seeds do. Every other process subscribes to two of them, and reads the
/// platform itself only if its state was not confirmed in time. Every hop adds to the age that is sent with the state,
/// so that no process mistakes old state for new. Uses no sockets or clock.
class view_sync
{
  public:
    /// @param seeds processes that are asked for the view in addition to the readers, which a process without any state
    /// does not know
    /// @param encoded_size returns the encoded size of an update in bytes
    view_sync(ipv4 self, std::vector<ipv4> seeds, fleet_view& view,
              std::function<std::size_t(const fleet_update&)> encoded_size);

    /// @brief Whether this process should read the platform itself: it is a reader, has no routes, or its state was not
    /// confirmed in time.
    [[nodiscard]] bool should_read(core::time_point now) const;

    /// @brief Whether this process is one of the chosen readers.
    [[nodiscard]] bool is_reader() const noexcept { return m_is_reader; }

    /// @brief Records that the platform answered at `at`; the view is complete up to then.
    void on_confirmed(core::time_point at) noexcept;

    /// @brief Applies state that the platform returned at `at`. It confirms the view unless it is from a former era.
    view_change on_platform_state(const fleet_update& value, core::time_point at, core::time_point now);

    /// @brief Handles a pause of the process: its state no longer counts as confirmed.
    void on_pause() noexcept { m_confirmed_at.reset(); }

    /// @brief Adds or renews a subscriber and sends it the changes after its revision.
    void on_subscribe(ipv4 from, const fleet_subscribe& value, core::time_point now, actions& out);

    /// @brief Applies the changes that a source sent, or starts a fetch if they cannot be applied.
    view_change on_news(ipv4 from, const fleet_news& value, core::time_point now, actions& out);

    /// @brief Applies a whole view that was fetched.
    view_change on_fetched(const fleet_update& value, core::time_point now);

    /// @brief Handles a failed fetch; a new one may be started.
    void on_fetch_failed() noexcept { m_fetching = false; }

    /// @brief Handles a change of the view: sends it to the subscribers, and chooses readers and sources again.
    void on_change(core::time_point now, actions& out);

    /// @brief Repeats subscriptions, removes subscribers and replaces sources that have timed out.
    void on_tick(core::time_point now, actions& out);

    /// @brief Asks a reader to confirm that the view is complete; the reader answers many processes with one call to
    /// the platform.
    /// @return whether this process must call the platform itself, as a reader or because no reader answers
    [[nodiscard]] bool request_confirmation(core::time_point now, actions& out);

    /// @brief Returns and clears the time at which this process asked the question that a reader has answered; the view
    /// is complete up to then.
    std::optional<core::time_point> take_confirmed_since() { return std::exchange(m_confirmed_since, std::nullopt); }

    /// @brief Whether questions of subscribers wait for a call of this reader to the platform.
    [[nodiscard]] bool has_pending_questions() const noexcept;

    /// @brief Answers the questions that arrived up to `asked_at`, when a call to the platform began; the view is
    /// complete up to then.
    void on_platform_answer(core::time_point asked_at, core::time_point now, actions& out);

    /// @brief Time since the view was last confirmed; at most 2^32 - 1 ms, which also stands for never.
    [[nodiscard]] core::milliseconds age(core::time_point now) const;
    /// @brief Time up to which the view has all changes, or nullopt if it was not confirmed.
    [[nodiscard]] std::optional<core::time_point> confirmed_at() const noexcept { return m_confirmed_at; }
    [[nodiscard]] const std::vector<ipv4>& sources() const noexcept { return m_sources; }
    [[nodiscard]] std::size_t subscriber_count() const noexcept { return m_subscribers.size(); }

  private:
    struct subscriber
    {
        store_position position;
        core::time_point last_message_at;
        /// Was told to fetch the whole view; its next subscription has the position that it fetched.
        bool awaits_fetch = false;
        std::uint32_t question = 0;
        /// When the question arrived, if it is not answered yet.
        std::optional<core::time_point> asked_at;
        /// Time for which it knows all former services; 0 once it was told more.
        core::milliseconds past{0};
    };

    struct source_state
    {
        core::time_point chosen_at;
        core::time_point last_message_at;
        core::time_point avoid_until;
    };

    /// @brief Whether a position has no era although the view has seen two: that of a process without any state, or of
    /// an earlier build.
    [[nodiscard]] bool is_incomparable(store_position position) const noexcept;
    void choose_readers();
    void choose_sources(core::time_point now);
    void subscribe(core::time_point now, actions& out) const;
    /// @brief The subscription that this process sends, with a question if it is not 0.
    [[nodiscard]] fleet_subscribe subscription(std::uint32_t question, core::time_point now) const;
    /// @brief The former services that fit into a datagram, the latest first.
    [[nodiscard]] routes_past past_of_one_datagram(core::time_point now) const;
    void send_changes(ipv4 to, subscriber& subscription, std::uint32_t answered, core::time_point now, actions& out);
    /// @brief Whether the sender's confirmation by the platform also holds for this process's view.
    [[nodiscard]] bool is_complete_for(const fleet_news& value) const noexcept;
    void complete_confirmation(const fleet_news& value);
    /// @return an empty list if the update must be fetched
    [[nodiscard]] std::vector<fleet_update> split(fleet_update value) const;
    [[nodiscard]] std::vector<ipv4> source_candidates() const;

    ipv4 m_self;
    std::vector<ipv4> m_seeds;
    fleet_view& m_view;
    std::function<std::size_t(const fleet_update&)> m_encoded_size;
    std::optional<core::time_point> m_confirmed_at;
    /// When this process asked its question, if it is not answered yet.
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
