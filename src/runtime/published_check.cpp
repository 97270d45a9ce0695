#include "daisydoor/runtime/published_check.hpp"

#include "daisydoor/config/error.hpp"
#include "daisydoor/config/published.hpp"
#include "daisydoor/runtime/error.hpp"

#include <array>
#include <cinttypes>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <optional>

namespace daisydoor::runtime
{

namespace
{

std::optional<std::string> read_value(const std::string& folder, const std::string& key)
{
    std::ifstream stream(folder + '/' + key, std::ios::binary);
    if (!stream) {
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(stream), {});
}

std::string hexadecimal(std::uint64_t value)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016" PRIx64, value);
    return text.data();
}

/// Runs one step of the check and adds the configuration error that it throws, if any, to the report.
template <typename Step>
void collect_errors(published_report& report, const Step& step)
{
    try {
        step();
    } catch (const config::config_error& e) {
        report.problems.emplace_back(e.what());
    }
}

config::published_part_ptr check_part(const std::string& folder, const config::part_reference& part,
                                      const config::published_index& index, published_report& report)
{
    config::published_part_ptr result;
    collect_errors(report, [&] {
        const auto content = read_value(folder, part.key);
        if (!content) {
            throw config::config_error(config::errc::missing_part, part.key, 0, "", "the file is missing",
                                       "one file for each part that the index lists");
        }
        if (content->size() > config::max_value_size) {
            throw config::config_error(config::errc::value_too_large, part.key, 0, "",
                                       "the file has " + std::to_string(content->size()) + " bytes",
                                       "at most " + std::to_string(config::max_value_size) + " bytes");
        }
        const auto digest = config::content_digest(*content);
        if (digest != part.digest) {
            report.problems.emplace_back(config::config_error(config::errc::bad_digest, part.key, 0, "digest",
                                                              "the index lists " + hexadecimal(part.digest),
                                                              "the digest of the file, " + hexadecimal(digest))
                                             .what());
        }
        result = std::make_shared<const config::published_part>(config::parse_part(part.key, *content, index.zones));
    });
    return result;
}

void check_parts(const std::string& folder, const config::published_index& index, published_report& report)
{
    std::vector<config::published_part_ptr> parts;
    for (const auto& reference : index.parts) {
        if (auto part = check_part(folder, reference, index, report)) {
            parts.push_back(std::move(part));
        }
    }
    collect_errors(report, [&] {
        const auto snapshot = config::make_snapshot(index, parts);
        report.services = snapshot.services.size();
        for (const auto& service : snapshot.services) {
            report.hosts += service.hosts.size();
        }
    });
}

} // namespace

published_report check_published_values(const std::string& folder)
{
    const auto content = read_value(folder, std::string(config::index_key));
    if (!content) {
        throw runtime_error(errc::unreadable_folder, "'" + folder + "' has no readable file 'index'");
    }
    published_report report;
    collect_errors(report, [&] {
        const auto index = config::parse_index(*content);
        report.version = core::raw(index.version);
        check_parts(folder, index, report);
    });
    if (const auto fleet = read_value(folder, std::string(config::fleet_key))) {
        report.has_fleet = true;
        collect_errors(report, [&] { config::parse_fleet(*fleet); });
    }
    return report;
}

} // namespace daisydoor::runtime
