// Reports for operators, made from the control state.
#pragma once

#include "coordination/fleet/config_store.h"
#include "coordination/fleet/fleet_node.h"
#include "coordination/group/group_status_type.h"
#include "coordination/request/slo_tracker.h"
#include "protocol/admin_type.h"

#include <vector>

namespace auburnhaven::app {

/**
 * @param aChange Record of a change.
 * @return The change as operators see it.
 */
protocol::HistoryEntry
historyEntry(const coordination::ConfigChange& aChange);

/**
 * @param aResult How a submission ended.
 * @return The answer.
 */
protocol::SubmitReply
submitReply(const coordination::SubmitResult& aResult);

/**
 * @param aProgress Generations of all daemons and zones.
 * @param aGeneration Generation asked about.
 * @return Who has it in force, who lags and who is unreachable.
 */
protocol::ProgressReply
progressReply(const coordination::FleetProgress& aProgress,
              state::Generation aGeneration);

/**
 * Adds the serving groups, spares and stranded accelerators to a report.
 * @param aGroups State of the groups.
 * @param aStandings Worst minutes.
 * @param aZone Zone of this daemon.
 * @param aReport The report.
 */
void
addGroups(const coordination::GroupStatusReport& aGroups,
          const std::vector<coordination::SloStatus>& aStandings,
          const state::ZoneId& aZone,
          protocol::StatusReport& aReport);

/**
 * Adds the daemons to a report.
 * @param aProgress Generations of all daemons and zones.
 * @param aReport The report.
 */
void
addDaemons(const coordination::FleetProgress& aProgress,
           protocol::StatusReport& aReport);

} // namespace auburnhaven::app
