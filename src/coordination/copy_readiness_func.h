// Decides whether a copy is ready for new work.
#pragma once

#include "state/domain_record_type.h"
#include "state/vm_type.h"

#include <map>
#include <string>

namespace auburnhaven::coordination {

/** Latest engine report by VM. */
using ReportMap = std::map<state::VmId, state::VmReport>;

/** Whether a copy accepts new work, and until when the reports are valid. */
struct CopyReadiness
{
  bool open_ = false;                ///< Whether it accepts new work.
  std::string reason_;               ///< Why it does not; empty if it does.
  state::TimePoint evidenceUntil_{}; ///< When the oldest report expires.
  bool operator==(const CopyReadiness&) const = default;
};

/**
 * Decides whether a copy is ready: each member must have reported, within the
 * age limit, that it is ready in this copy with this rank, fencing number,
 * model and version. Pure; thread-safe.
 * @param aCopy Copy to evaluate.
 * @param aReports Latest report of each VM.
 * @param aNow Current time.
 * @param aMaxReportAge Age at which a report expires.
 * @return Whether the copy accepts new work, with the reason if it does not.
 */
CopyReadiness
evaluateCopyReadiness(const state::CopyRecord& aCopy,
                      const ReportMap& aReports,
                      state::TimePoint aNow,
                      state::Duration aMaxReportAge);

} // namespace auburnhaven::coordination
