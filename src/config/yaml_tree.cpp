#include "yaml_tree.hpp"

#include "daisydoor/config/published.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <istream>
#include <streambuf>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/parser.h>

namespace daisydoor::config::detail
{

namespace
{

/// The deepest published value, a field of a host, is at depth 6.
constexpr std::size_t max_depth = 16;

/// @brief Stream buffer from which YAML::Parser reads a string without copying it.
struct string_buffer : std::streambuf
{
    explicit string_buffer(const std::string& content)
    {
        auto* data = const_cast<char*>(content.data());
        setg(data, data, data + content.size());
    }
};

std::uint32_t line_of(const YAML::Mark& mark) { return static_cast<std::uint32_t>(std::max(mark.line, 0)) + 1; }

/// @brief Appends the parser's events to the node array.
class tree_builder : public YAML::EventHandler
{
  public:
    tree_builder(const std::string& key, std::vector<yaml_node>& nodes) : m_key(key), m_nodes(nodes) {}

    void OnDocumentStart(const YAML::Mark& mark) override
    {
        if (m_nodes.size() > 1) {
            fail(mark, "the value contains a second document", "one document");
        }
    }
    void OnDocumentEnd() override {}
    void OnNull(const YAML::Mark& mark, YAML::anchor_t anchor) override { add(mark, yaml_kind::null, "", anchor); }
    void OnAlias(const YAML::Mark& mark, YAML::anchor_t /*anchor*/) override
    {
        fail(mark, "the value contains an alias", "plain values without anchors, aliases and tags");
    }
    void OnScalar(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
                  const std::string& value) override
    {
        auto& node = m_nodes[add(mark, yaml_kind::scalar, tag, anchor)];
        node.text = value;
        node.plain = tag != "!";
    }
    void OnSequenceStart(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
                         YAML::EmitterStyle::value /*style*/) override
    {
        open(mark, yaml_kind::sequence, tag, anchor);
    }
    void OnSequenceEnd() override { m_open.pop_back(); }
    void OnMapStart(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
                    YAML::EmitterStyle::value /*style*/) override
    {
        open(mark, yaml_kind::map, tag, anchor);
    }
    void OnMapEnd() override { m_open.pop_back(); }

  private:
    struct open_node
    {
        std::uint32_t index = 0;
        std::uint32_t last_child = 0;
    };

    [[noreturn]] void fail(const YAML::Mark& mark, const char* problem, const char* allowed) const
    {
        throw config_error(errc::bad_yaml, m_key, line_of(mark), "", problem, allowed);
    }

    std::uint32_t add(const YAML::Mark& mark, yaml_kind kind, const std::string& tag, YAML::anchor_t anchor)
    {
        // The parser reports "?" for a plain value and "!" for a quoted one.
        if (anchor != 0 || (!tag.empty() && tag != "?" && tag != "!")) {
            fail(mark, "the value contains an anchor or a tag", "plain values without anchors, aliases and tags");
        }
        const auto i = static_cast<std::uint32_t>(m_nodes.size());
        m_nodes.push_back({kind, false, line_of(mark), 0, 0, {}});
        if (!m_open.empty()) {
            auto& parent = m_open.back();
            (parent.last_child == 0 ? m_nodes[parent.index].first_child : m_nodes[parent.last_child].next) = i;
            parent.last_child = i;
        }
        return i;
    }

    void open(const YAML::Mark& mark, yaml_kind kind, const std::string& tag, YAML::anchor_t anchor)
    {
        if (m_open.size() >= max_depth) {
            fail(mark, "nested too deeply", "at most 16 levels");
        }
        m_open.push_back({add(mark, kind, tag, anchor), 0});
    }

    const std::string& m_key;
    std::vector<yaml_node>& m_nodes;
    std::vector<open_node> m_open;
};

bool is_identifier(const std::string& text)
{
    return !text.empty() && text.size() <= 64 && std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '-';
    });
}

} // namespace

yaml_tree::yaml_tree(std::string key, const std::string& content) : m_key(std::move(key)), m_nodes(1)
{
    if (content.size() > max_value_size) {
        throw config_error(errc::value_too_large, m_key, 0, "", std::to_string(content.size()) + " bytes",
                           "at most " + std::to_string(max_value_size) + " bytes");
    }
    string_buffer buf(content);
    std::istream stream(&buf);
    try {
        YAML::Parser parser(stream);
        tree_builder builder(m_key, m_nodes);
        while (parser.HandleNextDocument(builder)) {
        }
    } catch (const YAML::Exception& e) {
        throw config_error(errc::bad_yaml, m_key, line_of(e.mark), "", e.msg, "valid YAML");
    }
    if (m_nodes.size() < 2) {
        throw config_error(errc::bad_yaml, m_key, 0, "", "the value is empty", "a YAML map");
    }
}

std::string to_string(const field_path& path)
{
    std::string result = path.parent != nullptr ? to_string(*path.parent) : std::string();
    if (path.name.empty()) {
        return path.parent != nullptr ? result + '[' + std::to_string(path.index) + ']' : result;
    }
    return result.empty() ? std::string(path.name) : result + '.' + std::string(path.name);
}

