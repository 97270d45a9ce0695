#include "daisydoor/relay/admission_queue.hpp"

#include "relay_fixture.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <utility>

namespace daisydoor::relay
{
namespace
{

/// Callers in front of one host that answers 100 requests a second.
class caller_shares_test : public relay_fixture
{
  protected:
    static constexpr std::uint32_t slots = 2;
    static constexpr core::milliseconds work{30};
    static constexpr core::milliseconds target_latency{200};

    struct outcome
    {
        std::uint32_t sent = 0;
        std::uint32_t on_time = 0;
        std::uint32_t released = 0;
    };

    static ipv4 caller_address(std::uint32_t n) { return ipv4{0x64400000 + n}; }

    void request(std::uint32_t caller, std::uint32_t priority = 0, core::milliseconds patience = core::milliseconds(0))
    {
        const flow_key flow{caller_address(caller), service_address, m_next_port++, service_port};
        const request_urgency urgency{m_now, target_latency, patience, priority};
        ++m_outcomes[caller].sent;
        m_sent_at[flow.client_port] = m_now;
        if (m_admission.on_request(flow, urgency, 100, bytes(), slots, m_now)) {
            start(flow);
        }
    }

    void start(const flow_key& flow)
    {
        auto& caller = m_outcomes[static_cast<std::uint32_t>(flow.client) - 0x64400000];
        ++caller.released;
        caller.on_time += m_now + work - m_sent_at[flow.client_port] <= target_latency ? 1 : 0;
        m_order.push_back(flow.client_port);
        m_at_host.emplace_back(m_now + work, flow);
    }

    /// Ends the requests whose work is done, and starts the next ones.
    void pass_millisecond()
    {
        advance(core::milliseconds(1));
        while (!m_at_host.empty() && m_at_host.front().first <= m_now) {
            m_admission.on_request_ended(m_at_host.front().second);
            m_at_host.pop_front();
        }
        for (const auto& it : m_admission.release(slots, m_now)) {
            start(it.flow);
        }
    }

    /// Each caller sends a request each so many milliseconds, the callers one after the other.
    void play(const std::vector<int>& intervals, core::milliseconds time)
    {
        m_admission.set_service_time(work);
        for (int ms = 0; ms < time.count(); ++ms) {
            for (std::size_t i = 0; i < intervals.size(); ++i) {
                if ((ms + static_cast<int>(i) * 7) % intervals[i] == 0) {
                    request(static_cast<std::uint32_t>(i));
                }
            }
            pass_millisecond();
        }
    }

    admission_queue m_admission;
    std::uint16_t m_next_port = 1;
    std::map<std::uint32_t, outcome> m_outcomes;
    std::map<std::uint16_t, core::time_point> m_sent_at;
    std::deque<std::pair<core::time_point, flow_key>> m_at_host;
    std::vector<std::uint16_t> m_order;
};

// Guards against a caller that takes the room of all others by pressing ten times harder than they do: together they
// ask for a fifth more than there is.
TEST_F(caller_shares_test, caller_that_presses_ten_times_harder_leaves_others_on_time)
{
    std::vector<int> intervals(10, 160);
    intervals.push_back(16);
    play(intervals, core::milliseconds(8000));
    for (std::uint32_t i = 0; i < 10; ++i) {
        const auto& it = m_outcomes[i];
        EXPECT_GE(it.on_time + 2, it.sent) << i << ": " << it.on_time << " of " << it.sent;
    }
    const auto& hard = m_outcomes[10];
    EXPECT_GE(hard.released, 8 * (100 - 10 * 1000 / 160) * 9 / 10) << "room that the others leave";
}

// Guards against an order that changes where all callers press equally.
TEST_F(caller_shares_test, equal_callers_keep_order_of_arrival)
{
    play(std::vector<int>(20, 190), core::milliseconds(1500));
    EXPECT_TRUE(std::is_sorted(m_order.begin(), m_order.end()));
    EXPECT_GT(m_admission.waiting(), 0U);
}

// Guards against callers that pay for what a caller did in an earlier overload.
TEST_F(caller_shares_test, end_of_overload_ends_lead)
{
    caller_shares shares;
    for (int i = 0; i < 20; ++i) {
        shares.add(caller_address(1));
    }
    EXPECT_GT(shares.excess(shares.add(caller_address(1))), 0);
    shares.on_idle();
    EXPECT_EQ(shares.excess(shares.add(caller_address(1))), 0);
    EXPECT_EQ(shares.excess(shares.add(caller_address(2))), 0);
}

// Guards against one request of many callers that all share the fate of the one that presses hard.
TEST_F(caller_shares_test, caller_in_one_common_cell_keeps_its_share)
{
    caller_shares shares;
    for (int i = 0; i < 100; ++i) {
        shares.add(caller_address(0));
    }
    int held_back = 0;
    for (std::uint32_t n = 1; n <= 1000; ++n) {
        caller_shares copy = shares;
        held_back += copy.excess(copy.add(caller_address(n))) > 0 ? 1 : 0;
    }
    EXPECT_LE(held_back, 1);
}

// Guards against requests of less urgent routes that nobody serves while urgent ones keep the host busy.
TEST_F(caller_shares_test, less_urgent_request_is_served_in_lasting_overload)
{
    m_admission.set_service_time(work);
    for (std::uint32_t i = 0; i < 10; ++i) {
        request(i);
    }
    const auto port = m_next_port;
    const auto sent_at = m_now;
    request(100, 5, core::milliseconds(2000));
    for (int ms = 0; ms < 2000 - work.count(); ++ms) {
        if (ms % 8 == 0) {
            request(static_cast<std::uint32_t>(ms % 20));
        }
        pass_millisecond();
        const bool is_served = std::find(m_order.begin(), m_order.end(), port) != m_order.end();
        EXPECT_FALSE(is_served && m_now - sent_at < core::milliseconds(1500))
            << "while the client has time, requests that can be on time go first";
    }
    EXPECT_NE(std::find(m_order.begin(), m_order.end(), port), m_order.end());
}

// Guards against room for a late request whose client leaves before the answer.
TEST_F(caller_shares_test, request_that_cannot_be_answered_in_time_has_no_minimum)
{
    m_admission.set_service_time(work);
    for (std::uint32_t i = 0; i < 10; ++i) {
        request(i);
    }
    const auto port = m_next_port;
    request(100, 5, work);
    for (int ms = 0; ms < 1000; ++ms) {
        if (ms % 8 == 0) {
            request(static_cast<std::uint32_t>(ms % 20));
        }
        pass_millisecond();
    }
    EXPECT_EQ(std::find(m_order.begin(), m_order.end(), port), m_order.end());
}

} // namespace
} // namespace daisydoor::relay
