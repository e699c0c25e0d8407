// Limits and periods by which serving groups are kept.
#pragma once

#include "state/time_type.h"

#include <cstddef>
#include <cstdint>

namespace auburnhaven::coordination {

/** Limits and periods by which serving groups are kept. */
struct GroupLimits
{
  state::Duration evidenceLimit_ =
    std::chrono::seconds(5); ///< Greatest age of a member's report.
  state::Duration remoteEvidenceLimit_ =
    std::chrono::seconds(20); ///< Greatest age of another zone's summary.
  state::Duration leaseTimeToLive_ =
    std::chrono::seconds(10); ///< Time to live of a domain's lease.
  state::Duration leaseRenewal_ =
    std::chrono::seconds(3); ///< Period of renewals.
  state::Duration leaseMargin_ = std::chrono::seconds(
    2); ///< How much earlier the holder's own authority ends.
  state::Duration orderTimeout_ =
    std::chrono::seconds(2); ///< Longest time an order is under way.
  state::Duration orderRetryDelay_ =
    std::chrono::seconds(1); ///< Pause before an order is repeated.
  state::Duration takeoverWait_ = std::chrono::seconds(
    3); ///< Pause of a new holder, longer than an order is under way.
  state::Duration planPeriod_ =
    std::chrono::seconds(1); ///< Period of planning.
  state::Duration replaceAfter_ =
    std::chrono::seconds(10); ///< Absence after which a member is replaced.
  state::Duration preemptAfter_ = std::chrono::seconds(
    60); ///< Absence after which another copy gives VMs up.
  state::Duration stabilizationTime_ = std::chrono::seconds(
    30); ///< Presence after which a returning VM is a spare.
  state::Duration flapWindow_ =
    std::chrono::minutes(10); ///< Time in which absences are counted.
  std::uint32_t flapThreshold_ =
    3; ///< Absences in the window that make it flap.
  state::Duration stragglerAfter_ =
    std::chrono::seconds(60); ///< Slowness after which a member is replaced.
  std::uint32_t stragglerPermille_ =
    500; ///< Speed against the median below which a member is slow.
  state::Duration unavailableAfter_ = std::chrono::seconds(
    60); ///< Absence after which a VM is no capacity any more.
  state::Duration summaryRefresh_ =
    std::chrono::seconds(5); ///< Period of unchanged summaries.
  state::Duration storeOutageAfter_ = std::chrono::seconds(
    15); ///< Time without the store after which reserves are used.
  state::Duration startupWait_ = std::chrono::seconds(
    10); ///< Time after the start in which no copy is created or moved.
  state::Duration startupRecordTimeout_ = std::chrono::seconds(
    60); ///< Time after the start in which all records of the zone are awaited.
  std::uint32_t loadsAtOnce_ =
    8; ///< VMs of a zone that load at once at the weight store's full rate.
  std::uint32_t leaseCandidates_ =
    3; ///< Daemons that try for the lease of one domain.
  std::size_t auditEntries_ = 200; ///< Entries kept of each audit trail.
  bool operator==(const GroupLimits&) const = default;
};

} // namespace auburnhaven::coordination
