#pragma once

#include "daisydoor/agent/context.hpp"

#include <memory>

namespace daisydoor::agent
{

/// @brief Reply address of a request: its flow, and the envelope and token for the return path.
struct flow_address
{
    core::flow_id flow{};
    core::workspace_id workspace{};
    wire::envelope reply_envelope;
    wire::flow_token token;
};

/// @brief Processes requests: records them, queues them fairly between workspaces, runs them at the target within a
/// concurrency limit, and hands them over to peer agents.
class work
{
  public:
    struct counters
    {
        std::uint64_t accepted = 0;
        std::uint64_t refused_not_run = 0;
        std::uint64_t unknown = 0;
        std::uint64_t handed_to_peers = 0;
        std::uint64_t accepted_from_peers = 0;
    };

    explicit work(agent_context& context);
    ~work();
    work(const work&) = delete;
    work& operator=(const work&) = delete;

    void on_request(core::time_point now, const flow_address& from, const wire::requestT& body, action_list& actions);
    void on_fetch(core::time_point now, const flow_address& from, const wire::fetchT& body, action_list& actions);
    void on_cancel(core::time_point now, const flow_address& from, const wire::cancelT& body, action_list& actions);
    /// @brief Drops the records of all numbers up to `acknowledged`, whose outcome the caller has.
    void acknowledge(core::flow_id flow, core::request_number acknowledged);
    /// @brief Drops the records of a closed flow. Requests in progress finish, and their answers are discarded.
    void forget_flow(core::flow_id flow);
    /// @brief Whether the flow has records that the caller has not acknowledged.
    [[nodiscard]] bool has_records(core::flow_id flow) const;

    /// @brief Whether a connected peer has yet to acknowledge the result of a request that ran here on its behalf.
    [[nodiscard]] bool has_unacknowledged_results() const;

    void on_peer_up(core::time_point now, core::host_id host, core::incarnation_id incarnation, action_list& actions);
    void on_peer_down(core::time_point now, core::host_id host, action_list& actions);
    /// @brief Handles load_report, work_request, handover, handover_result, outcome_query and result_ack; ignores
    /// other kinds. A load report must be stored in the context before the call.
    void on_peer_message(core::time_point now, core::host_id host, const wire::peer_messageT& message,
                         action_list& actions);
    void on_exchange_result(core::time_point now, exchange_id id, exchange_result result, action_list& actions);
    /// @brief Expires deadlines, probes a failing target, and starts, hands over and requests work.
    void on_tick(core::time_point now, action_list& actions);

    /// @brief Whether the target has failed so often in a row that the agent should eject itself.
    [[nodiscard]] bool is_target_failing() const noexcept;
    /// @brief Whether the concurrency limit has reached the number of slots since the last cold start.
    [[nodiscard]] bool is_warm() const noexcept;
    [[nodiscard]] std::size_t queued() const noexcept;
    [[nodiscard]] std::size_t in_flight() const noexcept;
    [[nodiscard]] std::size_t limit() const noexcept;
    [[nodiscard]] std::size_t free_slots() const noexcept;
    [[nodiscard]] std::size_t records() const noexcept;
    [[nodiscard]] const counters& count() const noexcept;

  private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace daisydoor::agent
