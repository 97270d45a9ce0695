#pragma once

#include <stdexcept>
#include <string>

namespace daisydoor::core
{

/// @brief Base class of all daisydoor exceptions. Each family of errors has a derived class and a range of numbers.
///
/// The message of an exception has the form `[FAMILY.NUMBER] WHAT`.
///
/// | family | range |
/// | --- | --- |
/// | core | 100-199 |
/// | wire | 200-299 |
/// | config (published configuration) | 300-399 |
/// | settings | 400-499 |
/// | runtime | 500-599 |
/// | caller | 600-699 |
class error : public std::runtime_error
{
  public:
    error(const char* family, int number, const std::string& what);

    /// @brief Number of the error, listed in docs/errors.md.
    [[nodiscard]] int number() const noexcept { return m_number; }

  private:
    int m_number;
};

enum class errc
{
    bad_endpoint = 101,
};

class core_error : public error
{
  public:
    core_error(errc code, const std::string& what) : error("core", static_cast<int>(code), what) {}
};

} // namespace daisydoor::core
