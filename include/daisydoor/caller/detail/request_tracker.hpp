#pragma once

#include "daisydoor/caller/detail/retry_budget.hpp"
#include "daisydoor/caller/detail/segment_assembly.hpp"
#include "daisydoor/caller/detail/session_flow.hpp"

#include <map>

namespace daisydoor::caller::detail
{

/// @brief Requests of a session until their single outcome: transmission, reassembly of answers, deadlines and retries.
///
/// A request gets a number on a flow when it is first sent there, and is retransmitted only under that flow and
/// number. Only an idempotent request can be assigned to another flow.
class request_tracker
{
  public:
    /// @brief Adds a request. One that does not fit in a packet is refused at once with `not_run` and `too_large`.
    core::request_number add(core::time_point now, wire::request_kind kind, std::string path,
                             std::vector<std::uint8_t> payload, core::milliseconds deadline, session_actions& actions);
    void cancel(core::time_point now, core::request_number number, session_actions& actions);
    void on_answer(core::time_point now, session_flow& flow, const wire::answerT& body, session_actions& actions);
    void on_refusal(core::time_point now, session_flow& flow, const wire::refusalT& body, session_actions& actions);
    /// @brief The agent no longer knows the flow: postings become `unknown`; idempotent requests wait for the next flow
    /// within the retry budget, and become `unknown` beyond it.
    void on_flow_gone(core::time_point now, session_flow& flow, session_actions& actions);
    /// @brief The flow's agent cannot be reached: idempotent requests wait for the next flow within the retry budget;
    /// other requests stay on this flow under their number.
    void on_flow_unreachable(core::time_point now, session_flow& flow);
    /// @brief Refuses expired requests, assigns requests without a flow to `current` (which may be nullptr), and
    /// retransmits those that are due.
    void on_tick(core::time_point now, session_flow* current, session_actions& actions);
    /// @brief Ends all requests: `not_run` for those never sent, `unknown` for the others.
    void close(session_actions& actions);
    /// @brief Whether a request on the flow has been sent at least 4 times without any reply.
    [[nodiscard]] bool is_unanswered(const session_flow& flow) const;

  private:
    struct tracked_request
    {
        wire::request_kind kind = wire::request_kind::idempotent;
        std::string path;
        std::vector<std::uint8_t> payload;
        core::time_point deadline{};
        /// Flow that the request is assigned to, nullptr while it waits for one, and its number there.
        session_flow* flow = nullptr;
        std::uint64_t number_on_flow = 0;
        bool was_sent = false;
        /// Sent on an earlier flow that gave no outcome; a `not_run` of the current flow then does not cover that flow.
        bool may_have_run_on_earlier_flow = false;
        bool is_cancelling = false;
        unsigned send_count = 0;
        retransmit_timer timer;
        segment_assembly assembly;
        /// HTTP status and size of the whole answer in bytes, as in the first received segment.
        std::uint16_t status = 0;
        std::uint32_t total_size = 0;
    };
    using request_map = std::map<core::request_number, tracked_request>;

    request_map::iterator find(const session_flow& flow, std::uint64_t number_on_flow);
    void detach(tracked_request& request);
    void refuse(request_map::iterator it, wire::refusal_kind kind, wire::refusal_reason reason,
                core::milliseconds retry_after, session_actions& actions);
    /// Detaches the request from its flow, so that it is retried on another one.
    /// @return false if its kind, its deadline, a cancellation or the retry budget forbids a retry
    bool detach_for_retry(core::time_point now, tracked_request& request);
    static void transmit(core::time_point now, tracked_request& request, session_actions& actions);
    static void assign(core::time_point now, core::request_number number, tracked_request& request, session_flow& flow);
    bool expire(core::time_point now, request_map::iterator it, session_actions& actions);

    request_map m_requests;
    std::uint64_t m_last_number = 0;
    retry_budget m_budget;
};

} // namespace daisydoor::caller::detail
