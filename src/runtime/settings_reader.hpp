#pragma once

#include "daisydoor/runtime/settings.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace daisydoor::runtime::detail
{

constexpr std::size_t max_name_size = 64;
/// Length of the prefix of an IPv4-mapped IPv6 address.
constexpr std::size_t ipv4_offset = 12;

/// Reads fields of a settings file and collects all problems instead of stopping at the first.
///
/// The parameter `path` of its functions is the key of the enclosing map, or empty for the root.
class settings_reader
{
  public:
    std::vector<settings_problem> problems;

    void report(settings_errc code, const YAML::Node& node, const std::string& field, const std::string& what)
    {
        const int line = node.IsDefined() && node.Mark().line >= 0 ? node.Mark().line + 1 : 0;
        problems.push_back({code, line, field, what});
    }

    /// Checks that a node is a map whose keys are all allowed and unique. Returns false only if it is not a map.
    bool check_map(const YAML::Node& node, const std::string& path, const std::vector<std::string>& allowed)
    {
        if (!node.IsMap()) {
            report(settings_errc::wrong_type, node, path, "must be a map");
            return false;
        }
        std::set<std::string> seen;
        for (const auto& pair : node) {
            const std::string key = pair.first.IsScalar() ? pair.first.Scalar() : "?";
            const std::string field = join(path, key);
            if (std::find(allowed.begin(), allowed.end(), key) == allowed.end()) {
                report(settings_errc::unknown_key, pair.first, field,
                       "unknown key; allowed are " + join_names(allowed));
            } else if (!seen.insert(key).second) {
                report(settings_errc::duplicate, pair.first, field, "duplicate key; each key is allowed once");
            }
        }
        return true;
    }

    /// Returns the scalar at a key, or an undefined node if it is missing or not a scalar, which is reported.
    /// @param allowed description of the allowed values, for the error message
    YAML::Node scalar(const YAML::Node& map, const std::string& path, const std::string& key, bool required,
                      const std::string& allowed)
    {
        const YAML::Node node = map[key];
        if (!node.IsDefined()) {
            if (required) {
                report(settings_errc::missing_key, map, join(path, key), "missing; must be " + allowed);
            }
            return YAML::Node(YAML::NodeType::Undefined);
        }
        if (!node.IsScalar()) {
            report(settings_errc::wrong_type, node, join(path, key), "must be " + allowed);
            return YAML::Node(YAML::NodeType::Undefined);
        }
        return node;
    }

    core::endpoint endpoint(const YAML::Node& map, const std::string& path, const std::string& key)
    {
        const auto node = scalar(map, path, key, true, "A.B.C.D:PORT or [IPV6]:PORT");
        return node.IsDefined() ? endpoint_of(node, join(path, key)) : core::endpoint{};
    }

    core::endpoint endpoint_of(const YAML::Node& node, const std::string& field)
    {
        try {
            const auto value = core::parse_endpoint(node.Scalar());
            const auto* first = value.address.data() + (value.is_ipv4() ? ipv4_offset : 0);
            if (std::any_of(first, value.address.data() + value.address.size(), [](auto byte) { return byte != 0; })) {
                return value;
            }
            report(settings_errc::bad_address, node, field,
                   "'" + node.Scalar() +
                       "' is the unspecified address; must be the IP address of one host, with a port");
        } catch (const core::core_error&) {
            report(settings_errc::bad_address, node, field,
                   "'" + node.Scalar() + "' must be A.B.C.D:PORT or [IPV6]:PORT with a port from 1 to 65535");
        }
        return {};
    }

    std::uint64_t integer(const YAML::Node& map, const std::string& path, const std::string& key, bool required,
                          std::uint64_t low, std::uint64_t high)
    {
        const std::string allowed = "an integer from " + std::to_string(low) + " to " + std::to_string(high);
        const auto node = scalar(map, path, key, required, allowed);
        if (!node.IsDefined()) {
            return 0;
        }
        const std::string& text = node.Scalar();
        std::uint64_t value = 0;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
        const bool is_negative = text.size() > 1 && text.front() == '-' &&
                                 std::all_of(text.begin() + 1, text.end(), [](char c) { return c >= '0' && c <= '9'; });
        if (!is_negative && ec != std::errc::result_out_of_range &&
            (ec != std::errc{} || end != text.data() + text.size())) {
            report(settings_errc::wrong_type, node, join(path, key), "'" + text + "' must be " + allowed);
            return 0;
        }
        if (is_negative || ec != std::errc{} || value < low || value > high) {
            report(settings_errc::out_of_range, node, join(path, key), "'" + text + "' must be " + allowed);
            return 0;
        }
        return value;
    }

    /// An optional decimal number from 0 to `high`.
    double decimal(const YAML::Node& map, const std::string& path, const std::string& key, double default_value,
                   double high)
    {
        const std::string allowed = "a number from 0 to " + std::to_string(static_cast<std::uint64_t>(high));
        const auto node = scalar(map, path, key, false, allowed);
        if (!node.IsDefined()) {
            return default_value;
        }
        double value = 0;
        if (!YAML::convert<double>::decode(node, value)) {
            report(settings_errc::wrong_type, node, join(path, key), "'" + node.Scalar() + "' must be " + allowed);
        } else if (!(value >= 0 && value <= high)) {
            report(settings_errc::out_of_range, node, join(path, key), "'" + node.Scalar() + "' must be " + allowed);
        }
        return value;
    }

    template <std::size_t N>
    std::optional<std::size_t> enum_name(const YAML::Node& map, const std::string& key, bool required,
                                         const std::array<std::string_view, N>& names)
    {
        const std::string allowed = join_names(std::vector<std::string>(names.begin(), names.end()));
        const auto node = scalar(map, "", key, required, "one of " + allowed);
        if (!node.IsDefined()) {
            return std::nullopt;
        }
        const auto it = std::find(names.begin(), names.end(), node.Scalar());
        if (it == names.end()) {
            report(settings_errc::unknown_name, node, key, "'" + node.Scalar() + "' must be one of " + allowed);
            return std::nullopt;
        }
        return static_cast<std::size_t>(it - names.begin());
    }

    std::string short_string(const YAML::Node& map, const std::string& path, const std::string& key)
    {
        const std::string allowed = "a name of 1 to " + std::to_string(max_name_size) + " characters";
        const auto node = scalar(map, path, key, true, allowed);
        if (!node.IsDefined()) {
            return {};
        }
        if (node.Scalar().empty() || node.Scalar().size() > max_name_size) {
            report(settings_errc::out_of_range, node, join(path, key), "must be " + allowed);
        }
        return node.Scalar();
    }

    bool boolean(const YAML::Node& map, const std::string& path, const std::string& key)
    {
        const auto node = scalar(map, path, key, true, "true or false");
        bool result = false;
        if (node.IsDefined() && !YAML::convert<bool>::decode(node, result)) {
            report(settings_errc::wrong_type, node, join(path, key), "'" + node.Scalar() + "' must be true or false");
        }
        return result;
    }

    std::vector<core::endpoint> endpoint_list(const YAML::Node& map, const std::string& key)
    {
        std::vector<core::endpoint> result;
        const YAML::Node node = map[key];
        if (!node.IsDefined()) {
            return result;
        }
        if (!node.IsSequence()) {
            report(settings_errc::wrong_type, node, key, "must be a list of IP addresses with ports");
            return result;
        }
        for (std::size_t i = 0; i < node.size(); ++i) {
            const std::string field = key + "[" + std::to_string(i) + "]";
            if (!node[i].IsScalar()) {
                report(settings_errc::wrong_type, node[i], field, "must be A.B.C.D:PORT or [IPV6]:PORT");
                continue;
            }
            const auto value = endpoint_of(node[i], field);
            if (!value.empty() && std::find(result.begin(), result.end(), value) != result.end()) {
                report(settings_errc::duplicate, node[i], field,
                       "'" + node[i].Scalar() + "' is listed twice; it is allowed once");
            }
            result.push_back(value);
        }
        return result;
    }

  private:
    static std::string join(const std::string& path, const std::string& key)
    {
        return path.empty() ? key : path + '.' + key;
    }

    static std::string join_names(const std::vector<std::string>& names)
    {
        std::string result;
        for (const auto& it : names) {
            result += (result.empty() ? "" : ", ") + it;
        }
        return result;
    }
};

} // namespace daisydoor::runtime::detail
