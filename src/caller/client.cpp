#include "daisydoor/caller/client.hpp"

#include "caller/client_impl.hpp"

#include <optional>

namespace daisydoor::caller
{

namespace
{

/// The session reports its result by the open timeout; open_and_wait() waits this much longer before it fails.
constexpr core::milliseconds open_result_grace{1000};

} // namespace

client::client(const client_options& options) : m_impl(std::make_shared<impl>(options, nullptr)) {}

client::client(const client_options& options, event_base* loop) : m_impl(std::make_shared<impl>(options, loop)) {}

client::~client() { m_impl->detach(); }

void client::open(open_handler handler) { m_impl->open(std::move(handler)); }

core::request_number client::request(const std::string& path, core::milliseconds deadline, outcome_handler handler)
{
    return m_impl->start(wire::request_kind::idempotent, path, {}, deadline, std::move(handler));
}

core::request_number client::post(const std::string& path, std::vector<std::uint8_t> payload,
                                  core::milliseconds deadline, outcome_handler handler)
{
    return m_impl->start(wire::request_kind::non_idempotent, path, std::move(payload), deadline, std::move(handler));
}

void client::cancel(core::request_number number) { m_impl->cancel(number); }

void client::subscribe(const std::string& path, core::event_id last_event, event_handler handler)
{
    m_impl->subscribe(path, last_event, std::move(handler));
}

void client::close() { m_impl->close(); }

void client::open_and_wait()
{
    m_impl->require_own_loop();
    const auto result = std::make_shared<std::optional<open_result>>();
    open([this, result](const open_result& value) {
        *result = value;
        stop();
    });
    m_impl->run_until(m_impl->open_timeout() + open_result_grace, [&] { return result->has_value(); });
    if (!result->has_value() || !(*result)->is_open) {
        const auto reason = result->has_value() ? (*result)->reason : wire::refusal_reason::none;
        close();
        throw caller_error(errc::open_failed,
                           std::string("session could not be opened within the open timeout; last refusal: ") +
                               wire::EnumNamerefusal_reason(reason));
    }
}

outcome client::request_and_wait(const std::string& path, core::milliseconds deadline)
{
    return m_impl->start_and_wait(deadline,
                                  [&](outcome_handler handler) { return request(path, deadline, std::move(handler)); });
}

outcome client::post_and_wait(const std::string& path, std::vector<std::uint8_t> payload, core::milliseconds deadline)
{
    return m_impl->start_and_wait(deadline, [&](outcome_handler handler) {
        return post(path, std::move(payload), deadline, std::move(handler));
    });
}

void client::run_for(core::milliseconds time) { m_impl->run_for(time); }

void client::stop() { m_impl->stop(); }

bool client::is_open() const noexcept { return m_impl->state().is_open(); }

core::event_id client::last_event() const noexcept { return m_impl->state().last_event(); }

std::uint64_t client::broken_flows() const noexcept { return m_impl->broken_flows(); }

const wire::flow_token& client::token() const noexcept { return m_impl->state().token(); }

} // namespace daisydoor::caller
