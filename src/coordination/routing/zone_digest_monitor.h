// Tracks the coordinators' digests: when they came, and what they prove.
#pragma once

#include "state/id_type.h"
#include "state/time_type.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace auburnhaven::coordination {

/**
 * Tells whether digests currently cover all model engines, and up to when their
 * senders know the store, so that the daemon need not watch the store itself. A
 * digest shows that its sender lives; only the age that it names shows that the
 * sender hears the store. Control thread only.
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
   * @param aKnownAsOf Time up to which its sender knows the store.
   */
  void noteDigest(const state::ZoneId& aZone,
                  state::TimePoint aNow,
                  state::TimePoint aKnownAsOf)
  {
    Zone& zone = heard_[aZone];
    zone.lastDigestAt_ = aNow;
    zone.knownAsOf_ = std::max(zone.knownAsOf_, std::min(aKnownAsOf, aNow));
  }
  /** Notes that the coordinator of a zone has released its lease. @param aZone
   * The zone. */
  void noteRelease(const state::ZoneId& aZone) { heard_.erase(aZone); }
  /**
   * @param aNow Current time.
   * @return Whether the daemon's own zone and all zones with model engines have
   * sent a digest within the timeout.
   */
  bool allZonesFresh(state::TimePoint aNow) const
  {
    return std::all_of(
      zones_.begin(), zones_.end(), [&](const state::ZoneId& aZone) {
        const auto found = heard_.find(aZone);
        return found != heard_.end() &&
               aNow - found->second.lastDigestAt_ < timeout_;
      });
  }
  /**
   * @return Time up to which the coordinators of the daemon's own zone and of
   * all zones with model engines know the store; zero while one has not been
   * heard.
   */
  state::TimePoint knownAsOf() const
  {
    state::TimePoint oldest = state::TimePoint::max();
    for (const state::ZoneId& zone : zones_) {
      const auto found = heard_.find(zone);
      oldest = std::min(oldest,
                        found == heard_.end() ? state::TimePoint{}
                                              : found->second.knownAsOf_);
    }
    return oldest;
  }

private:
  /** What the digests of a zone have shown. */
  struct Zone
  {
    state::TimePoint lastDigestAt_{}; ///< Arrival of the newest one.
    state::TimePoint knownAsOf_{};    ///< Up to when a sender knew the store.
  };

  state::ZoneId ownZone_;         ///< Zone of the daemon.
  state::Duration timeout_;       ///< Age at which a digest is too old.
  std::set<state::ZoneId> zones_; ///< The own zone and those with engines.
  std::map<state::ZoneId, Zone> heard_; ///< Zones that sent digests.
};

} // namespace auburnhaven::coordination
