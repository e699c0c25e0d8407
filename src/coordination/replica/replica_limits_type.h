// Limits and periods by which copies are formed and kept.
#pragma once

#include "state/time_type.h"

#include <chrono>
#include <cstdint>

namespace auburnhaven::coordination {

/** Limits and periods by which copies are formed and kept. */
struct ReplicaLimits
{
  state::Duration headReportPeriod_ =
    std::chrono::milliseconds(300); ///< Between two reports of an open head.
  state::Duration memberReportPeriod_ =
    std::chrono::milliseconds(500); ///< Between two reports of another member.
  state::Duration joiningReportPeriod_ = std::chrono::milliseconds(
    150); ///< Between two reports of a VM that is about to change.
  state::Duration idleReportPeriod_ =
    std::chrono::milliseconds(1000); ///< Between two reports of a free VM.
  state::Duration lostReportPeriod_ =
    std::chrono::milliseconds(400); ///< Between two questions to a lost VM.
  state::Duration reportTimeout_ =
    std::chrono::milliseconds(300); ///< Longest wait for a report.
  std::uint32_t missedReportLimit_ =
    2; ///< Reports in a row without answer that make a VM lost.
  state::Duration orderTimeout_ =
    std::chrono::milliseconds(700); ///< Longest wait for an order's answer.
  state::Duration orderRetryDelay_ =
    std::chrono::milliseconds(300); ///< Pause before an order is repeated.
  state::Duration stallLimit_ = std::chrono::seconds(
    6); ///< After which a head without one of its members is broken.
  state::Duration stallMargin_ = std::chrono::milliseconds(
    200); ///< Added to the stall limit before members are used again.
  state::Duration drainTimeout_ = std::chrono::milliseconds(
    1800); ///< Longest time that a copy with a leaving member finishes work.
  state::Duration joinTimeout_ =
    std::chrono::seconds(60); ///< After which an unfinished copy is given up.
  state::Duration unregisteredPollTime_ = std::chrono::seconds(
    30); ///< How long a VM that is not registered any more is still asked.
  state::Duration registrationGrace_ = std::chrono::milliseconds(
    2500); ///< How long after the newest VM was listed further ones may follow,
           ///< as after an outage of the store.
  state::Duration zoneSilenceLimit_ = std::chrono::milliseconds(
    900); ///< Silence of all VMs after which the daemon doubts itself.
  bool operator==(const ReplicaLimits&) const = default;
};

} // namespace auburnhaven::coordination
