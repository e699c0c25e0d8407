// Chooses the target of a request, or refuses it.

#include "coordination/routing/target_pool.h"

#include "state/routing_func.h"

#include <algorithm>
#include <utility>

namespace auburnhaven::coordination {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kShortRetryAfter(100); ///< Least wait that is told.
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
                       TargetPoolSettings aSettings,
                       RandomSource aRandom)
  : clock_(aClock)
  , settings_(aSettings)
  , random_(std::move(aRandom))
{
}

void
TargetPool::setView(state::RoutingConfigPtr aConfig,
                    const state::InstanceMapPtr& aInstances)
{
  const std::lock_guard lock(mutex_);
  config_ = std::move(aConfig);
  for (auto& [vm, target] : targets_) {
    target.usable_ = false;
  }
  for (const auto& [vm, instance] : *aInstances) {
    const bool takes =
      takesRequests(instance) && !losesMember(instance, *aInstances);
    if (!takes && !targets_.contains(vm)) {
      continue;
    }
    Target& target = targets_[vm];
    target.service_ = instance.service_;
    target.endpoint_ = instance.endpoint_;
    target.slots_ = std::max(1U, instance.slots_);
    target.usable_ = takes;
    if (instance.engine_ && target.model_ != instance.engine_->model_) {
      target.model_ = instance.engine_->model_;
      target.others_ = 0;
    }
  }
  std::erase_if(targets_, [](const auto& aEntry) {
    return !aEntry.second.usable_ && aEntry.second.own_ == 0;
  });
}

bool
TargetPool::fits(const Target& aTarget, const TargetNeed& aNeed) const
{
  return aTarget.usable_ && aTarget.service_ == aNeed.service_ &&
         aTarget.model_ == aNeed.model_;
}

state::TargetLoad
TargetPool::loadOf(const Target& aTarget, state::TimePoint aNow) const
{
  const bool trusted = aNow - aTarget.reportedAt_ < settings_.reportTrust_;
  const std::uint32_t total = aTarget.own_ + (trusted ? aTarget.others_ : 0);
  const std::uint32_t running = std::min(total, aTarget.slots_);
  return { running, total - running, aTarget.slots_ };
}

state::Duration
TargetPool::expectedTime(const Target& aTarget,
                         const TargetNeed& aNeed,
                         const state::TargetLoad& aLoad) const
{
  const state::ServiceSpec* service =
    state::findService(*config_, aNeed.service_);
  const state::ModelSpec* model =
    service != nullptr && service->engine_
      ? state::findModel(*service->engine_, aTarget.model_)
      : nullptr;
  if (model != nullptr) {
    return std::chrono::duration_cast<state::Duration>(
      firstEventTime(*service->engine_, *model, aLoad, aNeed.tokens_.prompt_));
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
  std::vector<Target*> candidates;
  std::vector<std::pair<const state::VmId*, Target*>> open;
  for (auto& [vm, target] : targets_) {
    if (!fits(target, aNeed)) {
      continue;
    }
    candidates.push_back(&target);
    const bool tried =
      std::find(aNeed.excluded_.begin(), aNeed.excluded_.end(), vm) !=
      aNeed.excluded_.end();
    if (!tried && target.restsUntil_ <= now) {
      open.emplace_back(&vm, &target);
    }
  }
  const auto limit =
    std::min(aNeed.timeLeft_,
             std::chrono::duration_cast<state::Duration>(
               std::chrono::duration<double, std::nano>(aNeed.latencyTarget_) *
               settings_.patience_));
  TargetDecision best;
  for (std::size_t sampled = 0; !open.empty(); ++sampled) {
    const bool found = best.reason_ == RefusalReason::kNone;
    if (sampled >= settings_.samples_ && found) {
      break;
    }
    const std::size_t index = random_() % open.size();
    const auto [vm, target] = open[index];
    open.erase(open.begin() + static_cast<std::ptrdiff_t>(index));
    const state::TargetLoad load = loadOf(*target, now);
    const state::Duration expected = expectedTime(*target, aNeed, load);
    if (expected <= limit && (!found || expected < best.expected_)) {
      best = { RefusalReason::kNone,
               *vm,
               target->endpoint_,
               load,
               now - target->reportedAt_,
               expected,
               {},
               static_cast<std::uint32_t>(candidates.size()) };
    }
  }
  if (best.reason_ != RefusalReason::kNone) {
    return refuse(candidates, aNeed, now);
  }
  ++targets_.at(best.vm_).own_;
  return best;
}

TargetDecision
TargetPool::refuse(const std::vector<Target*>& aCandidates,
                   const TargetNeed& aNeed,
                   state::TimePoint aNow) const
{
  TargetDecision decision;
  decision.candidates_ = static_cast<std::uint32_t>(aCandidates.size());
  decision.retryAfter_ = kNoTargetRetryAfter;
  if (aCandidates.empty()) {
    return decision;
  }
  decision.reason_ = RefusalReason::kFull;
  decision.expected_ = state::Duration::max();
  for (const Target* target : aCandidates) {
    const state::TargetLoad load = loadOf(*target, aNow);
    const state::Duration expected = expectedTime(*target, aNeed, load);
    if (expected < decision.expected_) {
      decision.expected_ = expected;
      decision.load_ = load;
    }
  }
  const state::Duration over = decision.expected_ - aNeed.latencyTarget_;
  decision.retryAfter_ = std::max<state::Duration>(kShortRetryAfter, over);
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
  Target& target = found->second;
  target.own_ -= std::min(target.own_, 1U);
  if (aResult == SendResult::kFailed) {
    target.restsUntil_ = clock_.now() + settings_.failurePause_;
  } else if (aResult == SendResult::kRejected) {
    target.restsUntil_ = clock_.now() + settings_.fullPause_;
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
  const std::uint32_t total = aLoad.running_ + aLoad.waiting_;
  found->second.others_ = total - std::min(total, found->second.own_);
  found->second.reportedAt_ = clock_.now();
}

} // namespace auburnhaven::coordination
