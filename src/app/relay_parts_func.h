// Settings of the relay daemon's parts.
#pragma once

#include "app/relay_settings_type.h"
#include "coordination/leader_lease.h"
#include "coordination/replica/zone_leadership.h"
#include "coordination/routing/store_follower.h"
#include "coordination/routing/target_pool.h"
#include "state/time_type.h"
#include "transport/http_client.h"
#include "transport/peer_links.h"

#include <cstdint>

namespace auburnhaven::app {

// All functions are thread-safe.

/**
 * Draws the random part of the wait for a vacant duty.
 * @param aSettings Settings of the daemon.
 * @param aClock Clock; names this run of the daemon.
 * @param aZone Zone to coordinate.
 * @return Settings of the coordination of the zone.
 */
coordination::ZoneLeadershipSettings
dutySettings(const RelayDaemonSettings& aSettings,
             const state::Clock& aClock,
             const state::ZoneId& aZone);

/** @return Settings of the follower. */
coordination::FollowerSettings
followerSettings();

/** @return Times of the daemon's own entry in the store. */
coordination::LeaseTiming
registrationTiming();

/**
 * @param aSettings Settings of the daemon.
 * @param aSeed Seed of random numbers.
 * @return Settings of the links to other daemons.
 */
transport::PeerLinksSettings
linkSettings(const RelayDaemonSettings& aSettings, std::uint64_t aSeed);

/** @return Limits of the connections that clients keep. */
transport::HttpClientLimits
clientLimits();

/** @param aSettings Settings of the daemon. @return Settings of the choice of
 * targets. */
coordination::TargetPoolSettings
poolSettings(const RelayDaemonSettings& aSettings);

} // namespace auburnhaven::app
