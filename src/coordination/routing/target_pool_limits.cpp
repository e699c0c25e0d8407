// Choice of targets under the limits that they have named.

#include "coordination/routing/target_pool.h"

#include <algorithm>

namespace auburnhaven::coordination {

namespace {

constexpr std::chrono::seconds kPlainPlacementTime(
  1); ///< Time over which requests for plain targets are spread evenly.

} // namespace

void
TargetPool::noteLimit(const state::VmId& aVm, std::optional<double> aPerSecond)
{
  const std::lock_guard lock(mutex_);
  limits_.note({ aVm, aPerSecond, {} }, bornAt(aVm));
}

void
TargetPool::noteLimits(const std::vector<TargetLimit>& aLimits)
{
  const std::lock_guard lock(mutex_);
  for (const TargetLimit& limit : aLimits) {
    limits_.note(limit, bornAt(limit.vm_));
  }
}

std::vector<TargetLimit>
TargetPool::limitsFor(const TargetNeed& aNeed) const
{
  const std::lock_guard lock(mutex_);
  return limits_.known([&](const state::VmId& aVm) {
    const auto target = targets_.find(aVm);
    return target != targets_.end() &&
           target->second.service_ == aNeed.service_ &&
           target->second.model_ == aNeed.model_;
  });
}

bool
TargetPool::hasLimitedTarget(const TargetNeed& aNeed,
                             state::TimePoint aNow) const
{
  return std::any_of(targets_.begin(), targets_.end(), [&](const auto& aEntry) {
    return limits_.isLimited(aEntry.first) &&
           isEligible(aEntry.first, aEntry.second, aNeed, aNow);
  });
}

state::Duration
TargetPool::eraseUnplaceable(std::vector<Candidate>& aCandidates)
{
  state::Duration soonest = state::Duration::max();
  std::erase_if(aCandidates, [&](const Candidate& aCandidate) {
    const state::Duration wait = limits_.placeableIn(*aCandidate.vm_);
    if (wait > state::Duration{}) {
      soonest = std::min(soonest, wait);
    }
    return wait > state::Duration{};
  });
  return soonest;
}

TargetDecision
TargetPool::refuseAtLimit(std::uint32_t aCandidates,
                          state::Duration aWait) const
{
  TargetDecision decision;
  decision.reason_ = RefusalReason::kLimited;
  decision.candidates_ = aCandidates;
  decision.retryAfter_ = std::max(settings_.minRetryAfter_, aWait);
  return decision;
}

TargetDecision
TargetPool::placePlain(const std::vector<Candidate>& aCandidates,
                       state::TimePoint aNow)
{
  const auto loadOf = [&](const Candidate& aCandidate) {
    return (placements_.countSince(*aCandidate.vm_,
                                   aNow - kPlainPlacementTime) +
            1.0) /
           aCandidate.target_->slots_;
  };
  const auto best =
    std::min_element(aCandidates.begin(),
                     aCandidates.end(),
                     [&](const Candidate& aLeft, const Candidate& aRight) {
                       return loadOf(aLeft) < loadOf(aRight);
                     });
  TargetDecision decision;
  decision.candidates_ = static_cast<std::uint32_t>(aCandidates.size());
  if (best != aCandidates.end()) {
    decision.reason_ = RefusalReason::kNone;
    decision.vm_ = *best->vm_;
    placements_.record(*best->vm_, aNow, {});
    limits_.notePlaced(*best->vm_);
  }
  return decision;
}

} // namespace auburnhaven::coordination
