// Commands of operators that show the state of the system.

#include "app/command_status.h"

#include "app/command_func.h"

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
    aOptions, "/admin/audit?count=" + std::to_string(aCount), printAudit);
}

} // namespace auburnhaven::app
