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
    detail::http_result response;
    detail::http_request request;
    request.path = path;
    request.timeout = read_timeout;
    // Deferred, because a connect that fails immediately would otherwise stop the loop before run() starts it.
    owner.defer([&] {
        client.start(std::move(request), [&](detail::http_result result) {
            response = std::move(result);
            owner.stop(0);
        });
    });
    owner.run();
    if (response.outcome != detail::http_outcome::answered) {
        throw runtime_error(errc::admin_unreachable, "no response from the admin address " + core::to_string(admin));
    }
    if (response.status != status_ok) {
        throw runtime_error(errc::bad_admin_answer, core::to_string(admin) + " answers " + path + " with status " +
                                                        std::to_string(response.status));
    }
    return {response.body.begin(), response.body.end()};
}

} // namespace daisydoor::runtime
