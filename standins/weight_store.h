// Stand-in for the rate-limited store of model weights.
#pragma once

#include "fault_controls.h"

#include <chrono>
#include <cstdint>
#include <mutex>

namespace auburnhaven::standins {

/** Admits loads of weights at a limited rate. Thread-safe. */
class WeightStore
{
public:
  /** @param aLoadsPerSecond Loads that may start in a second, above 0. */
  explicit WeightStore(double aLoadsPerSecond);
  /** @return When the next load may start; each call takes one place. */
  std::chrono::steady_clock::time_point takePlace();
  /** @param aExchange The call to answer; GET /control shows the loads. */
  void handle(Exchange& aExchange);

private:
  std::mutex mutex_;                           ///< Guards the members below.
  std::chrono::nanoseconds space_;             ///< Time between two starts.
  std::chrono::steady_clock::time_point next_; ///< Start of the next load.
  std::uint64_t loads_ = 0;                    ///< Places taken.
};

} // namespace auburnhaven::standins
