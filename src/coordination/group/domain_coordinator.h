// Coordinates one fabric domain while it holds the domain's lease.
#pragma once

#include "coordination/group/allocation_func.h"
#include "coordination/group/domain_audit.h"
#include "coordination/group/planner_func.h"
#include "coordination/leader_lease.h"
#include "coordination/observation_port.h"
#include "coordination/store_port.h"
#include "coordination/target_port.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace auburnhaven::coordination {

/** Inputs of one tick that all coordinators of a daemon share. The references
 * must outlive the call. */
struct PlanContext
{
  const state::Configuration& configuration_; ///< Configuration in force.
  const VmHistoryMap& history_;               ///< History of the zone's VMs.
  const Allocation& allocation_;              ///< Copies of each domain.
  const std::set<state::VmId>& loadableVms_;  ///< VMs that may start to load.
  bool mayRebalance_ = false; ///< Whether copies may be created and moved.
};

/** How this daemon takes part in the coordination of one domain. */
struct CoordinatorRole
{
  std::optional<state::Duration>
    leaseAttemptPeriod_; ///< Interval between attempts to acquire the lease;
                         ///< std::nullopt to make no attempts.
  bool maySubstituteReserves_ =
    false; ///< Whether it may replace absent members by reserves while the
           ///< store is unavailable.
};

/** Counters of one coordinator since its start. */
struct CoordinatorCounts
{
  std::uint64_t orders_ = 0;    ///< Orders sent.
  std::uint64_t writes_ = 0;    ///< Record writes attempted.
  std::uint64_t conflicts_ = 0; ///< Writes rejected by the compare-and-swap.
  std::uint64_t ambiguous_ = 0; ///< Writes whose reply was lost.
  std::uint64_t fenced_ = 0;    ///< Orders refused as stale by the engine.
  std::uint64_t substitutions_ = 0; ///< Reserves used without the store.
  bool operator==(const CoordinatorCounts&) const = default;
};

/**
 * Coordinates one fabric domain: renews its lease, plans assignments, writes
 * the domain record by compare-and-swap and sends orders to the engines.
 * Without the lease it only caches the records that it receives from other
 * daemons and, if its role permits, substitutes reserves during a store outage.
 * Control thread only.
 */
class DomainCoordinator
{
public:
  /**
   * The objects passed by reference, except aLimits, must outlive this object.
   * @param aClock Monotonic clock and wall clock.
   * @param aStore Store of the lease, the record and the audit trail.
   * @param aEngines Client that sends orders to the engines.
   * @param aObservation VMs of the zone and their latest reports.
   * @param aDomain Fabric domain to coordinate.
   * @param aZone Availability zone of the domain.
   * @param aHolder Holder name of this process; unique across restarts.
   * @param aLimits Limits and timing.
   */
  DomainCoordinator(state::Clock& aClock,
                    Store& aStore,
                    EngineClient& aEngines,
                    const Observation& aObservation,
                    state::DomainId aDomain,
                    state::ZoneId aZone,
                    std::string aHolder,
                    const GroupLimits& aLimits);

  /**
   * Renews the lease or tries to acquire it. While the lease is held, reads the
   * record if it is not current and flushes the audit trail.
   * @param aRole Role of this daemon for the domain.
   */
  void tick(const CoordinatorRole& aRole);
  /**
   * Plans changes and writes them to the record. Does nothing unless
   * isActiveLeader() or while a call on the record is in flight.
   * @param aContext Shared inputs of this tick.
   */
  void planAndWrite(const PlanContext& aContext);
  /**
   * Sends orders to the VMs that do not follow the record. Does nothing unless
   * isActiveLeader(), or aRole permits to use reserves and the store is
   * unavailable.
   * @param aContext Shared inputs of this tick.
   * @param aRole Role of this daemon for the domain.
   */
  void sendOrders(const PlanContext& aContext, const CoordinatorRole& aRole);
  /**
   * Accepts a record that another daemon read or wrote, if it is newer.
   * @param aRecord Record of the domain.
   */
  void updateRecord(const state::DomainRecord& aRecord);
  /** @return Newest known record, or std::nullopt. */
  const std::optional<state::DomainRecord>& record() const;
  /** @return Whether this process holds the lease, has done so for at least
   * GroupLimits::takeoverWait_, and has read the current record. */
  bool isActiveLeader() const;
  /** @return Whether this process holds the lease. */
  bool holdsLease() const;
  /** @return Audit entries of this process, whether or not they are written. */
  const AuditTrail& auditTrail() const;
  /** @return Counters since the start of this coordinator. */
  const CoordinatorCounts& counts() const;
  /**
   * Releases the lease and never acquires it again.
   * @param aHandler Called when the store has replied or the call has failed.
   */
  void releaseLease(LeaderLease::DoneHandler aHandler);

private:
  /** State of the latest order to a VM. */
  struct OrderState
  {
    bool inFlight_ = false;        ///< Whether its reply is outstanding.
    state::TimePoint retryAt_{};   ///< When it may be sent again.
    state::FencingNumber fencing_; ///< Fencing number of the order.
  };

