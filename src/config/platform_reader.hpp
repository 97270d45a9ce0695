#pragma once

#include "daisydoor/config/config_sync.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace daisydoor::config::detail
{

/// @brief Requests reads and watches of platform values, limits how often they are repeated, and counts them.
class platform_reader
{
  public:
    explicit platform_reader(core::random_source& random) : m_random(random) {}

    /// @brief Requests a value once; with `only_if_newer`, only if its version is above the highest one that was read.
    void read(core::time_point now, const std::string& key, bool only_if_newer, std::vector<sync_action>& actions);

    /// @brief Starts a watch unless one is open or the delay after the last one has not passed.
    void ensure_watch(core::time_point now, const std::string& key, std::vector<sync_action>& actions);

    /// @brief Reads a known value again, whatever its version, if the interval since the last such read is over.
    void ensure_reread(core::time_point now, const std::string& key, std::vector<sync_action>& actions);

    /// @brief Call when a read or a watch has returned a value.
    /// @return whether the version equals the highest one that was read before
    bool on_value(core::time_point now, const std::string& key, std::uint64_t value_version);
    /// @brief Call when a read or watch has failed, or a watch has ended without a newer value (`unchanged`).
    void on_failure(core::time_point now, const std::string& key, bool unchanged);

    [[nodiscard]] std::uint64_t calls() const noexcept { return m_calls; }
    /// @brief Number of reads of a key that have not been answered; does not count calls that return only a newer
    /// value.
    [[nodiscard]] std::size_t pending_reads(const std::string& key) const;

  private:
    struct key_state
    {
        /// Highest version of the value that was read.
        std::optional<std::uint64_t> last_version;
        /// Set while a watch is open: the time from which its answer is considered lost.
        std::optional<core::time_point> watch_expires_at;
        /// Earliest time of the next watch.
        core::time_point next_watch{};
        core::time_point next_reread{};
        core::duration backoff{};
        std::size_t pending_reads = 0;
    };

    core::random_source& m_random;
    std::map<std::string, key_state> m_keys;
    std::uint64_t m_calls = 0;
};

} // namespace daisydoor::config::detail
