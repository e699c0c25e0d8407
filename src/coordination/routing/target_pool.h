// Chooses the target of a request, or refuses it.
#pragma once

#include "coordination/routing/engine_timing_func.h"
#include "coordination/routing/recent_placements.h"
#include "coordination/routing/target_limits.h"
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

/** What a request requires of its target. */
struct TargetNeed
{
  state::ServiceId service_;          ///< Service.
  state::ModelId model_;              ///< Model; empty for plain services.
  RequestTokens tokens_;              ///< Token counts of the request.
  state::Duration latencyTarget_{};   ///< Target time to the first event.
  state::Duration timeLeft_{};        ///< Time until the request's deadline.
  std::vector<state::VmId> excluded_; ///< Targets already tried.
  /** @return Whether a target was tried. @param aVm The target. */
  bool hasTried(const state::VmId& aVm) const
  {
    return std::find(excluded_.begin(), excluded_.end(), aVm) !=
           excluded_.end();
  }
  bool operator==(const TargetNeed&) const = default;
};

/** Why a request gets no target. */
enum class RefusalReason : std::uint8_t
{
  kNone,     ///< The request has a target.
  kNoTarget, ///< No known target serves the service and model.
  kFull,     ///< Every target is full.
  kTooLate,  ///< No target can start the request in time.
  kResting,  ///< Every target has asked for a pause.
  kLimited,  ///< Every target has got what it takes by its own limit.
};

/** @return Name of a reason for logs. */
constexpr std::string_view
nameOf(RefusalReason aReason)
{
  constexpr std::string_view kNames[] = { "none",     "no_target", "full",
                                          "too_late", "resting",   "limited" };
  return kNames[static_cast<std::size_t>(aReason)];
}

/** Target of a request, or its refusal. */
struct TargetDecision
{
  RefusalReason reason_ = RefusalReason::kNoTarget; ///< kNone with a target.
  state::VmId vm_;                                  ///< The target.
  state::Endpoint endpoint_;                        ///< Its endpoint.
  state::TargetLoad load_;                          ///< Its estimated load.
  std::optional<state::Duration>
    loadAge_; ///< Age of the report behind the estimate; absent without one.
  state::Duration expected_{};   ///< Expected time to the first event.
  state::Duration retryAfter_{}; ///< When refused: time until there is room.
  std::uint32_t candidates_ = 0; ///< Targets of the service and model.
  std::uint32_t keptConnections_ =
    0; ///< Idle connections to the target that this daemon may keep open.
  bool operator==(const TargetDecision&) const = default;
};

/** Outcome of sending a request to a target, as far as it affects later
 * choices. */
enum class SendResult : std::uint8_t
{
  kAnswered, ///< The target responded.
  kRejected, ///< The target reported that it did not run the request.
  kFailed,   ///< There was no usable response.
  kAborted,  ///< The caller disconnected, or the deadline passed.
};

/** Settings of the target pool. */
struct TargetPoolSettings
{
  state::ZoneId zone_; ///< Zone of the daemon.
  std::uint32_t sharedDispatcherMaxCopies_ =
    24; ///< Models with at most this many replicas have one dispatcher for all
        ///< zones; with more replicas, each zone has its own dispatcher.
  state::Duration reportMaxAge_ =
    std::chrono::seconds(3); ///< Age at which a reported load is ignored.
  state::Duration digestPeriod_ =
    std::chrono::milliseconds(300); ///< Interval between digests of a zone.
  state::Duration digestMaxAge_ = std::chrono::milliseconds(
    1500); ///< Age at which the digest of a zone is ignored.
  state::Duration failureBackoff_ = std::chrono::milliseconds(
    800); ///< How long a target is avoided after a failure.
  state::Duration rejectionBackoff_ = std::chrono::milliseconds(
    150); ///< How long a target is avoided after it rejected a request.
  double latencyShare_ = 1.0; ///< Fraction of the latency target that the
                              ///< expected time to the first event may use.
  double dispatchLatencyShare_ =
    0.8; ///< The same fraction for placements by a dispatcher; the remainder
         ///< covers load that the dispatcher cannot see.
  double openAdmissionLoad_ =
    0.85; ///< Utilization of all slots of a model below which its replicas
          ///< accept any request. It is not applied per replica, since the
          ///< requests refused by the fuller half would overload the rest.
  state::Duration silenceBackoff_ = std::chrono::milliseconds(
    300); ///< How long a replica is avoided whose streams are silent.
  std::uint32_t minSilentStreams_ =
    2;                      ///< Silent streams for which a replica is avoided.
  double roomCap_ = 0.7;    ///< Free fraction of a replica's slots above which
                            ///< more room attracts no more requests.
  double quotaSlack_ = 1.2; ///< Factor by which a daemon may exceed its equal
                            ///< share of a zone's room, since callers are not
                            ///< spread evenly over daemons.
  state::Duration minRetryAfter_ =
    std::chrono::milliseconds(100); ///< Shortest retry delay in a refusal.
  std::uint32_t queueRoom_ =
    1; ///< Requests beyond a target's slots that count as room in the choice.
  bool operator==(const TargetPoolSettings&) const = default;
};

