// Tracks from which zones' coordinators recent digests have arrived.
#pragma once

#include "state/id_type.h"
#include "state/time_type.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace auburnhaven::coordination {

/**
 * Tells whether digests currently cover all model engines, so that the daemon
 * need not watch the store itself. Control thread only.
 */
class ZoneDigestMonitor
{
public:
  /**
   * @param aOwnZone Zone of the daemon.
   * @param aTimeout Time without a digest after which a zone counts as silent.
   */
  ZoneDigestMonitor(state::ZoneId aOwnZone, state::Duration aTimeout)
    : ownZone_(std::move(aOwnZone))
    , timeout_(aTimeout)
    , zones_({ ownZone_ })
  {
  }

  /** @param aZones Zones that have model engines. */
  void setZones(std::set<state::ZoneId> aZones)
  {
    zones_ = std::move(aZones);
    zones_.insert(ownZone_);
  }
  /**
   * Notes that a digest has arrived.
   * @param aZone Zone that it describes.
   * @param aNow Current time.
   */
  void noteDigest(const state::ZoneId& aZone, state::TimePoint aNow)
  {
    lastDigestAt_[aZone] = aNow;
  }
  /** Notes that the coordinator of a zone has released its lease. @param aZone
   * The zone. */
  void noteRelease(const state::ZoneId& aZone) { lastDigestAt_.erase(aZone); }
  /**
   * @param aNow Current time.
   * @return Whether the daemon's own zone and all zones with model engines have
   * sent a digest within the timeout.
   */
  bool allZonesFresh(state::TimePoint aNow) const
  {
    return std::all_of(
      zones_.begin(), zones_.end(), [&](const state::ZoneId& aZone) {
        const auto found = lastDigestAt_.find(aZone);
        return found != lastDigestAt_.end() && aNow - found->second < timeout_;
      });
  }

private:
  state::ZoneId ownZone_;         ///< Zone of the daemon.
  state::Duration timeout_;       ///< Age at which a digest is too old.
  std::set<state::ZoneId> zones_; ///< The own zone and those with engines.
  std::map<state::ZoneId, state::TimePoint>
    lastDigestAt_; ///< Arrival of the newest digest of each zone.
};

} // namespace auburnhaven::coordination
