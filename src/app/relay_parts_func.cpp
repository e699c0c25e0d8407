// Settings of the relay daemon's parts.

#include "app/relay_parts_func.h"

#include "platform/routing_codec.h"
#include "state/endpoint_func.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <string>

namespace auburnhaven::app {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kOwnZonePatience(
  150); ///< Longest random wait before a daemon of the zone tries for the
        ///< vacant duty.
constexpr double kPatienceOfACore =
  30; ///< Milliseconds that a daemon with a whole core waits before; one with
      ///< half a core twice as long.
constexpr double kLongestPatience = 200; ///< Most milliseconds of that wait.
constexpr milliseconds kOtherZonePatience(
  2500); ///< Wait before a daemon of another zone does.
constexpr milliseconds kLeaseTimeToLive(1500); ///< Of a zone's duty.
constexpr milliseconds kLeaseRenewal(400);     ///< Between two renewals.
constexpr milliseconds kLeaseMargin(400); ///< End of the own authority before
                                          ///< the store's lease.
constexpr milliseconds kLeaseRetry(150);  ///< After a renewal that failed.
constexpr std::chrono::seconds kProbeAfter(1); ///< Silence before TCP probes.
constexpr milliseconds kRegistrationTimeToLive(30000); ///< Of a daemon's entry.
constexpr milliseconds kRegistrationRetry(2000); ///< After a call that failed.
constexpr milliseconds kRegistrationRenewal(10000); ///< Between two renewals.
constexpr milliseconds kNewsPatience(
  800); ///< How long a daemon waits for announced news from its coordinator
        ///< before it asks the store.
constexpr char kOwnPrefix[] = "auburnhaven/"; ///< Of the daemons' keys.
constexpr char kDutyPrefix[] = "auburnhaven/coordinator/"; ///< Of the duties.

/** @return Times of a lease. */
coordination::LeaseTiming
leaseLimits(milliseconds aTimeToLive,
            milliseconds aRenewal,
            milliseconds aRetryPause)
{
  coordination::LeaseTiming limits;
  limits.timeToLive_ = aTimeToLive;
  limits.renewal_ = aRenewal;
  limits.margin_ = kLeaseMargin;
  limits.retryPause_ = aRetryPause;
  return limits;
}

/** @return What a coordinator is told about its zone. */
coordination::ReplicaZoneSettings
replicaZone(const RelayDaemonSettings& aSettings, const state::ZoneId& aZone)
{
  coordination::ReplicaZoneSettings zone;
  zone.zone_ = aZone;
  zone.zones_ = static_cast<std::uint32_t>(
    std::max<std::size_t>(1, aSettings.zones_.size()));
  zone.firstStart_ = aSettings.firstStart_;
  zone.formationTime_ = aSettings.formationTime_;
  return zone;
}

/** @return Limits of the copies. */
coordination::ReplicaLimits
replicaLimits(const RelayDaemonSettings& aSettings)
{
  coordination::ReplicaLimits limits;
  limits.stallLimit_ = aSettings.stallLimit_;
  return limits;
}

} // namespace

coordination::ZoneLeadershipSettings
dutySettings(const RelayDaemonSettings& aSettings,
             const state::Clock& aClock,
             const state::ZoneId& aZone)
{
  std::mt19937_64 random{ std::random_device{}() };
  const auto jitter = milliseconds(
    random() % static_cast<std::uint64_t>(kOwnZonePatience.count()));
  coordination::ZoneLeadershipSettings duty;
  duty.key_ = kDutyPrefix + aZone.value();
  duty.holderName_ =
    state::textOf(aSettings.listeners_.peers_) + ' ' +
    std::to_string(aClock.wallNow().time_since_epoch().count());
  const auto rank = milliseconds(std::lround(
    std::min(kLongestPatience,
             kPatienceOfACore / std::max(0.001, aSettings.processorShare_))));
  duty.takeoverDelay_ =
    rank +
    (aZone == aSettings.zone_ ? jitter : kOtherZonePatience + jitter * 3);
  duty.lease_ = leaseLimits(kLeaseTimeToLive, kLeaseRenewal, kLeaseRetry);
  duty.zone_ = replicaZone(aSettings, aZone);
  duty.limits_ = replicaLimits(aSettings);
  return duty;
}

coordination::FollowerSettings
followerSettings()
{
  coordination::FollowerSettings settings;
  settings.configKey_ = platform::kConfigKey;
  settings.instancePrefix_ = platform::kInstancePrefix;
  settings.daemonPrefix_ = kOwnPrefix;
  settings.peerFetchTimeout_ = kNewsPatience;
  return settings;
}

transport::PeerLinksSettings
linkSettings(const RelayDaemonSettings& aSettings, std::uint64_t aSeed)
{
  transport::PeerLinksSettings links;
  links.listen_ = aSettings.listeners_.peers_;
  links.key_ = aSettings.peerKey_;
  links.seed_ = aSeed;
  return links;
}

transport::HttpClientLimits
clientLimits()
{
  transport::HttpClientLimits limits;
  limits.probeAfter_ = kProbeAfter;
  return limits;
}

coordination::LeaseTiming
registrationTiming()
{
  return leaseLimits(
    kRegistrationTimeToLive, kRegistrationRenewal, kRegistrationRetry);
}

coordination::TargetPoolSettings
poolSettings(const RelayDaemonSettings& aSettings)
{
  coordination::TargetPoolSettings pool;
  pool.zone_ = aSettings.zone_;
  return pool;
}

} // namespace auburnhaven::app
