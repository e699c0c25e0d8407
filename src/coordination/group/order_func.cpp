// Derives engine orders from domain records and schedules weight loads.

#include "coordination/group/order_func.h"

#include "state/assignment_cmd.h"
#include "state/domain_record_func.h"

#include <algorithm>
#include <tuple>

namespace auburnhaven::coordination {

namespace {

using state::AssignmentKind;
using state::CopyRecord;
using state::DomainRecord;
using state::VmId;

/** Weight loads that a copy or one of its reserves still needs. */
struct CopyLoads
{
  std::int32_t priority_ = 0; ///< Priority of the group.
  std::size_t remaining_ = 0; ///< VMs that have not loaded yet.
  state::CopyId id_;          ///< The copy.
  std::vector<VmId> pending_; ///< VMs that need a load order.
};

/** Collects the outstanding weight loads of a zone. */
class LoadCollector
{
public:
  explicit LoadCollector(const LoadInput& aInput)
    : input_(aInput)
  {
  }

  /** @return Outstanding loads of complete copies and of preloading reserves,
   * most urgent first. */
  std::vector<CopyLoads> collect() const
  {
    std::vector<CopyLoads> all;
    for (const DomainRecord* record : input_.records_) {
      for (const auto& [id, copy] : record->copies_) {
        addMemberLoads(*record, copy, all);
      }
      addPreloads(*record, all);
    }
    std::sort(
      all.begin(), all.end(), [](const auto& aLeft, const auto& aRight) {
        return std::make_tuple(-aLeft.priority_, aLeft.remaining_, aLeft.id_) <
               std::make_tuple(
                 -aRight.priority_, aRight.remaining_, aRight.id_);
      });
    return all;
  }

  /** @return Number of VMs that report a load in progress. */
  std::size_t countLoading() const
  {
    return static_cast<std::size_t>(std::count_if(
      input_.reports_.begin(), input_.reports_.end(), [&](const auto& aEntry) {
        return aEntry.second.phase_ == state::EnginePhase::kLoading &&
               isFresh(aEntry.second);
      }));
  }

private:
  bool isFresh(const state::VmReport& aReport) const
  {
    return input_.now_ - aReport.observedAt_ <= input_.limits_.evidenceLimit_;
  }

  std::int32_t priorityOf(const state::CopyId& aCopy) const
  {
    const auto found = input_.configuration_.groups_.find(aCopy.group_);
    return found == input_.configuration_.groups_.end()
             ? 0
             : found->second.priority_;
  }

  void addMemberLoads(const DomainRecord& aRecord,
                      const CopyRecord& aCopy,
                      std::vector<CopyLoads>& aAll) const
  {
    if (!state::isComplete(aCopy)) {
      return;
    }
    CopyLoads loads{ priorityOf(aCopy.id_), 0, aCopy.id_, {} };
    for (std::uint32_t rank = 0; rank < aCopy.members_.size(); ++rank) {
      const VmId& vm = aCopy.members_[rank];
      const auto report = input_.reports_.find(vm);
      if (report == input_.reports_.end() || !isFresh(report->second)) {
        ++loads.remaining_;
      } else if (!hasLoaded(report->second, aCopy, rank)) {
        ++loads.remaining_;
        addIfPending(aRecord, vm, report->second, loads);
      }
    }
    if (!loads.pending_.empty()) {
      aAll.push_back(std::move(loads));
    }
  }

  void addIfPending(const DomainRecord& aRecord,
                    const VmId& aVm,
                    const state::VmReport& aReport,
                    CopyLoads& aLoads) const
  {
    const EngineOrder order = orderFor(aRecord, aVm);
    if (needsLoad(order, aReport)) {
      aLoads.pending_.push_back(aVm);
    }
  }

  void addPreloads(const DomainRecord& aRecord,
                   std::vector<CopyLoads>& aAll) const
  {
    for (const auto& [vm, assignment] : aRecord.assignments_) {
      const auto report = input_.reports_.find(vm);
      const bool loads =
        assignment.kind_ == AssignmentKind::kReserve && assignment.preload_ &&
        report != input_.reports_.end() && isFresh(report->second);
      if (!loads) {
        continue;
      }
      CopyLoads item{ priorityOf(assignment.copy_), 1, assignment.copy_, {} };
      addIfPending(aRecord, vm, report->second, item);
      if (!item.pending_.empty()) {
        aAll.push_back(std::move(item));
      }
    }
  }

