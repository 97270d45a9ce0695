#pragma once

#include "daisydoor/caller/session.hpp"

#include <gtest/gtest.h>

#include <map>
#include <utility>

namespace daisydoor::caller
{

/// @brief A session in virtual time; the test sends the packets of the agents.
class session_fixture : public ::testing::Test
{
  protected:
    static wire::flow_token make_token(std::uint32_t host, std::uint64_t flow, std::uint64_t incarnation = 7)
    {
        return {1, host, incarnation, flow, 1, 0, 99};
    }

    /// @brief Advances the time in ticks of 10 ms.
    void run(core::milliseconds time)
    {
        for (const auto end = now + time; now < end;) {
            now += core::milliseconds{10};
            subject.on_tick(now, actions);
        }
    }

    /// @brief Removes and returns the actions of one type.
    template <typename Action>
    std::vector<Action> extract_actions()
    {
        std::vector<Action> result;
        session_actions rest;
        for (auto& it : actions) {
            if (auto* match = std::get_if<Action>(&it)) {
                result.push_back(std::move(*match));
            } else {
                rest.push_back(std::move(it));
            }
        }
        actions = std::move(rest);
        return result;
    }

    std::vector<wire::decoded_packet> extract_sent_packets()
    {
        std::vector<wire::decoded_packet> result;
        for (const auto& it : extract_actions<send_packet>()) {
            auto decoded = wire::decode_packet({it.bytes.data(), it.bytes.size()});
            EXPECT_TRUE(decoded.has_value());
            result.push_back(std::move(*decoded));
        }
        return result;
    }

    /// @brief Removes all sent packets and returns their bodies of one type, only those on the flow of `on` if given.
    template <typename Body>
    std::vector<Body> sent_bodies(const wire::flow_token* on = nullptr)
    {
        std::vector<Body> result;
        for (auto& it : extract_sent_packets()) {
            const bool matches = it.packet.body.type == wire::packet_bodyUnionTraits<Body>::enum_value;
            if (matches && (on == nullptr || it.header.token().flow() == on->flow())) {
                result.push_back(*static_cast<const Body*>(it.packet.body.value));
            }
        }
        return result;
    }

    template <typename Body>
    void receive(const wire::flow_token& from, Body body, std::uint64_t flow_hash = 0)
    {
        const wire::packet_header header(wire::packet_magic, wire::packet_class::reply, 0, flow_hash, from);
        auto bytes = wire::encode_packet(header, wire::make_packet(std::move(body)));
        if (auto* random = std::exchange(mutation_source, nullptr)) {
            bytes.at((*random)() % bytes.size()) ^= static_cast<std::uint8_t>(1U << ((*random)() % 8));
            bytes.resize(bytes.size() - (*random)() % 2);
        }
        subject.on_packet(now, {bytes.data(), bytes.size()}, actions);
    }

    /// @brief Replies to the pending open with the flow token `value`.
    void answer_open(const wire::flow_token& value)
    {
        std::uint64_t hash = 0;
        for (const auto& it : extract_sent_packets()) {
            if (it.header.packet_class() == wire::packet_class::open) {
                hash = it.header.flow_hash();
            }
        }
        ASSERT_NE(hash, 0U);
        wire::open_replyT body;
        body.token = std::make_unique<wire::flow_token>(value);
        receive(value, std::move(body), hash);
    }

    void open()
    {
        subject.open(now, actions);
        answer_open(token);
        ASSERT_TRUE(subject.is_open());
        extract_actions<opened>();
    }

    void segment(const wire::flow_token& from, std::uint64_t number, std::uint16_t i, std::uint16_t n,
                 std::uint32_t total, std::vector<std::uint8_t> payload)
    {
        wire::answerT body;
        body.number = number;
        body.status = 200;
        body.segment = i;
        body.segment_count = n;
        body.total_size = total;
        body.payload = std::move(payload);
        receive(from, std::move(body));
    }

    void answer(const wire::flow_token& from, std::uint64_t number, std::vector<std::uint8_t> payload)
    {
        const auto size = static_cast<std::uint32_t>(payload.size());
        segment(from, number, 0, 1, size, std::move(payload));
    }

    void acknowledge(const wire::flow_token& from, std::uint32_t sequence, const wire::flow_token* renewed = nullptr)
    {
        wire::keepalive_ackT body;
        body.sequence = sequence;
        body.token = std::make_unique<wire::flow_token>(renewed != nullptr ? *renewed : from);
        receive(from, std::move(body));
    }

    void event(const wire::flow_token& from, std::uint64_t previous, std::uint64_t id)
    {
        wire::eventT body;
        body.previous = previous;
        body.id = id;
        receive(from, std::move(body));
    }

    /// If set, the next received packet is corrupted with its random numbers: one bit, and half the time the last byte.
    core::random_source* mutation_source = nullptr;
    core::time_point now{std::chrono::hours(1)};
    session subject{{core::workspace_id{3}, core::milliseconds{5000}}, core::random_source(11)};
    session_actions actions;
    wire::flow_token token = make_token(11, 1);
};

} // namespace daisydoor::caller
