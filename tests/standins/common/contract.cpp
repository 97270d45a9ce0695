#include "standins/common/contract.hpp"

#include <cstdlib>
#include <xxhash.h>

namespace daisydoor::standins
{

namespace
{

const std::string sized_prefix = "/bytes/";
constexpr std::size_t max_answer_size = std::size_t{16} * 1024 * 1024;

std::size_t size_of(const std::string& target)
{
    if (target.rfind(sized_prefix, 0) != 0) {
        return 0;
    }
    const auto size = std::strtoull(target.c_str() + sized_prefix.size(), nullptr, 10);
    return size < max_answer_size ? size : max_answer_size;
}

} // namespace

std::string expected_answer(const std::string& service, const std::string& target)
{
    std::string result = service + ' ' + target + '\n';
    const std::size_t size = size_of(target);
    // The padding depends on path, query and position, so that lost, swapped or duplicated segments are detected.
    const std::uint64_t seed = XXH3_64bits(target.data(), target.size());
    while (result.size() < size) {
        result.push_back(static_cast<char>('a' + (result.size() * 131 + seed % 4096) / 8 % 26));
    }
    return result;
}

std::string expected_event(const std::string& service, std::uint64_t id) { return service + ' ' + std::to_string(id); }

} // namespace daisydoor::standins
