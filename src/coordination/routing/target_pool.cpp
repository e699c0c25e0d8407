// Chooses the target of a request, or refuses it.

#include "coordination/routing/target_pool.h"

#include "state/routing_func.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace auburnhaven::coordination {

namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kUnlimitedConnections = 64; ///< Where none is stated.
constexpr milliseconds kNoTargetRetryAfter(
  700); ///< Wait that is told while no target serves.

/** @return Whether an instance takes new requests. */
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

/** @return A load when half of those that end between two digests have left:
 * what a request meets on average. */
state::TargetLoad
drained(state::TargetLoad aLoad, double aLeaving)
{
  const auto left = static_cast<std::uint32_t>(aLeaving / 2);
  const std::uint32_t waiting = std::min(aLoad.waiting_, left);
  aLoad.waiting_ -= waiting;
  return aLoad;
}

/** @return Whether a copy has a member that is about to stop. */
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
{
}

void
TargetPool::setView(state::RoutingConfigPtr aConfig,
                    const state::InstanceMapPtr& aInstances)
{
  const std::lock_guard lock(mutex_);
  config_ = std::move(aConfig);
  for (auto& [vm, target] : targets_) {
    target.registered_ = false;
    target.leaving_ = false;
  }
  for (const auto& [vm, instance] : *aInstances) {
    notices_.noteIncarnation(vm, instance.bornAtMs_);
    const bool takes =
      takesRequests(instance) && !losesMember(instance, *aInstances);
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
    target.leaving_ = instance.leaving_;
    if (takes && instance.engine_) {
      target.model_ = instance.engine_->model_;
    }
  }
  const state::TimePoint now = clock_.now();
  std::erase_if(targets_, [&](const auto& aEntry) {
    return !isUsable(aEntry.second, now) && aEntry.second.own_ == 0;
  });
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
  const state::ServiceSpec* service =
    state::findService(*config_, aDigest.service_);
  const std::uint32_t slots =
    service != nullptr && service->engine_ ? service->engine_->batchSlots_ : 1;
  for (const CopyLoad& copy : aDigest.copies_) {
    Target& target = targets_[copy.head_];
    target.service_ = aDigest.service_;
    target.zone_ = aDigest.zone_;
    target.model_ = copy.model_;
    target.endpoint_ = copy.endpoint_;
    target.slots_ = std::max(1U, slots);
    target.digest_ = state.number_;
    target.draining_ = copy.draining_;
    target.slowness_ = copy.slowness_;
    if (copy.asOf_ > target.reportedAt_) {
      target.reported_ = copy.running_ + copy.waiting_;
      target.reportedAt_ = copy.asOf_;
    }
  }
  shareRoom(aDigest.zone_);
}

void
TargetPool::setDaemons(std::size_t aDaemons)
{
  const std::lock_guard lock(mutex_);
  daemons_ = std::max<std::size_t>(1, aDaemons);
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
TargetPool::leavingOf(const Target& aTarget,
                      const state::TargetLoad& aLoad,
                      const std::optional<ModelTiming>& aPace) const
{
  return aPace ? aLoad.running_ * (state::FloatMs(settings_.digestPeriod_) /
                                   (aPace->slotTime_ * aTarget.slowness_))
               : 0;
}

state::TargetLoad
TargetPool::presentLoad(const Target& aTarget,
                        const state::TargetLoad& aReported,
                        const Surroundings& aAround)
{
  if (!aAround.pace_) {
    return aReported;
  }
  const state::FloatMs age = aAround.now_ - aTarget.reportedAt_;
  const double stays = std::clamp(
    1 - age / (aAround.pace_->slotTime_ * aTarget.slowness_), 0.0, 1.0);
  const double total = aReported.running_ + aReported.waiting_;
  const double mean = aAround.fill_ * aTarget.slots_;
  const auto present =
    static_cast<std::uint32_t>(std::lround(total * stays + mean * (1 - stays)));
  const std::uint32_t running = std::min(present, aTarget.slots_);
  return { running, present - running, aTarget.slots_ };
}

double
TargetPool::roomOf(const Target& aTarget,
                   const state::TargetLoad& aLoad,
                   double aLeaving) const
{
  const double limit = aTarget.slots_ + settings_.queueRoom_;
  const double total = aLoad.running_ + aLoad.waiting_;
  return std::max(0.0, limit - total + aLeaving);
}

double
TargetPool::weightOf(const Target& aTarget,
                     const state::TargetLoad& aLoad,
                     double aLeaving) const
{
  const double room = roomOf(aTarget, aLoad, aLeaving);
  const double slowness = aTarget.slowness_ * aTarget.slowness_;
  if (aTarget.model_.empty()) {
    const double idle =
      std::max(1.0, static_cast<double>(aTarget.slots_) - aLoad.running_);
    return room * idle / slowness;
  }
  // Prompts are read one after the other, so what delays a first event is how
  // many requests came of late, not how many run.
  const double filled =
    std::min(1.0, room / (settings_.roomCap_ * aTarget.slots_));
  return filled * filled / slowness;
}

std::uint32_t
TargetPool::keptConnections(const state::ServiceId& aService) const
{
  const state::ServiceSpec* service = state::findService(*config_, aService);
  if (service == nullptr || service->maxConnections_ == 0) {
    return kUnlimitedConnections;
  }
  // The other half is for connections in use.
  return static_cast<std::uint32_t>(service->maxConnections_ / 2 / daemons_);
}

void
TargetPool::shareRoom(const state::ZoneId& aZone)
{
  const state::TimePoint now = clock_.now();
  std::map<state::ModelId, double> rooms;
  for (const auto& [vm, target] : targets_) {
    if (target.zone_ == aZone && !target.model_.empty() &&
        isUsable(target, now)) {
      const state::TargetLoad load = loadOf(target, now);
      const auto pace = timingOf(target.service_, target.model_);
      rooms[target.model_] +=
        roomOf(target, load, leavingOf(target, load, pace));
    }
  }
  for (const auto& [model, room] : rooms) {
    const double part =
      room / static_cast<double>(daemons_) * settings_.quotaSlack_;
    const double luck = randomPart();
    double& quota = quotas_[{ aZone, model }];
    // Parts of less than one request are saved up, or most would be lost.
    quota = part >= 1 ? std::floor(part + luck) : std::min(1.0, quota + part);
  }
}

bool
TargetPool::mayTake(const state::VmId& aVm,
                    const Target& aTarget,
                    const TargetNeed& aNeed,
                    state::TimePoint aNow) const
{
  return fits(aTarget, aNeed, aNow) && !notices_.isLeaving(aVm);
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
           mayTake(vm, target, aNeed, now) && notices_.pausedUntil(vm) <= now;
  });
}

