#include "daisydoor/runtime/detail/event_stream.hpp"
#include "daisydoor/runtime/detail/frame_reader.hpp"

#include <gtest/gtest.h>

namespace daisydoor::runtime::detail
{
namespace
{

class frame_reader_test : public ::testing::Test
{
  protected:
    static wire::buffer notice(std::uint64_t version)
    {
        wire::config_noticeT body;
        body.version = version;
        return wire::encode_frame(wire::make_peer_message(core::config_version{version}, body));
    }

    bool append(const std::uint8_t* data, std::size_t size)
    {
        return reader.append({data, size}, [this](wire::peer_messageT message) {
            versions.push_back(message.body.Asconfig_notice()->version);
        });
    }

    frame_reader reader;
    std::vector<std::uint64_t> versions;
};

// Guards against a reader that assumes one frame per read: TCP may split a frame anywhere, even inside its prefix.
TEST_F(frame_reader_test, append_single_bytes_delivers_each_frame_once)
{
    wire::buffer stream = notice(7);
    const wire::buffer second = notice(8);
    stream.insert(stream.end(), second.begin(), second.end());
    for (const auto byte : stream) {
        ASSERT_TRUE(append(&byte, 1));
    }
    EXPECT_EQ(versions, (std::vector<std::uint64_t>{7, 8}));
    EXPECT_EQ(reader.buffered(), 0U);
}

// Guards against a reader that delivers only the first of several frames in one read, or drops an incomplete last one.
TEST_F(frame_reader_test, append_two_and_a_half_frames_keeps_the_rest)
{
    wire::buffer stream;
    for (const std::uint64_t version : {1, 2, 3}) {
        const auto frame = notice(version);
        stream.insert(stream.end(), frame.begin(), frame.end());
    }
    const std::size_t cut = stream.size() - 5;
    ASSERT_TRUE(append(stream.data(), cut));
    EXPECT_EQ(versions, (std::vector<std::uint64_t>{1, 2}));
    ASSERT_TRUE(append(stream.data() + cut, stream.size() - cut));
    EXPECT_EQ(versions, (std::vector<std::uint64_t>{1, 2, 3}));
}

// Guards against a peer that makes the process buffer up to 4 GB by sending a large size prefix.
TEST_F(frame_reader_test, append_oversized_prefix_rejected)
{
    const std::vector<std::uint8_t> prefix{0xff, 0xff, 0xff, 0xff};
    EXPECT_FALSE(append(prefix.data(), prefix.size()));
}

// Guards against reads past the end of a frame whose content is not a peer message.
TEST_F(frame_reader_test, append_garbage_rejected)
{
    wire::buffer frame = notice(7);
    std::fill(frame.begin() + wire::frame_prefix_size, frame.end(), std::uint8_t{0xee});
    EXPECT_FALSE(append(frame.data(), frame.size()));
    EXPECT_TRUE(versions.empty());
}

class event_stream_test : public ::testing::Test
{
  protected:
    bool append(const std::string& text)
    {
        const auto* data = reinterpret_cast<const std::uint8_t*>(text.data());
        return parser.append({data, text.size()}, [this](core::event_id id, std::vector<std::uint8_t> bytes) {
            events.push_back(std::to_string(core::raw(id)) + '=' + std::string(bytes.begin(), bytes.end()));
        });
    }

    event_stream_parser parser;
    std::vector<std::string> events;
};

// Guards against events that are lost or merged when a chunk ends inside a line or between CR and LF.
TEST_F(event_stream_test, append_split_anywhere_same_events)
{
    const std::string text = "id: 4\r\ndata: a\r\ndata: b\r\n\r\n: comment\n\nid:5\ndata:c\n\n";
    for (const char c : text) {
        ASSERT_TRUE(append(std::string(1, c)));
    }
    EXPECT_EQ(events, (std::vector<std::string>{"4=a\nb", "5=c"}));
}

// Guards against delivering an event without an id, which could not be distinguished from a repeated one.
TEST_F(event_stream_test, append_event_without_id_or_with_bad_id_skipped)
{
    ASSERT_TRUE(append("data: a\n\nid: x7\ndata: b\n\nid: 9\n\n"));
    EXPECT_TRUE(events.empty());
}

// Guards against unbounded memory use when a target sends a line that never ends.
TEST_F(event_stream_test, append_endless_line_rejected)
{
    EXPECT_FALSE(append("data: " + std::string(event_stream_parser::max_event_bytes, 'x')));
}

} // namespace
} // namespace daisydoor::runtime::detail