map_reader::map_reader(const yaml_tree& tree, const yaml_node& node, const field_path& path,
                       std::initializer_list<std::string_view> allowed)
    : m_tree(tree), m_node(node), m_path(path)
{
    std::string names;
    for (const auto name : allowed) {
        names += (names.empty() ? "" : ", ") + std::string(name);
    }
    if (node.kind != yaml_kind::map) {
        throw config_error(errc::wrong_type, tree.key(), node.line, to_string(path), "not a map",
                           "a map with the fields " + names);
    }
    std::uint64_t seen = 0;
    for (const auto* it = tree.first_child(node); it != nullptr; it = tree.next(*tree.next(*it))) {
        const auto* name = std::find(allowed.begin(), allowed.end(), it->text);
        const field_path field{&path, it->text, 0};
        if (it->kind != yaml_kind::scalar || name == allowed.end()) {
            throw config_error(errc::unknown_field, tree.key(), it->line, to_string(field), "unknown field", names);
        }
        const auto bit = std::uint64_t{1} << static_cast<unsigned>(name - allowed.begin());
        if ((seen & bit) != 0) {
            throw config_error(errc::duplicate_field, tree.key(), it->line, to_string(field), "repeated field",
                               "each field once");
        }
        seen |= bit;
    }
}

const yaml_node* map_reader::find(std::string_view name) const
{
    for (const auto* it = m_tree.first_child(m_node); it != nullptr; it = m_tree.next(*m_tree.next(*it))) {
        if (it->text == name) {
            return m_tree.next(*it);
        }
    }
    return nullptr;
}

const yaml_node& map_reader::require(std::string_view name) const
{
    if (const auto* node = find(name)) {
        return *node;
    }
    fail(errc::missing_field, name, "missing field", "a value for '" + std::string(name) + "'");
}

void map_reader::fail(errc code, std::string_view name, const std::string& problem, const std::string& allowed) const
{
    const auto* node = find(name);
    throw config_error(code, m_tree.key(), node != nullptr ? node->line : m_node.line,
                       to_string(field_path{&m_path, name, 0}), problem, allowed);
}

const yaml_node& map_reader::scalar(std::string_view name, const char* allowed) const
{
    const auto& node = require(name);
    if (node.kind != yaml_kind::scalar) {
        fail(errc::wrong_type, name, "not a scalar", allowed);
    }
    return node;
}

std::uint64_t map_reader::number(std::string_view name, std::uint64_t min, std::uint64_t max) const
{
    const auto& node = scalar(name, "an integer");
    const auto allowed = "an integer from " + std::to_string(min) + " to " + std::to_string(max);
    const char* end = node.text.data() + node.text.size();
    std::uint64_t value = 0;
    const auto [last, ec] = std::from_chars(node.text.data(), end, value);
    const bool is_integer = node.plain && last == end && !node.text.empty();
    const bool is_negative =
        node.plain && node.text.size() > 1 && node.text[0] == '-' &&
        std::all_of(node.text.begin() + 1, node.text.end(), [](unsigned char c) { return std::isdigit(c) != 0; });
    if (!is_negative && (!is_integer || ec == std::errc::invalid_argument)) {
        fail(errc::wrong_type, name, "'" + node.text + "' is not an integer", allowed);
    }
    if (is_negative || ec == std::errc::result_out_of_range || value < min || value > max) {
        fail(errc::out_of_range, name, "'" + node.text + "' is out of range", allowed);
    }
    return value;
}

std::uint64_t map_reader::number_or(std::string_view name, std::uint64_t min, std::uint64_t max,
                                    std::uint64_t fallback) const
{
    return find(name) != nullptr ? number(name, min, max) : fallback;
}

double map_reader::fraction(std::string_view name) const
{
    constexpr const char* allowed = "a decimal number from 0 to 1";
    const auto& node = scalar(name, allowed);
    const char* end = node.text.data() + node.text.size();
    double value = 0;
    const auto [last, ec] = std::from_chars(node.text.data(), end, value, std::chars_format::fixed);
    if (!node.plain || last != end || ec != std::errc{}) {
        fail(errc::wrong_type, name, "'" + node.text + "' is not a decimal number", allowed);
    }
    // The negated comparison also rejects "nan", which from_chars() accepts.
    if (!(value >= 0 && value <= 1)) {
        fail(errc::out_of_range, name, "'" + node.text + "' is out of range", allowed);
    }
    return value;
}

bool map_reader::boolean_or(std::string_view name, bool fallback) const
{
    if (find(name) == nullptr) {
        return fallback;
    }
    constexpr const char* allowed = "true or false";
    const auto& node = scalar(name, allowed);
    if (!node.plain || (node.text != "true" && node.text != "false")) {
        fail(errc::wrong_type, name, "'" + node.text + "' is not a boolean", allowed);
    }
    return node.text == "true";
}

const std::string& map_reader::identifier(std::string_view name) const
{
    constexpr const char* allowed = "1 to 64 letters, digits, '.', '_' or '-'";
    const auto& node = scalar(name, allowed);
    if (!is_identifier(node.text)) {
        fail(errc::out_of_range, name, "'" + node.text.substr(0, 80) + "' is not a valid name", allowed);
    }
    return node.text;
}

const std::string& map_reader::text(std::string_view name) const { return scalar(name, "a scalar").text; }

std::vector<const yaml_node*> map_reader::sequence(std::string_view name) const
{
    const auto& node = require(name);
    if (node.kind != yaml_kind::sequence) {
        fail(errc::wrong_type, name, "not a sequence", "a sequence");
    }
    std::vector<const yaml_node*> result;
    for (const auto* it = m_tree.first_child(node); it != nullptr; it = m_tree.next(*it)) {
        result.push_back(it);
    }
    return result;
}

} // namespace daisydoor::config::detail
