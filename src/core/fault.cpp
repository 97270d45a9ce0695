#include "daisydoor/core/fault.hpp"

#ifdef DAISYDOOR_MUTATIONS

#include <algorithm>
#include <cstdlib>

namespace daisydoor::core
{

namespace
{

fault read_environment() noexcept
{
    const char* const name = std::getenv("DAISYDOOR_FAULT");
    const auto it = name != nullptr ? std::find(fault_names.begin(), fault_names.end(), name) : fault_names.end();
    return it != fault_names.end() ? static_cast<fault>(it - fault_names.begin()) : fault::none;
}

} // namespace

bool is_active(fault value) noexcept
{
    // Read only once, because this function is called for every datagram.
    static const fault active = read_environment();
    return value == active && active != fault::none;
}

} // namespace daisydoor::core

#endif
