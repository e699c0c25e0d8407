// Load, speed and failures of one target as observed by this daemon.

#include "coordination/request/target_stats.h"

#include <algorithm>
#include <utility>

namespace auburnhaven::coordination {

namespace {

constexpr state::Duration kInitialBackoff =
  std::chrono::milliseconds(500); ///< Backoff after the first failure.
constexpr std::uint32_t kMaxBackoffDoublings =
  4;                                       ///< Limits the backoff to 8 s.
constexpr std::int64_t kSampleDivisor = 8; ///< A sample weighs 1/8 in the mean.
constexpr state::Duration kSampleLifetime =
  std::chrono::seconds(20); ///< Age at which the speed is probed again.

/** @return Nanoseconds since the epoch of the clock. */
std::int64_t
nanos(state::TimePoint aTime)
{
  return aTime.time_since_epoch().count();
}

} // namespace

void
TargetStats::started()
{
  ++outstanding_;
}

void
TargetStats::finished(WorkResult aResult, state::TimePoint aNow)
{
  --outstanding_;
  if (aResult == WorkResult::kDone) {
    consecutiveFailures_ = 0;
    backoffUntil_ = 0;
  } else if (aResult == WorkResult::kFailed) {
    const std::uint32_t doublings =
      std::min(consecutiveFailures_++, kMaxBackoffDoublings);
    backoffUntil_ = nanos(aNow + kInitialBackoff * (1U << doublings));
  }
}

void
TargetStats::sample(state::Duration aUnit, state::TimePoint aNow)
{
  // A concurrent call may lose a sample, which the mean tolerates.
  const bool old = nanos(aNow) - sampledAt_.load() > kSampleLifetime.count();
  const std::int64_t mean = old ? 0 : unitNanos_.load();
  const std::int64_t unit = std::max<std::int64_t>(1, aUnit.count());
  unitNanos_ = mean == 0 ? unit : mean + (unit - mean) / kSampleDivisor;
  sampledAt_ = nanos(aNow);
}

state::TimePoint
TargetStats::backoffUntil() const
{
  return state::TimePoint(state::Duration(backoffUntil_.load()));
}

state::Duration
TargetStats::unitTime(state::TimePoint aNow) const
{
  const bool old = nanos(aNow) - sampledAt_.load() > kSampleLifetime.count();
  // After the sample expires, one request at a time probes whether a slow
  // target has recovered.
  const bool probe = old && outstanding() == 0;
  return state::Duration(probe ? 0 : unitNanos_.load());
}

std::uint32_t
TargetStats::estimateExternalWork(std::uint32_t aReported,
                                  state::TimePoint aReportedAt)
{
  std::int64_t known = reportedAt_.load();
  const std::int64_t at = nanos(aReportedAt);
  if (at > known && reportedAt_.compare_exchange_strong(known, at)) {
    ownWorkAtReport_ = outstanding();
  }
  const std::uint32_t own = ownWorkAtReport_.load();
  return aReported > own ? aReported - own : 0;
}

OutstandingWork::OutstandingWork(TargetStatsPtr aStats)
  : stats_(std::move(aStats))
{
  if (stats_) {
    stats_->started();
  }
}

OutstandingWork::~OutstandingWork()
{
  finish(WorkResult::kAbandoned, {});
}

OutstandingWork&
OutstandingWork::operator=(OutstandingWork&& aOther) noexcept
{
  if (this != &aOther) {
    finish(WorkResult::kAbandoned, {});
    stats_ = std::move(aOther.stats_);
  }
  return *this;
}

void
OutstandingWork::finish(WorkResult aResult, state::TimePoint aNow)
{
  if (stats_) {
    stats_->finished(aResult, aNow);
    stats_.reset();
  }
}

void
OutstandingWork::sample(state::Duration aUnit, state::TimePoint aNow)
{
  if (stats_) {
    stats_->sample(aUnit, aNow);
  }
}

} // namespace auburnhaven::coordination
