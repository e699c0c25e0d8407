// Settings and periods of the daemon as a member of its zone.
#pragma once

#include "coordination/peer_port.h"

#include "state/time_type.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <map>
#include <vector>

namespace auburnhaven::coordination {

inline constexpr std::chrono::milliseconds kShortGossipInterval{
  100
}; ///< Time between two gossip messages on a link in a small zone.
inline constexpr std::chrono::milliseconds kGossipInterval{
  200
}; ///< The same in a large zone.
inline constexpr std::size_t kMaxSmallZoneDaemons =
  32; ///< Most live daemons of a small zone.
inline constexpr std::chrono::milliseconds kMinHeartbeatPeriod{
  500
}; ///< Least time between two heartbeats.
inline constexpr std::chrono::milliseconds kMaxHeartbeatPeriod{
  2000
}; ///< Greatest time between two heartbeats.
inline constexpr std::chrono::milliseconds kHeartbeatPeriodPerDaemon{
  14
}; ///< Heartbeat period for each daemon of the zone.

inline constexpr std::chrono::seconds kStartGrace{
  3
}; ///< Time in which a new daemon looks for the others before it takes roles.

/** Settings of one daemon. */
struct FleetSettings
{
  PeerAddress self_;                   ///< The daemon.
  std::vector<state::Endpoint> seeds_; ///< Daemons of the own zone to try.
  std::map<state::ZoneId, std::vector<state::Endpoint>>
    otherZones_; ///< Daemons of each other zone to try.
  std::size_t tableBytesPerSecond_ =
    6000; ///< Mean for entries sent, all links together.
  std::size_t tablePeakBytesPerSecond_ = 64000; ///< Peak for the same.
  std::uint32_t storeCallsPerSecond_ =
    1500; ///< Calls that all daemons together may make to the store.
  std::uint32_t zones_ = 1; ///< Availability zones that share the store.
};

/**
 * Gives the time between two gossip messages on a link. Pure.
 * @param aDaemons Live daemons of the zone.
 * @return The time.
 */
inline state::Duration
gossipInterval(std::size_t aDaemons)
{
  return aDaemons <= kMaxSmallZoneDaemons ? kShortGossipInterval
                                          : kGossipInterval;
}

/**
 * Gives the time between two heartbeats so that the traffic of all heartbeats
 * stays bounded. Pure.
 * @param aDaemons Live daemons of the zone.
 * @return The period.
 */
inline state::Duration
heartbeatPeriod(std::size_t aDaemons)
{
  const state::Duration period =
    kHeartbeatPeriodPerDaemon * static_cast<std::int64_t>(aDaemons);
  return std::clamp<state::Duration>(
    period, kMinHeartbeatPeriod, kMaxHeartbeatPeriod);
}

} // namespace auburnhaven::coordination
