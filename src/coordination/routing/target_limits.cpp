// Rates of requests that targets have named as their limits.

#include "coordination/routing/target_limits.h"

#include "coordination/routing/incarnation_func.h"

#include <algorithm>
#include <chrono>

namespace auburnhaven::coordination {

namespace {

constexpr double kMinPerSecond =
  0.1; ///< Least rate that is used: only a response can end a limit.
constexpr double kMaxPerSecond = 1e6; ///< Above it, a limit limits nothing.
constexpr double kBurstSeconds =
  0.5; ///< Time for which the dispatcher may save up placements.
constexpr double kUndispatchedShare =
  0.25; ///< Part of a limit for requests that the dispatcher does not place.
constexpr std::chrono::minutes kRetention(
  1); ///< Age at which what a target said is dropped.
constexpr std::chrono::seconds kEndedRetention(
  10); ///< The same for a limit that has ended.
constexpr std::size_t kMaxKnown =
  24; ///< Limits that are told at once; they fit into one packet.

} // namespace

TargetLimits::TargetLimits(const state::Clock& aClock)
  : clock_(aClock)
{
}

void
TargetLimits::note(const TargetLimit& aLimit, std::uint64_t aBornAtMs)
{
  pruneExpired();
  const state::TimePoint saidAt = clock_.now() - aLimit.age_;
  const auto found = limits_.find(aLimit.vm_);
  if (found == limits_.end() && !aLimit.perSecond_) {
    return;
  }
  if (found != limits_.end() && found->second.saidAt_ >= saidAt) {
    return;
  }
  Limit& limit = limits_
                   .try_emplace(aLimit.vm_,
                                Limit{ std::nullopt,
                                       {},
                                       aBornAtMs,
                                       state::RateLimiter(clock_),
                                       state::RateLimiter(clock_, 1, 0) })
                   .first->second;
  limit.saidAt_ = saidAt;
  limit.bornAtMs_ = aBornAtMs != 0 ? aBornAtMs : limit.bornAtMs_;
  limit.perSecond_ = aLimit.perSecond_;
  if (limit.perSecond_) {
    limit.perSecond_ =
      std::clamp(*limit.perSecond_, kMinPerSecond, kMaxPerSecond);
  }
  setRates(limit);
}

void
TargetLimits::setRates(Limit& aLimit) const
{
  const double perSecond = aLimit.perSecond_.value_or(0);
  aLimit.placed_.setRate(perSecond, std::max(1.0, perSecond * kBurstSeconds));
  aLimit.sent_.setRate(perSecond * kUndispatchedShare / daemons_, 1);
}

void
TargetLimits::noteIncarnation(const state::VmId& aVm, std::uint64_t aBornAtMs)
{
  noteIncarnationIn(limits_, aVm, aBornAtMs);
}

void
TargetLimits::setDaemons(std::size_t aDaemons)
{
  daemons_ = std::max(1.0, static_cast<double>(aDaemons));
  for (auto& [vm, limit] : limits_) {
    setRates(limit);
  }
}

TargetLimits::Limit*
TargetLimits::find(const state::VmId& aVm)
{
  return isLimited(aVm) ? &limits_.at(aVm) : nullptr;
}

bool
TargetLimits::isLimited(const state::VmId& aVm) const
{
  const auto found = limits_.find(aVm);
  return found != limits_.end() && found->second.perSecond_.has_value();
}

state::Duration
TargetLimits::placeableIn(const state::VmId& aVm)
{
  Limit* const limit = find(aVm);
  return limit == nullptr ? state::Duration{} : limit->placed_.availableIn();
}

void
TargetLimits::notePlaced(const state::VmId& aVm)
{
  if (Limit* const limit = find(aVm)) {
    limit->placed_.take();
  }
}

state::Duration
TargetLimits::sendableIn(const state::VmId& aVm)
{
  Limit* const limit = find(aVm);
  return limit == nullptr ? state::Duration{} : limit->sent_.availableIn();
}

void
TargetLimits::noteSent(const state::VmId& aVm)
{
  if (Limit* const limit = find(aVm)) {
    limit->sent_.take();
  }
}

std::vector<TargetLimit>
TargetLimits::known(const std::function<bool(const state::VmId&)>& aFits) const
{
  const state::TimePoint now = clock_.now();
  std::vector<TargetLimit> known;
  for (const auto& [vm, limit] : limits_) {
    if (aFits(vm)) {
      known.push_back({ vm, limit.perSecond_, now - limit.saidAt_ });
    }
  }
  std::sort(
    known.begin(), known.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.age_ < aRight.age_;
    });
  known.resize(std::min(known.size(), kMaxKnown));
  return known;
}

void
TargetLimits::pruneExpired()
{
  const state::TimePoint now = clock_.now();
  std::erase_if(limits_, [&](const auto& aEntry) {
    const Limit& limit = aEntry.second;
    const state::Duration age = now - limit.saidAt_;
    return age > kRetention || (!limit.perSecond_ && age > kEndedRetention);
  });
}

} // namespace auburnhaven::coordination
