#include "support/allocation_counter.hpp"

#include <atomic>
#include <cstdlib>
#include <new>

namespace
{

std::atomic<std::size_t> calls{0};

} // namespace

void* operator new(std::size_t size)
{
    ++calls;
    if (void* result = std::malloc(size)) {
        return result;
    }
    throw std::bad_alloc();
}

void operator delete(void* value) noexcept { std::free(value); }
void operator delete(void* value, std::size_t /*size*/) noexcept { std::free(value); }

namespace daisydoor::test
{

std::size_t allocation_count() noexcept { return calls; }

} // namespace daisydoor::test
