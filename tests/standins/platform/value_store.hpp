#pragma once

#include <cstdint>
#include <filesystem>
#include <map>
#include <optional>
#include <string>

namespace daisydoor::standins
{

struct published_value
{
    std::uint64_t version = 0;
    std::string content;
};

/// @brief Values of the platform, read from the files in a folder; a value's key is the file's path in the folder.
class value_store
{
  public:
    explicit value_store(std::filesystem::path folder) : m_folder(std::move(folder)) {}

    void use_folder(std::filesystem::path folder);
    /// @brief Reads the folder again if a file was added, removed or changed.
    /// @return whether it was read again
    bool refresh();
    [[nodiscard]] const published_value* find(const std::string& key) const;

  private:
    struct file_state
    {
        std::filesystem::file_time_type changed;
        std::uintmax_t size = 0;

        bool operator==(const file_state& other) const { return changed == other.changed && size == other.size; }
    };

    [[nodiscard]] std::map<std::string, file_state> scan() const;

    std::filesystem::path m_folder;
    std::map<std::string, file_state> m_files;
    std::map<std::string, published_value> m_values;
};

} // namespace daisydoor::standins
