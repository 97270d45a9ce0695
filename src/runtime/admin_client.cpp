#include "daisydoor/runtime/admin_client.hpp"

#include "daisydoor/runtime/detail/http_client.hpp"

namespace daisydoor::runtime
{

namespace
{
constexpr core::milliseconds read_timeout{5000};
constexpr int status_ok = 200;
} // namespace

std::string read_admin(const core::endpoint& admin, const std::string& path)
{
    kernel owner;
    detail::http_client client(owner, admin);
    detail::http_result answer;
    detail::http_request request;
    request.path = path;
    request.timeout = read_timeout;
    // Deferred, because a connect that fails at once would stop the loop before it runs.
    owner.defer([&] {
        client.start(std::move(request), [&](detail::http_result result) {
            answer = std::move(result);
            owner.stop(0);
        });
    });
    owner.run();
    if (answer.outcome != detail::http_outcome::answered) {
        throw runtime_error(errc::admin_unreachable, "no answer from the admin address " + core::to_string(admin));
    }
    if (answer.status != status_ok) {
        throw runtime_error(errc::bad_admin_answer, core::to_string(admin) + " answers " + path + " with status " +
                                                        std::to_string(answer.status));
    }
    return {answer.body.begin(), answer.body.end()};
}

} // namespace daisydoor::runtime
