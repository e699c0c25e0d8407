// Time limits and poll intervals of the replica coordination.
#pragma once

#include "state/time_type.h"

#include <chrono>
#include <cstdint>

namespace auburnhaven::coordination {

/** Time limits and poll intervals of the replica coordination. */
struct ReplicaLimits
{
  state::Duration headReportPeriod_ = std::chrono::milliseconds(
    300); ///< Poll interval of the head of an open replica.
  state::Duration memberReportPeriod_ = std::chrono::milliseconds(
    1000); ///< Poll interval of the other members of an open replica.
  state::Duration joiningReportPeriod_ = std::chrono::milliseconds(
    150); ///< Poll interval of a VM whose state is about to change.
  state::Duration idleReportPeriod_ = std::chrono::milliseconds(
    1000); ///< Poll interval of a VM that belongs to no replica.
  state::Duration lostReportPeriod_ =
    std::chrono::milliseconds(400); ///< Poll interval of a lost VM.
  state::Duration reportTimeout_ =
    std::chrono::milliseconds(200); ///< Timeout of a poll.
  state::Duration doubtTime_ = std::chrono::milliseconds(
    3000); ///< Longest time that a replica whose member may be lost keeps its
           ///< requests; callers do not wait longer for the next event.
  std::uint32_t missedReportLimit_ =
    2; ///< Consecutive polls without an answer after which a VM is lost.
  state::Duration orderTimeout_ =
    std::chrono::milliseconds(700); ///< Timeout of an order.
  state::Duration orderRetryDelay_ = std::chrono::milliseconds(
    300); ///< Delay before another order is sent to the same VM.
  state::Duration stallLimit_ = std::chrono::seconds(
    6); ///< Time without one of its members after which a head enters the
        ///< broken state and stops serving.
  state::Duration stallMargin_ = std::chrono::milliseconds(
    200); ///< Added to the stall limit before the members of an unreachable
          ///< head are reused.
  state::Duration drainTimeout_ = std::chrono::milliseconds(
    1800); ///< Longest time that a replica with a leaving member may take to
           ///< complete its in-flight requests.
  state::Duration emptyTimeout_ = std::chrono::seconds(
    10); ///< Longest time that a replica whose VMs another model needs may take
         ///< to complete its in-flight requests.
  state::Duration joinTimeout_ = std::chrono::seconds(
    60); ///< Time after which a replica that is not ready is abandoned.
  state::Duration unregisteredPollTime_ = std::chrono::seconds(
    30); ///< How long a VM that is no longer registered is still polled.
  state::Duration registrationGrace_ = std::chrono::milliseconds(
    2500); ///< How long after the latest registration of a member further
           ///< members are expected to register, for example after a store
           ///< outage.
  state::Duration zoneSilenceLimit_ = std::chrono::milliseconds(
    900); ///< Time without an answer from any VM after which the daemon
          ///< suspects a fault of its own.
  bool operator==(const ReplicaLimits&) const = default;
};

} // namespace auburnhaven::coordination
