// Manages the serving groups on behalf of one daemon.

#include "coordination/group/group_manager.h"

#include "coordination/group/order_func.h"
#include "state/digest_func.h"

#include <algorithm>
#include <utility>

namespace auburnhaven::coordination {

namespace {

using state::DomainId;

constexpr std::chrono::seconds kLeaseCandidateStagger{
  5
}; ///< Delay between the first attempts of two consecutive candidates.

} // namespace

GroupManager::GroupManager(state::Clock& aClock,
                           Store& aStore,
                           EngineClient& aEngines,
                           const Observation& aObservation,
                           SharedTable& aTable,
                           state::DaemonId aSelf,
                           state::ZoneId aZone,
                           const GroupLimits& aLimits)
  : clock_(aClock)
  , store_(aStore)
  , engines_(aEngines)
  , observation_(aObservation)
  , self_(std::move(aSelf))
  , zone_(std::move(aZone))
  , limits_(aLimits)
  , holder_(self_.value() + "#" +
            std::to_string(aClock.wallNow().time_since_epoch().count()))
  , groupState_(aClock, aObservation, aTable, zone_, aLimits)
  , startedAt_(aClock.now())
  , lastPeriod_(aClock.now())
{
  groupState_.setRecordHandler([this](const state::DomainRecord& aRecord) {
    const auto found = coordinators_.find(aRecord.domain_);
    if (found != coordinators_.end()) {
      found->second->updateRecord(aRecord);
    }
  });
}

void
GroupManager::tick()
{
  tickCoordinators();
  if (clock_.now() - lastPeriod_ >= limits_.planPeriod_) {
    doPeriodicWork();
  }
  if (stopped_ || !configuration_) {
    return;
  }
  const PlanContext context{ *configuration_,
                             groupState_.history(),
                             allocation_,
                             loadableVms_,
                             mayRebalance_ };
  for (const auto& [domain, coordinator] : coordinators_) {
    coordinator->sendOrders(context, roleFor(domain, *coordinator));
  }
}

void
GroupManager::setConfiguration(state::ConfigurationPtr aConfiguration)
{
  configuration_ = std::move(aConfiguration);
}

void
GroupManager::setZoneDaemons(std::vector<state::DaemonId> aDaemons)
{
  daemons_ = std::move(aDaemons);
}

std::vector<state::ServingCopy>
GroupManager::copies() const
{
  return groupState_.copies();
}

std::vector<state::VmId>
GroupManager::leavingVms() const
{
  std::vector<state::VmId> leaving;
  for (const auto& [vm, info] : observation_.vms()) {
    if (info.listing_ == state::VmListing::kLeaving) {
      leaving.push_back(vm);
    }
  }
  return leaving;
}

AuditTrail
GroupManager::auditTrail() const
{
  AuditTrail trail;
  for (const auto& [domain, coordinator] : coordinators_) {
    const AuditTrail& own = coordinator->auditTrail();
    trail.insert(trail.end(), own.begin(), own.end());
  }
  std::stable_sort(
    trail.begin(), trail.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.time_ < aRight.time_;
    });
  return trail;
}

void
GroupManager::fetchAuditTrail(const DomainId& aDomain, AuditHandler aHandler)
{
  store_.get(auditKey(aDomain),
             StorePriority::kOther,
             [aHandler](const StoreReply& aReply) {
               aHandler(state::leaf::try_handle_all(
                 [&] { return decodeAudit(aReply.value_); },
                 [] { return AuditTrail(); }));
             });
}

void
GroupManager::releaseLeases(DoneHandler aHandler)
{
  stopped_ = true;
  const auto remaining =
    std::make_shared<std::size_t>(coordinators_.size() + 1);
  const auto done = [remaining, aHandler] {
    if (--*remaining == 0) {
      aHandler();
    }
  };
  for (const auto& [domain, coordinator] : coordinators_) {
    if (coordinator->holdsLease()) {
      coordinator->releaseLease(done);
    } else {
      done();
    }
  }
  done();
}

bool
GroupManager::holdsLease(const DomainId& aDomain) const
{
  const auto found = coordinators_.find(aDomain);
  return found != coordinators_.end() && found->second->holdsLease();
}

std::map<state::CopyId, state::CopyRecord>
GroupManager::openRecords() const
{
  std::map<state::CopyId, state::CopyRecord> open;
  for (const auto& [domain, record] : groupState_.records()) {
    for (const auto& [id, copy] : record.copies_) {
      EvaluatedCopy evaluated = evaluateRecordedCopy(record,
                                                     id,
                                                     observation_.reports(),
                                                     clock_.now(),
                                                     limits_.evidenceLimit_);
      if (evaluated.readiness_.open_) {
        open[id] = std::move(evaluated.copy_);
      }
    }
  }
  return open;
}

CoordinatorCounts
GroupManager::counts() const
{
  CoordinatorCounts sum;
  for (const auto& [domain, coordinator] : coordinators_) {
    const CoordinatorCounts& counts = coordinator->counts();
    sum.orders_ += counts.orders_;
    sum.writes_ += counts.writes_;
    sum.conflicts_ += counts.conflicts_;
    sum.ambiguous_ += counts.ambiguous_;
    sum.fenced_ += counts.fenced_;
    sum.substitutions_ += counts.substitutions_;
  }
  return sum;
}