  /** @return Whether the store has not replied for storeOutageAfter_. */
  bool hasStoreOutage() const;
  void readRecord();
  void handleReadReply(const StoreReply& aReply, state::TimePoint aHeldSince);
  void writeRecord(state::DomainRecord aNext, const PlannedCommands& aMoves);
  void handleWriteReply(const StoreReply& aReply,
                        const state::DomainRecord& aNext,
                        const PlannedCommands& aMoves);
  void installRecord(state::DomainRecord aRecord, state::Revision aRevision);
  /** Appends the lost write to the audit trail if the record that was read
   * back shows that it took effect. */
  void resolveAmbiguousWrite(const state::DomainRecord& aRecord);
  void appendAudit(const state::DomainRecord& aRecord,
                   const PlannedCommands& aMoves);
  /** @return Copies that the domain is to host; those that it hosts already
   * while copies may not be moved. */
  std::set<state::CopyId> wantedCopies(const PlanContext& aContext) const;
  /** @return The known record with absent members replaced by reserves. */
  state::DomainRecord recordWithSubstitutions();
  /** Replaces the absent member of a copy by a reserve. A substitution that
   * engines report or that was chosen before is kept while its reserve is
   * present.
   * @return The record with the substitution, or std::nullopt if there is none.
   */
  std::optional<state::DomainRecord> substituteReserve(
    const state::CopyId& aCopy);
  void sendOrder(const state::DomainRecord& aRecord,
                 const state::VmInfo& aVm,
                 EngineOrder aOrder);
  void handleOrderReply(const state::VmId& aVm, OrderStatus aStatus);

  state::Clock& clock_;            ///< Monotonic clock and wall clock.
  Store& store_;                   ///< Store.
  EngineClient& engines_;          ///< Sends orders to the engines.
  const Observation& observation_; ///< VMs of the zone and their reports.
  state::DomainId domain_;         ///< Fabric domain.
  state::ZoneId zone_;             ///< Its availability zone.
  std::string holder_;             ///< Holder name of this process.
  GroupLimits limits_;             ///< Limits and timing.
  LeaderLease lease_;              ///< Lease of the domain.
  DomainAudit audit_;              ///< Audit trail.
  std::optional<state::DomainRecord> record_; ///< Newest known record.
  state::Revision revision_;     ///< Store revision of record_, if this process
                                 ///< read or wrote it.
  bool recordIsCurrent_ = false; ///< Whether record_ was read under the current
                                 ///< lease and no newer record, failed write or
                                 ///< fenced order has been seen since.
  bool recordCallInFlight_ =
    false; ///< Whether a store call on the record is in flight.
  state::TimePoint nextReadAt_{};     ///< Earliest time of the next read.
  state::TimePoint leaseHeldSince_{}; ///< Start of the current lease.
  std::map<state::VmId, OrderState> orders_; ///< Latest order to each VM.
  std::map<state::CopyId, std::pair<state::VmId, std::uint32_t>>
    substitutions_; ///< Reserve and replaced rank of each copy.
  std::optional<std::pair<state::DomainRecord, PlannedCommands>>
    ambiguousWrite_; ///< Record and changes of a write whose reply was lost.
  CoordinatorCounts counts_; ///< Counters.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(
    true); ///< Expires on destruction; callbacks check it.
};

/**
 * @param aDomain A fabric domain.
 * @return Store key of its record.
 */
std::string
recordKey(const state::DomainId& aDomain);

} // namespace auburnhaven::coordination
