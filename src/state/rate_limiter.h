// Limits how often something is done.
#pragma once

#include "state/time_type.h"

#include <algorithm>

namespace auburnhaven::state {

/** Token bucket that time fills. One thread only. */
class RateLimiter
{
public:
  /**
   * Starts full.
   * @param aClock Clock; outlives this object.
   * @param aPerSecond How often in a second.
   * @param aBurst How often at once.
   */
  explicit RateLimiter(const Clock& aClock,
                       double aPerSecond = 1,
                       double aBurst = 1)
    : clock_(aClock)
    , perSecond_(aPerSecond)
    , burst_(aBurst)
    , tokens_(aBurst)
    , refilledAt_(aClock.now())
  {
  }

  /**
   * @param aPerSecond How often in a second from now on.
   * @param aBurst How often at once from now on.
   */
  void setRate(double aPerSecond, double aBurst)
  {
    perSecond_ = aPerSecond;
    burst_ = aBurst;
  }
  /** Takes the right to do it once. @return Whether there was one. */
  bool take()
  {
    refill();
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

  /** @return Time until take() succeeds; zero when it would now, and the
   * longest time when the rate is zero. */
  Duration availableIn()
  {
    refill();
    if (tokens_ >= 1) {
      return {};
    }
    if (perSecond_ <= 0) {
      return Duration::max();
    }
    // Rounded up, so that the token is there after this time.
    return std::chrono::ceil<std::chrono::milliseconds>(
      std::chrono::duration<double>((1 - tokens_) / perSecond_));
  }

  /**
   * Takes the right to do several at once, which may borrow from the time to
   * come.
   * @param aCount How many.
   * @return Whether no right is owed already.
   */
  bool takeMany(double aCount)
  {
    refill();
    if (tokens_ <= 0) {
      return false;
    }
    tokens_ -= aCount;
    return true;
  }

private:
  void refill()
  {
    const TimePoint now = clock_.now();
    const double seconds =
      std::chrono::duration<double>(now - refilledAt_).count();
    refilledAt_ = now;
    tokens_ = std::min(burst_, tokens_ + seconds * perSecond_);
  }

  const Clock& clock_;   ///< Clock.
  double perSecond_;     ///< Rate.
  double burst_;         ///< Most tokens saved.
  double tokens_;        ///< Tokens at hand.
  TimePoint refilledAt_; ///< When they were counted.
};

} // namespace auburnhaven::state