/** @return Rank of this daemon, from 0, among the candidates for a domain's
 * lease; by rendezvous hashing over the live daemons of the zone. */
std::size_t
GroupManager::candidateRank(const DomainId& aDomain) const
{
  const auto score = [&](const state::DaemonId& aDaemon) {
    return state::stableHash(aDaemon.value() + "|" + aDomain.value());
  };
  const std::uint64_t own = score(self_);
  return static_cast<std::size_t>(std::count_if(
    daemons_.begin(), daemons_.end(), [&](const state::DaemonId& aDaemon) {
      return aDaemon != self_ && score(aDaemon) > own;
    }));
}

CoordinatorRole
GroupManager::roleFor(const DomainId& aDomain,
                      const DomainCoordinator& aCoordinator) const
{
  const std::size_t rank = candidateRank(aDomain);
  CoordinatorRole role;
  if (stopped_ || rank >= limits_.leaseCandidates_) {
    return role;
  }
  const bool hasOtherCoordinator =
    !aCoordinator.holdsLease() &&
    groupState_.hasCoordinator(aDomain, limits_.storeOutageAfter_);
  const auto stagger = kLeaseCandidateStagger * static_cast<int>(rank);
  if (rank == 0) {
    role.leaseAttemptPeriod_ =
      hasOtherCoordinator ? limits_.leaseTimeToLive_ : limits_.leaseRenewal_;
    const bool hasReserves =
      configuration_ && configuration_->policy_.reservesPerCopy_ > 0;
    role.maySubstituteReserves_ = hasReserves && !hasOtherCoordinator;
  } else if (!hasOtherCoordinator && clock_.now() - startedAt_ >= stagger) {
    role.leaseAttemptPeriod_ = limits_.leaseTimeToLive_;
  }
  return role;
}

void
GroupManager::createCoordinators()
{
  for (const DomainId& domain : groupState_.domains()) {
    if (coordinators_.contains(domain) ||
        candidateRank(domain) >= limits_.leaseCandidates_) {
      continue;
    }
    auto coordinator = std::make_unique<DomainCoordinator>(
      clock_, store_, engines_, observation_, domain, zone_, holder_, limits_);
    const auto record = groupState_.records().find(domain);
    if (record != groupState_.records().end()) {
      coordinator->updateRecord(record->second);
    }
    coordinators_[domain] = std::move(coordinator);
  }
}

void
GroupManager::tickCoordinators()
{
  if (stopped_) {
    return;
  }
  for (const auto& [domain, coordinator] : coordinators_) {
    coordinator->tick(roleFor(domain, *coordinator));
    if (coordinator->isActiveLeader()) {
      groupState_.publishRecord(*coordinator->record());
    }
  }
}

void
GroupManager::doPeriodicWork()
{
  const state::TimePoint now = clock_.now();
  const state::Duration elapsed = now - std::exchange(lastPeriod_, now);
  groupState_.updateVmHistory();
  if (!stopped_) {
    createCoordinators();
  }
  if (configuration_) {
    if (!stopped_) {
      planDomains();
    }
    publishSummaries();
    updateOpenStates(elapsed);
  }
}

void
GroupManager::planDomains()
{
  const bool holdsAnyLease =
    std::any_of(coordinators_.begin(),
                coordinators_.end(),
                [](const auto& aEntry) { return aEntry.second->holdsLease(); });
  if (!holdsAnyLease) {
    return;
  }
  mayRebalance_ = mayRebalance();
  allocation_ =
    allocateCopies(*configuration_, groupState_.facts(*configuration_));
  std::vector<const state::DomainRecord*> records;
  for (const auto& [domain, record] : groupState_.records()) {
    records.push_back(&record);
  }
  loadableVms_ = chooseLoads({ records,
                               observation_.reports(),
                               *configuration_,
                               limits_,
                               clock_.now() });
  const PlanContext context{ *configuration_,
                             groupState_.history(),
                             allocation_,
                             loadableVms_,
                             mayRebalance_ };
  for (const auto& [domain, coordinator] : coordinators_) {
    coordinator->planAndWrite(context);
  }
}

void
GroupManager::publishSummaries()
{
  for (const auto& [domain, record] : groupState_.records()) {
    const auto coordinator = coordinators_.find(domain);
    if (coordinator == coordinators_.end()) {
      continue;
    }
    const bool holds = coordinator->second->holdsLease();
    const bool stale =
      groupState_.summaryAge(domain) > 2 * limits_.summaryRefresh_;
    if (holds || stale) {
      groupState_.publishSummary(
        *configuration_, domain, holds ? self_ : state::DaemonId());
    }
  }
}

/** @return Whether copies may be created and moved: the startup wait has passed
 * and the records of all domains of the zone are known, or waiting for them has
 * timed out. */
bool
GroupManager::mayRebalance() const
{
  const state::Duration age = clock_.now() - startedAt_;
  if (age < limits_.startupWait_) {
    return false;
  }
  const std::set<DomainId> domains = groupState_.domains();
  return age >= limits_.startupRecordTimeout_ ||
         std::all_of(
           domains.begin(), domains.end(), [&](const DomainId& aDomain) {
             return groupState_.records().contains(aDomain);
           });
}

} // namespace auburnhaven::coordination
