#pragma once

#include "daisydoor/core/endpoint.hpp"
#include "standins/common/loop.hpp"
#include "standins/relay/packet.hpp"

#include <memory>
#include <optional>
#include <vector>

struct evhttp_connection;

namespace daisydoor::standins::relay
{

/// @brief Routers of the platform: hash flows over the entries that answer the readiness probe.
class router
{
  public:
    struct entry
    {
        core::endpoint packets;
        core::endpoint readiness;
        /// Consecutive failed probes; an entry starts as not ready.
        int failed_probes = 2;
    };

    explicit router(loop& owner) : m_loop(owner) {}

    void add(const core::endpoint& packets, const core::endpoint& readiness);
    /// @brief Starts to probe twice a second.
    void start();
    [[nodiscard]] std::size_t ready_count() const;
    /// @brief The entry for a flow: when an entry becomes ready or unready, only its flows move.
    [[nodiscard]] std::optional<core::endpoint> choose(const flow_id& id) const;

  private:
    void probe();
    void probe(std::size_t index);

    loop& m_loop;
    std::vector<entry> m_entries;
};

} // namespace daisydoor::standins::relay
