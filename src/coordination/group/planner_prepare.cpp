// Implements the steps of Planner that prepare replacements and reserves.

#include "coordination/group/planner.h"

#include "coordination/group/order_func.h"
#include "state/domain_record_func.h"

#include <algorithm>
#include <set>
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
Planner::promoteLoadedReserves(const CopyId& aCopy)
{
  for (const auto& [vm, assignment] : input_.record_.assignments_) {
    if (assignment.kind_ != AssignmentKind::kReserve ||
        assignment.copy_ != aCopy) {
      continue;
    }
    const auto report = input_.reports_.find(vm);
    if (!isPresent(vm) || report == input_.reports_.end()) {
      continue;
    }
    const CopyRecord& copy = record_.copies_.at(aCopy);
    const std::uint32_t rank = report->second.role_.rank_;
    if (rank < copy.members_.size() && hasLoaded(report->second, copy, rank)) {
      promoteReserve(copy.members_[rank], vm, aCopy, rank);
    }
  }
}

void
Planner::promoteReserve(const VmId& aOld,
                        const VmId& aNew,
                        const CopyId& aCopy,
                        std::uint32_t aRank)
{
  const VmHealth oldHealth = health(aOld);
  if (!aOld.empty()) {
    const bool serves =
      oldHealth == VmHealth::kPresent &&
      hasLoaded(input_.reports_.at(aOld), record_.copies_.at(aCopy), aRank);
    if (serves && !hasTakenOver(aNew, aCopy)) {
      return;
    }
    execute(state::WithdrawVm{ aOld, describe(oldHealth) });
  }
  execute(
    state::AssignMember{ aNew, aCopy, aRank, "has loaded the shard ahead" });
}

bool
Planner::hasTakenOver(const VmId& aReserve, const CopyId& aCopy) const
{
  return input_.reports_.at(aReserve).role_.fencing_ >
           record_.copies_.at(aCopy).fencing_ &&
         !record_.assignments_.at(aReserve).preload_;
}

void
Planner::bumpFencingIfBehind(const CopyId& aCopy)
{
  const CopyRecord& copy = record_.copies_.at(aCopy);
  const bool behind = std::any_of(
    copy.members_.begin(), copy.members_.end(), [&](const VmId& aVm) {
      const auto report = input_.reports_.find(aVm);
      return report != input_.reports_.end() &&
             report->second.role_.copy_ == aCopy &&
             report->second.role_.fencing_ > copy.fencing_;
    });
  if (behind) {
    execute(state::BumpFencing{ aCopy });
  }
}

void
Planner::prepareReplacements(const CopyId& aCopy)
{
  const CopyRecord copy = record_.copies_.at(aCopy);
  std::set<std::uint32_t> prepared;
  for (const auto& [vm, assignment] : input_.record_.assignments_) {
    if (assignment.kind_ != AssignmentKind::kReserve) {
      continue;
    }
    const auto present = record_.assignments_.find(vm);
    if (present == record_.assignments_.end() ||
        present->second.kind_ != AssignmentKind::kReserve ||
        !present->second.preload_ || present->second.copy_ != aCopy) {
      continue;
    }
    if (isReplacementNeeded(copy, present->second.rank_)) {
      prepared.insert(present->second.rank_);
    } else {
      execute(state::MakeSpare{ vm, "replacement is not needed any more" });
    }
  }
  for (std::uint32_t rank = 0; rank < copy.members_.size(); ++rank) {
    const VmId& vm = copy.members_[rank];
    if (prepared.contains(rank) || !needsReplacement(vm)) {
      continue;
    }
    const std::vector<VmId> free = replacementCandidates(aCopy);
    if (!free.empty() && health(free.front()) == VmHealth::kPresent) {
      execute(state::ReserveVm{ free.front(),
                                aCopy,
                                rank,
                                true,
                                "prepares for " + vm.value() + ", " +
                                  describe(health(vm)) });
    }
  }
}

bool
Planner::needsReplacement(const VmId& aVm) const
{
  if (aVm.empty()) {
    return false;
  }
  const VmHealth vmHealth = health(aVm);
  return vmHealth != VmHealth::kPresent;
}

bool
Planner::isReplacementNeeded(const CopyRecord& aCopy, std::uint32_t aRank) const
{
  const VmId& vm = aCopy.members_[aRank];
  if (vm.empty() || needsReplacement(vm)) {
    return true;
  }
  const auto report = input_.reports_.find(vm);
  return report == input_.reports_.end() ||
         !hasLoaded(report->second, aCopy, aRank);
}

void
Planner::adjustReserves(const std::vector<CopyId>& aCopies)
{
  const std::uint32_t perCopy = input_.configuration_.policy_.reservesPerCopy_;
  for (const CopyId& copy : aCopies) {
    std::vector<VmId> reserves = reservesOf(copy);
    while (reserves.size() > perCopy) {
      execute(
        state::MakeSpare{ reserves.back(), "more reserves than asked for" });
      reserves.pop_back();
    }
    if (state::isComplete(record_.copies_.at(copy))) {
      assignReserves(copy, perCopy - reserves.size());
    }
  }
}

std::vector<VmId>
Planner::reservesOf(const CopyId& aCopy) const
{
  std::vector<VmId> reserves;
  for (const auto& [vm, assignment] : record_.assignments_) {
    if (assignment.kind_ == AssignmentKind::kReserve &&
        assignment.copy_ == aCopy && !assignment.preload_) {
      reserves.push_back(vm);
    }
  }
  return reserves;
}

void
Planner::assignReserves(const CopyId& aCopy, std::size_t aCount)
{
  if (aCount == 0) {
    return;
  }
  for (const VmId& vm : replacementCandidates(aCopy)) {
    if (aCount == 0) {
      return;
    }
    if (record_.assignments_.at(vm).kind_ == AssignmentKind::kSpare) {
      execute(state::ReserveVm{ vm, aCopy, 0, false, "reserved for outages" });
      --aCount;
    }
  }
}

} // namespace auburnhaven::coordination
