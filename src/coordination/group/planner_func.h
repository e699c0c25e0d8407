// Plans changes to the VM assignments of one fabric domain.
#pragma once

#include "coordination/group/group_limits_type.h"
#include "coordination/group/vm_health_func.h"
#include "state/assignment_cmd.h"
#include "state/config_type.h"

#include <set>
#include <string>
#include <vector>

namespace auburnhaven::coordination {

/** Input of plan(). The references must outlive the call. */
struct PlanInput
{
  const state::DomainRecord& record_;         ///< Latest stored record.
  const VmMap& vms_;                          ///< VMs in the platform's list.
  const ReportMap& reports_;                  ///< Latest report of each VM.
  const VmHistoryMap& history_;               ///< History up to now.
  const state::Configuration& configuration_; ///< Configuration in force.
  const std::set<state::CopyId>&
    wanted_; ///< Copies that the domain should host.
  const std::set<state::CopyId>& mayUpdate_; ///< Copies that may change now.
  const GroupLimits& limits_;                ///< Limits and periods.
  state::TimePoint now_{};                   ///< Current time.
};

/** Commands of one plan, to be executed on the record in this order. */
using PlannedCommands = std::vector<state::AssignmentCommand>;

/**
 * Plans the changes to the assignments of a domain: admits new and returning
 * VMs, replaces failing members, completes copies by descending priority of
 * their groups, reclaims VMs from copies with lower priority, updates versions
 * and prepares reserves. Pure and deterministic; thread-safe.
 * @param aInput Record, observations, configuration and limits.
 * @return The commands; those that change an assignment carry a reason.
 */
PlannedCommands
plan(const PlanInput& aInput);

/**
 * Executes planned commands and increments the version. Asserts that each
 * command succeeds. Thread-safe.
 * @param aRecord Record that the plan was made for.
 * @param aCommands Commands of the plan.
 * @return The record to write next.
 */
state::DomainRecord
applyPlannedCommands(state::DomainRecord aRecord,
                     const PlannedCommands& aCommands);

} // namespace auburnhaven::coordination
