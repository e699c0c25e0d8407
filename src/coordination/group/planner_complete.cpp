// The part of Planner that completes copies, with VMs of other copies if need
// be.

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
Planner::complete(const CopyId& aCopy)
{
  std::vector<std::uint32_t> ranks = failedRanks(record_.copies_.at(aCopy));
  std::erase_if(ranks, [&](std::uint32_t aRank) {
    const VmId& old = record_.copies_.at(aCopy).members_[aRank];
    return !old.empty() && isPrepared(aCopy, aRank);
  });
  if (ranks.empty()) {
    return;
  }
  std::vector<VmId> free = replacements(aCopy);
  if (free.size() < ranks.size()) {
    takeFromLesser(aCopy, ranks.size() - free.size());
    free = replacements(aCopy);
  }
  if (free.size() < ranks.size()) {
    return;
  }
  for (const std::uint32_t rank : ranks) {
    fillRank(aCopy, rank, free);
  }
}

bool
Planner::isPrepared(const CopyId& aCopy, std::uint32_t aRank) const
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
Planner::holdsShard(const VmId& aVm,
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
Planner::fillRank(const CopyId& aCopy,
                  std::uint32_t aRank,
                  std::vector<VmId>& aFree)
{
  const CopyRecord& copy = record_.copies_.at(aCopy);
  const VmId old = copy.members_[aRank];
  const auto loaded =
    std::find_if(aFree.begin(), aFree.end(), [&](const VmId& aVm) {
      return holdsShard(aVm, copy, aRank);
    });
  const auto chosen = loaded == aFree.end() ? aFree.begin() : loaded;
  std::string reason = "completes the copy";
  if (!old.empty()) {
    reason = "replaces " + old.value() + ", " + describe(health(old));
    move(state::WithdrawVm{ old, describe(health(old)) });
  }
  move(state::AssignMember{ *chosen, aCopy, aRank, reason });
  aFree.erase(chosen);
}

std::vector<VmId>
Planner::replacements(const CopyId& aCopy) const
{
  std::vector<std::tuple<bool, std::size_t, VmId>> keys;
  for (const auto& [vm, assignment] : record_.assignments_) {
    const bool reserve =
      assignment.kind_ == AssignmentKind::kReserve && assignment.copy_ == aCopy;
    if ((reserve || assignment.kind_ == AssignmentKind::kSpare) &&
        isPresent(vm)) {
      keys.emplace_back(!reserve, absences(vm), vm);
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
Planner::absences(const VmId& aVm) const
{
  const auto found = input_.history_.find(aVm);
  return found == input_.history_.end() ? 0 : found->second.absences_.size();
}

void
Planner::takeFromLesser(const CopyId& aCopy, std::size_t aCount)
{
  std::vector<VmId> victims;
  std::vector<CopyId> order = copiesByPriority();
  std::reverse(order.begin(), order.end());
  addReserves(aCopy, order, victims);
  const bool waited = hasWaited(aCopy);
  for (const CopyId& lesser : order) {
    if (lesser == aCopy) {
      break;
    }
    if (waited && mayTake(aCopy, lesser)) {
      addMembers(record_.copies_.at(lesser), victims);
    }
  }
  if (victims.size() < aCount) {
    return;
  }
  victims.resize(aCount);
  for (const VmId& vm : victims) {
    std::string reason = "given up to complete copy " + aCopy.group_.value() +
                         "/" + std::to_string(aCopy.index_);
    move(state::MakeSpare{ vm, std::move(reason) });
  }
}

bool
Planner::hasWaited(const CopyId& aCopy) const
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
Planner::addReserves(const CopyId& aCopy,
                     const std::vector<CopyId>& aOrder,
                     std::vector<VmId>& aVictims) const
{
  for (const CopyId& other : aOrder) {
    if (other == aCopy || priorityOf(other) > priorityOf(aCopy)) {
      continue;
    }
    for (const VmId& vm : reservesOf(other)) {
      if (!holdsRoleIn(vm, other) && isPresent(vm)) {
        aVictims.push_back(vm);
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
Planner::holdsRoleIn(const VmId& aVm, const CopyId& aCopy) const
{
  const auto report = input_.reports_.find(aVm);
  return report != input_.reports_.end() && report->second.role_.copy_ == aCopy;
}

bool
Planner::mayTake(const CopyId& aCopy, const CopyId& aLesser) const
{
  const ServingGroup* group = groupOf(aCopy);
  const ServingGroup* lesser = groupOf(aLesser);
  if (group == nullptr || lesser == nullptr) {
    return false;
  }
  const bool broken = !failedRanks(record_.copies_.at(aLesser)).empty();
  if (lesser->priority_ < group->priority_) {
    return broken || input_.configuration_.policy_.allowPreemption_;
  }
  return broken && lesser->priority_ == group->priority_;
}

void
Planner::addMembers(const CopyRecord& aCopy, std::vector<VmId>& aVictims) const
{
  for (const VmId& vm : aCopy.members_) {
    if (!vm.empty() && isPresent(vm)) {
      aVictims.push_back(vm);
    }
  }
}

} // namespace auburnhaven::coordination
