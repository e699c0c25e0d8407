// Counts of copies for each fabric domain of a zone.
#pragma once

#include "coordination/replica/replica_plan_func.h"

namespace auburnhaven::coordination {

/** Copies of each model, in the order of the zone's models. */
using ReplicaCounts = std::vector<std::uint32_t>;

/** Counts of each domain. */
using ZoneLayout = std::map<state::DomainId, ReplicaCounts>;

/**
 * Chooses how many copies of each model each domain has. Pure; thread-safe.
 * @param aFacts State of the zone.
 * @return The counts.
 */
ZoneLayout
chooseLayout(const ZoneSnapshot& aFacts);

} // namespace auburnhaven::coordination
