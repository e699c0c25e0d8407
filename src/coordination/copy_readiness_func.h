// Rule by which a copy is open to new work.
#pragma once

#include "state/domain_record_type.h"
#include "state/vm_type.h"

#include <map>
#include <string>

namespace auburnhaven::coordination {

/** Reports by VM. */
using ReportMap = std::map<state::VmId, state::VmReport>;

/** Whether a copy takes new work, and until when the evidence holds. */
struct CopyReadiness
{
  bool open_ = false;                ///< Whether it takes new work.
  std::string reason_;               ///< Why it does not.
  state::TimePoint evidenceUntil_{}; ///< When the oldest evidence runs out.
  bool operator==(const CopyReadiness&) const = default;
};

/**
 * Decides whether a copy is complete on fresh evidence: each member has
 * reported, within the limit, that it is ready in this copy at this rank and
 * fencing number. Pure; thread-safe.
 * @param aCopy The copy.
 * @param aReports Newest reports.
 * @param aNow Present time.
 * @param aLimit Greatest age of evidence.
 * @return The verdict.
 */
CopyReadiness
evaluateCopyReadiness(const state::CopyRecord& aCopy,
                      const ReportMap& aReports,
                      state::TimePoint aNow,
                      state::Duration aLimit);

} // namespace auburnhaven::coordination
