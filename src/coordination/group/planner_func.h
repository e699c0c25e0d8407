// Plans the changes of one fabric domain's assignments.
#pragma once

#include "coordination/group/group_limits_type.h"
#include "coordination/group/vm_health_func.h"
#include "state/assignment_cmd.h"
#include "state/config_type.h"

#include <set>
#include <string>
#include <vector>

namespace auburnhaven::coordination {

/** All that a plan depends on. The references must outlive the call. */
struct PlanInput
{
  const state::DomainRecord& record_;         ///< Record last written.
  const VmMap& vms_;                          ///< Platform's list of the zone.
  const ReportMap& reports_;                  ///< Newest reports.
  const VmHistoryMap& history_;               ///< History up to the present.
  const state::Configuration& configuration_; ///< Configuration in force.
  const std::set<state::CopyId>& wanted_;     ///< Copies to host.
  const std::set<state::CopyId>& mayUpdate_;  ///< Copies that may change now.
  const GroupLimits& limits_;                 ///< Limits.
  state::TimePoint now_{};                    ///< Present time.
};

/** PlannedCommands of one plan, possible one after the other on the record. */
using PlannedCommands = std::vector<state::AssignmentCommand>;

/**
 * Decides how the assignments of a domain change: takes in new and returning
 * VMs, replaces members that fail, completes copies in the order of their
 * groups' priority, lets a lesser copy give VMs up for a greater one, changes
 * versions and reserves replacements. Pure and deterministic; thread-safe.
 * @param aInput All that the plan depends on.
 * @return The moves; each carries its reason.
 */
PlannedCommands
plan(const PlanInput& aInput);

/**
 * Executes moves and counts the version up. Thread-safe.
 * @param aRecord The record that was planned on.
 * @param aMoves Its moves.
 * @return The record to write next.
 */
state::DomainRecord
applyPlannedCommands(state::DomainRecord aRecord,
                     const PlannedCommands& aMoves);

} // namespace auburnhaven::coordination