/**
 * Chooses a target at random, weighted by free capacity. Loads come from the
 * reports of zone coordinators and targets, adjusted by the requests that this
 * daemon has sent since. A request is sent only where it is expected to start
 * in time; when the targets are nearly full, it must also fit the daemon's
 * share of the room in the newest digest. Otherwise it is refused at once.
 *
 * The choice is random because many daemons send to few targets and see each
 * other's requests only in delayed reports: picking the least loaded target
 * would direct the requests of all daemons to it at once. Thread-safe.
 */
class TargetPool
{
public:
  using RandomSource = std::function<std::uint64_t()>; ///< Random numbers.

  /**
   * @param aClock Clock; outlives this object.
   * @param aSettings Thresholds and timing.
   * @param aRandom Source of uniform random 64-bit numbers.
   */
  TargetPool(const state::Clock& aClock,
             const TargetPoolSettings& aSettings,
             RandomSource aRandom);

  /**
   * Updates the known services and instances.
   * @param aConfig Current configuration; not null.
   * @param aInstances Registered instances; not null.
   * @param aAsOf Time up to which they include all changes in the store.
   */
  void setView(state::RoutingConfigPtr aConfig,
               state::InstanceMapPtr aInstances,
               state::TimePoint aAsOf = {});
  /**
   * Applies the open replicas of a zone as sent by its coordinator. Until the
   * digest exceeds its maximum age, it takes precedence over the registrations
   * of instances in the zone, unless these were read later than the coordinator
   * has read the store. A digest that is not newer than the last one of
   * the zone is ignored, as is any before the first setView().
   * @param aDigest The replicas.
   */
  void setDigest(const ZoneDigest& aDigest);
  /**
   * Notes the dispatcher for the replicas of a zone.
   * @param aZone The zone.
   * @param aEndpoint Datagram endpoint of its coordinator.
   */
  void setDispatcher(const state::ZoneId& aZone,
                     const state::Endpoint& aEndpoint);
  /**
   * Selects the dispatcher that should place a request. Requests for plain
   * services have one only while one of their targets has a limit.
   * @param aNeed Requirements of the request.
   * @param aTried A dispatcher that could not place it, if any.
   * @return Endpoint of the dispatcher; nothing when no other dispatcher has
   * sent a recent digest.
   */
  std::optional<state::Endpoint> dispatcherFor(
    const TargetNeed& aNeed,
    const std::optional<state::Endpoint>& aTried = std::nullopt);
  /**
   * Places a request of any daemon on the replica with the earliest expected
   * first event, given all placements so far and within the limits that targets
   * have named. Plain targets get equal shares. With many daemons and few
   * replicas that process prompts one after the other, the first event is
   * delayed mostly by uneven prompt arrivals, which a daemon that only sees
   * delayed loads cannot detect.
   * @param aNeed Requirements of the request.
   * @return The decision. The placement belongs to the caller and is never
   * returned to the dispatcher.
   */
  TargetDecision place(const TargetNeed& aNeed);
  /**
   * Uses the target that a dispatcher chose. As with choose(), the request
   * counts until finish() is called.
   * @param aNeed Requirements of the request.
   * @param aVm The target.
   * @return The decision; a refusal when this daemon knows that the target must
   * not be used.
   */
  TargetDecision take(const TargetNeed& aNeed, const state::VmId& aVm);
  /** @return Datagram endpoints of all coordinators that sent a recent
   * digest. */
  std::vector<state::Endpoint> dispatchers() const;
  /**
   * @param aVm Head of a replica.
   * @return Time without any stream event after which the replica may have lost
   * a member; nothing for targets that are no replicas.
   */
  std::optional<state::Duration> silenceLimitOf(const state::VmId& aVm) const;
  /**
   * Notes that a daemon's streams from a replica are silent. A replica whose
   * streams are silent is avoided for a moment.
   * @param aVm Head of the replica.
   * @param aStreams Number of silent streams.
   */
  void noteSilence(const state::VmId& aVm, std::uint32_t aStreams);
  /** @param aDaemons Number of daemons that send to the same targets. */
  void setDaemons(std::size_t aDaemons);
  /**
   * Chooses the target of a request. The request counts toward the target's
   * load until finish() is called.
   * @param aNeed Requirements of the request.
   * @return The decision.
   */
  TargetDecision choose(const TargetNeed& aNeed);
  /**
   * Ends a request that choose() or take() has assigned to a target.
   * @param aVm The target.
   * @param aResult Outcome of the request.
   */
  void finish(const state::VmId& aVm, SendResult aResult);
  /**
   * @param aVm A target that has a request of this daemon.
   * @return Whether its coordinator reports that it no longer serves, so that
   * the request must be sent elsewhere.
   */
  bool isGone(const state::VmId& aVm) const;
  /**
   * @param aNeed Requirements of a request.
   * @param aVm Its current target.
   * @return Whether another target could take it.
   */
  bool hasAlternative(const TargetNeed& aNeed, const state::VmId& aVm) const;
  /**
   * Notes a reported load.
   * @param aVm The target.
   * @param aLoad The load, including this daemon's own requests.
   */
  void noteLoad(const state::VmId& aVm, const state::TargetLoad& aLoad);
  /**
   * Notes that a target announced its shutdown. It receives no more requests in
   * its current incarnation, whatever the store or a digest reports.
   * @param aVm The target.
   */
  void noteLeaving(const state::VmId& aVm);
  /**
   * Notes that a target wants no requests for some time. Until then it receives
   * none, even when the alternative is a refusal.
   * @param aVm The target.
   * @param aPause Length of the pause.
   */
  void notePause(const state::VmId& aVm, state::Duration aPause);
  /**
   * Notes what a response said of the limit of its target.
   * @param aVm The target.
   * @param aPerSecond Requests a second that it takes of all daemons together;
   * nothing when the response named no limit.
   */
  void noteLimit(const state::VmId& aVm, std::optional<double> aPerSecond);
  /** @param aLimits What another daemon knows of limits. */
  void noteLimits(const std::vector<TargetLimit>& aLimits);
  /**
   * @param aNeed Requirements of a request.
   * @return What is known of the limits of its targets, for their dispatcher.
   */
  std::vector<TargetLimit> limitsFor(const TargetNeed& aNeed) const;

private:
  /** Known state of a target. */
  struct Target
  {
    state::ServiceId service_;   ///< Its service.
    state::ZoneId zone_;         ///< Its availability zone.
    state::ModelId model_;       ///< Model it serves; empty when plain.
    state::Endpoint endpoint_;   ///< Its endpoint.
    std::uint64_t bornAtMs_ = 0; ///< Start of its registered incarnation.
    std::uint32_t slots_ = 1;    ///< Requests it can run concurrently.
    bool registered_ = false;    ///< Whether its registration takes requests.
    bool leaving_ = false;       ///< Whether it is registered as shutting down.
    bool present_ = false;       ///< Whether it is registered at all.
    std::uint64_t digestNumber_ =
      0; ///< Number of the newest digest of its zone that lists it.
    bool draining_ = false; ///< Whether that digest lists it as draining.
    double slowness_ = 1;   ///< Slowdown factor.
    std::uint32_t ownRequests_ = 0;      ///< In-flight requests of this daemon.
    std::uint32_t reportedRequests_ = 0; ///< All requests, as last reported.
    state::TimePoint reportedAt_{};      ///< Time of the reported load.
    std::vector<std::pair<state::TimePoint, int>>
      ownChanges_; ///< Recent sends (+1) of this daemon and their ends (-1).
    std::uint32_t silentStreams_ = 0; ///< Streams told to be silent of late.
    state::TimePoint silentAt_{};     ///< When the latest of these were told.
    state::TimePoint
      backoffUntil_{}; ///< Avoided until then after a failure or rejection.
  };
  /** Newest digest of a zone. */
  struct DigestState
  {
    std::uint64_t authority_ = 0;  ///< Number of the coordinator's lease.
    std::uint64_t count_ = 0;      ///< Sequence number under that lease.
    std::uint64_t number_ = 0;     ///< Digests of the zone applied so far.
    state::TimePoint takenAt_{};   ///< When it was applied.
    state::TimePoint knownAsOf_{}; ///< Up to when its sender knows the store.
    bool complete_ = true;         ///< Whether it lists all open replicas.
    std::optional<state::Endpoint>
      dispatcher_; ///< Dispatcher for the zone's replicas.
  };
  /** Load of a model's replicas in a zone. */
  struct ZoneLoad
  {
    std::uint32_t copies_ = 0; ///< Replicas that take requests.
    double slots_ = 0;         ///< Their slots.
    double requests_ = 0;      ///< Their requests.
    /** @return Free slots. */
    double freeSlots() const { return std::max(0.0, slots_ - requests_); }
  };
  /** Timing parameters of a model. */
  struct ModelTiming
  {
    const state::EngineSpec* engine_; ///< Engine settings of its service.
    const state::ModelSpec* model_;   ///< The model.
    state::FloatMs slotTime_; ///< Time that a typical request holds a slot.
  };
  /** Inputs that all candidates of one choice share. */
  struct ChoiceContext
  {
    state::TimePoint now_; ///< Current time.
    double utilization_;   ///< Fraction of the candidates' slots in use.
    std::optional<ModelTiming> timing_; ///< Timing of the model; none for plain
                                        ///< services.
  };
  /** A target that may take a request. */
  struct Candidate
  {
    const state::VmId* vm_;      ///< The target.
    Target* target_;             ///< Its known state.
    state::TargetLoad load_;     ///< Its estimated load.
    state::Duration expected_{}; ///< Expected time to the first event.
    double weight_ = 0;          ///< Weight in the random choice.
  };

