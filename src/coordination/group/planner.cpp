// Implements the planning steps for the assignments of a fabric domain.

#include "coordination/group/planner.h"

#include "coordination/group/allocation_func.h"
#include "coordination/group/order_func.h"
#include "state/domain_record_func.h"

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

Planner::Planner(const PlanInput& aInput)
  : input_(aInput)
  , record_(aInput.record_)
{
}

PlannedCommands
Planner::run()
{
  admitVms();
  withdrawUnusable();
  removeUnwanted();
  updateVersions();
  createMissing();
  const std::vector<CopyId> order = copiesByPriority();
  for (const CopyId& copy : order) {
    promoteLoadedReserves(copy);
    bumpFencingIfBehind(copy);
  }
  for (const CopyId& copy : order) {
    completeCopy(copy);
  }
  for (const CopyId& copy : order) {
    prepareReplacements(copy);
  }
  adjustReserves(order);
  return std::move(commands_);
}

bool
Planner::execute(const state::AssignmentCommand& aCommand)
{
  const bool done =
    state::runCommand(record_, aCommand, state::CommandMode::kExecute).ok();
  if (done) {
    commands_.push_back(aCommand);
  }
  return done;
}

VmHealth
Planner::health(const VmId& aVm) const
{
  return healthOf(
    aVm, input_.history_, input_.vms_, input_.now_, input_.limits_);
}

const ServingGroup*
Planner::groupOf(const CopyId& aCopy) const
{
  const auto found = input_.configuration_.groups_.find(aCopy.group_);
  return found == input_.configuration_.groups_.end() ? nullptr
                                                      : &found->second;
}

void
Planner::admitVms()
{
  for (const auto& [vm, info] : input_.vms_) {
    const auto history = input_.history_.find(vm);
    if (info.domain_ != record_.domain_ ||
        info.listing_ != state::VmListing::kLive ||
        history == input_.history_.end()) {
      continue;
    }
    const auto known = record_.assignments_.find(vm);
    if (known == record_.assignments_.end()) {
      if (health(vm) == VmHealth::kPresent) {
        execute(state::MakeSpare{ vm, "new in the domain" });
      }
    } else if (known->second.kind_ == AssignmentKind::kWithdrawn &&
               mayReadmit(vm, history->second)) {
      execute(state::MakeSpare{ vm, "came back and settled" });
    }
  }
}

bool
Planner::mayReadmit(const VmId& aVm, const VmHistory& aHistory) const
{
  const VmHealth vmHealth = health(aVm);
  if (vmHealth == VmHealth::kPresent && lacksMembers()) {
    return true;
  }
  return isPresent(aVm) && hasSettled(aHistory, input_.now_, input_.limits_);
}

bool
Planner::lacksMembers() const
{
  return std::any_of(
    input_.record_.copies_.begin(),
    input_.record_.copies_.end(),
    [&](const auto& aEntry) { return !ranksToFill(aEntry.second).empty(); });
}

void
Planner::withdrawUnusable()
{
  for (const auto& [vm, assignment] : input_.record_.assignments_) {
    const VmHealth vmHealth = health(vm);
    const bool member = assignment.kind_ == AssignmentKind::kMember;
    const bool withdrawn = assignment.kind_ == AssignmentKind::kWithdrawn;
    const bool unusable =
      vmHealth == VmHealth::kAbsent || vmHealth == VmHealth::kLeaving ||
      vmHealth == VmHealth::kFailing || vmHealth == VmHealth::kGone;
    if (withdrawn && vmHealth == VmHealth::kGone) {
      execute(state::ForgetVm{ vm });
    } else if (!withdrawn && vmHealth == VmHealth::kGone) {
      execute(state::WithdrawVm{ vm, "gone from the platform's list" });
    } else if (!withdrawn && !member && unusable) {
      execute(state::WithdrawVm{ vm, describe(vmHealth) });
    }
  }
}

void
Planner::removeUnwanted()
{
  for (const auto& [id, copy] : input_.record_.copies_) {
    if (!input_.wanted_.contains(id) || groupOf(id) == nullptr) {
      execute(state::RemoveCopy{ id, "copy is not wanted here" });
    }
  }
}

void
Planner::updateVersions()
{
  for (const CopyId& id : input_.mayUpdate_) {
    const auto copy = record_.copies_.find(id);
    const ServingGroup* group = groupOf(id);
    if (copy == record_.copies_.end() || group == nullptr) {
      continue;
    }
    if (copy->second.members_.size() != group->vmsPerCopy_) {
      execute(state::RemoveCopy{ id, "copy changes its size" });
    } else if (isOutdated(copy->second, *group)) {
      execute(state::ChangeModel{
        id, group->model_, group->version_, group->adapters_ });
    }
  }
}

void
Planner::createMissing()
{
  for (const CopyId& id : input_.wanted_) {
    const ServingGroup* group = groupOf(id);
    if (group != nullptr && !record_.copies_.contains(id)) {
      execute(state::CreateCopy{ id,
                                 group->model_,
                                 group->version_,
                                 group->adapters_,
                                 group->vmsPerCopy_ });
    }
  }
}

std::vector<CopyId>
Planner::copiesByPriority() const
{
  std::vector<std::tuple<std::int32_t, std::size_t, CopyId>> keys;
  for (const auto& [id, copy] : record_.copies_) {
    const ServingGroup* group = groupOf(id);
    keys.emplace_back(
      group == nullptr ? 0 : -group->priority_, ranksToFill(copy).size(), id);
  }
  std::sort(keys.begin(), keys.end());
  std::vector<CopyId> order;
  order.reserve(keys.size());
  for (const auto& [priority, missing, id] : keys) {
    order.push_back(id);
  }
  return order;
}

std::vector<std::uint32_t>
Planner::ranksToFill(const CopyRecord& aCopy) const
{
  std::vector<std::uint32_t> ranks;
  for (std::uint32_t rank = 0; rank < aCopy.members_.size(); ++rank) {
    const VmId& vm = aCopy.members_[rank];
    const bool failed = vm.empty() || health(vm) == VmHealth::kAbsent ||
                        health(vm) == VmHealth::kGone;
    if (failed) {
      ranks.push_back(rank);
    }
  }
  return ranks;
}

bool
Planner::isPresent(const VmId& aVm) const
{
  const VmHealth vmHealth = health(aVm);
  return vmHealth == VmHealth::kPresent || vmHealth == VmHealth::kFlapping;
}

} // namespace auburnhaven::coordination
