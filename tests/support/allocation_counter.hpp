#pragma once

#include <cstddef>

namespace daisydoor::test
{

/// @brief Number of calls of operator new in this process. A program that calls this gets a counting operator new.
std::size_t allocation_count() noexcept;

} // namespace daisydoor::test
