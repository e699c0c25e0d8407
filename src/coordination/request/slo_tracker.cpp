// Tracks per minute which requests met the service level objective (SLO).

#include "coordination/request/slo_tracker.h"

#include "coordination/request/request_machine.h"

#include <algorithm>
#include <array>

namespace auburnhaven::coordination {

namespace {

constexpr std::uint64_t kPermille = 1000; ///< One, in thousandths.
/** Time from the start of a minute until it is closed. */
constexpr std::chrono::minutes kMinuteCloseDelay{ 2 };

/** Refusal reasons that are caused by the caller. */
constexpr std::array kCallerReasons{
  RefusalReason::kAccountLimit, RefusalReason::kCallerGone,
  RefusalReason::kKeyReused,    RefusalReason::kKeyTooOld,
  RefusalReason::kKeyInvalid,   RefusalReason::kDuplicateInProgress,
};

/** @return Whether the SLO covers a request with this outcome. */
bool
countsTowardSlo(const Outcome& aOutcome)
{
  return std::find(kCallerReasons.begin(),
                   kCallerReasons.end(),
                   aOutcome.reason_) == kCallerReasons.end();
}

} // namespace

std::uint32_t
SloMinute::sharePermille() const
{
  return total_ == 0 ? kPermille
                     : static_cast<std::uint32_t>(met_ * kPermille / total_);
}

std::string
SloMinute::mainCause() const
{
  const auto most = std::max_element(
    causes_.begin(), causes_.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second < aRight.second;
    });
  return most == causes_.end() ? std::string() : most->first;
}

void
SloTracker::configure(const state::Configuration& aConfiguration)
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
SloTracker::record(const SloSample& aSample)
{
  const std::lock_guard lock(mutex_);
  if (!countsTowardSlo(aSample.outcome_) ||
      !promises_.contains(aSample.group_)) {
    return;
  }
  Series& series = series_[{ aSample.group_, aSample.account_ }];
  series.status_.group_ = aSample.group_;
  series.status_.account_ = aSample.account_;
  // A request that completes after its minute was closed counts in the first
  // minute after the closed ones.
  const state::WallTime start = std::max<state::WallTime>(
    series.closedUntil_,
    std::chrono::floor<std::chrono::minutes>(aSample.arrivedAt_));
  SloMinute& minute = series.openMinutes_[start];
  minute.at_ = start;
  ++minute.total_;
  const std::string cause = missCause(aSample);
  if (cause.empty()) {
    ++minute.met_;
  } else {
    ++minute.causes_[cause];
  }
}

std::vector<SloStatus>
SloTracker::sloStatuses(state::WallTime aNow)
{
  const std::lock_guard lock(mutex_);
  std::vector<SloStatus> result;
  for (auto& [key, series] : series_) {
    closeMinutes(series, aNow - kMinuteCloseDelay);
    SloStatus status = series.status_;
    status.promisedPermille_ = promiseOf(key.first).sharePermille_;
    if (!series.openMinutes_.empty()) {
      status.latest_ = series.openMinutes_.rbegin()->second;
    }
    result.push_back(status);
  }
  return result;
}

const state::Promise&
SloTracker::promiseOf(const state::GroupId& aGroup) const
{
  return promises_.at(aGroup);
}

std::string
SloTracker::missCause(const SloSample& aSample) const
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
SloTracker::closeMinutes(Series& aSeries, state::WallTime aBefore) const
{
  SloStatus& status = aSeries.status_;
  const state::Promise& promise = promiseOf(status.group_);
  while (!aSeries.openMinutes_.empty() &&
         aSeries.openMinutes_.begin()->first <= aBefore) {
    const SloMinute& minute = aSeries.openMinutes_.begin()->second;
    ++status.closedMinutes_;
    if (minute.sharePermille() < promise.sharePermille_) {
      ++status.violatedMinutes_;
    }
    if (status.closedMinutes_ == 1 ||
        minute.sharePermille() < status.worst_.sharePermille()) {
      status.worst_ = minute;
    }
    status.latest_ = minute;
    aSeries.closedUntil_ = minute.at_ + std::chrono::minutes(1);
    aSeries.openMinutes_.erase(aSeries.openMinutes_.begin());
  }
}

} // namespace auburnhaven::coordination
