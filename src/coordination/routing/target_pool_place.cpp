// Places requests of all daemons on replicas, and selects the dispatcher.

#include "coordination/routing/target_pool.h"

#include "state/digest_func.h"

#include <algorithm>
#include <cmath>

namespace auburnhaven::coordination {

namespace {

constexpr double kOwnZoneSlack =
  0.1; ///< How far the utilization of the own zone may exceed that of all
       ///< zones before requests go elsewhere; fraction of the slots.

/** @return Rank of a zone in the choice of the dispatcher for a model, or for a
 * plain service; the zone with the highest rank is chosen. */
std::uint64_t
dispatcherRank(const state::ZoneId& aZone, const TargetNeed& aNeed)
{
  const std::string& name =
    aNeed.model_.empty() ? aNeed.service_.value() : aNeed.model_.value();
  return state::stableHash(aZone.value() + '/' + name);
}

} // namespace

void
TargetPool::setDispatcher(const state::ZoneId& aZone,
                          const state::Endpoint& aEndpoint)
{
  const std::lock_guard lock(mutex_);
  digests_[aZone].dispatcher_ = aEndpoint;
}

std::vector<state::Endpoint>
TargetPool::dispatchers() const
{
  const std::lock_guard lock(mutex_);
  std::vector<state::Endpoint> endpoints;
  for (const auto& [zone, digest] : digests_) {
    const bool known =
      digest.dispatcher_ &&
      std::find(endpoints.begin(), endpoints.end(), *digest.dispatcher_) !=
        endpoints.end();
    if (digest.dispatcher_ && !known && hasFreshDigest(zone, clock_.now())) {
      endpoints.push_back(*digest.dispatcher_);
    }
  }
  return endpoints;
}

std::optional<state::Duration>
TargetPool::silenceLimitOf(const state::VmId& aVm) const
{
  const std::lock_guard lock(mutex_);
  const auto found = targets_.find(aVm);
  if (!config_ || found == targets_.end()) {
    return std::nullopt;
  }
  const Target& target = found->second;
  const auto timing = timingOf(target.service_, target.model_);
  if (!timing) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<state::Duration>(
    silenceLimit(*timing->engine_, *timing->model_) * target.slowness_);
}

void
TargetPool::noteSilence(const state::VmId& aVm, std::uint32_t aStreams)
{
  const std::lock_guard lock(mutex_);
  const auto found = targets_.find(aVm);
  if (found == targets_.end()) {
    return;
  }
  Target& target = found->second;
  const state::TimePoint now = clock_.now();
  if (now - target.silentAt_ > settings_.silenceBackoff_) {
    target.silentStreams_ = 0;
  }
  target.silentAt_ = now;
  target.silentStreams_ += aStreams;
  if (target.silentStreams_ >= settings_.minSilentStreams_) {
    target.backoffUntil_ =
      std::max(target.backoffUntil_, now + settings_.silenceBackoff_);
  }
}

std::map<state::ZoneId, TargetPool::ZoneLoad>
TargetPool::loadByZone(const TargetNeed& aNeed, state::TimePoint aNow) const
{
  std::map<state::ZoneId, ZoneLoad> zones;
  for (const auto& [vm, target] : targets_) {
    if (!isEligible(vm, target, aNeed, aNow)) {
      continue;
    }
    const state::TargetLoad load = loadOf(target, aNow);
    ZoneLoad& zoneLoad = zones[target.zone_];
    ++zoneLoad.copies_;
    zoneLoad.slots_ += target.slots_;
    zoneLoad.requests_ += load.running_ + load.waiting_;
  }
  return zones;
}

bool
TargetPool::usesSharedDispatcher(
  const std::map<state::ZoneId, ZoneLoad>& aZones) const
{
  std::uint32_t copies = 0;
  for (const auto& [zone, zoneLoad] : aZones) {
    copies += zoneLoad.copies_;
  }
  return copies <= settings_.sharedDispatcherMaxCopies_;
}

std::optional<state::Endpoint>
TargetPool::dispatcherFor(const TargetNeed& aNeed,
                          const std::optional<state::Endpoint>& aTried)
{
  const std::lock_guard lock(mutex_);
  const state::TimePoint now = clock_.now();
  if (!config_) {
    return std::nullopt;
  }
  if (aNeed.model_.empty()) {
    return hasLimitedTarget(aNeed, now) ? plainDispatcher(aNeed, aTried, now)
                                        : std::nullopt;
  }
  auto zones = loadByZone(aNeed, now);
  const bool shared = usesSharedDispatcher(zones);
  if (aTried) {
    std::erase_if(zones, [&](const auto& aEntry) {
      const auto digest = digests_.find(aEntry.first);
      return digest == digests_.end() || digest->second.dispatcher_ == aTried;
    });
  }
  const std::optional<state::ZoneId> zone =
    shared ? sharedDispatcherZone(aNeed, now) : pickZoneByRoom(zones);
  if (!zone || !hasFreshDigest(*zone, now)) {
    return std::nullopt;
  }
  const auto& dispatcher = digests_.at(*zone).dispatcher_;
  return dispatcher == aTried ? std::nullopt : dispatcher;
}

std::optional<state::Endpoint>
TargetPool::plainDispatcher(const TargetNeed& aNeed,
                            const std::optional<state::Endpoint>& aTried,
                            state::TimePoint aNow) const
{
  const std::optional<state::ZoneId> zone = sharedDispatcherZone(aNeed, aNow);
  if (!zone) {
    return std::nullopt;
  }
  const auto& dispatcher = digests_.at(*zone).dispatcher_;
  return dispatcher == aTried ? std::nullopt : dispatcher;
}

bool
TargetPool::hasFreshDigest(const state::ZoneId& aZone,
                           state::TimePoint aNow) const
{
  const auto digest = digests_.find(aZone);
  return digest != digests_.end() &&
         aNow - digest->second.takenAt_ < settings_.digestMaxAge_;
}

std::optional<state::ZoneId>
TargetPool::sharedDispatcherZone(const TargetNeed& aNeed,
                                 state::TimePoint aNow) const
{
  std::optional<state::ZoneId> best;
  for (const auto& [zone, digest] : digests_) {
    const bool better =
      !best || dispatcherRank(zone, aNeed) > dispatcherRank(*best, aNeed);
    if (hasFreshDigest(zone, aNow) && better) {
      best = zone;
    }
  }
  return best;
}

std::optional<state::ZoneId>
TargetPool::pickZoneByRoom(const std::map<state::ZoneId, ZoneLoad>& aZones)
{
  double requests = 0;
  double slots = 0;
  double rooms = 0;
  for (const auto& [zone, zoneLoad] : aZones) {
    requests += zoneLoad.requests_;
    slots += zoneLoad.slots_;
    rooms += zoneLoad.freeSlots();
  }
  const auto own = aZones.find(settings_.zone_);
  const bool staysInZone =
    own != aZones.end() && own->second.requests_ / own->second.slots_ <=
                             requests / slots + kOwnZoneSlack;
  if (staysInZone) {
    return own->first;
  }
  double at = randomFraction() * rooms;
  for (const auto& [zone, zoneLoad] : aZones) {
    at -= zoneLoad.freeSlots();
    if (at < 0) {
      return zone;
    }
  }
  return std::nullopt;
}

TargetDecision
TargetPool::place(const TargetNeed& aNeed)
{
  const std::lock_guard lock(mutex_);
  const state::TimePoint now = clock_.now();
  const std::optional<ModelTiming> timing =
    config_ ? timingOf(aNeed.service_, aNeed.model_) : std::nullopt;
  const bool plain = aNeed.model_.empty();
  if (!config_ || (!timing && !plain)) {
    return {};
  }
  const bool shared = plain || usesSharedDispatcher(loadByZone(aNeed, now));
  std::vector<Candidate> all = candidatesFor(aNeed, now);
  std::erase_if(all, [&](const Candidate& aCandidate) {
    return (!shared && aCandidate.target_->zone_ != settings_.zone_) ||
           !isAvailable(aCandidate, aNeed, now);
  });
  const auto available = static_cast<std::uint32_t>(all.size());
  const state::Duration wait = eraseUnplaceable(all);
  if (all.empty() && available > 0) {
    return refuseAtLimit(available, wait);
  }
  if (plain) {
    return placePlain(all, now);
  }
  for (Candidate& candidate : all) {
    candidate.load_ = estimatePlacedLoad(candidate, *timing, now);
    candidate.expected_ = estimatePlacedTime(candidate, aNeed, *timing, now);
  }
  const auto best = std::min_element(
    all.begin(),
    all.end(),
    [](const Candidate& aLeft, const Candidate& aRight) {
      return std::pair(aLeft.expected_, aLeft.load_.running_) <
             std::pair(aRight.expected_, aRight.load_.running_);
    });
  TargetDecision decision;
  decision.candidates_ = static_cast<std::uint32_t>(all.size());
  if (best == all.end()) {
    return decision;
  }
  decision.expected_ = best->expected_;
  decision.load_ = best->load_;
  const state::Duration limit =
    firstEventLimit(aNeed, settings_.dispatchLatencyShare_);
  if (best->expected_ > limit) {
    decision.reason_ = RefusalReason::kTooLate;
    decision.retryAfter_ =
      std::max(settings_.minRetryAfter_, best->expected_ - limit);
    return decision;
  }
  decision.reason_ = RefusalReason::kNone;
  decision.vm_ = *best->vm_;
  placements_.record(*best->vm_, now, prefillTimeOf(*best, aNeed, *timing));
  limits_.notePlaced(*best->vm_);
  return decision;
}

bool
TargetPool::isAvailable(const Candidate& aCandidate,
                        const TargetNeed& aNeed,
                        state::TimePoint aNow) const
{
  return !aNeed.hasTried(*aCandidate.vm_) &&
         aCandidate.target_->backoffUntil_ <= aNow &&
         notices_.pausedUntil(*aCandidate.vm_) <= aNow;
}

state::TargetLoad
TargetPool::estimatePlacedLoad(const Candidate& aCandidate,
                               const ModelTiming& aTiming,
                               state::TimePoint aNow) const
{
  const Target& target = *aCandidate.target_;
  // Only requests that held a slot can have ended since the report.
  const state::FloatMs slotTime = aTiming.slotTime_ * target.slowness_;
  const auto reportAge = loadAgeOf(target, aNow);
  const state::FloatMs age = reportAge ? state::FloatMs(*reportAge) : slotTime;
  const double ended = std::min(target.reportedRequests_, target.slots_) *
                       std::min(1.0, age / slotTime);
  const auto count =
    static_cast<std::uint32_t>(std::lround(target.reportedRequests_ - ended)) +
    placements_.countSince(*aCandidate.vm_, target.reportedAt_);
  const std::uint32_t running = std::min(count, target.slots_);
  return { running, count - running, target.slots_ };
}

state::Duration
TargetPool::prefillTimeOf(const Candidate& aCandidate,
                          const TargetNeed& aNeed,
                          const ModelTiming& aTiming)
{
  return std::chrono::duration_cast<state::Duration>(
    interleavedPrefillTime(*aTiming.engine_,
                           *aTiming.model_,
                           aCandidate.load_.running_,
                           aNeed.tokens_.prompt_) *
    aCandidate.target_->slowness_);
}

state::Duration
TargetPool::estimatePlacedTime(const Candidate& aCandidate,
                               const TargetNeed& aNeed,
                               const ModelTiming& aTiming,
                               state::TimePoint aNow) const
{
  const state::TargetLoad& load = aCandidate.load_;
  const state::FloatMs wait =
    aTiming.slotTime_ * load.waiting_ / std::max(1U, load.slots_);
  // Prefill of other requests takes a fraction of each pass, at the rate at
  // which slots are assigned.
  const double prefillFraction =
    prefillShare(*aTiming.engine_, *aTiming.model_, load.running_);
  // Half of the current pass on average, then the pass that produces the event.
  const state::FloatMs passes =
    decodePassTime(*aTiming.engine_, *aTiming.model_, load.running_) / 2 +
    decodePassTime(*aTiming.engine_, *aTiming.model_, load.running_ + 1);
  return placements_.backlog(*aCandidate.vm_, aNow) +
         prefillTimeOf(aCandidate, aNeed, aTiming) +
         std::chrono::duration_cast<state::Duration>(
           (wait + passes / (1 - prefillFraction)) *
           aCandidate.target_->slowness_);
}

TargetDecision
TargetPool::take(const TargetNeed& aNeed, const state::VmId& aVm)
{
  const std::lock_guard lock(mutex_);
  const state::TimePoint now = clock_.now();
  const auto found = targets_.find(aVm);
  if (found == targets_.end() || !isEligible(aVm, found->second, aNeed, now)) {
    return {};
  }
  Candidate candidate{
    &found->first, &found->second, loadOf(found->second, now), {}, 0
  };
  return isAvailable(candidate, aNeed, now) ? assign(candidate, now)
                                            : TargetDecision();
}

} // namespace auburnhaven::coordination
