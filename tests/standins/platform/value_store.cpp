#include "standins/platform/value_store.hpp"

#include <fstream>
#include <sstream>

namespace daisydoor::standins
{

namespace
{

/// Returns the number after the first `version:` at the start of a line; 0 if there is none.
std::uint64_t version_of(const std::string& content)
{
    std::istringstream lines(content);
    std::string line;
    while (std::getline(lines, line)) {
        if (line.rfind("version:", 0) == 0) {
            return std::strtoull(line.c_str() + std::string("version:").size(), nullptr, 10);
        }
    }
    return 0;
}

std::string read_file(const std::filesystem::path& path)
{
    std::ifstream in(path, std::ios::binary);
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

} // namespace

void value_store::use_folder(std::filesystem::path folder)
{
    m_folder = std::move(folder);
    m_files.clear();
    refresh();
}

std::map<std::string, value_store::file_state> value_store::scan() const
{
    std::map<std::string, file_state> result;
    std::error_code ec;
    for (std::filesystem::recursive_directory_iterator it(m_folder, ec), end; !ec && it != end; it.increment(ec)) {
        std::error_code file_ec;
        if (!it->is_regular_file(file_ec) || it->path().extension() == ".tmp") {
            continue;
        }
        const file_state state{it->last_write_time(file_ec), it->file_size(file_ec)};
        // A file that is replaced during the scan is found by the next one.
        if (!file_ec) {
            result[it->path().lexically_relative(m_folder).generic_string()] = state;
        }
    }
    return result;
}

bool value_store::refresh()
{
    auto files = scan();
    if (files == m_files) {
        return false;
    }
    m_files = std::move(files);
    m_values.clear();
    for (const auto& [key, state] : m_files) {
        std::string content = read_file(m_folder / key);
        const auto version = version_of(content);
        m_values[key] = {version, std::move(content)};
    }
    // Parts have no version field; they have the version of the index.
    const auto index = m_values.find("index");
    for (auto& [key, value] : m_values) {
        if (value.version == 0 && index != m_values.end()) {
            value.version = index->second.version;
        }
    }
    return true;
}

const published_value* value_store::find(const std::string& key) const
{
    const auto it = m_values.find(key);
    return it == m_values.end() ? nullptr : &it->second;
}

} // namespace daisydoor::standins
