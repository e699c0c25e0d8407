// Coordinates one fabric domain while it holds the domain's lease.

#include "coordination/group/domain_coordinator.h"

#include "coordination/group/order_func.h"
#include "coordination/group/substitution_func.h"
#include "state/domain_record_codec.h"
#include "state/domain_record_func.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace auburnhaven::coordination {

namespace {

using state::DomainRecord;
using state::VmId;

/** @return The decoded record, or std::nullopt when it is malformed. */
std::optional<DomainRecord>
tryDecode(const std::string& aText, const std::string& aSource)
{
  return state::leaf::try_handle_all(
    [&]() -> state::leaf::result<std::optional<DomainRecord>> {
      BOOST_LEAF_AUTO(record, state::decodeDomainRecord(aText, aSource));
      return std::optional<DomainRecord>(std::move(record));
    },
    [] { return std::optional<DomainRecord>(); });
}

/** @return Timing of a domain lease. */
LeaseTiming
leaseTiming(const GroupLimits& aLimits)
{
  LeaseTiming timing;
  timing.timeToLive_ = aLimits.leaseTimeToLive_;
  timing.renewal_ = aLimits.leaseRenewal_;
  timing.margin_ = aLimits.leaseMargin_;
  return timing;
}

} // namespace

std::string
recordKey(const state::DomainId& aDomain)
{
  return "domain/" + aDomain.value();
}

DomainCoordinator::DomainCoordinator(state::Clock& aClock,
                                     Store& aStore,
                                     EngineClient& aEngines,
                                     const Observation& aObservation,
                                     state::DomainId aDomain,
                                     state::ZoneId aZone,
                                     std::string aHolder,
                                     const GroupLimits& aLimits)
  : clock_(aClock)
  , store_(aStore)
  , engines_(aEngines)
  , observation_(aObservation)
  , domain_(std::move(aDomain))
  , zone_(std::move(aZone))
  , holder_(std::move(aHolder))
  , limits_(aLimits)
  , lease_(aClock,
           aStore,
           "lease/domain/" + domain_.value(),
           holder_,
           leaseTiming(aLimits))
  , audit_(aStore, domain_, aLimits.auditEntries_)
{
}

void
DomainCoordinator::tick(const CoordinatorRole& aRole)
{
  lease_.tick(aRole.leaseAttemptPeriod_);
  if (!lease_.holds()) {
    recordIsCurrent_ = false;
    return;
  }
  if (lease_.heldSince() != leaseHeldSince_) {
    leaseHeldSince_ = lease_.heldSince();
    recordIsCurrent_ = false;
  }
  if (!recordIsCurrent_ && !recordCallInFlight_ &&
      clock_.now() >= nextReadAt_) {
    readRecord();
  }
  audit_.flush();
}

void
DomainCoordinator::planAndWrite(const PlanContext& aContext)
{
  if (!isActiveLeader() || recordCallInFlight_) {
    return;
  }
  const std::set<state::CopyId> wanted = wantedCopies(aContext);
  static const std::set<state::CopyId> kNoChange;
  const PlannedCommands moves =
    plan({ *record_,
           observation_.vms(),
           observation_.reports(),
           aContext.history_,
           aContext.configuration_,
           wanted,
           aContext.mayRebalance_ ? aContext.allocation_.mayUpdate_ : kNoChange,
           limits_,
           clock_.now() });
  if (!moves.empty()) {
    writeRecord(applyPlannedCommands(*record_, moves), moves);
  }
}

void
DomainCoordinator::sendOrders(const PlanContext& aContext,
                              const CoordinatorRole& aRole)
{
  const bool withoutStore = aRole.maySubstituteReserves_ && !lease_.holds() &&
                            hasStoreOutage() && record_;
  if (!isActiveLeader() && !withoutStore) {
    return;
  }
  const DomainRecord record =
    withoutStore ? recordWithSubstitutions() : *record_;
  const state::TimePoint now = clock_.now();
  for (const auto& [vm, info] : observation_.vms()) {
    const auto report = observation_.reports().find(vm);
    if (info.domain_ != domain_ || report == observation_.reports().end() ||
        now - report->second.observedAt_ > limits_.evidenceLimit_) {
      continue;
    }
    const OrderState& state = orders_[vm];
    EngineOrder order = orderFor(record, vm);
    const bool hasNewerOrder = order.fencing_ > state.fencing_;
    if (state.inFlight_ || (now < state.retryAt_ && !hasNewerOrder)) {
      continue;
    }
    const bool allowed = !followsOrder(record, order, report->second) &&
                         (!needsLoad(order, report->second) ||
                          aContext.loadableVms_.contains(vm) || withoutStore);
    const bool substituted = order.fencing_.value() % state::kFencingStride;
    const bool authorized = withoutStore || lease_.holds();
    if (allowed && authorized && (!withoutStore || substituted)) {
      sendOrder(record, info, std::move(order));
    }
  }
}

