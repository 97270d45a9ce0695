#include "daisydoor/wire/datagram.hpp"
#include "daisydoor/wire/key_ring.hpp"
#include "daisydoor/wire/peer.hpp"
#include "daisydoor/wire/token.hpp"

#include <gtest/gtest.h>

namespace daisydoor::wire
{
namespace
{

class token_test : public ::testing::Test
{
  protected:
    static token_key key(std::uint32_t id, std::uint8_t fill, bool signing)
    {
        token_key result{core::key_id{id}, {}, signing};
        result.secret.fill(fill);
        return result;
    }

    token_fields fields{core::service_id{1}, core::host_id{11}, core::incarnation_id{77}, core::flow_id{5}, 9};
};

// Guards against a MAC that does not cover a field: a token could be moved to another service or host.
TEST_F(token_test, verify_changed_field_bad_mac)
{
    token_signer signer({key(1, 7, true)});
    const flow_token token = signer.sign(fields);
    EXPECT_EQ(signer.verify(token), token_status::valid);
    for (std::size_t i = 0; i < sizeof token; ++i) {
        flow_token changed = token;
        reinterpret_cast<std::uint8_t*>(&changed)[i] ^= 1;
        EXPECT_NE(signer.verify(changed), token_status::valid) << "byte " << i;
    }
}

// Guards against flows that break when the signing key changes while both keys are published.
TEST_F(token_test, verify_rotated_key_valid_until_removed)
{
    token_signer old_keys({key(1, 7, true)});
    const flow_token token = old_keys.sign(fields);
    token_signer both({key(1, 7, false), key(2, 8, true)});
    EXPECT_EQ(both.verify(token), token_status::valid);
    EXPECT_EQ(both.sign(fields).key(), 2U);
    token_signer new_only({key(2, 8, true)});
    EXPECT_EQ(new_only.verify(token), token_status::unknown_key);
}

// Guards against a key that stays valid for longer than its retention, or that signs after it was retired.
TEST_F(token_test, key_ring_replaced_key_verifies_for_retention)
{
    const core::time_point start{std::chrono::hours{1}};
    key_ring ring;
    ring.update(start, {key(1, 7, true)});
    const flow_token token = token_signer(ring.keys()).sign(fields);
    ring.update(start, {key(2, 8, true)});
    token_signer retained(ring.keys());
    EXPECT_EQ(retained.verify(token), token_status::valid);
    EXPECT_EQ(retained.signing_key(), core::key_id{2});
    EXPECT_FALSE(ring.expire(start + key_retention - core::milliseconds{1}));
    EXPECT_TRUE(ring.expire(start + key_retention));
    EXPECT_EQ(token_signer(ring.keys()).verify(token), token_status::unknown_key);
}

// Guards against a decoder that reads past the end of a truncated datagram.
TEST(datagram_test, decode_truncated_rejected)
{
    requestT body;
    body.number = 3;
    body.path = "/a";
    const buffer whole =
        encode_packet(packet_header(packet_magic, packet_class::established, 0, 0, {}), make_packet(body));
    ASSERT_TRUE(decode_packet({whole.data(), whole.size()}));
    for (std::size_t n = 0; n < whole.size(); ++n) {
        const buffer part(whole.begin(), whole.begin() + static_cast<std::ptrdiff_t>(n));
        const auto decoded = decode_packet({part.data(), part.size()});
        EXPECT_FALSE(decoded && decoded->packet.body.Asrequest() != nullptr && n < sizeof(packet_header) + 8);
    }
}

// Guards against an encoder and a decoder that disagree about the size prefix or the content of a frame.
TEST(frame_test, decode_encoded_round_trip)
{
    work_requestT body;
    body.count = 4;
    const buffer frame = encode_frame(make_peer_message(core::config_version{12}, body));
    const auto message = decode_frame({frame.data(), frame.size()});
    ASSERT_TRUE(message);
    EXPECT_EQ(message->config_version, 12U);
    ASSERT_NE(message->body.Aswork_request(), nullptr);
    EXPECT_EQ(message->body.Aswork_request()->count, 4U);
}

} // namespace
} // namespace daisydoor::wire
