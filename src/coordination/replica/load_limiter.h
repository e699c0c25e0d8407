// Limits how often loads from the weight store start.
#pragma once

#include "state/time_type.h"

#include <algorithm>

namespace auburnhaven::coordination {

/** Token bucket for the starts of loads. One thread only. */
class LoadLimiter
{
public:
  /** @param aClock Clock; outlives this object. */
  explicit LoadLimiter(const state::Clock& aClock)
    : clock_(aClock)
    , refilledAt_(aClock.now())
  {
  }

  /**
   * @param aPerSecond Loads that may start in a second.
   * @param aBurst Loads that may start at once.
   */
  void setRate(double aPerSecond, double aBurst)
  {
    perSecond_ = aPerSecond;
    burst_ = aBurst;
  }
  /** Takes the right to start a load. @return Whether there was one. */
  bool take()
  {
    refill();
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

private:
  void refill()
  {
    const state::TimePoint now = clock_.now();
    const double seconds =
      std::chrono::duration<double>(now - refilledAt_).count();
    refilledAt_ = now;
    tokens_ = std::min(burst_, tokens_ + seconds * perSecond_);
  }

  const state::Clock& clock_;   ///< Clock.
  double perSecond_ = 1;        ///< Rate.
  double burst_ = 1;            ///< Most tokens saved.
  double tokens_ = 1;           ///< Tokens at hand.
  state::TimePoint refilledAt_; ///< When they were counted.
};

} // namespace auburnhaven::coordination
