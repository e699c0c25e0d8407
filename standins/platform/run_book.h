// What all workers of the users' platform have run, and what they saw broken.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace auburnhaven::standins {

/** Why a run ended. */
enum class RunEnding : std::uint8_t
{
  kServed,      ///< All was written, or the caller had gone.
  kBrokeOff,    ///< The worker broke off by itself.
  kOrderedAway, ///< The worker was told to leave its copy, which was whole.
};

/** Times of an attempt's runs, in milliseconds of the wall clock; 0 for never.
 */
struct RunTimes
{
  std::int64_t begunMs_ = 0;       ///< Begin of the latest run.
  std::int64_t endedMs_ = 0;       ///< Latest end of a run.
  std::int64_t brokeOffMs_ = 0;    ///< Latest end by the worker itself.
  std::int64_t orderedAwayMs_ = 0; ///< Latest end by an order.
};

/** Runs and breaches of a run of the stand-ins. One thread. */
struct RunBook
{
  std::map<std::string, std::uint32_t> runs_;   ///< Runs by attempt.
  std::map<std::string, std::string> accounts_; ///< Account by attempt.
  std::map<std::string, RunTimes> times_;       ///< Times by attempt.
  std::map<std::string, std::uint32_t>
    arrivals_;                ///< Requests that reached a plain worker, by its
                              ///< name.
  std::uint64_t partial_ = 0; ///< Requests that began in an incomplete copy.
  std::uint64_t taken_ = 0;   ///< Members ordered away from an open copy.
  std::uint64_t repeated_ =
    0; ///< Requests that ran twice though they must not.

  std::uint64_t orderedAway_ = 0; ///< Runs ended by an order.

  /** @return The wall clock in milliseconds. */
  static std::int64_t nowMs()
  {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  }
  /** Notes the begin of a run. @return Runs of the attempt so far. */
  std::uint32_t begin(const std::string& aAttempt)
  {
    times_[aAttempt].begunMs_ = nowMs();
    return ++runs_[aAttempt];
  }
  /** Notes the end of a run. */
  void end(const std::string& aAttempt, RunEnding aEnding)
  {
    RunTimes& times = times_[aAttempt];
    times.endedMs_ = nowMs();
    if (aEnding == RunEnding::kBrokeOff) {
      times.brokeOffMs_ = times.endedMs_;
    } else if (aEnding == RunEnding::kOrderedAway) {
      times.orderedAwayMs_ = times.endedMs_;
      ++orderedAway_;
    }
  }
};

} // namespace auburnhaven::standins
