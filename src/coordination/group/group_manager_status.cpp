// Status reports of GroupManager.

#include "coordination/group/group_manager.h"

#include <algorithm>
#include <utility>

namespace auburnhaven::coordination {

namespace {

using state::AssignmentKind;

} // namespace

GroupStatusReport
GroupManager::status() const
{
  GroupStatusReport report;
  if (configuration_) {
    const std::vector<state::ServingCopy> known = copies();
    for (const auto& [id, group] : configuration_->groups_) {
      report.groups_.push_back(statusOf(group, known));
    }
  }
  for (const auto& [domain, record] : groupState_.records()) {
    report.domains_.push_back(statusOf(record));
    countStranded(record, report.strandedAccelerators_);
  }
  return report;
}

void
GroupManager::updateOpenStates(state::Duration aElapsed)
{
  std::map<state::GroupId, std::uint32_t> open;
  std::map<state::CopyId, bool> copyOpen;
  for (const state::ServingCopy& copy : copies()) {
    copyOpen[copy.id_] = copyOpen[copy.id_] || copy.open_;
    open[copy.id_.group_] += copy.open_ ? 1 : 0;
  }
  std::erase_if(copyStates_, [&](const auto& aEntry) {
    return !copyOpen.contains(aEntry.first);
  });
  for (const auto& [id, isOpen] : copyOpen) {
    updateOpenState(copyStates_[id], isOpen);
  }
  std::erase_if(groupStates_, [&](const auto& aEntry) {
    return !configuration_->groups_.contains(aEntry.first);
  });
  for (const auto& [id, group] : configuration_->groups_) {
    OpenState& state = groupStates_[id];
    updateOpenState(state, open[id] > 0);
    state.downtime_ += state.open_ ? state::Duration() : aElapsed;
  }
}

void
GroupManager::updateOpenState(OpenState& aState, bool aOpen) const
{
  if (aState.open_ != aOpen || aState.since_ == state::WallTime()) {
    aState.open_ = aOpen;
    aState.since_ = clock_.wallNow();
  }
}

GroupStatus
GroupManager::statusOf(const state::ServingGroup& aGroup,
                       const std::vector<state::ServingCopy>& aCopies) const
{
  GroupStatus status;
  status.id_ = aGroup.id_;
  status.wanted_ = aGroup.copies_;
  const auto state = groupStates_.find(aGroup.id_);
  if (state != groupStates_.end()) {
    status.downtime_ = state->second.downtime_;
  }
  for (const state::ServingCopy& copy : aCopies) {
    if (copy.id_.group_ == aGroup.id_) {
      status.open_ += copy.open_ ? 1 : 0;
      status.copies_.push_back(statusOf(copy));
    }
  }
  return status;
}

CopyStatus
GroupManager::statusOf(const state::ServingCopy& aCopy) const
{
  CopyStatus status;
  status.id_ = aCopy.id_;
  status.zone_ = aCopy.zone_;
  status.fencing_ = aCopy.fencing_;
  status.open_ = aCopy.open_;
  status.closedReason_ = aCopy.closedReason_;
  const auto state = copyStates_.find(aCopy.id_);
  if (state != copyStates_.end()) {
    status.since_ = state->second.since_;
  }
  for (const auto& [domain, timed] : groupState_.summaries()) {
    for (const CopySummary& copy : timed.summary_.copies_) {
      const bool same =
        copy.id_ == aCopy.id_ && timed.summary_.zone_ == aCopy.zone_;
      status.domain_ = same ? domain : status.domain_;
    }
  }
  for (const auto& [domain, record] : groupState_.records()) {
    const auto copy = record.copies_.find(aCopy.id_);
    if (aCopy.zone_ != zone_ || copy == record.copies_.end()) {
      continue;
    }
    status.domain_ = domain;
    status.version_ = copy->second.version_;
    for (std::uint32_t rank = 0; rank < copy->second.members_.size(); ++rank) {
      const state::VmId& vm = copy->second.members_[rank];
      const char* health = describe(healthOf(
        vm, groupState_.history(), observation_.vms(), clock_.now(), limits_));
      status.members_.push_back({ rank, vm, vm.empty() ? "missing" : health });
    }
  }
  return status;
}

DomainStatus
GroupManager::statusOf(const state::DomainRecord& aRecord) const
{
  DomainStatus status;
  status.domain_ = aRecord.domain_;
  status.version_ = aRecord.version_;
  const auto coordinator = coordinators_.find(aRecord.domain_);
  status.coordinatedHere_ =
    coordinator != coordinators_.end() && coordinator->second->holdsLease();
  const auto summary = groupState_.summaries().find(aRecord.domain_);
  if (summary != groupState_.summaries().end()) {
    status.coordinator_ = summary->second.summary_.coordinator_.value();
  }
  for (const auto& [vm, assignment] : aRecord.assignments_) {
    if (assignment.kind_ == AssignmentKind::kSpare) {
      status.spares_.push_back(vm);
    } else if (assignment.kind_ == AssignmentKind::kReserve) {
      status.reserves_.push_back(vm);
    } else if (assignment.kind_ == AssignmentKind::kWithdrawn) {
      status.withdrawn_[vm] = assignment.reason_;
    }
  }
  return status;
}

void
GroupManager::countStranded(
  const state::DomainRecord& aRecord,
  std::map<std::string, std::uint32_t>& aStranded) const
{
  for (const auto& [vm, assignment] : aRecord.assignments_) {
    const auto listed = observation_.vms().find(vm);
    const VmHealth health = healthOf(
      vm, groupState_.history(), observation_.vms(), clock_.now(), limits_);
    const bool healthy = health == VmHealth::kPresent ||
                         health == VmHealth::kFlapping ||
                         health == VmHealth::kStraggler;
    if (listed == observation_.vms().end() || !healthy) {
      continue;
    }
    const std::string cause = strandedCause(aRecord, assignment);
    if (!cause.empty()) {
      aStranded[cause] += listed->second.accelerators_;
    }
  }
}

std::string
GroupManager::strandedCause(const state::DomainRecord& aRecord,
                            const state::Assignment& aAssignment) const
{
  switch (aAssignment.kind_) {
    case AssignmentKind::kSpare:
      return "spare";
    case AssignmentKind::kReserve:
      return "reserve";
    case AssignmentKind::kWithdrawn:
      return "withdrawn";
    case AssignmentKind::kMember:
      break;
  }
  const EvaluatedCopy evaluated = evaluateRecordedCopy(aRecord,
                                                       aAssignment.copy_,
                                                       observation_.reports(),
                                                       clock_.now(),
                                                       limits_.evidenceLimit_);
  return evaluated.readiness_.open_ ? ""
                                    : "member of a copy that does not serve";
}

} // namespace auburnhaven::coordination
