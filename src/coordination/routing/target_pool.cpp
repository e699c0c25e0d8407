// Chooses the target of a request, or refuses it.

#include "coordination/routing/target_pool.h"

#include "state/routing_func.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace auburnhaven::coordination {

namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kDefaultKeptConnections =
  64; ///< Idle connections per target when the service sets no limit.
constexpr milliseconds kNoTargetRetryAfter(
  700); ///< Retry delay in a refusal while no target serves.

constexpr milliseconds kMaxLimitWait(
  2000); ///< Longest retry delay for a limit, since another daemon or the
         ///< dispatcher may have room sooner.

/** @return Whether an instance is registered as taking new requests: a plain
 * one, or the head of an open replica. */
bool
takesRequests(const state::Instance& aInstance)
{
  if (aInstance.leaving_) {
    return false;
  }
  if (!aInstance.engine_) {
    return true;
  }
  const auto& place = aInstance.engine_->place_;
  return place && place->rank_ == 0 &&
         place->state_ == state::MemberState::kOpen;
}

/** @return A load without half of the requests that end between two digests,
 * which is what a new request meets on average. */
state::TargetLoad
loadAfterDepartures(state::TargetLoad aLoad, double aDepartures)
{
  const auto departed = static_cast<std::uint32_t>(aDepartures / 2);
  const std::uint32_t waiting = std::min(aLoad.waiting_, departed);
  aLoad.waiting_ -= waiting;
  return aLoad;
}

/** @return Whether a replica has a member that is shutting down. */
bool
losesMember(const state::Instance& aHead, const state::InstanceMap& aInstances)
{
  if (!aHead.engine_ || !aHead.engine_->place_) {
    return false;
  }
  const state::ReplicaId& replica = aHead.engine_->place_->replica_;
  return std::any_of(
    aInstances.begin(), aInstances.end(), [&](const auto& aEntry) {
      const auto& engine = aEntry.second.engine_;
      return aEntry.second.leaving_ && engine && engine->place_ &&
             engine->place_->replica_ == replica;
    });
}

} // namespace

TargetPool::TargetPool(const state::Clock& aClock,
                       const TargetPoolSettings& aSettings,
                       RandomSource aRandom)
  : clock_(aClock)
  , settings_(aSettings)
  , random_(std::move(aRandom))
  , notices_(aClock)
  , limits_(aClock)
{
}

void
TargetPool::setView(state::RoutingConfigPtr aConfig,
                    state::InstanceMapPtr aInstances,
                    state::TimePoint aAsOf)
{
  const std::lock_guard lock(mutex_);
  config_ = std::move(aConfig);
  instances_ = std::move(aInstances);
  instancesAsOf_ = aAsOf;
  for (auto& [vm, target] : targets_) {
    target.registered_ = false;
    noteRegistration(vm, target);
  }
  for (const auto& [vm, instance] : *instances_) {
    notices_.noteIncarnation(vm, instance.bornAtMs_);
    limits_.noteIncarnation(vm, instance.bornAtMs_);
    const bool takes =
      takesRequests(instance) && !losesMember(instance, *instances_);
    const auto known = targets_.find(vm);
    if (!takes && known == targets_.end()) {
      continue;
    }
    Target& target = targets_[vm];
    target.service_ = instance.service_;
    target.zone_ = instance.zone_;
    target.endpoint_ = instance.endpoint_;
    target.bornAtMs_ = instance.bornAtMs_;
    target.slots_ = std::max(1U, instance.slots_);
    target.registered_ = takes;
    noteRegistration(vm, target);
    if (takes && instance.engine_) {
      target.model_ = instance.engine_->model_;
    }
  }
  const state::TimePoint now = clock_.now();
  std::erase_if(targets_, [&](const auto& aEntry) {
    return !isUsable(aEntry.second, now) && aEntry.second.ownRequests_ == 0;
  });
}

void
TargetPool::noteRegistration(const state::VmId& aVm, Target& aTarget) const
{
  const auto found = instances_->find(aVm);
  aTarget.present_ = found != instances_->end();
  aTarget.leaving_ = aTarget.present_ && found->second.leaving_;
}

