#include "daisydoor/runtime/detail/platform_task.hpp"

#include "daisydoor/runtime/events.hpp"

#include <charconv>

namespace daisydoor::runtime::detail
{

namespace
{
/// Time limit of a read, in addition to the wait time in its request.
constexpr core::milliseconds read_timeout{3000};
constexpr int status_ok = 200;
constexpr int status_not_modified = 304;
/// Maximum size of a value according to the platform's contract.
constexpr std::size_t max_value_bytes = 1'000'000;
} // namespace

platform_task::platform_task(kernel& owner, const core::endpoint& platform) : m_kernel(owner), m_client(owner, platform)
{
    owner.register_handler<collect_metrics>(task_names::platform,
                                            [this](collect_metrics& message) { collect(message); });
    owner.register_handler<platform_read>(task_names::platform, [this](platform_read& message) { read(message); });
}

void platform_task::start() { m_config = m_kernel.find_handler<platform_result>(task_names::config); }

void platform_task::collect(collect_metrics& message) const
{
    message.samples = {{"platform_reads", "", static_cast<double>(m_counters.reads)},
                       {"platform_reads_failed", "", static_cast<double>(m_counters.failed)},
                       {"platform_reads_unchanged", "", static_cast<double>(m_counters.unchanged)},
                       {"platform_reachable", "", static_cast<double>(m_reachable), false}};
}

void platform_task::read(const platform_read& message)
{
    ++m_counters.reads;
    http_request request;
    request.path = "/values/" + message.key;
    if (message.after) {
        request.path += "?after=" + std::to_string(*message.after) + "&wait_ms=" + std::to_string(message.wait.count());
    }
    request.timeout = read_timeout + message.wait;
    if (!is_valid_path(request.path)) {
        m_config.post({message.key, false, false, 0, {}});
        return;
    }
    m_client.start(std::move(request),
                   [this, key = message.key](http_result response) { on_http_result(key, std::move(response)); });
}

void platform_task::on_http_result(const std::string& key, http_result response)
{
    const bool reachable = response.outcome == http_outcome::answered;
    if (reachable != m_reachable) {
        m_reachable = reachable;
        write_log(reachable ? log_event::platform_reachable : log_event::platform_unreachable, "while reading " + key);
    }
    platform_result result{key, false, false, 0, {}};
    const auto* end = response.version.data() + response.version.size();
    const bool has_version = std::from_chars(response.version.data(), end, result.version).ec == std::errc{};
    if (reachable && response.status == status_ok && has_version && response.body.size() <= max_value_bytes) {
        result.has_content = true;
        result.content.assign(response.body.begin(), response.body.end());
    } else if (reachable && response.status == status_not_modified) {
        ++m_counters.unchanged;
        result.unchanged = true;
    } else {
        ++m_counters.failed;
    }
    m_config.post(std::move(result));
}

} // namespace daisydoor::runtime::detail
