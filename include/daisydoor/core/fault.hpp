#pragma once

#include <array>
#include <string_view>

/// @brief Injectable faults in the decision cores for mutation testing, which checks that a test fails for each fault.
namespace daisydoor::core
{

enum class fault
{
    none,
    skip_incarnation_check,
    skip_mac_check,
    ignore_token_service,
    accept_older_version,
    accept_bad_digest,
    retry_posting,
    rerun_repeated_number,
    not_run_after_hand_over,
    skip_fence,
    second_hop,
    skip_drain_forward,
    cancel_in_flight_on_drain,
    break_before_make,
    accept_stale_datagram,
    deliver_repeated_event,
    skip_gap_check,
    unfair_queue,
    ignore_queue_bound,
    ignore_eject_ceiling,
};
/// @brief Values of the environment variable DAISYDOOR_FAULT, in the order of the enumerators.
constexpr std::array<std::string_view, 20> fault_names{"none",
                                                       "skip_incarnation_check",
                                                       "skip_mac_check",
                                                       "ignore_token_service",
                                                       "accept_older_version",
                                                       "accept_bad_digest",
                                                       "retry_posting",
                                                       "rerun_repeated_number",
                                                       "not_run_after_hand_over",
                                                       "skip_fence",
                                                       "second_hop",
                                                       "skip_drain_forward",
                                                       "cancel_in_flight_on_drain",
                                                       "break_before_make",
                                                       "accept_stale_datagram",
                                                       "deliver_repeated_event",
                                                       "skip_gap_check",
                                                       "unfair_queue",
                                                       "ignore_queue_bound",
                                                       "ignore_eject_ceiling"};

#ifdef DAISYDOOR_MUTATIONS
/// @brief Whether the environment variable DAISYDOOR_FAULT names this fault.
bool is_active(fault value) noexcept;
#else
/// @brief Always false in a regular build, so that the compiler removes the fault.
constexpr bool is_active(fault /*value*/) noexcept { return false; }
#endif

} // namespace daisydoor::core