void
TargetPool::setDigest(const ZoneDigest& aDigest)
{
  const std::lock_guard lock(mutex_);
  DigestState& state = digests_[aDigest.zone_];
  const bool newer = std::pair(aDigest.authority_, aDigest.count_) >
                     std::pair(state.authority_, state.count_);
  if (!newer || !config_) {
    return;
  }
  state.authority_ = aDigest.authority_;
  state.count_ = aDigest.count_;
  ++state.number_;
  state.takenAt_ = clock_.now();
  state.complete_ = aDigest.complete_;
  state.knownAsOf_ = aDigest.knownAsOf_;
  const state::ServiceSpec* service =
    state::findService(*config_, aDigest.service_);
  const std::uint32_t slots =
    service != nullptr && service->engine_ ? service->engine_->batchSlots_ : 1;
  for (const CopyLoad& copy : aDigest.copies_) {
    Target& target = targets_[copy.head_];
    noteRegistration(copy.head_, target);
    target.service_ = aDigest.service_;
    target.zone_ = aDigest.zone_;
    target.model_ = copy.model_;
    target.endpoint_ = copy.endpoint_;
    target.slots_ = std::max(1U, slots);
    target.digestNumber_ = state.number_;
    target.draining_ = copy.draining_;
    target.slowness_ = copy.slowness_;
    if (copy.asOf_ > target.reportedAt_) {
      target.reportedRequests_ = copy.running_ + copy.waiting_;
      target.reportedAt_ = copy.asOf_;
    }
  }
  updateQuotas(aDigest.zone_);
}

void
TargetPool::setDaemons(std::size_t aDaemons)
{
  const std::lock_guard lock(mutex_);
  daemons_ = std::max<std::size_t>(1, aDaemons);
  limits_.setDaemons(daemons_);
}

std::optional<TargetPool::ModelTiming>
TargetPool::timingOf(const state::ServiceId& aService,
                     const state::ModelId& aModel) const
{
  const state::ServiceSpec* service = state::findService(*config_, aService);
  const state::ModelSpec* model =
    service != nullptr && service->engine_
      ? state::findModel(*service->engine_, aModel)
      : nullptr;
  if (model == nullptr) {
    return std::nullopt;
  }
  return ModelTiming{ &*service->engine_,
                      model,
                      typicalSlotTime(*service->engine_, *model) };
}

double
TargetPool::expectedDepartures(const Target& aTarget,
                               const state::TargetLoad& aLoad,
                               const std::optional<ModelTiming>& aTiming) const
{
  return aTiming ? aLoad.running_ * (state::FloatMs(settings_.digestPeriod_) /
                                     (aTiming->slotTime_ * aTarget.slowness_))
                 : 0;
}

state::TargetLoad
TargetPool::estimateCurrentLoad(const Target& aTarget,
                                const state::TargetLoad& aReported,
                                const ChoiceContext& aContext)
{
  if (!aContext.timing_) {
    return aReported;
  }
  const auto reportAge = loadAgeOf(aTarget, aContext.now_);
  const state::FloatMs slotTime =
    aContext.timing_->slotTime_ * aTarget.slowness_;
  // Without a report, nothing but the mean of all replicas is known.
  const state::FloatMs age = reportAge ? state::FloatMs(*reportAge) : slotTime;
  const double remaining = std::clamp(1 - age / slotTime, 0.0, 1.0);
  const double total = aReported.running_ + aReported.waiting_;
  const double mean = aContext.utilization_ * aTarget.slots_;
  const auto present = static_cast<std::uint32_t>(
    std::lround(total * remaining + mean * (1 - remaining)));
  const std::uint32_t running = std::min(present, aTarget.slots_);
  return { running, present - running, aTarget.slots_ };
}

double
TargetPool::roomOf(const Target& aTarget,
                   const state::TargetLoad& aLoad,
                   double aDepartures) const
{
  const double limit = aTarget.slots_ + settings_.queueRoom_;
  const double total = aLoad.running_ + aLoad.waiting_;
  return std::max(0.0, limit - total + aDepartures);
}

double
TargetPool::weightOf(const Target& aTarget,
                     const state::TargetLoad& aLoad,
                     double aDepartures) const
{
  const double room = roomOf(aTarget, aLoad, aDepartures);
  const double slowness = aTarget.slowness_ * aTarget.slowness_;
  if (aTarget.model_.empty()) {
    const double idle =
      std::max(1.0, static_cast<double>(aTarget.slots_) - aLoad.running_);
    return room * idle / slowness;
  }
  // Prompts are processed one after the other, so the first event is delayed by
  // the requests that arrived recently, not by those already running.
  const double roomShare =
    std::min(1.0, room / (settings_.roomCap_ * aTarget.slots_));
  return roomShare * roomShare / slowness;
}

std::uint32_t
TargetPool::keptConnections(const state::ServiceId& aService) const
{
  const state::ServiceSpec* service = state::findService(*config_, aService);
  if (service == nullptr || service->maxConnections_ == 0) {
    return kDefaultKeptConnections;
  }
  // Half of the limit is for idle connections, the rest for those in use.
  return static_cast<std::uint32_t>(service->maxConnections_ / 2 / daemons_);
}

