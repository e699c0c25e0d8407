// Keeps the serving groups as one daemon takes part in them.
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
 * Keeps the serving groups as one daemon takes part in them: tries for the
 * leases of some fabric domains of its zone and coordinates those, judges each
 * copy on its own, and shows operators the state of the groups. Control thread
 * only.
 */
class GroupManager
{
public:
  using DoneHandler = std::function<void()>; ///< Called when all is done.
  using AuditHandler =
    std::function<void(const AuditTrail&)>; ///< Takes a stored trail.

  /**
   * @param aClock Clock.
   * @param aStore The store.
   * @param aEngines The engines of the zone.
   * @param aObservation What is known of the zone's VMs.
   * @param aTable Table shared with the other daemons.
   * @param aSelf This daemon.
   * @param aZone Its availability zone.
   * @param aLimits Limits.
   */
  GroupManager(state::Clock& aClock,
               Store& aStore,
               EngineClient& aEngines,
               const Observation& aObservation,
               SharedTable& aTable,
               state::DaemonId aSelf,
               state::ZoneId aZone,
               const GroupLimits& aLimits);

  /** Does what is due; to be called about each 100 ms. */
  void tick();
  /** @param aConfiguration Configuration in force. */
  void setConfiguration(state::ConfigurationPtr aConfiguration);
  /** @param aDaemons Live daemons of the own zone; empty when unknown. */
  void setZoneDaemons(std::vector<state::DaemonId> aDaemons);
  /** @return All known copies; those of the own zone judged by this daemon. */
  std::vector<state::ServingCopy> copies() const;
  /** @return Sorted VMs of the zone that get no new work. */
  std::vector<state::VmId> leavingVms() const;
  /** @return What operators see. */
  GroupStatusReport status() const;
  /** @return Changes made by this daemon, oldest first. */
  AuditTrail auditTrail() const;
  /**
   * Reads the audit trail of a domain from the store.
   * @param aDomain The domain.
   * @param aHandler Takes the trail; empty when the store does not answer.
   */
  void fetchAuditTrail(const state::DomainId& aDomain, AuditHandler aHandler);
  /**
   * Stops to coordinate and gives all leases back. Later ticks only judge
   * copies.
   * @param aHandler Called when the store has answered for each lease.
   */
  void releaseLeases(DoneHandler aHandler);
  /**
   * @param aDomain A domain.
   * @return Whether this daemon has the authority over it.
   */
  bool holdsLease(const state::DomainId& aDomain) const;
  /** @return Copies of the own zone that are open, with their present members.
   */
  std::map<state::CopyId, state::CopyRecord> openRecords() const;
  /** @return Sum of the counts of all coordinators. */
  CoordinatorCounts counts() const;

private:
  /** Since when a copy or a group is open or closed. */
  struct OpenState
  {
    bool open_ = false;          ///< Whether it takes new work.
    state::WallTime since_{};    ///< Since when.
    state::Duration downtime_{}; ///< Time closed, for groups.
  };

  std::size_t rankFor(const state::DomainId& aDomain) const;
  CoordinatorRole dutyFor(const state::DomainId& aDomain,
                          const DomainCoordinator& aCoordinator) const;
  void makeCoordinators();
  void tickCoordinators();
  void doPeriodicWork();
  void planAll();
  void publishAll();
  bool areFactsKnown() const;
  void noteOpenStates(state::Duration aElapsed);
  void noteOpen(OpenState& aState, bool aOpen) const;
  GroupStatus statusOf(const state::ServingGroup& aGroup,
                       const std::vector<state::ServingCopy>& aCopies) const;
  CopyStatus statusOf(const state::ServingCopy& aCopy) const;
  DomainStatus statusOf(const state::DomainRecord& aRecord) const;
  void countStranded(const state::DomainRecord& aRecord,
                     std::map<std::string, std::uint32_t>& aStranded) const;
  std::string strandedCause(const state::DomainRecord& aRecord,
                            const state::Assignment& aAssignment) const;

  state::Clock& clock_;                   ///< Clock.
  Store& store_;                          ///< The store.
  EngineClient& engines_;                 ///< The engines of the zone.
  const Observation& observation_;        ///< What is known of the zone's VMs.
  state::DaemonId self_;                  ///< This daemon.
  state::ZoneId zone_;                    ///< Its availability zone.
  GroupLimits limits_;                    ///< Limits.
  std::string holder_;                    ///< Name of this process.
  GroupStateView knowledge_;              ///< Records and copies of all zones.
  state::ConfigurationPtr configuration_; ///< Configuration in force.
  std::vector<state::DaemonId> daemons_;  ///< Live daemons of the zone.
  std::map<state::DomainId, std::unique_ptr<DomainCoordinator>>
    coordinators_;                    ///< Coordinators of this daemon.
  Allocation allocation_;             ///< Share of each domain.
  std::set<state::VmId> loadableVms_; ///< VMs that may start to load.
  bool factsKnown_ = false;     ///< Whether copies may be created or moved.
  bool stopped_ = false;        ///< Whether leases were given back.
  state::TimePoint startedAt_;  ///< Start of this manager.
  state::TimePoint lastPeriod_; ///< When the periodic work was last done.
  std::map<state::CopyId, OpenState> copyStates_;   ///< State of each copy.
  std::map<state::GroupId, OpenState> groupStates_; ///< State of each group.
  std::shared_ptr<bool> alive_ =
    std::make_shared<bool>(true); ///< Ends callbacks after destruction.
};

} // namespace auburnhaven::coordination
