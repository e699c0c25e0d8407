// Chooses the target of a request, or refuses it.
#pragma once

#include "coordination/routing/engine_timing_func.h"
#include "coordination/routing/recent_placements.h"
#include "coordination/routing/target_notices.h"
#include "coordination/routing/zone_digest_type.h"
#include "state/instance_type.h"
#include "state/routing_type.h"
#include "state/time_type.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string_view>
#include <vector>

namespace auburnhaven::coordination {

/** What a request needs of a target. */
struct TargetNeed
{
  state::ServiceId service_;          ///< Service.
  state::ModelId model_;              ///< Model; empty for plain services.
  RequestTokens tokens_;              ///< Its tokens.
  state::Duration latencyTarget_{};   ///< Aim for the first event.
  state::Duration timeLeft_{};        ///< Time until it is given up.
  std::vector<state::VmId> excluded_; ///< Targets already tried.
  /** @return Whether a target was tried. @param aVm The target. */
  bool hasTried(const state::VmId& aVm) const
  {
    return std::find(excluded_.begin(), excluded_.end(), aVm) !=
           excluded_.end();
  }
  bool operator==(const TargetNeed&) const = default;
};

/** Why there is no target. */
enum class RefusalReason : std::uint8_t
{
  kNone,     ///< There is a target.
  kNoTarget, ///< No target of the service and model is known to serve.
  kFull,     ///< Each target is full.
  kTooLate,  ///< No target can begin in time.
  kPaused,   ///< Each target wants no requests for some time.
};

/** @return Name of a reason for logs. */
constexpr std::string_view
nameOf(RefusalReason aReason)
{
  constexpr std::string_view kNames[] = {
    "none", "no_target", "full", "too_late", "resting"
  };
  return kNames[static_cast<std::size_t>(aReason)];
}

/** Target of a request, or the refusal. */
struct TargetDecision
{
  RefusalReason reason_ = RefusalReason::kNoTarget; ///< kNone with a target.
  state::VmId vm_;                                  ///< The target.
  state::Endpoint endpoint_;                        ///< Where it listens.
  state::TargetLoad load_;                          ///< Load that was assumed.
  state::Duration loadAge_{};    ///< Age of the report that it rests on.
  state::Duration expected_{};   ///< Expected time until the first event.
  state::Duration retryAfter_{}; ///< For a refusal: when there will be room.
  std::uint32_t candidates_ = 0; ///< Targets of the service and model.
  std::uint32_t keptConnections_ =
    0; ///< Unused connections to the target that this daemon may keep.
  bool operator==(const TargetDecision&) const = default;
};

/** How a send to a target ended, as far as later choices are concerned. */
enum class SendResult : std::uint8_t
{
  kAnswered, ///< The target answered.
  kRejected, ///< It said that it did not run the request.
  kFailed,   ///< No usable answer.
  kAborted,  ///< The caller went away, or the time was over.
};

/** Settings of the choice. */
struct TargetPoolSettings
{
  state::ZoneId zone_; ///< Zone of the daemon.
  std::uint32_t sharedDispatcherMaxCopies_ =
    24; ///< Copies of a model up to which one dispatcher gives the places of
        ///< all zones; beyond, each zone has its own.
  state::Duration reportMaxAge_ =
    std::chrono::seconds(3); ///< Age at which a reported load no longer counts.
  state::Duration digestPeriod_ =
    std::chrono::milliseconds(300); ///< Between two digests of a zone.
  state::Duration digestMaxAge_ = std::chrono::milliseconds(
    1500); ///< Age at which a zone's digest no longer counts.
  state::Duration failureBackoff_ = std::chrono::milliseconds(
    800); ///< How long a target rests after a failure.
  state::Duration rejectionBackoff_ = std::chrono::milliseconds(
    150);                     ///< How long a target rests after it was full.
  double latencyShare_ = 1.0; ///< Part of the latency target that the expected
                              ///< first event may take.
  double dispatchLatencyShare_ =
    0.8; ///< The same for places that a dispatcher
         ///< gives; the rest is for what it doesn't see.
  double openAdmissionLoad_ =
    0.85;                   ///< Part of all slots of a model up to which its
                            ///< copies take any request. Not of one copy: what
                            ///< the fuller half refuses would flood the other.
  double roomCap_ = 0.7;    ///< Part of its slots beyond which more room draws
                            ///< no more requests to a copy.
  double quotaSlack_ = 1.2; ///< How much more than its part of the room of a
                            ///< zone a daemon may use, since callers are not
                            ///< shared evenly.
  state::Duration minRetryAfter_ =
    std::chrono::milliseconds(100); ///< Least wait that is told with a refusal.
  std::uint32_t queueRoom_ =
    1; ///< Requests beyond a target's slots that count as room in the choice.
  bool operator==(const TargetPoolSettings&) const = default;
};

/**
 * Chooses targets at random in proportion to the room that they have, from the
 * loads that zones' coordinators and targets report and from what this daemon
 * sent since. A request enters only where it is expected to begin in time, and
 * where targets are nearly full only within the daemon's part of the room that
 * the newest digest shows; else it is refused at once. Answers the load of many
 * daemons before few targets, where each knows the others' requests only by
 * reports that lag: the least loaded target would draw the requests of all
 * daemons at once. Thread-safe.
 */
class TargetPool
{
public:
  using RandomSource = std::function<std::uint64_t()>; ///< Random numbers.

