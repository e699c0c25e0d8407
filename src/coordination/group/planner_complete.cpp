// Implements the steps of Planner that complete copies, if necessary with VMs
// reclaimed from other copies.

#include "coordination/group/planner.h"

#include "coordination/group/order_func.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace auburnhaven::coordination {

using state::Assignment;
using state::AssignmentKind;
using state::CopyId;
using state::CopyRecord;
using state::ServingGroup;
using state::VmId;

void
Planner::completeCopy(const CopyId& aCopy)
{
  std::vector<std::uint32_t> ranks = ranksToFill(record_.copies_.at(aCopy));
  std::erase_if(ranks, [&](std::uint32_t aRank) {
    const VmId& old = record_.copies_.at(aCopy).members_[aRank];
    return !old.empty() && hasPreparedReserve(aCopy, aRank);
  });
  if (ranks.empty()) {
    return;
  }
  std::vector<VmId> free = replacementCandidates(aCopy);
  if (free.size() < ranks.size()) {
    reclaimVms(aCopy, ranks.size() - free.size());
    free = replacementCandidates(aCopy);
  }
  if (free.size() < ranks.size()) {
    return;
  }
  for (const std::uint32_t rank : ranks) {
    assignRank(aCopy, rank, free);
  }
}

bool
Planner::hasPreparedReserve(const CopyId& aCopy, std::uint32_t aRank) const
{
  return std::any_of(record_.assignments_.begin(),
                     record_.assignments_.end(),
                     [&](const auto& aEntry) {
                       const Assignment& assignment = aEntry.second;
                       return assignment.kind_ == AssignmentKind::kReserve &&
                              assignment.preload_ &&
                              assignment.copy_ == aCopy &&
                              assignment.rank_ == aRank &&
                              isPresent(aEntry.first);
                     });
}

bool
Planner::hasOrLoadsShard(const VmId& aVm,
                         const CopyRecord& aCopy,
                         std::uint32_t aRank) const
{
  const auto report = input_.reports_.find(aVm);
  if (report == input_.reports_.end()) {
    return false;
  }
  state::VmReport loaded = report->second;
  if (loaded.phase_ == state::EnginePhase::kLoading) {
    loaded.phase_ = state::EnginePhase::kReady;
  }
  return hasLoaded(loaded, aCopy, aRank);
}

void
Planner::assignRank(const CopyId& aCopy,
                    std::uint32_t aRank,
                    std::vector<VmId>& aFree)
{
  const CopyRecord& copy = record_.copies_.at(aCopy);
  const VmId old = copy.members_[aRank];
  const auto loaded =
    std::find_if(aFree.begin(), aFree.end(), [&](const VmId& aVm) {
      return hasOrLoadsShard(aVm, copy, aRank);
    });
  const auto chosen = loaded == aFree.end() ? aFree.begin() : loaded;
  std::string reason = "completes the copy";
  if (!old.empty()) {
    reason = "replaces " + old.value() + ", " + describe(health(old));
    execute(state::WithdrawVm{ old, describe(health(old)) });
  }
  execute(state::AssignMember{ *chosen, aCopy, aRank, reason });
  aFree.erase(chosen);
}

std::vector<VmId>
Planner::replacementCandidates(const CopyId& aCopy) const
{
  std::vector<std::tuple<bool, std::size_t, VmId>> keys;
  for (const auto& [vm, assignment] : record_.assignments_) {
    const bool reserve =
      assignment.kind_ == AssignmentKind::kReserve && assignment.copy_ == aCopy;
    if ((reserve || assignment.kind_ == AssignmentKind::kSpare) &&
        isPresent(vm)) {
      keys.emplace_back(!reserve, countAbsences(vm), vm);
    }
  }
  std::sort(keys.begin(), keys.end());
  std::vector<VmId> free;
  free.reserve(keys.size());
  for (const auto& [spare, count, vm] : keys) {
    free.push_back(vm);
  }
  return free;
}

std::size_t
Planner::countAbsences(const VmId& aVm) const
{
  const auto found = input_.history_.find(aVm);
  return found == input_.history_.end() ? 0 : found->second.absences_.size();
}

void
Planner::reclaimVms(const CopyId& aCopy, std::size_t aCount)
{
  std::vector<VmId> reclaimed;
  std::vector<CopyId> order = copiesByPriority();
  std::reverse(order.begin(), order.end());
  collectReserves(aCopy, order, reclaimed);
  const bool mayReclaim = mayReclaimMembers(aCopy);
  for (const CopyId& other : order) {
    if (other == aCopy) {
      break;
    }
    if (mayReclaim && mayPreempt(aCopy, other)) {
      collectMembers(record_.copies_.at(other), reclaimed);
    }
  }
  if (reclaimed.size() < aCount) {
    return;
  }
  reclaimed.resize(aCount);
  for (const VmId& vm : reclaimed) {
    std::string reason = "given up to complete copy " + aCopy.group_.value() +
                         "/" + std::to_string(aCopy.index_);
    execute(state::MakeSpare{ vm, std::move(reason) });
  }
}

bool
Planner::mayReclaimMembers(const CopyId& aCopy) const
{
  const std::vector<VmId>& members = record_.copies_.at(aCopy).members_;
  return std::all_of(members.begin(), members.end(), [&](const VmId& aVm) {
    const auto history = input_.history_.find(aVm);
    return history == input_.history_.end() || !history->second.absentSince_ ||
           input_.now_ - *history->second.absentSince_ >=
             input_.limits_.preemptAfter_;
  });
}

void
Planner::collectReserves(const CopyId& aCopy,
                         const std::vector<CopyId>& aCopies,
                         std::vector<VmId>& aReclaimed) const
{
  for (const CopyId& other : aCopies) {
    if (other == aCopy || priorityOf(other) > priorityOf(aCopy)) {
      continue;
    }
    for (const VmId& vm : reservesOf(other)) {
      if (!reportsRoleIn(vm, other) && isPresent(vm)) {
        aReclaimed.push_back(vm);
      }
    }
  }
}

std::int32_t
Planner::priorityOf(const CopyId& aCopy) const
{
  const ServingGroup* group = groupOf(aCopy);
  return group == nullptr ? 0 : group->priority_;
}

bool
Planner::reportsRoleIn(const VmId& aVm, const CopyId& aCopy) const
{
  const auto report = input_.reports_.find(aVm);
  return report != input_.reports_.end() && report->second.role_.copy_ == aCopy;
}

bool
Planner::mayPreempt(const CopyId& aCopy, const CopyId& aOther) const
{
  const ServingGroup* group = groupOf(aCopy);
  const ServingGroup* otherGroup = groupOf(aOther);
  if (group == nullptr || otherGroup == nullptr) {
    return false;
  }
  const bool incomplete = !ranksToFill(record_.copies_.at(aOther)).empty();
  if (otherGroup->priority_ < group->priority_) {
    return incomplete || input_.configuration_.policy_.allowPreemption_;
  }
  return incomplete && otherGroup->priority_ == group->priority_;
}

void
Planner::collectMembers(const CopyRecord& aCopy,
                        std::vector<VmId>& aReclaimed) const
{
  for (const VmId& vm : aCopy.members_) {
    if (!vm.empty() && isPresent(vm)) {
      aReclaimed.push_back(vm);
    }
  }
}

} // namespace auburnhaven::coordination
