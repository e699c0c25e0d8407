// Manages the serving groups on behalf of one daemon.
#pragma once

#include "coordination/group/domain_coordinator.h"
#include "coordination/group/group_state_view.h"
#include "coordination/group/group_status_type.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace auburnhaven::coordination {

/**
 * Manages the serving groups on behalf of one daemon: competes for the leases
 * of some fabric domains of its zone and coordinates the domains whose leases
 * it holds, determines for itself which copies of the zone are open, and
 * reports the status of the groups to operators. Control thread only.
 */
class GroupManager
{
public:
  using DoneHandler =
    std::function<void()>; ///< Called when all leases are released.
  using AuditHandler =
    std::function<void(const AuditTrail&)>; ///< Receives a stored audit trail.

  /**
   * The objects passed by reference, except aLimits, must outlive this object.
   * @param aClock Monotonic clock and wall clock.
   * @param aStore Store of the leases, domain records and audit trails.
   * @param aEngines Client that sends orders to the engines of the zone.
   * @param aObservation VMs of the zone and their latest reports.
   * @param aTable Table shared with the other daemons.
   * @param aSelf This daemon.
   * @param aZone Availability zone of this daemon.
   * @param aLimits Limits and timing.
   */
  GroupManager(state::Clock& aClock,
               Store& aStore,
               EngineClient& aEngines,
               const Observation& aObservation,
               SharedTable& aTable,
               state::DaemonId aSelf,
               state::ZoneId aZone,
               const GroupLimits& aLimits);

  /** Performs the work that is due. Must be called about every 100 ms. */
  void tick();
  /** @param aConfiguration Configuration in force. */
  void setConfiguration(state::ConfigurationPtr aConfiguration);
  /** @param aDaemons Live daemons of the local zone; empty if unknown. */
  void setZoneDaemons(std::vector<state::DaemonId> aDaemons);
  /** @return All known copies. Whether a copy of the local zone is open is
   * determined from the reports that this daemon observes. */
  std::vector<state::ServingCopy> copies() const;
  /** @return VMs of the zone that are leaving and get no new requests, sorted.
   */
  std::vector<state::VmId> leavingVms() const;
  /** @return Status of the groups for operators. */
  GroupStatusReport status() const;
  /** @return Changes made by this daemon, oldest first. */
  AuditTrail auditTrail() const;
  /**
   * Reads the audit trail of a domain from the store.
   * @param aDomain Fabric domain.
   * @param aHandler Receives the trail; empty if the read fails.
   */
  void fetchAuditTrail(const state::DomainId& aDomain, AuditHandler aHandler);
  /**
   * Stops coordinating and releases all leases. Later ticks only update and
   * publish the state of the copies.
   * @param aHandler Called when the store has replied, or the call has failed,
   * for each lease.
   */
  void releaseLeases(DoneHandler aHandler);
  /**
   * @param aDomain Fabric domain.
   * @return Whether this daemon holds the lease of the domain.
   */
  bool holdsLease(const state::DomainId& aDomain) const;
  /** @return Open copies of the local zone with their current members.
   */
  std::map<state::CopyId, state::CopyRecord> openRecords() const;
  /** @return Sum of the counters of all coordinators. */
  CoordinatorCounts counts() const;

private:
  /** Whether a copy or a group is open, and its downtime. */
  struct OpenState
  {
    bool open_ = false;          ///< Whether it accepts new requests.
    state::WallTime since_{};    ///< When open_ last changed.
    state::Duration downtime_{}; ///< Total time closed; groups only.
  };

  std::size_t candidateRank(const state::DomainId& aDomain) const;
  CoordinatorRole roleFor(const state::DomainId& aDomain,
                          const DomainCoordinator& aCoordinator) const;
  void createCoordinators();
  void tickCoordinators();
  void doPeriodicWork();
  void planDomains();
  void publishSummaries();
  bool mayRebalance() const;
  void updateOpenStates(state::Duration aElapsed);
  void updateOpenState(OpenState& aState, bool aOpen) const;
  GroupStatus statusOf(const state::ServingGroup& aGroup,
                       const std::vector<state::ServingCopy>& aCopies) const;
  CopyStatus statusOf(const state::ServingCopy& aCopy) const;
  DomainStatus statusOf(const state::DomainRecord& aRecord) const;
  void countStranded(const state::DomainRecord& aRecord,
                     std::map<std::string, std::uint32_t>& aStranded) const;
  std::string strandedCause(const state::DomainRecord& aRecord,
                            const state::Assignment& aAssignment) const;

  state::Clock& clock_;            ///< Monotonic clock and wall clock.
  Store& store_;                   ///< Store.
  EngineClient& engines_;          ///< Sends orders to the zone's engines.
  const Observation& observation_; ///< VMs of the zone and their reports.
  state::DaemonId self_;           ///< This daemon.
  state::ZoneId zone_;             ///< Its availability zone.
  GroupLimits limits_;             ///< Limits and timing.
  std::string holder_;             ///< Holder name of this process.
  GroupStateView groupState_;      ///< Records and copies of all zones.
  state::ConfigurationPtr configuration_; ///< Configuration in force.
  std::vector<state::DaemonId> daemons_;  ///< Live daemons of the zone.
  std::map<state::DomainId, std::unique_ptr<DomainCoordinator>>
    coordinators_;        ///< Coordinators of the domains for whose leases it
                          ///< competes.
  Allocation allocation_; ///< Copies of each domain.
  std::set<state::VmId> loadableVms_; ///< VMs that may start to load.
  bool mayRebalance_ = false;   ///< Whether copies may be created or moved.
  bool stopped_ = false;        ///< Whether the leases were released.
  state::TimePoint startedAt_;  ///< Start of this manager.
  state::TimePoint lastPeriod_; ///< Time of the last periodic work.
  std::map<state::CopyId, OpenState> copyStates_;   ///< State of each copy.
  std::map<state::GroupId, OpenState> groupStates_; ///< State of each group.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(
    true); ///< Expires on destruction; callbacks check it.
};

} // namespace auburnhaven::coordination
