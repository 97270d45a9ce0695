#include "daisydoor/config/error.hpp"

namespace daisydoor::config
{

namespace
{

std::string format(const std::string& key, std::uint32_t line, const std::string& field, const std::string& problem,
                   const std::string& allowed)
{
    std::string result = key;
    if (line != 0) {
        result += ':' + std::to_string(line);
    }
    result += ": ";
    if (!field.empty()) {
        result += field + ": ";
    }
    return result + problem + "; allowed: " + allowed;
}

} // namespace

config_error::config_error(errc code, const std::string& key, std::uint32_t line, const std::string& field,
                           const std::string& problem, const std::string& allowed)
    : error("config", static_cast<int>(code), format(key, line, field, problem, allowed))
{
}

} // namespace daisydoor::config