void
DomainCoordinator::updateRecord(const DomainRecord& aRecord)
{
  if (record_ && record_->version_ >= aRecord.version_) {
    return;
  }
  record_ = aRecord;
  recordIsCurrent_ = false;
}

const std::optional<DomainRecord>&
DomainCoordinator::record() const
{
  return record_;
}

bool
DomainCoordinator::isActiveLeader() const
{
  return lease_.holds() && recordIsCurrent_ && record_ &&
         clock_.now() - lease_.heldSince() >= limits_.takeoverWait_;
}

bool
DomainCoordinator::holdsLease() const
{
  return lease_.holds();
}

const AuditTrail&
DomainCoordinator::auditTrail() const
{
  return audit_.localTrail();
}

const CoordinatorCounts&
DomainCoordinator::counts() const
{
  return counts_;
}

void
DomainCoordinator::releaseLease(LeaderLease::DoneHandler aHandler)
{
  lease_.release(std::move(aHandler));
}

bool
DomainCoordinator::hasStoreOutage() const
{
  return clock_.now() - lease_.lastReplyTime() >= limits_.storeOutageAfter_;
}

void
DomainCoordinator::readRecord()
{
  recordCallInFlight_ = true;
  nextReadAt_ = clock_.now() + limits_.planPeriod_;
  const std::weak_ptr<bool> alive = alive_;
  store_.get(recordKey(domain_),
             StorePriority::kAssignment,
             [this, alive, since = leaseHeldSince_](const StoreReply& aReply) {
               if (!alive.expired()) {
                 handleReadReply(aReply, since);
               }
             });
}

void
DomainCoordinator::handleReadReply(const StoreReply& aReply,
                                   state::TimePoint aHeldSince)
{
  recordCallInFlight_ = false;
  if (aHeldSince != lease_.heldSince()) {
    return; // The read was sent before the current lease began.
  }
  if (aReply.status_ == StoreStatus::kNotFound) {
    DomainRecord empty;
    empty.domain_ = domain_;
    empty.zone_ = zone_;
    installRecord(std::move(empty), {});
  } else if (aReply.status_ == StoreStatus::kOk) {
    std::optional<DomainRecord> record =
      tryDecode(aReply.value_, recordKey(domain_));
    if (record) {
      resolveAmbiguousWrite(*record);
      installRecord(std::move(*record), aReply.revision_);
    }
  }
}

void
DomainCoordinator::resolveAmbiguousWrite(const DomainRecord& aRecord)
{
  if (ambiguousWrite_ && ambiguousWrite_->first == aRecord) {
    appendAudit(ambiguousWrite_->first, ambiguousWrite_->second);
  }
  ambiguousWrite_.reset();
}

void
DomainCoordinator::writeRecord(DomainRecord aNext,
                               const PlannedCommands& aMoves)
{
  assert(state::brokenInvariant(aNext).empty());
  recordCallInFlight_ = true;
  ++counts_.writes_;
  std::string text = state::encodeDomainRecord(aNext);
  const std::weak_ptr<bool> alive = alive_;
  store_.compareAndSwap(
    recordKey(domain_),
    revision_,
    std::move(text),
    StorePriority::kAssignment,
    [this, alive, next = std::move(aNext), aMoves](const StoreReply& aReply) {
      if (!alive.expired()) {
        handleWriteReply(aReply, next, aMoves);
      }
    });
}

void
DomainCoordinator::handleWriteReply(const StoreReply& aReply,
                                    const DomainRecord& aNext,
                                    const PlannedCommands& aMoves)
{
  recordCallInFlight_ = false;
  if (aReply.status_ == StoreStatus::kOk) {
    installRecord(aNext, aReply.revision_);
    appendAudit(aNext, aMoves);
    return;
  }
  counts_.conflicts_ += aReply.status_ == StoreStatus::kConflict ? 1 : 0;
  if (aReply.status_ == StoreStatus::kUnknown) {
    // Reading the record again shows whether the write took effect.
    ++counts_.ambiguous_;
    ambiguousWrite_ = { aNext, aMoves };
  }
  recordIsCurrent_ = false;
}

void
DomainCoordinator::installRecord(DomainRecord aRecord,
                                 state::Revision aRevision)
{
  assert(state::brokenInvariant(aRecord).empty());
  if (record_ && record_->version_ > aRecord.version_) {
    return;
  }
  record_ = std::move(aRecord);
  revision_ = aRevision;
  recordIsCurrent_ = true;
  substitutions_.clear();
}