std::vector<TargetPool::Candidate>
TargetPool::candidatesFor(const TargetNeed& aNeed, state::TimePoint aNow)
{
  std::vector<Candidate> candidates;
  for (auto& [vm, target] : targets_) {
    if (mayTake(vm, target, aNeed, aNow)) {
      candidates.push_back({ &vm, &target, loadOf(target, aNow), {}, 0 });
    }
  }
  return candidates;
}

double
TargetPool::fillOf(const std::vector<Candidate>& aCandidates)
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
TargetPool::mayEnter(const Target& aTarget, double aFill) const
{
  if (aTarget.model_.empty() || aFill < settings_.openAdmissionLoad_) {
    return true;
  }
  const auto quota = quotas_.find({ aTarget.zone_, aTarget.model_ });
  return quota == quotas_.end() || quota->second >= 1;
}

std::optional<bool>
TargetPool::isListed(const Target& aTarget, state::TimePoint aNow) const
{
  const auto digest = digests_.find(aTarget.zone_);
  const bool young = digest != digests_.end() &&
                     aNow - digest->second.takenAt_ < settings_.digestMaxAge_;
  if (aTarget.model_.empty() || !young) {
    return std::nullopt;
  }
  if (aTarget.digest_ == digest->second.number_) {
    return true;
  }
  return digest->second.complete_ ? std::optional(false) : std::nullopt;
}

