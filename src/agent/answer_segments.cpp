#include "daisydoor/agent/detail/answer_segments.hpp"

#include <algorithm>

namespace daisydoor::agent::detail
{

std::size_t segment_count(std::size_t payload_size) noexcept
{
    return std::max<std::size_t>((payload_size + wire::max_segment_payload_size - 1) / wire::max_segment_payload_size,
                                 1);
}

void send_reply(const flow_address& to, const wire::packetT& packet, action_list& actions)
{
    const wire::packet_header header(wire::packet_magic, wire::packet_class::reply, 0, 0, to.token);
    actions.push_back(send_datagram{wire::encode_datagram(to.reply_envelope, header, packet)});
}

void send_segments(const work_record& record, const flow_address& to, std::size_t first, std::size_t count,
                   action_list& actions)
{
    const std::size_t n = segment_count(record.answer.size());
    for (std::size_t i = first; i < n && i - first < count; ++i) {
        const std::size_t begin = i * wire::max_segment_payload_size;
        const std::size_t end = std::min(begin + wire::max_segment_payload_size, record.answer.size());
        wire::answerT body;
        body.number = core::raw(record.key.number);
        body.status = record.status;
        body.segment = static_cast<std::uint16_t>(i);
        body.segment_count = static_cast<std::uint16_t>(n);
        body.total_size = static_cast<std::uint32_t>(record.answer.size());
        body.payload.assign(record.answer.begin() + static_cast<std::ptrdiff_t>(begin),
                            record.answer.begin() + static_cast<std::ptrdiff_t>(end));
        send_reply(to, wire::make_packet(std::move(body)), actions);
    }
}

void send_refusal(const flow_address& to, core::request_number number, const recorded_refusal& refusal,
                  action_list& actions)
{
    wire::refusalT body;
    body.number = core::raw(number);
    body.kind = refusal.kind;
    body.reason = refusal.reason;
    body.retry_after_ms = static_cast<std::uint32_t>(refusal.retry_after.count());
    send_reply(to, wire::make_packet(body), actions);
}

} // namespace daisydoor::agent::detail