  /**
   * @param aClock Clock; outlives this object.
   * @param aSettings Settings.
   * @param aRandom Source of random numbers.
   */
  TargetPool(const state::Clock& aClock,
             const TargetPoolSettings& aSettings,
             RandomSource aRandom);

  /**
   * Takes what is known of services and instances.
   * @param aConfig Configuration in force; not null.
   * @param aInstances Registered instances; not null.
   */
  void setView(state::RoutingConfigPtr aConfig,
               const state::InstanceMapPtr& aInstances);
  /**
   * Takes the open copies of a zone from its coordinator. While they are young,
   * they stand in for what the instances of the zone registered.
   * @param aDigest The copies.
   */
  void setDigest(const ZoneDigest& aDigest);
  /**
   * Notes who gives places at the copies of a zone.
   * @param aZone The zone.
   * @param aEndpoint Where its coordinator takes datagrams.
   */
  void setDispatcher(const state::ZoneId& aZone,
                     const state::Endpoint& aEndpoint);
  /**
   * @param aNeed What a request needs.
   * @param aTried A dispatcher that had no place for it, if any.
   * @return Who gives a place for it, or nothing when nobody else is heard.
   */
  std::optional<state::Endpoint> dispatcherFor(
    const TargetNeed& aNeed,
    const std::optional<state::Endpoint>& aTried = std::nullopt);
  /**
   * Gives a place to a request of any daemon: at the copy that will have its
   * first event soonest, by the places given so far. Answers the load of many
   * daemons on few copies that read prompts one after the other: what delays a
   * first event is how unevenly prompts arrive, which nobody sees who knows
   * only the loads of some time ago.
   * @param aNeed What the request needs.
   * @return The decision; the place is the caller's, who doesn't give it back.
   */
  TargetDecision place(const TargetNeed& aNeed);
  /**
   * Takes a place that a dispatcher gave. As choose(), the request counts until
   * finish() is called.
   * @param aNeed What the request needs.
   * @param aVm The target.
   * @return The decision; a refusal when the target may not be used by what
   * this daemon knows.
   */
  TargetDecision take(const TargetNeed& aNeed, const state::VmId& aVm);
  /** @param aDaemons Daemons that send requests to the same targets. */
  void setDaemons(std::size_t aDaemons);
  /**
   * Chooses the target of a request. A chosen target counts the request until
   * finish() is called.
   * @param aNeed What the request needs.
   * @return The decision.
   */
  TargetDecision choose(const TargetNeed& aNeed);
  /**
   * Ends a request that choose() has given to a target.
   * @param aVm The target.
   * @param aResult How it ended.
   */
  void finish(const state::VmId& aVm, SendResult aResult);
  /**
   * @param aVm A target that has a request of this daemon.
   * @return Whether its coordinator says that it serves no more, so that the
   * request must go elsewhere.
   */
  bool isGone(const state::VmId& aVm) const;
  /**
   * @param aNeed What a request needs.
   * @param aVm The target that it has now.
   * @return Whether it could have another target.
   */
  bool hasAlternative(const TargetNeed& aNeed, const state::VmId& aVm) const;
  /**
   * Notes a reported load.
   * @param aVm The target.
   * @param aLoad The load; includes this daemon's own requests.
   */
  void noteLoad(const state::VmId& aVm, const state::TargetLoad& aLoad);
  /**
   * Notes that a target said that it leaves: it gets nothing more in this life,
   * whatever the store or a digest tells of it.
   * @param aVm The target.
   */
  void noteLeaving(const state::VmId& aVm);
  /**
   * Notes that a target wants no requests for some time. Until then it gets
   * none, also where the alternative is a refusal.
   * @param aVm The target.
   * @param aRest How long.
   */
  void notePause(const state::VmId& aVm, state::Duration aRest);

private:
  /** What is known of a target. */
  struct Target
  {
    state::ServiceId service_;   ///< Its service.
    state::ZoneId zone_;         ///< Its availability zone.
    state::ModelId model_;       ///< Model it serves; empty when plain.
    state::Endpoint endpoint_;   ///< Where it listens.
    std::uint64_t bornAtMs_ = 0; ///< Start of its registered life.
    std::uint32_t slots_ = 1;    ///< Requests it runs at once.
    bool registered_ = false;    ///< Whether its registration takes requests.
    bool leaving_ = false;       ///< Whether it is registered as leaving.
    std::uint64_t digest_ = 0;   ///< Newest digest of its zone that has it.
    bool draining_ = false;      ///< Whether that digest says that it takes no
                                 ///< new requests.
    double slowness_ = 1;        ///< Factor on its times.
    std::uint32_t own_ = 0;      ///< This daemon's requests at it.
    std::uint32_t reported_ = 0; ///< Requests at it, as last reported.
    state::TimePoint reportedAt_{}; ///< For when that holds.
    std::vector<std::pair<state::TimePoint, int>>
      changes_; ///< This daemon's sends (+1) and their ends (-1) of late.
    state::TimePoint restsUntil_{}; ///< Gets no request before.
  };
  /** Newest digest of a zone. */
  struct DigestState
  {
    std::uint64_t authority_ = 0; ///< Its authority.
    std::uint64_t count_ = 0;     ///< Its count.
    std::uint64_t number_ = 0;    ///< Digests taken of the zone.
    state::TimePoint takenAt_{};  ///< When it was taken.
    bool complete_ = true;        ///< Whether it has all open copies.
    std::optional<state::Endpoint>
      dispatcher_; ///< Who gives places at its copies.
  };
  /** How full the copies of a zone are. */
  struct ZoneFill
  {
    std::uint32_t copies_ = 0; ///< Copies that take requests.
    double slots_ = 0;         ///< Their slots.
    double requests_ = 0;      ///< Requests at them.
    /** @return Slots that are free. */
    double room() const { return std::max(0.0, slots_ - requests_); }
  };
  /** How fast the copies of a model work. */
  struct ModelTiming
  {
    const state::EngineSpec* engine_; ///< Their service.
    const state::ModelSpec* model_;   ///< The model.
    state::FloatMs slotTime_; ///< Time that a usual request holds a slot.
  };
  /** What all targets of one choice have in common. */
  struct Surroundings
  {
    state::TimePoint now_; ///< Present time.
    double fill_;          ///< Part of their slots that is in use.
    std::optional<ModelTiming>
      pace_; ///< ModelTiming of the model; none for plain services.
  };
  /** A target that may take a request. */
  struct Candidate
  {
    const state::VmId* vm_;      ///< The target.
    Target* target_;             ///< What is known of it.
    state::TargetLoad load_;     ///< Load that is assumed.
    state::Duration expected_{}; ///< Expected time until the first event.
    double weight_ = 0;          ///< Weight in the choice.
  };

