// Checks of the invariants of a domain record.

#include "state/domain_record_func.h"

#include <algorithm>
#include <set>
#include <sstream>

namespace auburnhaven::state {

namespace {

/** @return Fault of one member of a copy, or empty. */
std::string
memberFault(const DomainRecord& aRecord,
            const CopyRecord& aCopy,
            std::uint32_t aRank)
{
  const VmId& vm = aCopy.members_[aRank];
  const auto found = aRecord.assignments_.find(vm);
  const bool agrees = found != aRecord.assignments_.end() &&
                      found->second.kind_ == AssignmentKind::kMember &&
                      found->second.copy_ == aCopy.id_ &&
                      found->second.rank_ == aRank;
  if (agrees) {
    return {};
  }
  std::ostringstream out;
  out << "member " << vm << " of copy " << aCopy.id_
      << " has another assignment";
  return out.str();
}

/** @return Fault of one assignment, or empty. */
std::string
assignmentFault(const DomainRecord& aRecord,
                const VmId& aVm,
                const Assignment& aAssignment)
{
  if (aAssignment.kind_ != AssignmentKind::kMember) {
    return {};
  }
  const auto found = aRecord.copies_.find(aAssignment.copy_);
  const bool agrees = found != aRecord.copies_.end() &&
                      aAssignment.rank_ < found->second.members_.size() &&
                      found->second.members_[aAssignment.rank_] == aVm;
  if (agrees) {
    return {};
  }
  std::ostringstream out;
  out << "VM " << aVm << " is assigned to copy " << aAssignment.copy_
      << " but is no member of it";
  return out.str();
}

} // namespace

std::string
brokenInvariant(const DomainRecord& aRecord)
{
  std::set<VmId> seen;
  for (const auto& [id, copy] : aRecord.copies_) {
    for (std::uint32_t rank = 0; rank < copy.members_.size(); ++rank) {
      const VmId& vm = copy.members_[rank];
      if (vm.empty()) {
        continue;
      }
      if (!seen.insert(vm).second) {
        return "VM " + vm.value() + " is a member twice";
      }
      std::string fault = memberFault(aRecord, copy, rank);
      if (!fault.empty()) {
        return fault;
      }
    }
  }
  for (const auto& [vm, assignment] : aRecord.assignments_) {
    std::string fault = assignmentFault(aRecord, vm, assignment);
    if (!fault.empty()) {
      return fault;
    }
  }
  return {};
}

bool
isComplete(const CopyRecord& aCopy)
{
  return !aCopy.members_.empty() &&
         std::none_of(aCopy.members_.begin(),
                      aCopy.members_.end(),
                      [](const VmId& aVm) { return aVm.empty(); });
}

} // namespace auburnhaven::state
