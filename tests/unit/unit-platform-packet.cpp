#include "platform/packet.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace daisydoor::platform
{
namespace
{

class platform_packet_test : public ::testing::Test
{
  protected:
    /// SYN from 100.64.0.7:40001 to 198.18.0.1:443, an example of the users' protocol pages.
    std::vector<std::uint8_t> m_syn{0x00, 0x00, 0xd5, 0xc3, 0xb2, 0xa1, 0x00, 0x00, 0x00, 0x00, 0x44,
                                    0x33, 0x22, 0x11, 0x00, 0x00, 0x00, 0x00, 0x02, 0x00, 0xbb, 0x01,
                                    0x07, 0x00, 0x40, 0x64, 0x41, 0x9c, 0x01, 0x00, 0x12, 0xc6};
    /// Reset packet of the same flow, an example of the users' protocol pages.
    std::vector<std::uint8_t> m_reset{0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
                                      0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x01, 0x00, 0x41, 0x9c,
                                      0x01, 0x00, 0x12, 0xc6, 0xbb, 0x01, 0x07, 0x00, 0x40, 0x64};

    std::optional<relay::packet> decode(packet_sender sender = packet_sender::client) const
    {
        return decode_packet({m_syn.data(), m_syn.size()}, sender);
    }
};

// Guards against a header layout that differs from the platform's.
TEST_F(platform_packet_test, decode_example_returns_its_fields)
{
    const auto value = decode();
    ASSERT_TRUE(value);
    EXPECT_EQ(value->flow.client, relay::ipv4{0x64400007});
    EXPECT_EQ(value->flow.client_port, 40001);
    EXPECT_EQ(value->flow.service, relay::ipv4{0xc6120001});
    EXPECT_EQ(value->flow.service_port, 443);
    EXPECT_EQ(value->sequence, 0x11223344U);
    EXPECT_TRUE(value->syn);
    EXPECT_FALSE(value->ack || value->fin || value->rst || value->bounced);
    EXPECT_EQ(value->payload_size, 0);
}

// Guards against reset packets that clients ignore because their bytes differ from the platform's format.
TEST_F(platform_packet_test, encode_reset_example_flow_equals_example_bytes)
{
    const auto bytes = encode_reset(decode()->flow, 0);
    EXPECT_EQ(std::vector<std::uint8_t>(bytes.begin(), bytes.end()), m_reset);
}

// Guards against two flow keys for one flow, one for each direction.
TEST_F(platform_packet_test, decode_both_directions_same_flow_key)
{
    const auto reset_packet = decode_packet({m_reset.data(), m_reset.size()}, packet_sender::host);
    ASSERT_TRUE(reset_packet);
    EXPECT_TRUE(reset_packet->flow == decode()->flow);
}

// Guards against swapped ends of the flow key: a packet that the host returned still has the client as its source.
TEST_F(platform_packet_test, decode_returned_packet_client_is_source)
{
    m_syn[18] |= 4;
    const auto value = decode(packet_sender::host);
    ASSERT_TRUE(value);
    EXPECT_TRUE(value->bounced);
    EXPECT_EQ(value->flow.client_port, 40001);
}

// Guards against a forwarder that changes header fields which only the ends of the flow may write.
TEST_F(platform_packet_test, write_routing_state_other_fields_unchanged)
{
    const auto before = m_syn;
    m_syn[18] |= 4;
    write_routing_state(m_syn.data(), {relay::ipv4{0x0a010203}, 2, relay::packet_path::search});
    const auto value = decode();
    EXPECT_EQ(value->entry, relay::ipv4{0x0a010203});
    EXPECT_EQ(value->hops, 2);
    EXPECT_EQ(value->path, relay::packet_path::search);
    for (std::size_t i = 0; i < before.size(); ++i) {
        const bool is_routing_state = (i >= 6 && i < 10) || i == 19;
        if (!is_routing_state) {
            EXPECT_EQ(m_syn[i], before[i]) << i;
        }
    }
}

// Guards against reads beyond the end of a datagram, and against malformed packets that are forwarded.
TEST_F(platform_packet_test, decode_malformed_datagram_rejected)
{
    const auto full = m_syn;
    for (std::size_t n = 0; n < full.size(); ++n) {
        m_syn.assign(full.begin(), full.begin() + static_cast<std::ptrdiff_t>(n));
        EXPECT_FALSE(decode()) << n;
    }
    m_syn = full;
    m_syn.push_back(0);
    EXPECT_FALSE(decode()) << "length field too small";
    m_syn = full;
    m_syn[0] = 1;
    EXPECT_FALSE(decode()) << "length field too large";
    m_syn.assign(max_packet_size + 1, 0);
    m_syn[0] = static_cast<std::uint8_t>(max_packet_payload + 1);
    m_syn[1] = static_cast<std::uint8_t>((max_packet_payload + 1) >> 8U);
    EXPECT_FALSE(decode()) << "larger than max_packet_size";
}

} // namespace
} // namespace daisydoor::platform
