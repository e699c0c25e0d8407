// Which zones' coordinators a daemon hears.
#pragma once

#include "state/id_type.h"
#include "state/time_type.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace auburnhaven::coordination {

/**
 * Tells whether a daemon hears of all model engines by digests, so that it need
 * not follow the store by itself. Control thread only.
 */
class ZoneDigestMonitor
{
public:
  /**
   * @param aOwnZone Zone of the daemon.
   * @param aSilence Silence after which a zone counts as not heard.
   */
  ZoneDigestMonitor(state::ZoneId aOwnZone, state::Duration aSilence)
    : ownZone_(std::move(aOwnZone))
    , silence_(aSilence)
    , zones_({ ownZone_ })
  {
  }

  /** @param aZones Zones that have model engines. */
  void setZones(std::set<state::ZoneId> aZones)
  {
    zones_ = std::move(aZones);
    zones_.insert(ownZone_);
  }
  /** Notes a digest. @param aZone Its zone. @param aNow Present time. */
  void noteDigest(const state::ZoneId& aZone, state::TimePoint aNow)
  {
    heardAt_[aZone] = aNow;
  }
  /** Notes that a zone has no coordinator. @param aZone The zone. */
  void noteRelease(const state::ZoneId& aZone) { heardAt_.erase(aZone); }
  /**
   * @param aNow Present time.
   * @return Whether the coordinators of the own zone and of all zones with
   * model engines were heard of late.
   */
  bool allZonesFresh(state::TimePoint aNow) const
  {
    return std::all_of(
      zones_.begin(), zones_.end(), [&](const state::ZoneId& aZone) {
        const auto found = heardAt_.find(aZone);
        return found != heardAt_.end() && aNow - found->second < silence_;
      });
  }

private:
  state::ZoneId ownZone_;         ///< Zone of the daemon.
  state::Duration silence_;       ///< Silence after which a zone is not heard.
  std::set<state::ZoneId> zones_; ///< The own zone and those with engines.
  std::map<state::ZoneId, state::TimePoint>
    heardAt_; ///< When each zone was last heard.
};

} // namespace auburnhaven::coordination
