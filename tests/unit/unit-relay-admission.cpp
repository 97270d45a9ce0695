#include "daisydoor/relay/admission_queue.hpp"

#include "relay_fixture.hpp"

namespace daisydoor::relay
{
namespace
{

class admission_queue_test : public relay_fixture
{
  protected:
    static constexpr std::uint32_t slots = 2;

    request_urgency make_urgency(std::uint32_t priority = 0, core::milliseconds age = core::milliseconds(0)) const
    {
        return {m_now - age, core::milliseconds(200), core::milliseconds(3000), priority};
    }

    bool request(std::uint16_t number, const request_urgency& urgency)
    {
        return m_admission.on_request(make_flow(number), urgency, 100, bytes(), slots, m_now);
    }

    /// Occupies the slots and the places beyond them with requests 1, 2 and 3.
    void fill_slots()
    {
        for (std::uint16_t i = 1; i <= slots + max_requests_beyond_slots; ++i) {
            ASSERT_TRUE(request(i, make_urgency()));
        }
    }

    std::vector<std::uint16_t> release()
    {
        std::vector<std::uint16_t> result;
        for (const auto& it : m_admission.release(slots, m_now)) {
            result.push_back(it.flow.client_port);
        }
        return result;
    }

    admission_queue m_admission;
};

// Guards against a delay of requests while slots are free.
TEST_F(admission_queue_test, request_with_free_slot_is_admitted)
{
    fill_slots();
    EXPECT_FALSE(request(4, make_urgency()));
    m_admission.on_request_ended(make_flow(1));
    EXPECT_EQ(release(), std::vector<std::uint16_t>{4});
}

// Guards against an outage's backlog that makes every later request late too: for 3 s after the return of power no
// request was on time.
TEST_F(admission_queue_test, release_prefers_requests_that_can_be_on_time)
{
    fill_slots();
    EXPECT_FALSE(request(4, make_urgency(0, core::milliseconds(600))));
    EXPECT_FALSE(request(5, make_urgency(0, core::milliseconds(600))));
    EXPECT_FALSE(request(6, make_urgency()));
    m_admission.on_request_ended(make_flow(1));
    m_admission.on_request_ended(make_flow(2));
    EXPECT_EQ(release(), (std::vector<std::uint16_t>{6, 4}));
}

// Guards against urgent requests that wait behind less urgent ones in a burst.
TEST_F(admission_queue_test, release_prefers_urgent_routes)
{
    fill_slots();
    EXPECT_FALSE(request(4, make_urgency(2)));
    EXPECT_FALSE(request(5, make_urgency(1)));
    m_admission.on_request_ended(make_flow(1));
    EXPECT_EQ(release(), std::vector<std::uint16_t>{5});
}

// Guards against answers that are given up although their clients wait for them: an operator had lowered the timeout of
// a route to 200 ms, while its clients wait for 500 ms.
TEST_F(admission_queue_test, release_after_timeout_keeps_request_that_client_retransmits)
{
    fill_slots();
    request_urgency urgency = make_urgency();
    urgency.patience = core::milliseconds(200);
    EXPECT_FALSE(request(4, urgency));
    advance(core::milliseconds(200));
    EXPECT_FALSE(m_admission.on_further_packet(make_flow(4), 100, bytes(), m_now));
    advance(core::milliseconds(290));
    m_admission.on_request_ended(make_flow(1));
    EXPECT_EQ(release(), std::vector<std::uint16_t>{4});
    EXPECT_TRUE(m_admission.take_dropped().empty());
}

// Guards against requests that are late for their clients already and make others late too.
TEST_F(admission_queue_test, release_takes_requests_beyond_patience_last)
{
    fill_slots();
    request_urgency urgency = make_urgency(0, core::milliseconds(250));
    urgency.patience = core::milliseconds(200);
    EXPECT_FALSE(request(4, urgency));
    EXPECT_FALSE(request(5, make_urgency(0, core::milliseconds(400))));
    m_admission.on_request_ended(make_flow(1));
    m_admission.on_request_ended(make_flow(2));
    EXPECT_EQ(release(), (std::vector<std::uint16_t>{5, 4}));
}

// Guards against one customer's service time in the rule for all: a request of 15 ms with 50 ms left can still be on
// time, one of 60 ms cannot.
TEST_F(admission_queue_test, release_judges_time_left_by_service_time)
{
    for (const auto& [service_time, first] : {std::pair{15, 4}, std::pair{60, 5}}) {
        m_admission = {};
        m_admission.set_service_time(core::milliseconds(service_time));
        fill_slots();
        EXPECT_FALSE(request(4, make_urgency(0, core::milliseconds(150))));
        EXPECT_FALSE(request(5, make_urgency()));
        m_admission.on_request_ended(make_flow(1));
        EXPECT_EQ(release(), std::vector<std::uint16_t>{static_cast<std::uint16_t>(first)}) << service_time;
    }
}

// Guards against slots occupied by requests whose clients have given up.
TEST_F(admission_queue_test, release_after_timeout_drops_request)
{
    fill_slots();
    EXPECT_FALSE(request(4, make_urgency()));
    advance(core::milliseconds(3000));
    m_admission.on_request_ended(make_flow(1));
    EXPECT_TRUE(release().empty());
    const auto dropped = m_admission.take_dropped();
    ASSERT_EQ(dropped.size(), 1U);
    EXPECT_EQ(dropped[0].flow, make_flow(4));
    EXPECT_EQ(dropped[0].waited, core::milliseconds(3000));
    EXPECT_TRUE(m_admission.take_dropped().empty());
}

// Guards against a host that gets no more requests because answers were lost or clients gave up without closing their
// flows.
TEST_F(admission_queue_test, request_without_answer_frees_its_place)
{
    fill_slots();
    EXPECT_FALSE(request(4, make_urgency(0)));
    advance(initial_service_time * service_slot_factor + core::milliseconds(1));
    EXPECT_EQ(release(), std::vector<std::uint16_t>{4});
}

// Guards against a request of several packets that reaches the host out of order or twice.
TEST_F(admission_queue_test, packets_of_waiting_request_keep_order_without_copies)
{
    fill_slots();
    EXPECT_FALSE(request(4, make_urgency()));
    EXPECT_FALSE(m_admission.on_further_packet(make_flow(4), 100, bytes(), m_now));
    EXPECT_FALSE(m_admission.on_further_packet(make_flow(4), 1300, bytes(), m_now));
    EXPECT_TRUE(m_admission.on_further_packet(make_flow(1), 1300, bytes(), m_now));
    m_admission.on_request_ended(make_flow(1));
    const auto released = m_admission.release(slots, m_now);
    ASSERT_EQ(released.size(), 1U);
    EXPECT_EQ(released[0].packets.size(), 2U);
}

// Guards against memory that grows without bound in an overload.
TEST_F(admission_queue_test, request_beyond_bound_is_admitted)
{
    fill_slots();
    for (std::size_t i = 0; i < max_waiting_requests; ++i) {
        EXPECT_FALSE(request(static_cast<std::uint16_t>(100 + i), make_urgency()));
    }
    EXPECT_TRUE(request(50, make_urgency()));
}

} // namespace
} // namespace daisydoor::relay
