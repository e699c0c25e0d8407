// Divides the limits of client accounts among the daemons by their demand.
#pragma once

#include "coordination/request/account_limiter.h"
#include "coordination/shared_table_port.h"
#include "state/time_type.h"

namespace auburnhaven::coordination {

/** Times of the division. */
struct LimitDistributorSettings
{
  state::Duration updateInterval_ =
    std::chrono::seconds(1); ///< Time between two looks at the demand.
  state::Duration republishInterval_ =
    std::chrono::seconds(10); ///< Longest time between two publications.
  state::Duration maxEntryAge_ =
    std::chrono::seconds(30); ///< Age from which a daemon counts as gone.
  double publishThreshold_ =
    0.2;                      ///< Relative change that is published at once.
  double evenFraction_ = 0.1; ///< Part of each limit divided evenly, so that a
                              ///< daemon without demand can begin.
  bool operator==(const LimitDistributorSettings&) const = default;
};

/**
 * Publishes this daemon's demand, reads that of the others of its zone and
 * sets this daemon's shares in proportion. When all see the same entries the
 * shares of a zone add up to the zone's part. Control thread only.
 */
class LimitDistributor
{
public:
  /**
   * @param aTable Shared entries; outlives this object.
   * @param aLimiter Limiter; outlives this object.
   * @param aClock Clock; outlives this object.
   * @param aDaemon Name of this daemon.
   * @param aIncarnation Start of this process.
   * @param aSettings Times.
   */
  LimitDistributor(SharedTable& aTable,
                   AccountLimiter& aLimiter,
                   const state::Clock& aClock,
                   state::DaemonId aDaemon,
                   state::Incarnation aIncarnation,
                   LimitDistributorSettings aSettings = {});
  /**
   * Sets which part of each limit belongs to this zone, since demand spreads
   * only within a zone.
   * @param aFraction Part of 1, such as one divided by the number of zones.
   */
  void setZoneFraction(double aFraction);
  /** Does what is due. Call at least once a second. */
  void tick();

private:
  bool demandChanged() const;
  void publish();
  void updateShares();

  SharedTable& table_;                      ///< Shared entries.
  AccountLimiter& limiter_;                 ///< Limiter.
  const state::Clock& clock_;               ///< Clock.
  const state::DaemonId daemon_;            ///< This daemon.
  const state::Incarnation incarnation_;    ///< Start of this process.
  const LimitDistributorSettings settings_; ///< Times.
  double zoneFraction_ = 1;                 ///< Part of the zone.
  UsageMap demand_;                         ///< Smoothed demand a second.
  UsageMap published_;                      ///< Demand last published.
  state::TimePoint lastUpdate_{};           ///< Last look at the demand.
  state::TimePoint lastPublished_{};        ///< Last publication.
  std::uint64_t publishCount_ = 0;          ///< Publications.
};

} // namespace auburnhaven::coordination