void
DomainCoordinator::appendAudit(const DomainRecord& aRecord,
                               const PlannedCommands& aMoves)
{
  AuditTrail trail;
  trail.reserve(aMoves.size());
  for (const state::AssignmentCommand& move : aMoves) {
    trail.push_back({ clock_.wallNow(),
                      domain_,
                      aRecord.version_,
                      state::describe(move),
                      holder_ });
  }
  audit_.append(trail);
}

std::set<state::CopyId>
DomainCoordinator::wantedCopies(const PlanContext& aContext) const
{
  if (aContext.mayRebalance_) {
    const auto found = aContext.allocation_.wanted_.find(domain_);
    return found == aContext.allocation_.wanted_.end()
             ? std::set<state::CopyId>()
             : found->second;
  }
  std::set<state::CopyId> hosted;
  for (const auto& [id, copy] : record_->copies_) {
    hosted.insert(id);
  }
  return hosted;
}

DomainRecord
DomainCoordinator::recordWithSubstitutions()
{
  DomainRecord record = *record_;
  for (const auto& [id, copy] : record_->copies_) {
    std::optional<DomainRecord> substituted = substituteReserve(id);
    if (substituted) {
      record.copies_[id] = substituted->copies_.at(id);
      for (const auto& [vm, assignment] : substituted->assignments_) {
        if (assignment != record_->assignments_.at(vm)) {
          record.assignments_[vm] = assignment;
        }
      }
    }
  }
  assert(state::brokenInvariant(record).empty());
  return record;
}

std::optional<DomainRecord>
DomainCoordinator::substituteReserve(const state::CopyId& aCopy)
{
  const state::CopyRecord& copy = record_->copies_.at(aCopy);
  const auto isFresh = [&](const VmId& aVm) {
    const auto report = observation_.reports().find(aVm);
    return report != observation_.reports().end() &&
           clock_.now() - report->second.observedAt_ <= limits_.evidenceLimit_;
  };
  std::optional<Substitution> chosen =
    reportedSubstitution(*record_, aCopy, observation_.reports());
  const auto before = substitutions_.find(aCopy);
  if (!chosen && before != substitutions_.end()) {
    chosen = makeSubstitution(
      *record_, aCopy, before->second.second, before->second.first);
  }
  if (chosen && isFresh(chosen->reserve_)) {
    return substitute(*record_, *chosen);
  }
  std::vector<std::uint32_t> absent;
  for (std::uint32_t rank = 0; rank < copy.members_.size(); ++rank) {
    const auto report = observation_.reports().find(copy.members_[rank]);
    if (report == observation_.reports().end() ||
        clock_.now() - report->second.observedAt_ > limits_.replaceAfter_) {
      absent.push_back(rank);
    }
  }
  if (absent.size() != 1) {
    return std::nullopt;
  }
  for (const auto& [vm, assignment] : record_->assignments_) {
    const auto substitution =
      makeSubstitution(*record_, aCopy, absent.front(), vm);
    if (substitution && isFresh(vm)) {
      substitutions_[aCopy] = { vm, absent.front() };
      ++counts_.substitutions_;
      return substitute(*record_, *substitution);
    }
  }
  return std::nullopt;
}

void
DomainCoordinator::sendOrder(const DomainRecord& aRecord,
                             const state::VmInfo& aVm,
                             EngineOrder aOrder)
{
  const auto copy = aRecord.copies_.find(aOrder.role_.copy_);
  const auto assignment = aRecord.assignments_.find(aVm.id_);
  if (copy != aRecord.copies_.end() &&
      assignment != aRecord.assignments_.end() &&
      assignment->second.kind_ == state::AssignmentKind::kMember) {
    aOrder.members_ = endpointsOf(copy->second, observation_.vms());
  }
  ++counts_.orders_;
  orders_[aVm.id_] = { true,
                       clock_.now() + limits_.orderRetryDelay_,
                       aOrder.fencing_ };
  const std::weak_ptr<bool> alive = alive_;
  engines_.sendOrder(aVm,
                     aOrder,
                     limits_.orderTimeout_,
                     [this, alive, vm = aVm.id_](OrderStatus aStatus) {
                       if (!alive.expired()) {
                         handleOrderReply(vm, aStatus);
                       }
                     });
}

void
DomainCoordinator::handleOrderReply(const VmId& aVm, OrderStatus aStatus)
{
  OrderState& state = orders_[aVm];
  state.inFlight_ = false;
  if (aStatus == OrderStatus::kFenced) {
    // A newer record may exist, so read it again. If none exists, the planner
    // raises the fencing number.
    ++counts_.fenced_;
    recordIsCurrent_ = false;
  }
}

} // namespace auburnhaven::coordination