  const LoadInput& input_; ///< Records, reports and limits.
};

} // namespace

bool
isOutdated(const CopyRecord& aCopy, const state::ServingGroup& aGroup)
{
  return aCopy.model_ != aGroup.model_ || aCopy.version_ != aGroup.version_ ||
         aCopy.adapters_ != aGroup.adapters_ ||
         aCopy.members_.size() != aGroup.vmsPerCopy_;
}

bool
hasLoaded(const state::VmReport& aReport,
          const CopyRecord& aCopy,
          std::uint32_t aRank)
{
  const state::EngineRole& role = aReport.role_;
  return aReport.phase_ == state::EnginePhase::kReady &&
         role.copy_ == aCopy.id_ && role.rank_ == aRank &&
         role.model_ == aCopy.model_ && role.version_ == aCopy.version_ &&
         role.adapters_ == aCopy.adapters_;
}

std::vector<state::Endpoint>
endpointsOf(const CopyRecord& aCopy, const VmMap& aVms)
{
  std::vector<state::Endpoint> endpoints;
  for (const VmId& vm : aCopy.members_) {
    const auto found = aVms.find(vm);
    endpoints.push_back(found == aVms.end() ? state::Endpoint{}
                                            : found->second.endpoint_);
  }
  return endpoints;
}

EngineOrder
orderFor(const DomainRecord& aRecord, const VmId& aVm)
{
  EngineOrder order;
  order.vm_ = aVm;
  order.fencing_ = state::fencingOf(aRecord.version_);
  const auto found = aRecord.assignments_.find(aVm);
  if (found != aRecord.assignments_.end()) {
    const state::Assignment& assignment = found->second;
    const bool member = assignment.kind_ == AssignmentKind::kMember;
    const bool preload =
      assignment.kind_ == AssignmentKind::kReserve && assignment.preload_;
    if (member || preload) {
      const CopyRecord& copy = aRecord.copies_.at(assignment.copy_);
      order.fencing_ = member ? copy.fencing_ : order.fencing_;
      order.role_ = { copy.id_,    assignment.rank_, order.fencing_,
                      copy.model_, copy.version_,    copy.adapters_ };
    }
  }
  order.role_.fencing_ = order.fencing_;
  return order;
}

bool
followsOrder(const DomainRecord& aRecord,
             const EngineOrder& aOrder,
             const state::VmReport& aReport)
{
  const auto found = aRecord.assignments_.find(aOrder.vm_);
  const bool reserve = found != aRecord.assignments_.end() &&
                       found->second.kind_ == AssignmentKind::kReserve;
  if (reserve && !found->second.preload_ &&
      aReport.role_.copy_ == found->second.copy_) {
    return true;
  }
  if (aOrder.role_.copy_.group_.empty()) {
    return aReport.role_.copy_.group_.empty();
  }
  state::EngineRole role = aReport.role_;
  if (reserve) {
    role.fencing_ = aOrder.role_.fencing_;
  }
  return role == aOrder.role_ && aReport.phase_ != state::EnginePhase::kIdle &&
         aReport.phase_ != state::EnginePhase::kFailed;
}

bool
needsLoad(const EngineOrder& aOrder, const state::VmReport& aReport)
{
  if (aOrder.role_.copy_.group_.empty()) {
    return false;
  }
  state::EngineRole role = aReport.role_;
  role.fencing_ = aOrder.role_.fencing_;
  const bool loadedOrLoading = aReport.phase_ == state::EnginePhase::kReady ||
                               aReport.phase_ == state::EnginePhase::kLoading;
  return !loadedOrLoading || role != aOrder.role_;
}

std::set<VmId>
chooseLoads(const LoadInput& aInput)
{
  const LoadCollector collector(aInput);
  std::size_t inFlight = collector.countLoading();
  std::set<VmId> chosen;
  for (const CopyLoads& loads : collector.collect()) {
    for (const VmId& vm : loads.pending_) {
      if (inFlight >= aInput.limits_.loadsAtOnce_) {
        return chosen;
      }
      chosen.insert(vm);
      ++inFlight;
    }
  }
  return chosen;
}

} // namespace auburnhaven::coordination
