#include "daisydoor/runtime/detail/frame_reader.hpp"

namespace daisydoor::runtime::detail
{

bool frame_reader::append(wire::bytes_view bytes, const std::function<void(wire::peer_messageT)>& deliver)
{
    m_buffer.insert(m_buffer.end(), bytes.data, bytes.data + bytes.size);
    std::size_t consumed = 0;
    bool is_valid = true;
    while (is_valid && m_buffer.size() - consumed >= wire::frame_prefix_size) {
        const std::uint8_t* frame = m_buffer.data() + consumed;
        const std::size_t size = wire::frame_prefix_size + flatbuffers::GetPrefixedSize(frame);
        if (size > wire::max_frame_size) {
            return false;
        }
        if (m_buffer.size() - consumed < size) {
            break;
        }
        // FlatBuffers reads fields in place and requires an aligned buffer, but frames start at any offset of the
        // stream.
        const wire::buffer aligned(frame, frame + size);
        auto message = wire::decode_frame({aligned.data(), aligned.size()});
        is_valid = message.has_value();
        if (is_valid) {
            deliver(std::move(*message));
        }
        consumed += size;
    }
    m_buffer.erase(m_buffer.begin(), m_buffer.begin() + static_cast<std::ptrdiff_t>(consumed));
    return is_valid;
}

} // namespace daisydoor::runtime::detail