  std::optional<bool> isListed(const Target& aTarget,
                               state::TimePoint aNow) const;
  std::optional<ModelTiming> timingOf(const state::ServiceId& aService,
                                      const state::ModelId& aModel) const;
  double leavingOf(const Target& aTarget,
                   const state::TargetLoad& aLoad,
                   const std::optional<ModelTiming>& aPace) const;
  static state::TargetLoad presentLoad(const Target& aTarget,
                                       const state::TargetLoad& aReported,
                                       const Surroundings& aAround);
  double roomOf(const Target& aTarget,
                const state::TargetLoad& aLoad,
                double aLeaving) const;
  double weightOf(const Target& aTarget,
                  const state::TargetLoad& aLoad,
                  double aLeaving) const;
  std::uint32_t keptConnections(const state::ServiceId& aService) const;
  void shareRoom(const state::ZoneId& aZone);
  bool mayTake(const state::VmId& aVm,
               const Target& aTarget,
               const TargetNeed& aNeed,
               state::TimePoint aNow) const;
  std::vector<Candidate> candidatesFor(const TargetNeed& aNeed,
                                       state::TimePoint aNow);
  static double fillOf(const std::vector<Candidate>& aCandidates);
  bool mayEnter(const Target& aTarget, double aFill) const;
  bool isUsable(const Target& aTarget, state::TimePoint aNow) const;
  bool fits(const Target& aTarget,
            const TargetNeed& aNeed,
            state::TimePoint aNow) const;
  static void noteChange(Target& aTarget, state::TimePoint aNow, int aChange);
  state::TargetLoad loadOf(const Target& aTarget, state::TimePoint aNow) const;
  static state::Duration expectedTime(const Target& aTarget,
                                      const TargetNeed& aNeed,
                                      const state::TargetLoad& aLoad,
                                      const std::optional<ModelTiming>& aPace);
  const Candidate& pick(const std::vector<Candidate>& aCandidates);
  std::uint64_t bornAt(const state::VmId& aVm) const;
  double randomPart();
  static state::Duration firstEventLimit(const TargetNeed& aNeed,
                                         double aPatience);
  TargetDecision enter(const Candidate& aChosen, state::TimePoint aNow);
  std::map<state::ZoneId, ZoneFill> fillByZone(const TargetNeed& aNeed,
                                               state::TimePoint aNow) const;
  bool isPooled(const std::map<state::ZoneId, ZoneFill>& aZones) const;
  bool hearsZone(const state::ZoneId& aZone, state::TimePoint aNow) const;
  std::optional<state::ZoneId> poolingZone(const TargetNeed& aNeed,
                                           state::TimePoint aNow) const;
  std::optional<state::ZoneId> roomiestZone(
    const std::map<state::ZoneId, ZoneFill>& aZones);
  bool isFresh(const Candidate& aCandidate,
               const TargetNeed& aNeed,
               state::TimePoint aNow) const;
  state::TargetLoad placedLoad(const Candidate& aCandidate,
                               const ModelTiming& aPace,
                               state::TimePoint aNow) const;
  static state::Duration readingOf(const Candidate& aCandidate,
                                   const TargetNeed& aNeed,
                                   const ModelTiming& aPace);
  state::Duration placedTime(const Candidate& aCandidate,
                             const TargetNeed& aNeed,
                             const ModelTiming& aPace,
                             state::TimePoint aNow) const;
  TargetDecision refuse(const std::vector<Candidate>& aCandidates,
                        const TargetNeed& aNeed) const;

  const state::Clock& clock_;             ///< Clock.
  const TargetPoolSettings settings_;     ///< Settings.
  RandomSource random_;                   ///< Random numbers.
  mutable std::mutex mutex_;              ///< Guards the following members.
  state::RoutingConfigPtr config_;        ///< Configuration in force.
  std::map<state::VmId, Target> targets_; ///< Targets.
  TargetNotices notices_;                 ///< What targets told of themselves.
  RecentPlacements book_;                 ///< Places given to all daemons.
  std::map<state::ZoneId, DigestState> digests_; ///< Newest digests.
  std::map<std::pair<state::ZoneId, state::ModelId>, double>
    quotas_;                ///< Requests that may still enter nearly full
                            ///< copies until the next digest.
  std::size_t daemons_ = 1; ///< Daemons that send to the same targets.
};

} // namespace auburnhaven::coordination