void
TargetPool::updateQuotas(const state::ZoneId& aZone)
{
  const state::TimePoint now = clock_.now();
  std::map<state::ModelId, double> rooms;
  for (const auto& [vm, target] : targets_) {
    if (target.zone_ == aZone && !target.model_.empty() &&
        isUsable(target, now)) {
      const state::TargetLoad load = loadOf(target, now);
      const auto timing = timingOf(target.service_, target.model_);
      rooms[target.model_] +=
        roomOf(target, load, expectedDepartures(target, load, timing));
    }
  }
  for (const auto& [model, room] : rooms) {
    const double share =
      room / static_cast<double>(daemons_) * settings_.quotaSlack_;
    const double rounding = randomFraction();
    double& quota = quotas_[{ aZone, model }];
    // Shares of less than one request accumulate over digests; otherwise most
    // of that room would stay unused.
    quota =
      share >= 1 ? std::floor(share + rounding) : std::min(1.0, quota + share);
  }
}

bool
TargetPool::isEligible(const state::VmId& aVm,
                       const Target& aTarget,
                       const TargetNeed& aNeed,
                       state::TimePoint aNow) const
{
  return matches(aTarget, aNeed, aNow) && !notices_.isLeaving(aVm);
}

bool
TargetPool::hasAlternative(const TargetNeed& aNeed,
                           const state::VmId& aVm) const
{
  const std::lock_guard lock(mutex_);
  const state::TimePoint now = clock_.now();
  return std::any_of(targets_.begin(), targets_.end(), [&](const auto& aEntry) {
    const auto& [vm, target] = aEntry;
    return vm != aVm && !aNeed.hasTried(vm) &&
           isEligible(vm, target, aNeed, now) &&
           notices_.pausedUntil(vm) <= now;
  });
}

std::vector<TargetPool::Candidate>
TargetPool::candidatesFor(const TargetNeed& aNeed, state::TimePoint aNow)
{
  std::vector<Candidate> candidates;
  for (auto& [vm, target] : targets_) {
    if (isEligible(vm, target, aNeed, aNow)) {
      candidates.push_back({ &vm, &target, loadOf(target, aNow), {}, 0 });
    }
  }
  return candidates;
}

double
TargetPool::utilizationOf(const std::vector<Candidate>& aCandidates)
{
  double requests = 0;
  double slots = 1;
  for (const Candidate& candidate : aCandidates) {
    requests += candidate.load_.running_ + candidate.load_.waiting_;
    slots += candidate.target_->slots_;
  }
  return requests / slots;
}

bool
TargetPool::isAdmitted(const Target& aTarget, double aUtilization) const
{
  if (aTarget.model_.empty() || aUtilization < settings_.openAdmissionLoad_) {
    return true;
  }
  const auto quota = quotas_.find({ aTarget.zone_, aTarget.model_ });
  return quota == quotas_.end() || quota->second >= 1;
}

std::optional<bool>
TargetPool::isListed(const Target& aTarget, state::TimePoint aNow) const
{
  const auto digest = digests_.find(aTarget.zone_);
  const bool fresh = digest != digests_.end() &&
                     aNow - digest->second.takenAt_ < settings_.digestMaxAge_;
  if (aTarget.model_.empty() || !fresh) {
    return std::nullopt;
  }
  if (aTarget.digestNumber_ == digest->second.number_) {
    return true;
  }
  return digest->second.complete_ ? std::optional(false) : std::nullopt;
}

bool
TargetPool::isUsable(const Target& aTarget, state::TimePoint aNow) const
{
  const std::optional<bool> listed = isListed(aTarget, aNow);
  if (!listed) {
    return aTarget.registered_;
  }
  // Of the coordinator and this daemon, the one that has read the store later
  // knows whether the target leaves or is gone.
  const bool gone = (aTarget.leaving_ || !aTarget.present_) &&
                    digests_.at(aTarget.zone_).knownAsOf_ < instancesAsOf_;
  return *listed && !aTarget.draining_ && !gone;
}

bool
TargetPool::isGone(const state::VmId& aVm) const
{
  const std::lock_guard lock(mutex_);
  const auto found = targets_.find(aVm);
  return found != targets_.end() &&
         !isListed(found->second, clock_.now()).value_or(true);
}

bool
TargetPool::matches(const Target& aTarget,
                    const TargetNeed& aNeed,
                    state::TimePoint aNow) const
{
  return aTarget.service_ == aNeed.service_ && aTarget.model_ == aNeed.model_ &&
         isUsable(aTarget, aNow);
}

