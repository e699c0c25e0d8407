// Limits and timing of the management of serving groups.
#pragma once

#include "state/time_type.h"

#include <cstddef>
#include <cstdint>

namespace auburnhaven::coordination {

/** Limits and timing of the management of serving groups. */
struct GroupLimits
{
  state::Duration evidenceLimit_ = std::chrono::seconds(
    5); ///< Maximum age at which a member's report is evidence of its state.
  state::Duration remoteEvidenceLimit_ = std::chrono::seconds(
    20); ///< Maximum age at which another zone's summary is valid.
  state::Duration leaseTimeToLive_ =
    std::chrono::seconds(10); ///< Time to live of a domain lease.
  state::Duration leaseRenewal_ =
    std::chrono::seconds(3); ///< Interval between lease renewals.
  state::Duration leaseMargin_ = std::chrono::seconds(
    2); ///< How long before the lease in the store the local authority ends.
  state::Duration orderTimeout_ =
    std::chrono::seconds(2); ///< Maximum time that an order is in flight.
  state::Duration orderRetryDelay_ =
    std::chrono::seconds(1); ///< Delay before an order is sent again.
  state::Duration takeoverWait_ = std::chrono::seconds(
    3); ///< Delay before a new lease holder acts; longer than orderTimeout_, so
        ///< that no order of its predecessor is in flight.
  state::Duration planPeriod_ =
    std::chrono::seconds(1); ///< Interval between plans.
  state::Duration replaceAfter_ =
    std::chrono::seconds(10); ///< Absence after which a member is replaced.
  state::Duration preemptAfter_ = std::chrono::seconds(
    60); ///< Absence after which another copy is preempted for its VMs.
  state::Duration stabilizationTime_ = std::chrono::seconds(
    30); ///< Presence after which a returning VM becomes a spare.
  state::Duration flapWindow_ =
    std::chrono::minutes(10); ///< Window in which absences are counted.
  std::uint32_t flapThreshold_ =
    3; ///< Number of absences in the window from which a VM is flapping.
  state::Duration stragglerAfter_ = std::chrono::seconds(
    60); ///< Duration of slowness after which a member is replaced.
  std::uint32_t stragglerPermille_ =
    500; ///< Speed relative to the median, in permille, below which a member is
         ///< slow.
  state::Duration unavailableAfter_ = std::chrono::seconds(
    60); ///< Absence after which a VM no longer counts as capacity.
  state::Duration summaryRefresh_ = std::chrono::seconds(
    5); ///< Interval at which an unchanged summary is published again.
  state::Duration storeOutageAfter_ = std::chrono::seconds(
    15); ///< Time without a reply of the store after which reserves are used.
  state::Duration startupWait_ = std::chrono::seconds(
    10); ///< Time after the start during which no copy is created or moved.
  state::Duration startupRecordTimeout_ = std::chrono::seconds(
    60); ///< Maximum time after the start to wait for all records of the zone
         ///< before copies are created or moved.
  std::uint32_t loadsAtOnce_ =
    8; ///< Number of VMs of a zone that can load concurrently at the full rate
       ///< of the weight store.
  std::uint32_t leaseCandidates_ =
    3; ///< Number of daemons that compete for the lease of one domain.
  std::size_t auditEntries_ =
    200; ///< Number of entries retained in each audit trail.
  bool operator==(const GroupLimits&) const = default;
};

} // namespace auburnhaven::coordination
