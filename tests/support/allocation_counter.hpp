#pragma once

#include <cstddef>

namespace daisydoor::test
{

/// @brief Number of calls of operator new in this process so far.
///
/// Linking this function replaces the program's global operator new and delete by counting ones.
std::size_t allocation_count() noexcept;

} // namespace daisydoor::test