void
TargetPool::noteChange(Target& aTarget, state::TimePoint aNow, int aChange)
{
  std::erase_if(aTarget.ownChanges_, [&](const auto& aEntry) {
    return aEntry.first < aTarget.reportedAt_;
  });
  aTarget.ownChanges_.emplace_back(aNow, aChange);
}

std::optional<state::Duration>
TargetPool::loadAgeOf(const Target& aTarget, state::TimePoint aNow)
{
  return aTarget.reportedAt_ == state::TimePoint{}
           ? std::nullopt
           : std::optional(aNow - aTarget.reportedAt_);
}

state::TargetLoad
TargetPool::loadOf(const Target& aTarget, state::TimePoint aNow) const
{
  std::int64_t total = aTarget.ownRequests_;
  const auto age = loadAgeOf(aTarget, aNow);
  if (age && *age < settings_.reportMaxAge_) {
    total = aTarget.reportedRequests_;
    for (const auto& [at, change] : aTarget.ownChanges_) {
      total += at > aTarget.reportedAt_ ? change : 0;
    }
    total = std::max<std::int64_t>(total, aTarget.ownRequests_);
  }
  const auto count = static_cast<std::uint32_t>(total);
  const std::uint32_t running = std::min(count, aTarget.slots_);
  return { running, count - running, aTarget.slots_ };
}

state::Duration
TargetPool::expectedTime(const Target& aTarget,
                         const TargetNeed& aNeed,
                         const state::TargetLoad& aLoad,
                         const std::optional<ModelTiming>& aTiming)
{
  if (aTiming) {
    return std::chrono::duration_cast<state::Duration>(
      firstEventTime(
        *aTiming->engine_, *aTiming->model_, aLoad, aNeed.tokens_.prompt_) *
      aTarget.slowness_);
  }
  // Plain services have no timing parameters. Assume that the latency target is
  // reached when each slot has two requests, and scale linearly.
  return aNeed.latencyTarget_ * (aLoad.running_ + aLoad.waiting_ + 1) /
         (2 * static_cast<std::int64_t>(aLoad.slots_));
}

TargetDecision
TargetPool::choose(const TargetNeed& aNeed)
{
  const std::lock_guard lock(mutex_);
  const state::TimePoint now = clock_.now();
  const state::Duration limit = firstEventLimit(aNeed, settings_.latencyShare_);
  std::vector<Candidate> all = candidatesFor(aNeed, now);
  const ChoiceContext context{ now,
                               utilizationOf(all),
                               timingOf(aNeed.service_, aNeed.model_) };
  std::vector<Candidate> ready;
  std::vector<Candidate> backingOff;
  for (Candidate& candidate : all) {
    const Target& target = *candidate.target_;
    candidate.load_ = estimateCurrentLoad(target, candidate.load_, context);
    const double departures =
      expectedDepartures(target, candidate.load_, context.timing_);
    candidate.expected_ =
      expectedTime(target,
                   aNeed,
                   loadAfterDepartures(candidate.load_, departures),
                   context.timing_);
    const bool tried = aNeed.hasTried(*candidate.vm_);
    const bool admitted =
      candidate.expected_ <= limit && isAdmitted(target, context.utilization_);
    const bool paused = notices_.pausedUntil(*candidate.vm_) > now ||
                        limits_.sendableIn(*candidate.vm_) > state::Duration{};
    if (!tried && admitted && !paused) {
      candidate.weight_ = weightOf(target, candidate.load_, departures);
      (target.backoffUntil_ <= now ? ready : backingOff).push_back(candidate);
    }
  }
  if (ready.empty() && backingOff.empty()) {
    return makeRefusal(all, aNeed);
  }
  // A target that failed recently is still better than a refusal.
  TargetDecision decision =
    assign(pickWeighted(ready.empty() ? backingOff : ready), now);
  limits_.noteSent(decision.vm_);
  decision.candidates_ = static_cast<std::uint32_t>(all.size());
  return decision;
}

TargetDecision
TargetPool::assign(const Candidate& aChosen, state::TimePoint aNow)
{
  Target& target = *aChosen.target_;
  ++target.ownRequests_;
  noteChange(target, aNow, 1);
  const auto quota = quotas_.find({ target.zone_, target.model_ });
  if (quota != quotas_.end()) {
    quota->second = std::max(0.0, quota->second - 1);
  }
  TargetDecision decision;
  decision.reason_ = RefusalReason::kNone;
  decision.vm_ = *aChosen.vm_;
  decision.endpoint_ = target.endpoint_;
  decision.load_ = aChosen.load_;
  decision.loadAge_ = loadAgeOf(target, aNow);
  decision.expected_ = aChosen.expected_;
  decision.keptConnections_ = keptConnections(target.service_);
  return decision;
}

