// Settings and intervals of a daemon as a member of its zone.
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
}; ///< Time between two gossip messages on a link in a large zone.
inline constexpr std::size_t kMaxSmallZoneDaemons =
  32; ///< Largest number of live daemons in a small zone.
inline constexpr std::chrono::milliseconds kMinHeartbeatPeriod{
  500
}; ///< Shortest heartbeat period.
inline constexpr std::chrono::milliseconds kMaxHeartbeatPeriod{
  2000
}; ///< Longest heartbeat period.
inline constexpr std::chrono::milliseconds kHeartbeatPeriodPerDaemon{
  14
}; ///< Heartbeat period per live daemon of the zone.

inline constexpr std::chrono::seconds kStartGrace{
  3
}; ///< Time after its start in which a daemon discovers the others before it
   ///< takes on roles.

/** Settings of one daemon. */
struct FleetSettings
{
  PeerAddress self_; ///< Address of this daemon.
  std::vector<state::Endpoint>
    seeds_; ///< Daemons of the same zone to contact for discovery.
  std::map<state::ZoneId, std::vector<state::Endpoint>>
    otherZones_; ///< Daemons of each other zone to contact for discovery.
  std::size_t tableBytesPerSecond_ =
    6000; ///< Mean rate limit for gossiped entries, in bytes per second over
          ///< all links.
  std::size_t tablePeakBytesPerSecond_ =
    64000; ///< Peak rate limit for the same, in bytes per second.
  std::uint32_t storeCallsPerSecond_ =
    1500; ///< Calls per second that all daemons together may make to the store.
  std::uint32_t zones_ = 1; ///< Availability zones that share the store.
};

/**
 * Returns the time between two gossip messages on a link. Pure.
 * @param aDaemons Live daemons of the zone.
 * @return The interval; shorter in a small zone.
 */
inline state::Duration
gossipInterval(std::size_t aDaemons)
{
  return aDaemons <= kMaxSmallZoneDaemons ? kShortGossipInterval
                                          : kGossipInterval;
}

/**
 * Returns the time between two heartbeats. It grows with the number of daemons
 * so that the traffic of all heartbeats stays bounded. Pure.
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
