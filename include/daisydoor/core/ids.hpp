#pragma once

#include <cstdint>
#include <type_traits>

/// @brief Identifiers shared by all modules. Each is a distinct type so that they cannot be mixed up.
namespace daisydoor::core
{

enum class host_id : std::uint32_t
{
};

enum class service_id : std::uint32_t
{
};

enum class workspace_id : std::uint32_t
{
};

/// @brief Id of a key that signs flow tokens.
enum class key_id : std::uint32_t
{
};

/// @brief Random number that an agent process generates when it starts; identifies one run of the process.
enum class incarnation_id : std::uint64_t
{
};

/// @brief Number of a flow, unique within one incarnation.
enum class flow_id : std::uint64_t
{
};

/// @brief Version of the published configuration; 0 means that there is no configuration.
enum class config_version : std::uint64_t
{
};

/// @brief Number of a request within its flow, starting at 1.
enum class request_number : std::uint64_t
{
};

/// @brief Id of an event within its feed; 0 is the position before the first event.
enum class event_id : std::uint64_t
{
};

/// @brief Returns the underlying value of an identifier.
template <typename Id>
constexpr auto raw(Id id) noexcept
{
    return static_cast<std::underlying_type_t<Id>>(id);
}

} // namespace daisydoor::core
