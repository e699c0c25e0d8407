// Plans the changes of one fabric domain's assignments.

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
applyPlannedCommands(state::DomainRecord aRecord, const PlannedCommands& aMoves)
{
  for (const state::AssignmentCommand& move : aMoves) {
    const state::CommandResult result =
      state::runCommand(aRecord, move, state::CommandMode::kExecute);
    assert(result.ok());
    static_cast<void>(result);
  }
  ++aRecord.version_;
  return aRecord;
}

} // namespace auburnhaven::coordination
