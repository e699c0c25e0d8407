// Load, speed and failures of one target as observed by this daemon.
#pragma once

#include "state/time_type.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>

namespace auburnhaven::coordination {

/** How work on a target ended. */
enum class WorkResult : std::uint8_t
{
  kDone,      ///< The complete answer was received.
  kFailed,    ///< Cut short, timed out, or the target was unreachable.
  kAbandoned, ///< Cancelled by this daemon, or refused by the target.
};

/**
 * Outstanding work of this daemon on one target, and the target's observed
 * speed and failures. Thread-safe.
 */
class TargetStats
{
public:
  /** Counts work as started. */
  void started();
  /**
   * Counts work as ended. A failure puts the target into backoff, with a delay
   * that doubles with each consecutive failure up to a maximum; completed work
   * ends the backoff.
   * @param aResult How the work ended.
   * @param aNow Current time.
   */
  void finished(WorkResult aResult, state::TimePoint aNow);
  /**
   * Adds a sample to the mean time per unit of work.
   * @param aUnit Time for one unit of work: between two tokens, or for one
   * call.
   * @param aNow Current time.
   */
  void sample(state::Duration aUnit, state::TimePoint aNow);
  /** @return Number of started and unfinished units of work. */
  std::uint32_t outstanding() const { return outstanding_.load(); }
  /** @return End of the backoff; in the past when there is none. */
  state::TimePoint backoffUntil() const;
  /**
   * @param aNow Current time.
   * @return Mean time per unit of work. Zero when there is no sample, or when
   * the last sample is old and no outstanding work would yield a new one.
   */
  state::Duration unitTime(state::TimePoint aNow) const;
  /**
   * Estimates the load on the target that other daemons cause.
   * @param aReported Load that the target reported, including this daemon's.
   * @param aReportedAt When the target reported it.
   * @return Reported load minus this daemon's outstanding work when the report
   * was first seen; never negative.
   */
  std::uint32_t estimateExternalWork(std::uint32_t aReported,
                                     state::TimePoint aReportedAt);

private:
  std::atomic<std::uint32_t> outstanding_ = 0; ///< Outstanding work.
  std::atomic<std::int64_t> unitNanos_ =
    0; ///< Mean time per unit of work in nanoseconds; 0 without a sample.
  std::atomic<std::int64_t> sampledAt_ = 0;    ///< Time of the last sample.
  std::atomic<std::int64_t> backoffUntil_ = 0; ///< End of the backoff.
  std::atomic<std::uint32_t> consecutiveFailures_ =
    0; ///< Failures since the last completed work.
  std::atomic<std::int64_t> reportedAt_ = 0; ///< Time of the last load report.
  std::atomic<std::uint32_t> ownWorkAtReport_ =
    0; ///< Outstanding work when the last load report was first seen.
};

using TargetStatsPtr = std::shared_ptr<TargetStats>; ///< Shared statistics.

/**
 * Handle for work on a target. The work counts as outstanding until finish() or
 * the destruction of the handle, which reports it as abandoned. Movable; used
 * by one thread at a time.
 */
class OutstandingWork
{
public:
  OutstandingWork() = default;
  /** @param aStats Target on which the work starts; null for none. */
  explicit OutstandingWork(TargetStatsPtr aStats);
  ~OutstandingWork();
  OutstandingWork(OutstandingWork&& aOther) noexcept = default;
  OutstandingWork& operator=(OutstandingWork&& aOther) noexcept;
  OutstandingWork(const OutstandingWork&) = delete;
  OutstandingWork& operator=(const OutstandingWork&) = delete;
  /**
   * Ends the work; later calls have no effect.
   * @param aResult How the work ended.
   * @param aNow Current time.
   */
  void finish(WorkResult aResult, state::TimePoint aNow);
  /**
   * Adds a sample of the target's speed.
   * @param aUnit Time between two tokens, or for the whole call.
   * @param aNow Current time.
   */
  void sample(state::Duration aUnit, state::TimePoint aNow);

private:
  TargetStatsPtr stats_; ///< Target's statistics; null after the work ended.
};

} // namespace auburnhaven::coordination
