#pragma once

#include <cstdint>
#include <string>

namespace daisydoor::support
{

/// @brief A range 127.A.B.0/24 of loopback addresses reserved for this process, with a base port.
/// The reservation is a listening socket on the range's first address, so that parallel runs choose other ranges.
class loopback_range
{
  public:
    /// @throws std::runtime_error if no free range is found
    loopback_range();
    ~loopback_range();
    loopback_range(const loopback_range&) = delete;
    loopback_range& operator=(const loopback_range&) = delete;

    /// @brief `127.A.B.LAST:PORT` with the range's base port plus `offset`, which is below 4.
    [[nodiscard]] std::string address(int last, int offset = 0) const;

  private:
    std::string m_prefix;
    std::uint16_t m_base_port = 0;
    int m_fd = -1;
};

/// @brief Blocking HTTP/1.1 call to `IP:PORT` with a timeout of 2 s for each send and receive.
/// @return the response body, or an empty string after any failure or for a status other than 200
std::string http_call(const std::string& method, const std::string& address, const std::string& target);

/// @brief Value of `"name": NUMBER` in a flat JSON text, or -1 if it is missing.
double json_number(const std::string& json, const std::string& name);

} // namespace daisydoor::support
