#include "daisydoor/core/fault.hpp"

#ifdef DAISYDOOR_MUTATIONS

#include <cstdlib>

namespace daisydoor::core
{

bool is_active(fault value) noexcept
{
    static const char* const name = std::getenv("DAISYDOOR_FAULT");
    return name != nullptr && fault_names.at(static_cast<std::size_t>(value)) == name;
}

} // namespace daisydoor::core

#endif
