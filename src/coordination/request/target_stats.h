// What this daemon has seen of one target.
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
  kDone,      ///< Whole answer.
  kFailed,    ///< Cut short, timed out or not reachable.
  kAbandoned, ///< Cancelled by this daemon, or refused by the target.
};

/** Own outstanding work and observed speed of one target. Thread-safe. */
class TargetStats
{
public:
  /** Notes that work was started. */
  void started();
  /**
   * Notes that work ended. A failure shuns the target for a while, which
   * doubles with each further failure in a row.
   * @param aEnd How.
   * @param aNow Present time.
   */
  void finished(WorkResult aEnd, state::TimePoint aNow);
  /**
   * Takes a sample of its speed.
   * @param aUnit Time for one unit of work: between two tokens, or for one
   * call.
   * @param aNow Present time.
   */
  void sample(state::Duration aUnit, state::TimePoint aNow);
  /** @return Work started and not finished. */
  std::uint32_t outstanding() const { return outstanding_.load(); }
  /** @return Until when it should get no new work. */
  state::TimePoint backoffUntil() const;
  /**
   * @param aNow Present time.
   * @return Mean time of one unit; zero when there is no sample, or when the
   * last one is old and no work is under way that would bring another.
   */
  state::Duration unitTime(state::TimePoint aNow) const;
  /**
   * Estimates the work of others on the target.
   * @param aReported Work that it reported, own work included.
   * @param aReportedAt When it reported.
   * @return Reported work less own work at that time.
   */
  std::uint32_t estimateExternalWork(std::uint32_t aReported,
                                     state::TimePoint aReportedAt);

private:
  std::atomic<std::uint32_t> outstanding_ = 0; ///< Work under way.
  std::atomic<std::int64_t> unitNanos_ = 0; ///< Mean time of a unit, 0: none.
  std::atomic<std::int64_t> sampledAt_ = 0; ///< Time of the last sample.
  std::atomic<std::int64_t> shunnedUntil_ = 0; ///< Gets no work before.
  std::atomic<std::uint32_t> failures_ = 0;    ///< Failures in a row.
  std::atomic<std::int64_t> reportedAt_ = 0;   ///< Time of the last report.
  std::atomic<std::uint32_t> ownAtReport_ = 0; ///< Own work at that time.
};

using TargetStatsPtr = std::shared_ptr<TargetStats>; ///< Shared statistics.

/**
 * Work under way on a target; counts as outstanding from its start until
 * finish() or its destruction, which counts as abandoned. Movable; each object
 * belongs to one thread at a time.
 */
class OutstandingWork
{
public:
  OutstandingWork() = default;
  /** @param aStats Target on which the work starts. */
  explicit OutstandingWork(TargetStatsPtr aStats);
  ~OutstandingWork();
  OutstandingWork(OutstandingWork&& aOther) noexcept = default;
  OutstandingWork& operator=(OutstandingWork&& aOther) noexcept;
  OutstandingWork(const OutstandingWork&) = delete;
  OutstandingWork& operator=(const OutstandingWork&) = delete;
  /**
   * Ends the work; later calls do nothing.
   * @param aEnd How it ended.
   * @param aNow Present time.
   */
  void finish(WorkResult aEnd, state::TimePoint aNow);
  /**
   * Takes a sample of the target's speed.
   * @param aUnit Time between two tokens, or of the whole call.
   * @param aNow Present time.
   */
  void sample(state::Duration aUnit, state::TimePoint aNow);

private:
  TargetStatsPtr stats_; ///< The target; none when ended.
};

} // namespace auburnhaven::coordination
