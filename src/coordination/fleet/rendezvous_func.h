// Rendezvous hashing: places work on daemons without any agreement.
#pragma once

#include "coordination/peer_port.h"

#include <cstddef>
#include <string>
#include <vector>

namespace auburnhaven::coordination {

/**
 * Ranks daemons for a piece of work by rendezvous hashing. Pure; thread-safe.
 * @param aWork Name of the work.
 * @param aDaemons Daemons to choose from.
 * @param aCount How many to choose at most.
 * @return The chosen daemons, best first.
 */
std::vector<state::DaemonId>
chooseDaemons(const std::string& aWork,
              const std::vector<state::DaemonId>& aDaemons,
              std::size_t aCount);

/**
 * Tells which place a daemon has for a piece of work. Pure; thread-safe.
 * @param aWork Name of the work.
 * @param aDaemons Daemons to choose from.
 * @param aSelf The daemon.
 * @return Its rank from 0; the number of daemons when it is not among them.
 */
std::size_t
rankOf(const std::string& aWork,
       const std::vector<state::DaemonId>& aDaemons,
       const state::DaemonId& aSelf);

} // namespace auburnhaven::coordination
