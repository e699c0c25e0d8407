// Commands of operators that show the state of the system.

#include "app/command_status.h"

#include "app/command_func.h"

#include <algorithm>

namespace auburnhaven::app {

int
runStatus(const OperatorOptions& aOptions)
{
  return runShow<protocol::StatusReport>(
    aOptions, "/admin/status", printStatus);
}

int
runAudit(const OperatorOptions& aOptions, std::uint32_t aCount)
{
  return runShow<protocol::AuditReply>(
    aOptions,
    "/admin/audit?count=" + std::to_string(aCount),
    [aCount](std::ostream& aOut, protocol::AuditReply aReply) {
      // A daemon may answer with more lines than were asked for.
      aReply.entries_.resize(
        std::min<std::size_t>(aReply.entries_.size(), aCount));
      printAudit(aOut, aReply);
    });
}

} // namespace auburnhaven::app
