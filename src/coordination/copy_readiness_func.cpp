// Decides whether a copy is ready for new work.

#include "coordination/copy_readiness_func.h"

#include "state/domain_record_func.h"

#include <algorithm>

namespace auburnhaven::coordination {

namespace {

/** @return Why the report does not show a ready member, or an empty string. */
std::string
notReadyReason(const state::CopyRecord& aCopy,
               std::uint32_t aRank,
               const state::VmReport& aReport,
               state::TimePoint aNow,
               state::Duration aMaxReportAge)
{
  if (aNow - aReport.observedAt_ > aMaxReportAge) {
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
                      state::Duration aMaxReportAge)
{
  if (!state::isComplete(aCopy)) {
    return { false, "a member is missing", {} };
  }
  CopyReadiness readiness{ true, {}, state::TimePoint::max() };
  for (std::uint32_t rank = 0; rank < aCopy.members_.size(); ++rank) {
    const state::VmId& vm = aCopy.members_[rank];
    const auto found = aReports.find(vm);
    const std::string reason =
      found == aReports.end()
        ? std::string("has not reported")
        : notReadyReason(aCopy, rank, found->second, aNow, aMaxReportAge);
    if (!reason.empty()) {
      return { false, "member " + vm.value() + " " + reason, {} };
    }
    readiness.evidenceUntil_ = std::min(
      readiness.evidenceUntil_, found->second.observedAt_ + aMaxReportAge);
  }
  return readiness;
}

} // namespace auburnhaven::coordination
