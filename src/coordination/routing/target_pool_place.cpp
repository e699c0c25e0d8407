// Gives places at copies to requests of all daemons, and finds who gives them.

#include "coordination/routing/target_pool.h"

#include "state/digest_func.h"

#include <algorithm>
#include <cmath>

namespace auburnhaven::coordination {

namespace {

constexpr double kOwnZoneSlack =
  0.1; ///< How much fuller than all zones the own zone's copies may be before
       ///< requests go elsewhere; part of the slots.
/** @return Rank of a zone in the choice of the dispatcher of a model. */
std::uint64_t
rankOf(const state::ZoneId& aZone, const state::ModelId& aModel)
{
  return state::stableHash(aZone.value() + '/' + aModel.value());
}

} // namespace

void
TargetPool::setDispatcher(const state::ZoneId& aZone,
                          const state::Endpoint& aEndpoint)
{
  const std::lock_guard lock(mutex_);
  digests_[aZone].dispatcher_ = aEndpoint;
}

std::map<state::ZoneId, TargetPool::ZoneFill>
TargetPool::fillByZone(const TargetNeed& aNeed, state::TimePoint aNow) const
{
  std::map<state::ZoneId, ZoneFill> zones;
  for (const auto& [vm, target] : targets_) {
    if (!mayTake(vm, target, aNeed, aNow)) {
      continue;
    }
    const state::TargetLoad load = loadOf(target, aNow);
    ZoneFill& fill = zones[target.zone_];
    ++fill.copies_;
    fill.slots_ += target.slots_;
    fill.requests_ += load.running_ + load.waiting_;
  }
  return zones;
}

bool
TargetPool::isPooled(const std::map<state::ZoneId, ZoneFill>& aZones) const
{
  std::uint32_t copies = 0;
  for (const auto& [zone, fill] : aZones) {
    copies += fill.copies_;
  }
  return copies <= settings_.sharedDispatcherMaxCopies_;
}

std::optional<state::Endpoint>
TargetPool::dispatcherFor(const TargetNeed& aNeed,
                          const std::optional<state::Endpoint>& aTried)
{
  const std::lock_guard lock(mutex_);
  const state::TimePoint now = clock_.now();
  if (!config_ || aNeed.model_.empty()) {
    return std::nullopt;
  }
  auto zones = fillByZone(aNeed, now);
  const bool pooled = isPooled(zones);
  if (aTried) {
    std::erase_if(zones, [&](const auto& aEntry) {
      const auto digest = digests_.find(aEntry.first);
      return digest == digests_.end() || digest->second.dispatcher_ == aTried;
    });
  }
  const std::optional<state::ZoneId> zone =
    pooled ? poolingZone(aNeed, now) : roomiestZone(zones);
  if (!zone || !hearsZone(*zone, now)) {
    return std::nullopt;
  }
  const auto& dispatcher = digests_.at(*zone).dispatcher_;
  return dispatcher == aTried ? std::nullopt : dispatcher;
}

bool
TargetPool::hearsZone(const state::ZoneId& aZone, state::TimePoint aNow) const
{
  const auto digest = digests_.find(aZone);
  return digest != digests_.end() &&
         aNow - digest->second.takenAt_ < settings_.digestMaxAge_;
}

std::optional<state::ZoneId>
TargetPool::poolingZone(const TargetNeed& aNeed, state::TimePoint aNow) const
{
  std::optional<state::ZoneId> best;
  for (const auto& [zone, digest] : digests_) {
    const bool better =
      !best || rankOf(zone, aNeed.model_) > rankOf(*best, aNeed.model_);
    if (hearsZone(zone, aNow) && better) {
      best = zone;
    }
  }
  return best;
}

std::optional<state::ZoneId>
TargetPool::roomiestZone(const std::map<state::ZoneId, ZoneFill>& aZones)
{
  double requests = 0;
  double slots = 0;
  double rooms = 0;
  for (const auto& [zone, fill] : aZones) {
    requests += fill.requests_;
    slots += fill.slots_;
    rooms += fill.room();
  }
  const auto own = aZones.find(settings_.zone_);
  const bool stays =
    own != aZones.end() && own->second.requests_ / own->second.slots_ <=
                             requests / slots + kOwnZoneSlack;
  if (stays) {
    return own->first;
  }
  double at = randomPart() * rooms;
  for (const auto& [zone, fill] : aZones) {
    at -= fill.room();
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
  const std::optional<ModelTiming> pace =
    config_ ? timingOf(aNeed.service_, aNeed.model_) : std::nullopt;
  if (!pace) {
    return {};
  }
  const bool pooled = isPooled(fillByZone(aNeed, now));
  std::vector<Candidate> all = candidatesFor(aNeed, now);
  std::erase_if(all, [&](const Candidate& aCandidate) {
    return (!pooled && aCandidate.target_->zone_ != settings_.zone_) ||
           !isFresh(aCandidate, aNeed, now);
  });
  for (Candidate& candidate : all) {
    candidate.load_ = placedLoad(candidate, *pace, now);
    candidate.expected_ = placedTime(candidate, aNeed, *pace, now);
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
  book_.note(*best->vm_, now, readingOf(*best, aNeed, *pace));
  return decision;
}

bool
TargetPool::isFresh(const Candidate& aCandidate,
                    const TargetNeed& aNeed,
                    state::TimePoint aNow) const
{
  return !aNeed.hasTried(*aCandidate.vm_) &&
         aCandidate.target_->restsUntil_ <= aNow &&
         notices_.pausedUntil(*aCandidate.vm_) <= aNow;
}

state::TargetLoad
TargetPool::placedLoad(const Candidate& aCandidate,
                       const ModelTiming& aPace,
                       state::TimePoint aNow) const
{
  const Target& target = *aCandidate.target_;
  // Only requests that hold a slot have ended since the report.
  const state::FloatMs age = aNow - target.reportedAt_;
  const double ended =
    std::min(target.reported_, target.slots_) *
    std::min(1.0, age / (aPace.slotTime_ * target.slowness_));
  const auto count =
    static_cast<std::uint32_t>(std::lround(target.reported_ - ended)) +
    book_.countSince(*aCandidate.vm_, target.reportedAt_);
  const std::uint32_t running = std::min(count, target.slots_);
  return { running, count - running, target.slots_ };
}

state::Duration
TargetPool::readingOf(const Candidate& aCandidate,
                      const TargetNeed& aNeed,
                      const ModelTiming& aPace)
{
  return std::chrono::duration_cast<state::Duration>(
    interleavedPrefillTime(*aPace.engine_,
                           *aPace.model_,
                           aCandidate.load_.running_,
                           aNeed.tokens_.prompt_) *
    aCandidate.target_->slowness_);
}

state::Duration
TargetPool::placedTime(const Candidate& aCandidate,
                       const TargetNeed& aNeed,
                       const ModelTiming& aPace,
                       state::TimePoint aNow) const
{
  const state::TargetLoad& load = aCandidate.load_;
  const state::FloatMs wait =
    aPace.slotTime_ * load.waiting_ / std::max(1U, load.slots_);
  // Part of each pass goes to others' prompts, at the rate at which slots are
  // taken.
  const double others =
    prefillShare(*aPace.engine_, *aPace.model_, load.running_);
  // Half of the pass that is under way, and the one that writes the event.
  const state::FloatMs passes =
    decodePassTime(*aPace.engine_, *aPace.model_, load.running_) / 2 +
    decodePassTime(*aPace.engine_, *aPace.model_, load.running_ + 1);
  return book_.backlog(*aCandidate.vm_, aNow) +
         readingOf(aCandidate, aNeed, aPace) +
         std::chrono::duration_cast<state::Duration>(
           (wait + passes / (1 - others)) * aCandidate.target_->slowness_);
}

TargetDecision
TargetPool::take(const TargetNeed& aNeed, const state::VmId& aVm)
{
  const std::lock_guard lock(mutex_);
  const state::TimePoint now = clock_.now();
  const auto found = targets_.find(aVm);
  if (found == targets_.end() || !mayTake(aVm, found->second, aNeed, now)) {
    return {};
  }
  Candidate candidate{
    &found->first, &found->second, loadOf(found->second, now), {}, 0
  };
  return isFresh(candidate, aNeed, now) ? enter(candidate, now)
                                        : TargetDecision();
}

} // namespace auburnhaven::coordination
