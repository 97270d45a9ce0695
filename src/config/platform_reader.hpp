#pragma once

#include "daisydoor/config/config_sync.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace daisydoor::config::detail
{

/// @brief Paces the reads and watches of the platform, and counts them.
class platform_reader
{
  public:
    explicit platform_reader(core::random_source& random) : m_random(random) {}

    /// @brief Reads a value once; with `only_if_newer`, only if its version is above the last one that was seen.
    void read(core::time_point now, const std::string& key, bool only_if_newer, std::vector<sync_action>& actions);

    /// @brief Keeps a watch open: starts one unless one waits or the last attempt failed a moment ago.
    void ensure_watch(core::time_point now, const std::string& key, std::vector<sync_action>& actions);

    /// @return whether the value is unchanged since it was last seen
    bool on_value(core::time_point now, const std::string& key, std::uint64_t value_version);
    void on_failure(core::time_point now, const std::string& key, bool unchanged);

    [[nodiscard]] std::uint64_t calls() const noexcept { return m_calls; }
    /// @brief Single reads of a key that are not answered yet.
    [[nodiscard]] std::size_t pending_reads(const std::string& key) const;

  private:
    struct key_state
    {
        std::optional<std::uint64_t> last_version;
        /// Set while a watch waits; the time after which it counts as lost.
        std::optional<core::time_point> watch_expires_at;
        core::time_point next_watch{};
        core::duration backoff{};
        std::size_t pending_reads = 0;
    };

    core::random_source& m_random;
    std::map<std::string, key_state> m_keys;
    std::uint64_t m_calls = 0;
};

} // namespace daisydoor::config::detail
