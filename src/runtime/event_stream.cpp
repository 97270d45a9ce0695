#include "daisydoor/runtime/detail/event_stream.hpp"

#include <charconv>
#include <string_view>

namespace daisydoor::runtime::detail
{

bool event_stream_parser::append(wire::bytes_view bytes, const event_handler& deliver)
{
    for (std::size_t i = 0; i < bytes.size; ++i) {
        const char c = static_cast<char>(bytes.data[i]);
        const bool follows_carriage_return = m_skip_line_feed;
        m_skip_line_feed = c == '\r';
        if (c == '\n' && follows_carriage_return) {
            continue;
        }
        if (c == '\n' || c == '\r') {
            on_line(deliver);
            continue;
        }
        m_line.push_back(c);
        if (m_line.size() + m_data.size() > max_event_bytes) {
            return false;
        }
    }
    return true;
}

void event_stream_parser::on_line(const event_handler& deliver)
{
    const std::string line = std::move(m_line);
    m_line.clear();
    if (line.empty()) {
        if (m_has_data && m_has_id) {
            deliver(core::event_id{m_id}, {m_data.begin(), m_data.end()});
        }
        m_data.clear();
        m_has_data = false;
        m_has_id = false;
        return;
    }
    const auto colon = line.find(':');
    const std::string_view name = std::string_view(line).substr(0, colon);
    std::string_view value = colon == std::string::npos ? std::string_view() : std::string_view(line).substr(colon + 1);
    if (!value.empty() && value.front() == ' ') {
        value.remove_prefix(1);
    }
    if (name == "data") {
        if (m_has_data) {
            m_data.push_back('\n');
        }
        m_data.append(value);
        m_has_data = true;
    } else if (name == "id") {
        const auto [end, ec] = std::from_chars(value.data(), value.data() + value.size(), m_id);
        m_has_id = ec == std::errc{} && end == value.data() + value.size();
    }
}

} // namespace daisydoor::runtime::detail
