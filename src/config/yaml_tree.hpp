#pragma once

#include "daisydoor/config/error.hpp"

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

/// @brief Compact YAML tree with line numbers, and checked access to its fields.
namespace daisydoor::config::detail
{

enum class yaml_kind : std::uint8_t
{
    null,
    scalar,
    sequence,
    map,
};

struct yaml_node
{
    yaml_kind kind = yaml_kind::null;
    /// Whether a scalar was written without quotes.
    bool plain = false;
    std::uint32_t line = 0;
    /// Index of the first child and of the next sibling; 0 for none. Keys and values of a map alternate.
    std::uint32_t first_child = 0;
    std::uint32_t next = 0;
    std::string text;
};

/// @brief Parsed YAML document, stored in one array of nodes.
///
/// Takes about a fifth of the memory of YAML::Node, which matters for values of 1 MB, and rejects anchors, aliases and
/// tags, which the published formats do not use.
class yaml_tree
{
  public:
    /// @param key key of the published value, for error messages
    /// @throws config_error with errc::bad_yaml or errc::value_too_large
    yaml_tree(std::string key, const std::string& content);

    [[nodiscard]] const yaml_node& root() const { return m_nodes.at(1); }
    [[nodiscard]] const yaml_node* first_child(const yaml_node& node) const { return at(node.first_child); }
    [[nodiscard]] const yaml_node* next(const yaml_node& node) const { return at(node.next); }
    [[nodiscard]] const std::string& key() const noexcept { return m_key; }

  private:
    [[nodiscard]] const yaml_node* at(std::uint32_t i) const { return i == 0 ? nullptr : &m_nodes[i]; }

    std::string m_key;
    /// The first node is unused, because index 0 means none; the second is the root.
    std::vector<yaml_node> m_nodes;
};

/// @brief Path of a field from the root of the document; formatted only when an error is reported.
struct field_path
{
    const field_path* parent = nullptr;
    std::string_view name;
    /// Position in a sequence; only used if the name is empty.
    std::size_t index = 0;
};

std::string to_string(const field_path& path);

/// @brief Reads the fields of one map and rejects fields that are not allowed.
///
/// The functions that return a field throw config_error if it is missing, has the wrong type or is out of range; those
/// with a fallback return it if the field is missing.
class map_reader
{
  public:
    /// @throws config_error if the node is not a map, or has an unknown or repeated field
    map_reader(const yaml_tree& tree, const yaml_node& node, const field_path& path,
               std::initializer_list<std::string_view> allowed);

    /// @return nullptr if the field is absent
    [[nodiscard]] const yaml_node* find(std::string_view name) const;
    /// @throws config_error with errc::missing_field
    [[nodiscard]] const yaml_node& require(std::string_view name) const;

    [[nodiscard]] std::uint64_t number(std::string_view name, std::uint64_t min, std::uint64_t max) const;
    [[nodiscard]] std::uint64_t number_or(std::string_view name, std::uint64_t min, std::uint64_t max,
                                          std::uint64_t fallback) const;
    /// @brief Returns a decimal number from 0 to 1.
    [[nodiscard]] double fraction(std::string_view name) const;
    [[nodiscard]] bool boolean_or(std::string_view name, bool fallback) const;
    /// @brief Returns a scalar of 1 to 64 letters, digits, `.`, `_` or `-`.
    [[nodiscard]] const std::string& identifier(std::string_view name) const;
    /// @brief Returns the text of a scalar, plain or quoted.
    [[nodiscard]] const std::string& text(std::string_view name) const;
    /// @brief Returns the elements of a sequence.
    [[nodiscard]] std::vector<const yaml_node*> sequence(std::string_view name) const;

    /// @brief Throws a config_error with the line and path of a field of this map.
    [[noreturn]] void fail(errc code, std::string_view name, const std::string& problem,
                           const std::string& allowed) const;
    [[nodiscard]] std::uint32_t line() const noexcept { return m_node.line; }
    [[nodiscard]] const field_path& path() const noexcept { return m_path; }

  private:
    [[nodiscard]] const yaml_node& scalar(std::string_view name, const char* allowed) const;

    const yaml_tree& m_tree;
    const yaml_node& m_node;
    const field_path& m_path;
};

} // namespace daisydoor::config::detail
