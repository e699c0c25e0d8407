// Configuration documents as operators submit them.
#pragma once

#include "state/endpoint_type.h"
#include "state/id_type.h"
#include "state/time_type.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace auburnhaven::state {

/** Days and hours in which a priority of a kind of work applies, in local time
 * of the schedule. */
struct PriorityWindow
{
  std::uint8_t weekdays_ = 0;    ///< Bit set, bit 0 is Monday.
  std::uint16_t fromMinute_ = 0; ///< First minute of the day, 0 to 1439.
  std::uint16_t toMinute_ =
    0; ///< Minute of the day after the last one, 1 to 1440.
  std::int16_t utcOffsetMinutes_ = 0; ///< Offset of local time from UTC.
  std::int32_t priority_ = 0; ///< Priority in the window; greater goes first.
  bool operator==(const PriorityWindow&) const = default;
};

/** One kind of work that a serving group takes. */
struct WorkKind
{
  WorkKindId id_; ///< Name, as callers give it.
  std::int32_t priority_ =
    0; ///< Priority outside all windows; greater goes first.
  std::vector<PriorityWindow>
    windows_; ///< Windows; the first that matches applies.
  bool operator==(const WorkKind&) const = default;
};

/** The promise of a serving group for its worst minute. */
struct Promise
{
  std::chrono::milliseconds firstToken_{ 1800 }; ///< Limit for the first token.
  std::chrono::milliseconds betweenTokens_{ 26 }; ///< Limit between two tokens.
  std::uint32_t sharePermille_ =
    950; ///< Requests in 1,000 of a minute within the limits.
  bool operator==(const Promise&) const = default;
};

/** A serving group. */
struct ServingGroup
{
  GroupId id_;                        ///< Name of the group.
  std::string model_;                 ///< Model name, as callers give it.
  std::string version_;               ///< Model version.
  std::vector<std::string> adapters_; ///< Adapters to load, sorted.
  std::vector<AccountId> accounts_;   ///< Client accounts served, sorted.
  std::vector<WorkKind> kinds_;  ///< Kinds of work; the first is the default.
  std::uint32_t vmsPerCopy_ = 1; ///< VMs that one copy spans.
  std::uint32_t copies_ = 1;     ///< Copies wanted.
  std::int32_t priority_ = 0; ///< Priority between groups when VMs are short.
  Promise promise_;           ///< The promised worst minute.
  std::vector<ZoneId> zones_; ///< Availability zones allowed; empty for all.
  bool operator==(const ServingGroup&) const = default;
};

/** A client account. */
struct ClientAccount
{
  AccountId id_;          ///< Name of the account.
  std::string keyDigest_; ///< SHA-256 of the bearer key in hexadecimal.
  std::uint32_t requestsPerSecond_ = 0; ///< Limit over all daemons, 0 for none.
  std::uint32_t tokensPerSecond_ = 0;   ///< Limit over all daemons, 0 for none.
  std::uint32_t weight_ = 1;            ///< Fair share when targets are short.
  bool operator==(const ClientAccount&) const = default;
};

/** One operation of a plain service. */
struct ServiceOperation
{
  std::string name_;        ///< Name in the path.
  bool idempotent_ = false; ///< Whether a call may be repeated.
  std::chrono::milliseconds timeout_{ 10000 }; ///< Limit for one call.
  bool operator==(const ServiceOperation&) const = default;
};

/** One target of a plain service. */
struct ServiceTarget
{
  VmId vm_;           ///< The VM.
  ZoneId zone_;       ///< Its availability zone.
  Endpoint endpoint_; ///< Where it takes calls.
  bool operator==(const ServiceTarget&) const = default;
};

/** A plain service beside the model engines. */
struct PlainService
{
  ServiceId id_;                    ///< Name of the service.
  std::vector<AccountId> accounts_; ///< Client accounts allowed, sorted.
  std::vector<ServiceOperation>
    operations_; ///< Operations; an unnamed one is not idempotent.
  std::vector<ServiceTarget> targets_; ///< Where it runs.
  bool operator==(const PlainService&) const = default;
};

/** The operator's choices that hold for the whole system. */
struct SystemPolicy
{
  std::uint32_t sparesPerDomain_ =
    1; ///< Spare VMs kept per fabric domain: less downtime for more stranding.
  std::uint32_t reservesPerCopy_ =
    0; ///< Spares reserved ahead to each copy for store outages.
  bool allowPreemption_ =
    true; ///< Whether a lesser copy gives up VMs to complete a greater one.
  std::chrono::hours claimRetention_{
    24
  }; ///< How long an idempotency key is remembered.
  bool operator==(const SystemPolicy&) const = default;
};

/** The whole configuration of one generation. Immutable once shared. */
struct Configuration
{
  Generation generation_;                       ///< Generation of the head.
  SystemPolicy policy_;                         ///< System-wide choices.
  std::map<GroupId, ServingGroup> groups_;      ///< Serving groups.
  std::map<AccountId, ClientAccount> accounts_; ///< Client accounts.
  std::map<ServiceId, PlainService> services_;  ///< Plain services.
  bool operator==(const Configuration&) const = default;
};

using ConfigurationPtr =
  std::shared_ptr<const Configuration>; ///< Shared snapshot.

} // namespace auburnhaven::state
