// Rendezvous hashing: assigns work to daemons without coordination.
#pragma once

#include "coordination/peer_port.h"

#include <cstddef>
#include <string>
#include <vector>

namespace auburnhaven::coordination {

/**
 * Chooses the highest-ranked daemons for a key by rendezvous hashing. Pure;
 * thread-safe.
 * @param aKey Key of the work.
 * @param aDaemons Daemons to choose from.
 * @param aCount How many to choose at most.
 * @return The chosen daemons, best first.
 */
std::vector<state::DaemonId>
chooseDaemons(const std::string& aKey,
              const std::vector<state::DaemonId>& aDaemons,
              std::size_t aCount);

/**
 * Computes the rank of a daemon for a key. Pure; thread-safe.
 * @param aKey Key of the work.
 * @param aDaemons Daemons to choose from.
 * @param aSelf The daemon.
 * @return Its rank from 0, the best; aDaemons.size() if it is not in aDaemons.
 */
std::size_t
rankOf(const std::string& aKey,
       const std::vector<state::DaemonId>& aDaemons,
       const state::DaemonId& aSelf);

} // namespace auburnhaven::coordination
