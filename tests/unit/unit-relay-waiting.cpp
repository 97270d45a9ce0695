#include "agent_relay_fixture.hpp"

#include <algorithm>

namespace daisydoor::relay
{
namespace
{

class waiting_request_test : public agent_relay_test
{
  protected:
    waiting_request_test()
    {
        auto value = make_route({{"svc", 1}});
        value.timeout = core::milliseconds(700);
        set_routes(m_view, {value});
        for (std::uint16_t i = 0; i <= m_agent->load().slots + max_requests_beyond_slots; ++i) {
            m_flow = make_flow(static_cast<std::uint16_t>(40000 + i));
            open(m_flow);
            on_packet(request());
        }
    }

    packet request() const
    {
        auto result = make_packet(m_flow);
        result.payload_size = 10;
        return result;
    }

    bool has_dropped() const
    {
        const auto all = emitted<decision_record>();
        return std::any_of(all.begin(), all.end(),
                           [](const auto& it) { return it.decision == decision::request_dropped; });
    }

    /// The flow whose request waits.
    flow_key m_flow;
};

// Guards against work for clients that have left: 28 of the requests that waited after an outage had been ended by
// their clients before, and the clients went on retransmitting them.
TEST_F(waiting_request_test, end_of_flow_drops_request_for_good)
{
    EXPECT_TRUE(emitted<send_to_host>().empty());
    auto end = make_packet(m_flow);
    end.sequence += 10;
    end.fin = true;
    on_packet(end);
    EXPECT_TRUE(has_dropped());
    EXPECT_TRUE(emitted<send_to_host>().empty());
    auto again = request();
    again.fin = true;
    on_packet(again);
    EXPECT_TRUE(emitted<send_to_host>().empty());
    tick(core::milliseconds(5000));
    EXPECT_TRUE(emitted<send_to_host>().empty());
    auto last = make_packet(m_flow);
    last.rst = true;
    on_packet(last);
    EXPECT_EQ(emitted<send_to_host>().size(), 1U) << "the host may forget the flow";
    on_host_packet(returned(last));
    EXPECT_TRUE(emitted<reset_client>().empty()) << "the client has ended the flow itself";
}

// Guards against work for a client that has left: its end of the flow may be lost before the request is dropped, and
// its retransmissions carry the request together with the end.
TEST_F(waiting_request_test, retransmission_with_end_after_drop_is_not_delivered)
{
    tick(core::milliseconds(1500));
    ASSERT_TRUE(has_dropped());
    auto again = request();
    again.fin = true;
    on_packet(again);
    EXPECT_TRUE(emitted<send_to_host>().empty());
    tick(max_service_slot_timeout);
    EXPECT_TRUE(emitted<send_to_host>().empty());
}

// Guards against a client port that is used again within seconds: the packets of the new flow were dropped like those
// of the old one, whose client had given up.
TEST_F(waiting_request_test, new_flow_from_same_port_is_served)
{
    auto end = make_packet(m_flow);
    end.sequence += 10;
    end.fin = true;
    on_packet(end);
    advance(max_service_slot_timeout);
    auto opening = make_syn(m_flow);
    opening.sequence = 70'000;
    on_packet(opening);
    ASSERT_EQ(emitted<send_to_host>().size(), 1U);
    on_host_packet(make_syn_ack(m_flow));
    auto next = request();
    next.sequence = 70'001;
    on_packet(next);
    EXPECT_EQ(emitted<send_to_host>().size(), 1U);
}

// Guards against copies of an opening packet that are taken for a new flow.
TEST_F(waiting_request_test, copy_of_opening_packet_keeps_flow)
{
    on_packet(make_syn(m_flow, 1));
    EXPECT_FALSE(has_dropped());
    EXPECT_TRUE(emitted<decision_record>().empty());
}

// Guards against an answer that a client gets only after its deadline because the host gets its retransmission before
// other requests that wait, outside the queue.
TEST_F(waiting_request_test, retransmission_after_drop_waits_again)
{
    tick(core::milliseconds(750));
    ASSERT_TRUE(has_dropped());
    const auto others = m_agent->load().in_flight;
    on_packet(request());
    EXPECT_TRUE(emitted<send_to_host>().empty());
    EXPECT_EQ(m_agent->load().in_flight, others + 1);
    tick(core::milliseconds(100));
    EXPECT_EQ(emitted<send_to_host>().size(), 1U) << "the requests before it are overdue";
}

} // namespace
} // namespace daisydoor::relay
