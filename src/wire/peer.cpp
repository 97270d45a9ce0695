#include "daisydoor/wire/peer.hpp"

#include <cstring>

namespace daisydoor::wire
{

buffer encode_frame(const peer_messageT& message)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.FinishSizePrefixed(peer_message::Pack(builder, &message));
    return {builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize()};
}

std::optional<peer_messageT> decode_frame(bytes_view frame)
{
    if (frame.size < frame_prefix_size || flatbuffers::GetPrefixedSize(frame.data) != frame.size - frame_prefix_size) {
        return std::nullopt;
    }
    flatbuffers::Verifier verifier(frame.data, frame.size);
    if (!VerifySizePrefixedpeer_messageBuffer(verifier)) {
        return std::nullopt;
    }
    peer_messageT result;
    GetSizePrefixedpeer_message(frame.data)->UnPackTo(&result);
    return result;
}

} // namespace daisydoor::wire