  void noteRegistration(const state::VmId& aVm, Target& aTarget) const;
  std::optional<bool> isListed(const Target& aTarget,
                               state::TimePoint aNow) const;
  std::optional<ModelTiming> timingOf(const state::ServiceId& aService,
                                      const state::ModelId& aModel) const;
  double expectedDepartures(const Target& aTarget,
                            const state::TargetLoad& aLoad,
                            const std::optional<ModelTiming>& aTiming) const;
  static state::TargetLoad estimateCurrentLoad(
    const Target& aTarget,
    const state::TargetLoad& aReported,
    const ChoiceContext& aContext);
  double roomOf(const Target& aTarget,
                const state::TargetLoad& aLoad,
                double aDepartures) const;
  double weightOf(const Target& aTarget,
                  const state::TargetLoad& aLoad,
                  double aDepartures) const;
  std::uint32_t keptConnections(const state::ServiceId& aService) const;
  void updateQuotas(const state::ZoneId& aZone);
  bool isEligible(const state::VmId& aVm,
                  const Target& aTarget,
                  const TargetNeed& aNeed,
                  state::TimePoint aNow) const;
  std::vector<Candidate> candidatesFor(const TargetNeed& aNeed,
                                       state::TimePoint aNow);
  static double utilizationOf(const std::vector<Candidate>& aCandidates);
  bool isAdmitted(const Target& aTarget, double aUtilization) const;
  bool isUsable(const Target& aTarget, state::TimePoint aNow) const;
  static std::optional<state::Duration> loadAgeOf(const Target& aTarget,
                                                  state::TimePoint aNow);
  bool matches(const Target& aTarget,
               const TargetNeed& aNeed,
               state::TimePoint aNow) const;
  static void noteChange(Target& aTarget, state::TimePoint aNow, int aChange);
  state::TargetLoad loadOf(const Target& aTarget, state::TimePoint aNow) const;
  static state::Duration expectedTime(
    const Target& aTarget,
    const TargetNeed& aNeed,
    const state::TargetLoad& aLoad,
    const std::optional<ModelTiming>& aTiming);
  const Candidate& pickWeighted(const std::vector<Candidate>& aCandidates);
  std::uint64_t bornAt(const state::VmId& aVm) const;
  double randomFraction();
  static state::Duration firstEventLimit(const TargetNeed& aNeed,
                                         double aLatencyShare);
  TargetDecision assign(const Candidate& aChosen, state::TimePoint aNow);
  std::map<state::ZoneId, ZoneLoad> loadByZone(const TargetNeed& aNeed,
                                               state::TimePoint aNow) const;
  bool usesSharedDispatcher(
    const std::map<state::ZoneId, ZoneLoad>& aZones) const;
  std::optional<state::Endpoint> plainDispatcher(
    const TargetNeed& aNeed,
    const std::optional<state::Endpoint>& aTried,
    state::TimePoint aNow) const;
  bool hasFreshDigest(const state::ZoneId& aZone, state::TimePoint aNow) const;
  std::optional<state::ZoneId> sharedDispatcherZone(
    const TargetNeed& aNeed,
    state::TimePoint aNow) const;
  std::optional<state::ZoneId> pickZoneByRoom(
    const std::map<state::ZoneId, ZoneLoad>& aZones);
  bool isAvailable(const Candidate& aCandidate,
                   const TargetNeed& aNeed,
                   state::TimePoint aNow) const;
  state::TargetLoad estimatePlacedLoad(const Candidate& aCandidate,
                                       const ModelTiming& aTiming,
                                       state::TimePoint aNow) const;
  static state::Duration prefillTimeOf(const Candidate& aCandidate,
                                       const TargetNeed& aNeed,
                                       const ModelTiming& aTiming);
  state::Duration estimatePlacedTime(const Candidate& aCandidate,
                                     const TargetNeed& aNeed,
                                     const ModelTiming& aTiming,
                                     state::TimePoint aNow) const;
  TargetDecision makeRefusal(const std::vector<Candidate>& aCandidates,
                             const TargetNeed& aNeed);
  bool hasLimitedTarget(const TargetNeed& aNeed, state::TimePoint aNow) const;
  state::Duration eraseUnplaceable(std::vector<Candidate>& aCandidates);
  TargetDecision refuseAtLimit(std::uint32_t aCandidates,
                               state::Duration aWait) const;
  TargetDecision placePlain(const std::vector<Candidate>& aCandidates,
                            state::TimePoint aNow);

  const state::Clock& clock_;         ///< Clock.
  const TargetPoolSettings settings_; ///< Thresholds and timing.
  RandomSource random_;               ///< Random numbers.
  mutable std::mutex mutex_;          ///< Guards the following members.
  state::RoutingConfigPtr config_;    ///< Current configuration.
  state::InstanceMapPtr instances_ =
    std::make_shared<state::InstanceMap>(); ///< Registered instances.
  state::TimePoint instancesAsOf_{}; ///< Up to when they include all changes.
  std::map<state::VmId, Target> targets_; ///< Targets.
  TargetNotices notices_;                 ///< Notices sent by targets.
  TargetLimits limits_;                   ///< Limits named by targets.
  RecentPlacements placements_;           ///< Placements for all daemons.
  std::map<state::ZoneId, DigestState> digests_; ///< Newest digest by zone.
  std::map<std::pair<state::ZoneId, state::ModelId>, double>
    quotas_;                ///< Requests that this daemon may still send to
                            ///< nearly full replicas until the next digest.
  std::size_t daemons_ = 1; ///< Daemons that send to the same targets.
};

} // namespace auburnhaven::coordination
