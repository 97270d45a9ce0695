#pragma once

#include "daisydoor/agent/detail/work_record.hpp"

namespace daisydoor::agent::detail
{

/// Largest answer in bytes that the 16-bit segment count allows.
constexpr std::size_t max_answer_size = std::size_t{65535} * wire::max_segment_payload_size;
/// Segments resent for one repeated request or fetch; bounds the amplification of a small datagram.
constexpr std::size_t max_resent_segments = 64;

/// @brief Number of segments of an answer; an empty answer has one.
std::size_t segment_count(std::size_t payload_size) noexcept;

/// @brief Sends the segments `first` to `first + count - 1`; those past the end of the answer are skipped.
void send_segments(const work_record& record, const flow_address& to, std::size_t first, std::size_t count,
                   action_list& actions);
void send_refusal(const flow_address& to, core::request_number number, const recorded_refusal& refusal,
                  action_list& actions);
/// @brief Sends a packet of class `reply` to the caller of a flow.
void send_reply(const flow_address& to, const wire::packetT& packet, action_list& actions);

} // namespace daisydoor::agent::detail
