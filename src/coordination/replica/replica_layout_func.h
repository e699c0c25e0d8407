// Chooses the number of replicas of each model per fabric domain.
#pragma once

#include "coordination/replica/replica_plan_func.h"

namespace auburnhaven::coordination {

/** Number of replicas of each model, in the order of the zone's models. */
using ReplicaCounts = std::vector<std::uint32_t>;

/** Replica counts by domain. */
using ZoneLayout = std::map<state::DomainId, ReplicaCounts>;

/**
 * Chooses how many replicas of each model each domain should have. Pure;
 * thread-safe.
 * @param aSnapshot State of the zone.
 * @return The counts by domain.
 */
ZoneLayout
chooseLayout(const ZoneSnapshot& aSnapshot);

} // namespace auburnhaven::coordination
