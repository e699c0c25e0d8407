// Counters and latency summaries with their text exposition.
#pragma once

#include "state/time_type.h"

#include <oneapi/tbb/concurrent_map.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace auburnhaven::transport {

/** Count that only grows. Thread-safe. */
class Counter
{
public:
  /** @param aCount How much to add. */
  void add(std::uint64_t aCount = 1)
  {
    value_.fetch_add(aCount, std::memory_order_relaxed);
  }
  /** @return The present count. */
  std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

private:
  std::atomic<std::uint64_t> value_{ 0 }; ///< The count.
};

/** Quantiles of a latency, estimated by Boost.Accumulators. Thread-safe. */
class LatencySummary
{
public:
  LatencySummary();
  ~LatencySummary();
  LatencySummary(const LatencySummary&) = delete;
  LatencySummary& operator=(const LatencySummary&) = delete;

  /** @param aLatency One measured latency. */
  void add(state::Duration aLatency);
  /** Quantiles and totals in seconds. */
  struct Values
  {
    double p50_ = 0;          ///< Median.
    double p95_ = 0;          ///< 95th percentile.
    double p99_ = 0;          ///< 99th percentile.
    double sum_ = 0;          ///< Sum of all.
    std::uint64_t count_ = 0; ///< Number of latencies.
  };
  /** @return The present values. */
  Values values() const;

private:
  struct Accumulator;
  mutable std::mutex mutex_;                 ///< Guards the accumulator.
  std::unique_ptr<Accumulator> accumulator_; ///< The library's accumulator.
};

/** All metrics of a daemon by name. Thread-safe; references stay valid. */
class Metrics
{
public:
  /**
   * @param aName Full name with labels, as in the exposition.
   * @return The counter, made when there was none.
   */
  Counter& counter(const std::string& aName);
  /**
   * @param aName Name without labels.
   * @return The summary, made when there was none.
   */
  LatencySummary& latency(const std::string& aName);
  /** Replaces all gauges whose names start with a prefix. */
  void replaceGauges(
    const std::string& aPrefix,
    const std::vector<std::pair<std::string, double>>& aValues);
  /** @return All metrics in the usual text exposition. */
  std::string expose() const;

private:
  template<class Metric>
  using Table = tbb::concurrent_map<std::string, std::unique_ptr<Metric>>;

  Table<Counter> counters_;              ///< Counters by name.
  Table<LatencySummary> latencies_;      ///< Summaries by name.
  mutable std::mutex mutex_;             ///< Guards the gauges.
  std::map<std::string, double> gauges_; ///< Gauges by name.
};

} // namespace auburnhaven::transport
