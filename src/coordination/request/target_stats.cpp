// What this daemon has seen of one target.

#include "coordination/request/target_stats.h"

#include <algorithm>
#include <utility>

namespace auburnhaven::coordination {

namespace {

constexpr state::Duration kFirstShun =
  std::chrono::milliseconds(500); ///< Pause after the first failures.
constexpr std::uint32_t kMaxShunDoublings = 4; ///< Longest pause is 8 s.
constexpr std::int64_t kSampleShare = 8; ///< A sample counts for one eighth.
constexpr state::Duration kSampleLife =
  std::chrono::seconds(20); ///< Age at which a target is tried again.

/** @return Nanoseconds of a point in time. */
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
TargetStats::finished(WorkResult aEnd, state::TimePoint aNow)
{
  --outstanding_;
  if (aEnd == WorkResult::kDone) {
    failures_ = 0;
    shunnedUntil_ = 0;
  } else if (aEnd == WorkResult::kFailed) {
    const std::uint32_t doublings = std::min(failures_++, kMaxShunDoublings);
    shunnedUntil_ = nanos(aNow + kFirstShun * (1U << doublings));
  }
}

void
TargetStats::sample(state::Duration aUnit, state::TimePoint aNow)
{
  // Racing samples may lose one of them, which the mean tolerates.
  const bool old = nanos(aNow) - sampledAt_.load() > kSampleLife.count();
  const std::int64_t mean = old ? 0 : unitNanos_.load();
  const std::int64_t unit = std::max<std::int64_t>(1, aUnit.count());
  unitNanos_ = mean == 0 ? unit : mean + (unit - mean) / kSampleShare;
  sampledAt_ = nanos(aNow);
}

state::TimePoint
TargetStats::backoffUntil() const
{
  return state::TimePoint(state::Duration(shunnedUntil_.load()));
}

state::Duration
TargetStats::unitTime(state::TimePoint aNow) const
{
  const bool old = nanos(aNow) - sampledAt_.load() > kSampleLife.count();
  // One request at a time finds out whether a slow target has recovered.
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
    ownAtReport_ = outstanding();
  }
  const std::uint32_t own = ownAtReport_.load();
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
OutstandingWork::finish(WorkResult aEnd, state::TimePoint aNow)
{
  if (stats_) {
    stats_->finished(aEnd, aNow);
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
