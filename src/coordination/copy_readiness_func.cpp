// Rule by which a copy is open to new work.

#include "coordination/copy_readiness_func.h"

#include "state/domain_record_func.h"

#include <algorithm>

namespace auburnhaven::coordination {

namespace {

/** @return Why the report does not prove the member present, or empty. */
std::string
memberFault(const state::CopyRecord& aCopy,
            std::uint32_t aRank,
            const state::VmReport& aReport,
            state::TimePoint aNow,
            state::Duration aLimit)
{
  if (aNow - aReport.observedAt_ > aLimit) {
    return "evidence too old";
  }
  if (aReport.role_.copy_ != aCopy.id_ || aReport.role_.rank_ != aRank) {
    return "holds another role";
  }
  if (aReport.role_.fencing_ != aCopy.fencing_) {
    return "follows another fencing number";
  }
  if (aReport.role_.model_ != aCopy.model_ ||
      aReport.role_.version_ != aCopy.version_) {
    return "holds another model";
  }
  if (aReport.phase_ != state::EnginePhase::kReady) {
    return aReport.phase_ == state::EnginePhase::kLoading ? "is loading"
                                                          : "is not ready";
  }
  return {};
}

} // namespace

CopyReadiness
evaluateCopyReadiness(const state::CopyRecord& aCopy,
                      const ReportMap& aReports,
                      state::TimePoint aNow,
                      state::Duration aLimit)
{
  if (!state::isComplete(aCopy)) {
    return { false, "a member is missing", {} };
  }
  CopyReadiness verdict{ true, {}, state::TimePoint::max() };
  for (std::uint32_t rank = 0; rank < aCopy.members_.size(); ++rank) {
    const state::VmId& vm = aCopy.members_[rank];
    const auto found = aReports.find(vm);
    const std::string fault =
      found == aReports.end()
        ? std::string("has not reported")
        : memberFault(aCopy, rank, found->second, aNow, aLimit);
    if (!fault.empty()) {
      return { false, "member " + vm.value() + " " + fault, {} };
    }
    verdict.evidenceUntil_ =
      std::min(verdict.evidenceUntil_, found->second.observedAt_ + aLimit);
  }
  return verdict;
}

} // namespace auburnhaven::coordination
