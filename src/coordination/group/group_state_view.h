// What one daemon knows of the records and copies of all zones.
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

/** Summary of a domain and when it was true. */
struct TimedSummary
{
  DomainSummary summary_;         ///< The summary.
  state::TimePoint observedAt_{}; ///< Local time, not later than it was true.
};

/**
 * Keeps the records of the own zone and the summaries of all zones as the
 * shared table spreads them, and judges copies by them. Control thread only.
 */
class GroupStateView
{
public:
  using RecordHandler = std::function<void(
    const state::DomainRecord&)>; ///< Takes a record that became newer.

  /**
   * @param aClock Clock.
   * @param aObservation What is known of the zone's VMs.
   * @param aTable The shared table.
   * @param aZone Own availability zone.
   * @param aLimits Limits.
   */
  GroupStateView(state::Clock& aClock,
                 const Observation& aObservation,
                 SharedTable& aTable,
                 state::ZoneId aZone,
                 const GroupLimits& aLimits);

  /** @param aHandler Called for each record that became newer. */
  void setRecordHandler(RecordHandler aHandler);
  /** Carries the history of the zone's VMs on. */
  void updateVmHistory();
  /** @param aRecord Record to spread to the daemons of the zone. */
  void publishRecord(const state::DomainRecord& aRecord);
  /**
   * Publishes a summary when it changed or is old.
   * @param aConfiguration The configuration.
   * @param aDomain Domain whose record is known.
   * @param aCoordinator This daemon when it has the lease, or empty.
   */
  void publishSummary(const state::Configuration& aConfiguration,
                      const state::DomainId& aDomain,
                      const state::DaemonId& aCoordinator);

  /** @return Records of the own zone. */
  const std::map<state::DomainId, state::DomainRecord>& records() const;
  /** @return Summaries of all zones. */
  const std::map<state::DomainId, TimedSummary>& summaries() const;
  /** @return History of the zone's VMs. */
  const VmHistoryMap& history() const;
  /** @return Domains of the own zone that are listed or have a record. */
  std::set<state::DomainId> domains() const;
  /** @return Facts for the allocation of copies. */
  AllocationFacts facts(const state::Configuration& aConfiguration) const;
  /** @return All known copies; those of the own zone judged by this daemon. */
  std::vector<state::ServingCopy> copies() const;
  /**
   * @param aDomain A domain.
   * @param aAge Greatest age.
   * @return Whether a lease holder published a summary within the age.
   */
  bool hasCoordinator(const state::DomainId& aDomain,
                      state::Duration aAge) const;
  /**
   * @param aDomain A domain.
   * @return Age of its summary.
   */
  state::Duration summaryAge(const state::DomainId& aDomain) const;

private:
  void takeRecord(const SharedEntry& aEntry);
  void takeSummary(const SharedEntry& aEntry);
  DomainSummary summarise(const state::Configuration& aConfiguration,
                          const state::DomainRecord& aRecord) const;
  std::uint32_t usableVms(const state::DomainId& aDomain) const;
  std::uint32_t slowdownOf(const state::CopyRecord& aCopy) const;
  void addOwnCopies(std::vector<state::ServingCopy>& aCopies) const;
  void addRemoteCopies(std::vector<state::ServingCopy>& aCopies) const;

  state::Clock& clock_;            ///< Clock.
  const Observation& observation_; ///< What is known of the zone's VMs.
  SharedTable& table_;             ///< The shared table.
  state::ZoneId zone_;             ///< Own availability zone.
  GroupLimits limits_;             ///< Limits.
  std::map<state::DomainId, state::DomainRecord>
    records_; ///< Records of the own zone.
  std::map<state::DomainId, TimedSummary> summaries_; ///< Summaries.
  VmHistoryMap history_;        ///< History of the zone's VMs.
  RecordHandler recordHandler_; ///< Takes newer records.
};

} // namespace auburnhaven::coordination