state::Duration
TargetPool::firstEventLimit(const TargetNeed& aNeed, double aLatencyShare)
{
  return std::min(
    aNeed.timeLeft_,
    std::chrono::duration_cast<state::Duration>(
      std::chrono::duration<double, std::nano>(aNeed.latencyTarget_) *
      aLatencyShare));
}

double
TargetPool::randomFraction()
{
  constexpr double kRandomRange = 1ULL << 53U;
  return static_cast<double>(random_() >> 11U) / kRandomRange;
}

const TargetPool::Candidate&
TargetPool::pickWeighted(const std::vector<Candidate>& aCandidates)
{
  double sum = 0;
  for (const Candidate& candidate : aCandidates) {
    sum += candidate.weight_;
  }
  double at = randomFraction() * sum;
  for (const Candidate& candidate : aCandidates) {
    at -= candidate.weight_;
    if (at < 0) {
      return candidate;
    }
  }
  return *std::min_element(aCandidates.begin(),
                           aCandidates.end(),
                           [](const Candidate& aLeft, const Candidate& aRight) {
                             return aLeft.expected_ < aRight.expected_;
                           });
}

TargetDecision
TargetPool::makeRefusal(const std::vector<Candidate>& aCandidates,
                        const TargetNeed& aNeed)
{
  TargetDecision decision;
  decision.candidates_ = static_cast<std::uint32_t>(aCandidates.size());
  decision.retryAfter_ = kNoTargetRetryAfter;
  if (aCandidates.empty()) {
    return decision;
  }
  const state::TimePoint now = clock_.now();
  state::Duration pause = state::Duration::max();
  state::Duration atLimit = state::Duration::max();
  decision.expected_ = state::Duration::max();
  for (const Candidate& candidate : aCandidates) {
    pause = std::min(pause, notices_.pausedUntil(*candidate.vm_) - now);
    atLimit = std::min(atLimit, limits_.sendableIn(*candidate.vm_));
    if (candidate.expected_ < decision.expected_) {
      decision.expected_ = candidate.expected_;
      decision.load_ = candidate.load_;
    }
  }
  if (pause > state::Duration{}) {
    decision.reason_ = RefusalReason::kResting;
    decision.retryAfter_ = std::max(settings_.minRetryAfter_, pause);
    return decision;
  }
  if (atLimit > state::Duration{}) {
    return refuseAtLimit(decision.candidates_,
                         std::min<state::Duration>(atLimit, kMaxLimitWait));
  }
  decision.reason_ = RefusalReason::kFull;
  const state::Duration over = decision.expected_ - aNeed.latencyTarget_;
  decision.retryAfter_ = std::max(settings_.minRetryAfter_, over);
  return decision;
}

void
TargetPool::finish(const state::VmId& aVm, SendResult aResult)
{
  const std::lock_guard lock(mutex_);
  const auto found = targets_.find(aVm);
  if (found == targets_.end()) {
    return;
  }
  const state::TimePoint now = clock_.now();
  Target& target = found->second;
  target.ownRequests_ -= std::min(target.ownRequests_, 1U);
  noteChange(target, now, -1);
  if (aResult == SendResult::kFailed) {
    target.backoffUntil_ = now + settings_.failureBackoff_;
  } else if (aResult == SendResult::kRejected) {
    target.backoffUntil_ = now + settings_.rejectionBackoff_;
  }
}

void
TargetPool::noteLoad(const state::VmId& aVm, const state::TargetLoad& aLoad)
{
  const std::lock_guard lock(mutex_);
  const auto found = targets_.find(aVm);
  if (found == targets_.end()) {
    return;
  }
  found->second.reportedRequests_ = aLoad.running_ + aLoad.waiting_;
  found->second.reportedAt_ = clock_.now();
}

std::uint64_t
TargetPool::bornAt(const state::VmId& aVm) const
{
  const auto found = targets_.find(aVm);
  return found == targets_.end() ? 0 : found->second.bornAtMs_;
}

void
TargetPool::noteLeaving(const state::VmId& aVm)
{
  const std::lock_guard lock(mutex_);
  notices_.noteLeaving(aVm, bornAt(aVm));
}

void
TargetPool::notePause(const state::VmId& aVm, state::Duration aPause)
{
  const std::lock_guard lock(mutex_);
  notices_.notePause(aVm, bornAt(aVm), aPause);
}

} // namespace auburnhaven::coordination
