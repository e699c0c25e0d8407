// Keeps the serving groups as one daemon takes part in them.

#include "coordination/group/group_manager.h"

#include "coordination/group/order_func.h"
#include "state/digest_func.h"

#include <algorithm>
#include <utility>

namespace auburnhaven::coordination {

namespace {

using state::DomainId;

constexpr std::chrono::seconds kCandidateStagger{
  5
}; ///< Time between the first attempts of two candidates.

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
  , knowledge_(aClock, aObservation, aTable, zone_, aLimits)
  , startedAt_(aClock.now())
  , lastPeriod_(aClock.now())
{
  knowledge_.setRecordHandler([this](const state::DomainRecord& aRecord) {
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
  const PlanContext view{ *configuration_,
                          knowledge_.history(),
                          allocation_,
                          loadableVms_,
                          factsKnown_ };
  for (const auto& [domain, coordinator] : coordinators_) {
    coordinator->sendOrders(view, dutyFor(domain, *coordinator));
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
  return knowledge_.copies();
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
  const auto left = std::make_shared<std::size_t>(coordinators_.size() + 1);
  const auto done = [left, aHandler] {
    if (--*left == 0) {
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
  for (const auto& [domain, record] : knowledge_.records()) {
    for (const auto& [id, copy] : record.copies_) {
      JudgedCopy judged = judgeRecordedCopy(record,
                                            id,
                                            observation_.reports(),
                                            clock_.now(),
                                            limits_.evidenceLimit_);
      if (judged.verdict_.open_) {
        open[id] = std::move(judged.copy_);
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

/** @return Place of this daemon among the candidates for a domain, from 0. */
std::size_t
GroupManager::rankFor(const DomainId& aDomain) const
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
GroupManager::dutyFor(const DomainId& aDomain,
                      const DomainCoordinator& aCoordinator) const
{
  const std::size_t rank = rankFor(aDomain);
  CoordinatorRole duty;
  if (stopped_ || rank >= limits_.leaseCandidates_) {
    return duty;
  }
  const bool coordinated =
    !aCoordinator.holdsLease() &&
    knowledge_.hasCoordinator(aDomain, limits_.storeOutageAfter_);
  const auto stagger = kCandidateStagger * static_cast<int>(rank);
  if (rank == 0) {
    duty.leaseAttemptPeriod_ =
      coordinated ? limits_.leaseTimeToLive_ : limits_.leaseRenewal_;
    const bool hasReserves =
      configuration_ && configuration_->policy_.reservesPerCopy_ > 0;
    duty.maySubstituteReserves_ = hasReserves && !coordinated;
  } else if (!coordinated && clock_.now() - startedAt_ >= stagger) {
    duty.leaseAttemptPeriod_ = limits_.leaseTimeToLive_;
  }
  return duty;
}

void
GroupManager::makeCoordinators()
{
  for (const DomainId& domain : knowledge_.domains()) {
    if (coordinators_.contains(domain) ||
        rankFor(domain) >= limits_.leaseCandidates_) {
      continue;
    }
    auto coordinator = std::make_unique<DomainCoordinator>(
      clock_, store_, engines_, observation_, domain, zone_, holder_, limits_);
    const auto record = knowledge_.records().find(domain);
    if (record != knowledge_.records().end()) {
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
    coordinator->tick(dutyFor(domain, *coordinator));
    if (coordinator->isActiveLeader()) {
      knowledge_.publishRecord(*coordinator->record());
    }
  }
}

void
GroupManager::doPeriodicWork()
{
  const state::TimePoint now = clock_.now();
  const state::Duration elapsed = now - std::exchange(lastPeriod_, now);
  knowledge_.updateVmHistory();
  if (!stopped_) {
    makeCoordinators();
  }
  if (configuration_) {
    if (!stopped_) {
      planAll();
    }
    publishAll();
    noteOpenStates(elapsed);
  }
}

void
GroupManager::planAll()
{
  const bool coordinates =
    std::any_of(coordinators_.begin(),
                coordinators_.end(),
                [](const auto& aEntry) { return aEntry.second->holdsLease(); });
  if (!coordinates) {
    return;
  }
  factsKnown_ = areFactsKnown();
  allocation_ =
    allocateCopies(*configuration_, knowledge_.facts(*configuration_));
  std::vector<const state::DomainRecord*> records;
  for (const auto& [domain, record] : knowledge_.records()) {
    records.push_back(&record);
  }
  loadableVms_ = chooseLoads({ records,
                               observation_.reports(),
                               *configuration_,
                               limits_,
                               clock_.now() });
  const PlanContext view{ *configuration_,
                          knowledge_.history(),
                          allocation_,
                          loadableVms_,
                          factsKnown_ };
  for (const auto& [domain, coordinator] : coordinators_) {
    coordinator->planAndWrite(view);
  }
}

void
GroupManager::publishAll()
{
  for (const auto& [domain, record] : knowledge_.records()) {
    const auto coordinator = coordinators_.find(domain);
    if (coordinator == coordinators_.end()) {
      continue;
    }
    const bool holds = coordinator->second->holdsLease();
    const bool stale =
      knowledge_.summaryAge(domain) > 2 * limits_.summaryRefresh_;
    if (holds || stale) {
      knowledge_.publishSummary(
        *configuration_, domain, holds ? self_ : state::DaemonId());
    }
  }
}

/** @return Whether enough is known to create copies and to move them. */
bool
GroupManager::areFactsKnown() const
{
  const state::Duration age = clock_.now() - startedAt_;
  if (age < limits_.startupWait_) {
    return false;
  }
  const std::set<DomainId> domains = knowledge_.domains();
  return age >= limits_.startupRecordTimeout_ ||
         std::all_of(
           domains.begin(), domains.end(), [&](const DomainId& aDomain) {
             return knowledge_.records().contains(aDomain);
           });
}

} // namespace auburnhaven::coordination
