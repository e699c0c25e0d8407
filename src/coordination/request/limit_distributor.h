// Distributes the rate limits of client accounts among daemons by demand.
#pragma once

#include "coordination/request/account_limiter.h"
#include "coordination/shared_table_port.h"
#include "state/time_type.h"

namespace auburnhaven::coordination {

/** Settings of the distribution. */
struct LimitDistributorSettings
{
  /** Time between two updates of the demand and the shares. */
  state::Duration updateInterval_ = std::chrono::seconds(1);
  /** Time after which the demand is published even if it is unchanged. */
  state::Duration republishInterval_ = std::chrono::seconds(10);
  /** Age above which a daemon counts as gone and its entry is ignored. */
  state::Duration maxEntryAge_ = std::chrono::seconds(30);
  /** Relative change of demand that is published with the next update. */
  double publishThreshold_ = 0.2;
  /**
   * Fraction of each limit that is divided evenly, so that a daemon without
   * demand can serve its first requests.
   */
  double evenFraction_ = 0.1;
  bool operator==(const LimitDistributorSettings&) const = default;
};

/**
 * Publishes the demand of this daemon in the shared table, reads the demand of
 * the other daemons of the availability zone, and sets the share of this daemon
 * in proportion. If all daemons see the same entries, the shares of a zone add
 * up to the fraction of the zone. Control thread only.
 */
class LimitDistributor
{
public:
  /**
   * @param aTable Table shared by the daemons of the zone; must outlive this
   * object.
   * @param aLimiter Source of the usage and user of the shares; must outlive
   * this object.
   * @param aClock Source of the current time; must outlive this object.
   * @param aDaemon Id of this daemon, unique in the zone.
   * @param aIncarnation Incarnation of this process; orders its entries after
   * those of earlier runs.
   * @param aSettings Intervals and thresholds.
   */
  LimitDistributor(SharedTable& aTable,
                   AccountLimiter& aLimiter,
                   const state::Clock& aClock,
                   state::DaemonId aDaemon,
                   state::Incarnation aIncarnation,
                   LimitDistributorSettings aSettings = {});
  /**
   * Sets the fraction of each limit that belongs to this availability zone. It
   * is fixed by the caller because demand is only published within a zone.
   * @param aFraction Fraction from 0 to 1, such as 1 / number of zones.
   */
  void setZoneFraction(double aFraction);
  /**
   * Updates and publishes the demand and sets the shares if the update interval
   * has passed. Call at least once per second.
   */
  void tick();

private:
  bool demandChanged() const;
  void publish();
  void updateShares();

  SharedTable& table_;                      ///< Table shared by the zone.
  AccountLimiter& limiter_;                 ///< Enforces the shares.
  const state::Clock& clock_;               ///< Current time.
  const state::DaemonId daemon_;            ///< This daemon.
  const state::Incarnation incarnation_;    ///< Incarnation of this process.
  const LimitDistributorSettings settings_; ///< Intervals and thresholds.
  double zoneFraction_ = 1;          ///< Fraction of the limits for this zone.
  UsageMap demand_;                  ///< Smoothed demand per second.
  UsageMap published_;               ///< Demand as last published.
  state::TimePoint lastUpdate_{};    ///< Time of the last update.
  state::TimePoint lastPublished_{}; ///< Time of the last publication.
  std::uint64_t publishCount_ = 0;   ///< Version of the last entry.
};

} // namespace auburnhaven::coordination
