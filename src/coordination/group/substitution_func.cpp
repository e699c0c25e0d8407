// Replaces a member of a copy by a reserve during a store outage.

#include "coordination/group/substitution_func.h"

#include "state/assignment_cmd.h"
#include "state/domain_record_func.h"

#include <algorithm>
#include <cassert>
#include <vector>

namespace auburnhaven::coordination {

namespace {

using state::AssignmentKind;
using state::CopyId;
using state::DomainRecord;
using state::VmId;

/** @return Reserves of a copy, sorted by identifier. */
std::vector<VmId>
reservesOf(const DomainRecord& aRecord, const CopyId& aCopy)
{
  std::vector<VmId> reserves;
  for (const auto& [vm, assignment] : aRecord.assignments_) {
    if (assignment.kind_ == AssignmentKind::kReserve &&
        assignment.copy_ == aCopy) {
      reserves.push_back(vm);
    }
  }
  return reserves;
}

} // namespace

DomainRecord
substitute(DomainRecord aRecord, const Substitution& aSubstitution)
{
  state::CopyRecord& copy = aRecord.copies_.at(aSubstitution.copy_);
  state::Assignment& reserve = aRecord.assignments_.at(aSubstitution.reserve_);
  assert(reserve.kind_ == AssignmentKind::kReserve);
  assert(reserve.copy_ == aSubstitution.copy_);
  VmId& member = copy.members_.at(aSubstitution.rank_);
  if (!member.empty()) {
    aRecord.assignments_.at(member) = {
      AssignmentKind::kReserve, aSubstitution.copy_, 0, "replaced for now"
    };
  }
  member = aSubstitution.reserve_;
  reserve.kind_ = AssignmentKind::kMember;
  reserve.rank_ = aSubstitution.rank_;
  copy.fencing_ = aSubstitution.fencing_;
  assert(state::brokenInvariant(aRecord).empty());
  return aRecord;
}

std::optional<Substitution>
makeSubstitution(const DomainRecord& aRecord,
                 const CopyId& aCopy,
                 std::uint32_t aRank,
                 const VmId& aReserve)
{
  const std::vector<VmId> reserves = reservesOf(aRecord, aCopy);
  const auto found = std::find(reserves.begin(), reserves.end(), aReserve);
  const auto copy = aRecord.copies_.find(aCopy);
  if (found == reserves.end() || copy == aRecord.copies_.end() ||
      aRank >= copy->second.members_.size()) {
    return std::nullopt;
  }
  const auto index = static_cast<std::uint64_t>(found - reserves.begin());
  const std::uint64_t offset = 1 + aRank * reserves.size() + index;
  assert(offset < state::kFencingStride);
  return Substitution{ aCopy,
                       aRank,
                       aReserve,
                       state::FencingNumber(copy->second.fencing_.value() +
                                            offset) };
}

std::optional<Substitution>
reportedSubstitution(const DomainRecord& aRecord,
                     const CopyId& aCopy,
                     const ReportMap& aReports)
{
  for (const VmId& reserve : reservesOf(aRecord, aCopy)) {
    const auto report = aReports.find(reserve);
    if (report == aReports.end() || report->second.role_.copy_ != aCopy) {
      continue;
    }
    const state::EngineRole& role = report->second.role_;
    std::optional<Substitution> substitution =
      makeSubstitution(aRecord, aCopy, role.rank_, reserve);
    if (substitution && substitution->fencing_ == role.fencing_) {
      return substitution;
    }
  }
  return std::nullopt;
}

EvaluatedCopy
evaluateRecordedCopy(const DomainRecord& aRecord,
                     const CopyId& aCopy,
                     const ReportMap& aReports,
                     state::TimePoint aNow,
                     state::Duration aLimit)
{
  const state::CopyRecord& copy = aRecord.copies_.at(aCopy);
  CopyReadiness readiness = evaluateCopyReadiness(copy, aReports, aNow, aLimit);
  if (readiness.open_) {
    return { copy, readiness };
  }
  const std::optional<Substitution> substitution =
    reportedSubstitution(aRecord, aCopy, aReports);
  if (!substitution) {
    return { copy, readiness };
  }
  state::CopyRecord substituted = copy;
  substituted.members_.at(substitution->rank_) = substitution->reserve_;
  substituted.fencing_ = substitution->fencing_;
  CopyReadiness replacedReadiness =
    evaluateCopyReadiness(substituted, aReports, aNow, aLimit);
  if (replacedReadiness.open_) {
    return { std::move(substituted), replacedReadiness };
  }
  return { copy, readiness };
}

} // namespace auburnhaven::coordination