bool
TargetPool::isUsable(const Target& aTarget, state::TimePoint aNow) const
{
  if (aTarget.leaving_) {
    return false;
  }
  const std::optional<bool> listed = isListed(aTarget, aNow);
  return listed ? *listed && !aTarget.draining_ : aTarget.registered_;
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
TargetPool::fits(const Target& aTarget,
                 const TargetNeed& aNeed,
                 state::TimePoint aNow) const
{
  return aTarget.service_ == aNeed.service_ && aTarget.model_ == aNeed.model_ &&
         isUsable(aTarget, aNow);
}

void
TargetPool::noteChange(Target& aTarget, state::TimePoint aNow, int aChange)
{
  std::erase_if(aTarget.changes_, [&](const auto& aEntry) {
    return aEntry.first < aTarget.reportedAt_;
  });
  aTarget.changes_.emplace_back(aNow, aChange);
}

state::TargetLoad
TargetPool::loadOf(const Target& aTarget, state::TimePoint aNow) const
{
  std::int64_t total = aTarget.own_;
  if (aNow - aTarget.reportedAt_ < settings_.reportMaxAge_) {
    total = aTarget.reported_;
    for (const auto& [at, change] : aTarget.changes_) {
      total += at > aTarget.reportedAt_ ? change : 0;
    }
    total = std::max<std::int64_t>(total, aTarget.own_);
  }
  const auto count = static_cast<std::uint32_t>(total);
  const std::uint32_t running = std::min(count, aTarget.slots_);
  return { running, count - running, aTarget.slots_ };
}

state::Duration
TargetPool::expectedTime(const Target& aTarget,
                         const TargetNeed& aNeed,
                         const state::TargetLoad& aLoad,
                         const std::optional<ModelTiming>& aPace)
{
  if (aPace) {
    return std::chrono::duration_cast<state::Duration>(
      firstEventTime(
        *aPace->engine_, *aPace->model_, aLoad, aNeed.tokens_.prompt_) *
      aTarget.slowness_);
  }
  // Plain services state no pace: an equal part of the aim for each request.
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
  const Surroundings around{ now,
                             fillOf(all),
                             timingOf(aNeed.service_, aNeed.model_) };
  std::vector<Candidate> open;
  std::vector<Candidate> resting;
  for (Candidate& candidate : all) {
    const Target& target = *candidate.target_;
    candidate.load_ = presentLoad(target, candidate.load_, around);
    const double leaving = leavingOf(target, candidate.load_, around.pace_);
    candidate.expected_ = expectedTime(
      target, aNeed, drained(candidate.load_, leaving), around.pace_);
    const bool tried = aNeed.hasTried(*candidate.vm_);
    const bool enters =
      candidate.expected_ <= limit && mayEnter(target, around.fill_);
    const bool rests = notices_.pausedUntil(*candidate.vm_) > now;
    if (!tried && enters && !rests) {
      candidate.weight_ = weightOf(target, candidate.load_, leaving);
      (target.restsUntil_ <= now ? open : resting).push_back(candidate);
    }
  }
  if (open.empty() && resting.empty()) {
    return refuse(all, aNeed);
  }
  // A target that failed lately is still better than a refusal.
  TargetDecision decision = enter(pick(open.empty() ? resting : open), now);
  decision.candidates_ = static_cast<std::uint32_t>(all.size());
  return decision;
}

TargetDecision
TargetPool::enter(const Candidate& aChosen, state::TimePoint aNow)
{
  Target& target = *aChosen.target_;
  ++target.own_;
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
  decision.loadAge_ = aNow - target.reportedAt_;
  decision.expected_ = aChosen.expected_;
  decision.keptConnections_ = keptConnections(target.service_);
  return decision;
}

state::Duration
TargetPool::firstEventLimit(const TargetNeed& aNeed, double aPatience)
{
  return std::min(
    aNeed.timeLeft_,
    std::chrono::duration_cast<state::Duration>(
      std::chrono::duration<double, std::nano>(aNeed.latencyTarget_) *
      aPatience));
}

double
TargetPool::randomPart()
{
  constexpr double kRandomRange = 1ULL << 53U;
  return static_cast<double>(random_() >> 11U) / kRandomRange;
}

const TargetPool::Candidate&
TargetPool::pick(const std::vector<Candidate>& aCandidates)
{
  double sum = 0;
  for (const Candidate& candidate : aCandidates) {
    sum += candidate.weight_;
  }
  double at = randomPart() * sum;
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
TargetPool::refuse(const std::vector<Candidate>& aCandidates,
                   const TargetNeed& aNeed) const
{
  TargetDecision decision;
  decision.candidates_ = static_cast<std::uint32_t>(aCandidates.size());
  decision.retryAfter_ = kNoTargetRetryAfter;
  if (aCandidates.empty()) {
    return decision;
  }
  const state::TimePoint now = clock_.now();
  state::Duration rest = state::Duration::max();
  decision.expected_ = state::Duration::max();
  for (const Candidate& candidate : aCandidates) {
    rest = std::min(rest, notices_.pausedUntil(*candidate.vm_) - now);
    if (candidate.expected_ < decision.expected_) {
      decision.expected_ = candidate.expected_;
      decision.load_ = candidate.load_;
    }
  }
  if (rest > state::Duration{}) {
    decision.reason_ = RefusalReason::kPaused;
    decision.retryAfter_ = std::max(settings_.minRetryAfter_, rest);
    return decision;
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
  target.own_ -= std::min(target.own_, 1U);
  noteChange(target, now, -1);
  if (aResult == SendResult::kFailed) {
    target.restsUntil_ = now + settings_.failureBackoff_;
  } else if (aResult == SendResult::kRejected) {
    target.restsUntil_ = now + settings_.rejectionBackoff_;
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
  found->second.reported_ = aLoad.running_ + aLoad.waiting_;
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
TargetPool::notePause(const state::VmId& aVm, state::Duration aRest)
{
  const std::lock_guard lock(mutex_);
  notices_.notePause(aVm, bornAt(aVm), aRest);
}

} // namespace auburnhaven::coordination
