#include "daisydoor/core/error.hpp"

namespace daisydoor::core
{

error::error(const char* family, int number, const std::string& what)
    : std::runtime_error(std::string("[") + family + '.' + std::to_string(number) + "] " + what), m_number(number)
{
}

} // namespace daisydoor::core
