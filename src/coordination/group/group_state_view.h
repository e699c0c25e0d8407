// One daemon's view of domain records and copies in all availability zones.
#pragma once

#include "coordination/group/allocation_func.h"
#include "coordination/group/domain_summary_type.h"
#include "coordination/group/group_limits_type.h"
#include "coordination/group/substitution_func.h"
#include "coordination/group/vm_health_func.h"
#include "coordination/observation_port.h"
#include "coordination/shared_table_port.h"
#include "state/serving_view_type.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace auburnhaven::coordination {

/** Domain summary with the time at which it was observed. */
struct TimedSummary
{
  DomainSummary summary_;         ///< The summary.
  state::TimePoint observedAt_{}; ///< Local time no later than the time at
                                  ///< which the summary was valid.
};

/**
 * Caches the domain records of the local zone and the domain summaries of all
 * zones that the shared table distributes, and derives the serving state of the
 * copies from them. Control thread only.
 */
class GroupStateView
{
public:
  using RecordHandler = std::function<void(
    const state::DomainRecord&)>; ///< Receives a newer version of a record.

  /**
   * The objects passed by reference, except aLimits, must outlive this object.
   * @param aClock Monotonic clock.
   * @param aObservation VMs of the zone and their latest reports.
   * @param aTable Table shared with the other daemons.
   * @param aZone Local availability zone.
   * @param aLimits Limits and timing.
   */
  GroupStateView(state::Clock& aClock,
                 const Observation& aObservation,
                 SharedTable& aTable,
                 state::ZoneId aZone,
                 const GroupLimits& aLimits);

  /** @param aHandler Called for each newer version of a record. */
  void setRecordHandler(RecordHandler aHandler);
  /** Updates the history of the zone's VMs from the latest reports. */
  void updateVmHistory();
  /** @param aRecord Record to publish to the daemons of the zone; ignored if it
   * is not newer than the known one. */
  void publishRecord(const state::DomainRecord& aRecord);
  /**
   * Publishes the summary of a domain if its state other than load and slowdown
   * changed, or the latest summary is due for a refresh. Does nothing if the
   * record of the domain is unknown.
   * @param aConfiguration Configuration in force.
   * @param aDomain Domain of the local zone.
   * @param aCoordinator This daemon if it holds the lease; otherwise empty.
   */
  void publishSummary(const state::Configuration& aConfiguration,
                      const state::DomainId& aDomain,
                      const state::DaemonId& aCoordinator);

  /** @return Records of the local zone. */
  const std::map<state::DomainId, state::DomainRecord>& records() const;
  /** @return Summaries of all zones. */
  const std::map<state::DomainId, TimedSummary>& summaries() const;
  /** @return History of the zone's VMs. */
  const VmHistoryMap& history() const;
  /** @return Domains of the local zone that have a listed VM or a record. */
  std::set<state::DomainId> domains() const;
  /** @return Inputs of allocateCopies(): capacity of all domains and the copies
   * that they host. */
  AllocationFacts facts(const state::Configuration& aConfiguration) const;
  /** @return All known copies. Whether a copy of the local zone is open is
   * determined from the reports that this daemon observes. */
  std::vector<state::ServingCopy> copies() const;
  /**
   * @param aDomain Fabric domain.
   * @param aAge Maximum age of the summary.
   * @return Whether a lease holder published the latest summary and it is not
   * older than aAge.
   */
  bool hasCoordinator(const state::DomainId& aDomain,
                      state::Duration aAge) const;
  /**
   * @param aDomain Fabric domain.
   * @return Age of its latest summary; state::Duration::max() if there is none.
   */
  state::Duration summaryAge(const state::DomainId& aDomain) const;

private:
  void handleRecordEntry(const SharedEntry& aEntry);
  void handleSummaryEntry(const SharedEntry& aEntry);
  DomainSummary summarize(const state::Configuration& aConfiguration,
                          const state::DomainRecord& aRecord) const;
  std::uint32_t usableVms(const state::DomainId& aDomain) const;
  std::uint32_t slowdownOf(const state::CopyRecord& aCopy) const;
  void addLocalCopies(std::vector<state::ServingCopy>& aCopies) const;
  void addRemoteCopies(std::vector<state::ServingCopy>& aCopies) const;

  state::Clock& clock_;            ///< Monotonic clock.
  const Observation& observation_; ///< VMs of the zone and their reports.
  SharedTable& table_;             ///< Table shared with the other daemons.
  state::ZoneId zone_;             ///< Local availability zone.
  GroupLimits limits_;             ///< Limits and timing.
  std::map<state::DomainId, state::DomainRecord>
    records_; ///< Records of the local zone.
  std::map<state::DomainId, TimedSummary>
    summaries_;                 ///< Summaries of all zones.
  VmHistoryMap history_;        ///< History of the zone's VMs.
  RecordHandler recordHandler_; ///< Called for newer records.
};

} // namespace auburnhaven::coordination
