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

/** What the coordinators of one daemon share during one tick. The references
 * must outlive the call. */
struct PlanContext
{
  const state::Configuration& configuration_; ///< Configuration in force.
  const VmHistoryMap& history_;               ///< History of the zone's VMs.
  const Allocation& allocation_;              ///< Share of each domain.
  const std::set<state::VmId>& loadableVms_;  ///< VMs that may start to load.
  bool factsKnown_ = false; ///< Whether copies may be created and moved.
};

/** Whether and how this daemon tries for a domain's lease, and whether it may
 * use reserves while the store is down. */
struct CoordinatorRole
{
  std::optional<state::Duration> leaseAttemptPeriod_; ///< Period of attempts.
  bool maySubstituteReserves_ =
    false; ///< Whether it replaces members without store.
};

/** Counts of one coordinator since its start. */
struct CoordinatorCounts
{
  std::uint64_t orders_ = 0;        ///< Orders sent.
  std::uint64_t writes_ = 0;        ///< Records written.
  std::uint64_t conflicts_ = 0;     ///< Writes that met another revision.
  std::uint64_t ambiguous_ = 0;     ///< Writes whose answer was lost.
  std::uint64_t fenced_ = 0;        ///< Orders refused as old.
  std::uint64_t substitutions_ = 0; ///< Reserves used without the store.
  bool operator==(const CoordinatorCounts&) const = default;
};

/**
 * Coordinates one fabric domain: keeps its lease, plans, writes the record by
 * compare-and-swap and orders the engines. Without authority it only keeps the
 * record that others hand in. Control thread only.
 */
class DomainCoordinator
{
public:
  /**
   * @param aClock Clock.
   * @param aStore The store.
   * @param aEngines The engines.
   * @param aObservation What is known of the zone's VMs.
   * @param aDomain The fabric domain.
   * @param aZone Its availability zone.
   * @param aHolder Name of this process, unique to its start.
   * @param aLimits Limits.
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
   * Renews the lease and, with authority, reads the record.
   * @param aDuty Whether and how to try for the lease.
   */
  void tick(const CoordinatorRole& aDuty);
  /**
   * Plans and writes when this process has the authority.
   * @param aView What the coordinators share.
   */
  void planAndWrite(const PlanContext& aView);
  /**
   * Sends the orders that the record needs, when this process may.
   * @param aView What the coordinators share.
   * @param aDuty Whether reserves may be used without the store.
   */
  void sendOrders(const PlanContext& aView, const CoordinatorRole& aDuty);
  /**
   * Takes a record that another daemon read or wrote.
   * @param aRecord The record.
   */
  void updateRecord(const state::DomainRecord& aRecord);
  /** @return The newest record known, or nothing. */
  const std::optional<state::DomainRecord>& record() const;
  /** @return Whether this process has the authority and waited its time. */
  bool isActiveLeader() const;
  /** @return Whether this process holds the lease. */
  bool holdsLease() const;
  /** @return Audit trail and counts of this process. */
  const AuditTrail& auditTrail() const;
  /** @return Counts of this process. */
  const CoordinatorCounts& counts() const;
  /**
   * Stops and gives the lease back when it is held.
   * @param aHandler Called when done.
   */
  void releaseLease(LeaderLease::DoneHandler aHandler);

private:
  /** An order that was sent. */
  struct OrderState
  {
    bool underWay_ = false;        ///< Whether its answer is awaited.
    state::TimePoint notBefore_{}; ///< When it may be repeated.
    state::FencingNumber fencing_; ///< Number of the latest order.
  };

  bool hasStoreOutage() const;
  void readRecord();
  void takeRecord(const StoreReply& aReply, state::TimePoint aHeldSince);
  void write(state::DomainRecord aNext, const Moves& aMoves);
  void takeWritten(const StoreReply& aReply,
                   const state::DomainRecord& aNext,
                   const Moves& aMoves);
  void adopt(state::DomainRecord aRecord, state::Revision aRevision);
  void settle(const state::DomainRecord& aRecord);
  void audit(const state::DomainRecord& aRecord, const Moves& aMoves);
  std::set<state::CopyId> shareOf(const PlanContext& aView) const;
  state::DomainRecord recordWithSubstitutions();
  std::optional<state::DomainRecord> substituteIn(const state::CopyId& aCopy);
  void sendOrder(const state::DomainRecord& aRecord,
                 const state::VmInfo& aVm,
                 EngineOrder aOrder);
  void takeOrderAnswer(const state::VmId& aVm, OrderStatus aStatus);

  state::Clock& clock_;            ///< Clock.
  Store& store_;                   ///< The store.
  EngineClient& engines_;          ///< The engines.
  const Observation& observation_; ///< What is known of the zone's VMs.
  state::DomainId domain_;         ///< The fabric domain.
  state::ZoneId zone_;             ///< Its availability zone.
  std::string holder_;             ///< Name of this process.
  GroupLimits limits_;             ///< Limits.
  LeaderLease lease_;              ///< Lease of the domain.
  DomainAudit audit_;              ///< Audit trail.
  std::optional<state::DomainRecord> record_; ///< Newest record known.
  state::Revision revision_;     ///< Its revision, when read by this process.
  bool current_ = false;         ///< Whether the record was read since the
                                 ///< lease was taken.
  bool callUnderWay_ = false;    ///< Whether a call on the record is awaited.
  state::TimePoint nextRead_{};  ///< When to read again after a failure.
  state::TimePoint heldSince_{}; ///< Authority for which it was read.
  std::map<state::VmId, OrderState> orders_; ///< Orders sent.
  std::map<state::CopyId, std::pair<state::VmId, std::uint32_t>>
    substitutions_; ///< Reserve and rank chosen for each copy.
  std::optional<std::pair<state::DomainRecord, Moves>>
    unsettled_;              ///< Write whose answer was lost.
  CoordinatorCounts counts_; ///< Counts.
  std::shared_ptr<bool> alive_ =
    std::make_shared<bool>(true); ///< Ends callbacks after destruction.
};

/**
 * @param aDomain A fabric domain.
 * @return Key of its record in the store.
 */
std::string
recordKey(const state::DomainId& aDomain);

} // namespace auburnhaven::coordination
