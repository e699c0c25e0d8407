// Share of requests within the promise, minute by minute.

#include "coordination/request/promise_tracker.h"

#include "coordination/request/request_machine.h"

#include <algorithm>
#include <array>

namespace auburnhaven::coordination {

namespace {

constexpr std::uint64_t kPermille = 1000; ///< Thousandths in one.
constexpr std::chrono::minutes kOpenTime{
  2
}; ///< Time from its start after which a minute is over.

/** Reasons that lie with the caller. */
constexpr std::array kCallerReasons{
  RefusalReason::kAccountLimit, RefusalReason::kCallerGone,
  RefusalReason::kKeyReused,    RefusalReason::kKeyTooOld,
  RefusalReason::kKeyInvalid,   RefusalReason::kDuplicateInProgress,
};

/** @return Whether a request counts for the promise. */
bool
counts(const Outcome& aOutcome)
{
  return std::find(kCallerReasons.begin(),
                   kCallerReasons.end(),
                   aOutcome.reason_) == kCallerReasons.end();
}

} // namespace

std::uint32_t
PromiseMinute::sharePermille() const
{
  return total_ == 0 ? kPermille
                     : static_cast<std::uint32_t>(kept_ * kPermille / total_);
}

std::string
PromiseMinute::mainCause() const
{
  const auto most = std::max_element(
    causes_.begin(), causes_.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second < aRight.second;
    });
  return most == causes_.end() ? std::string() : most->first;
}

void
PromiseTracker::configure(const state::Configuration& aConfiguration)
{
  const std::lock_guard lock(mutex_);
  promises_.clear();
  for (const auto& [id, group] : aConfiguration.groups_) {
    promises_[id] = group.promise_;
  }
  std::erase_if(series_, [this](const auto& aItem) {
    return !promises_.contains(aItem.first.first);
  });
}

void
PromiseTracker::record(const PromiseSample& aSample)
{
  const std::lock_guard lock(mutex_);
  if (!counts(aSample.outcome_) || !promises_.contains(aSample.group_)) {
    return;
  }
  Series& series = series_[{ aSample.group_, aSample.account_ }];
  series.standing_.group_ = aSample.group_;
  series.standing_.account_ = aSample.account_;
  // What ends after its minute was closed counts in the next one.
  const state::WallTime at = std::max<state::WallTime>(
    series.closedUntil_,
    std::chrono::floor<std::chrono::minutes>(aSample.arrivedAt_));
  PromiseMinute& minute = series.open_[at];
  minute.at_ = at;
  ++minute.total_;
  const std::string cause = causeOf(aSample);
  if (cause.empty()) {
    ++minute.kept_;
  } else {
    ++minute.causes_[cause];
  }
}

std::vector<PromiseStanding>
PromiseTracker::standings(state::WallTime aNow)
{
  const std::lock_guard lock(mutex_);
  std::vector<PromiseStanding> result;
  for (auto& [key, series] : series_) {
    closeMinutes(series, aNow - kOpenTime);
    PromiseStanding standing = series.standing_;
    standing.promisedPermille_ = promiseOf(key.first).sharePermille_;
    if (!series.open_.empty()) {
      standing.latest_ = series.open_.rbegin()->second;
    }
    result.push_back(standing);
  }
  return result;
}

const state::Promise&
PromiseTracker::promiseOf(const state::GroupId& aGroup) const
{
  return promises_.at(aGroup);
}

std::string
PromiseTracker::causeOf(const PromiseSample& aSample) const
{
  const state::Promise& promise = promiseOf(aSample.group_);
  if (aSample.outcome_.kind_ != OutcomeKind::kAnswered) {
    return refusalName(aSample.outcome_.reason_);
  }
  if (aSample.firstToken_ > promise.firstToken_) {
    const bool waited = aSample.queued_ * 2 > aSample.firstToken_;
    return waited ? "waited-for-admission" : "slow-first-token";
  }
  return aSample.betweenTokens_ > promise.betweenTokens_ ? "slow-tokens" : "";
}

void
PromiseTracker::closeMinutes(Series& aSeries, state::WallTime aBefore) const
{
  PromiseStanding& standing = aSeries.standing_;
  const state::Promise& promise = promiseOf(standing.group_);
  while (!aSeries.open_.empty() && aSeries.open_.begin()->first <= aBefore) {
    const PromiseMinute& minute = aSeries.open_.begin()->second;
    ++standing.minutes_;
    if (minute.sharePermille() < promise.sharePermille_) {
      ++standing.broken_;
    }
    if (standing.minutes_ == 1 ||
        minute.sharePermille() < standing.worst_.sharePermille()) {
      standing.worst_ = minute;
    }
    standing.latest_ = minute;
    aSeries.closedUntil_ = minute.at_ + std::chrono::minutes(1);
    aSeries.open_.erase(aSeries.open_.begin());
  }
}

} // namespace auburnhaven::coordination
