// Plans changes to the VM assignments of one fabric domain.

#include "coordination/group/planner_func.h"

#include "coordination/group/planner.h"

#include <cassert>

namespace auburnhaven::coordination {

PlannedCommands
plan(const PlanInput& aInput)
{
  return Planner(aInput).run();
}

state::DomainRecord
applyPlannedCommands(state::DomainRecord aRecord,
                     const PlannedCommands& aCommands)
{
  for (const state::AssignmentCommand& command : aCommands) {
    const state::CommandResult result =
      state::runCommand(aRecord, command, state::CommandMode::kExecute);
    assert(result.ok());
    static_cast<void>(result);
  }
  ++aRecord.version_;
  return aRecord;
}

} // namespace auburnhaven::coordination
