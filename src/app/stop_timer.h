// Times of a planned stop, measured from its signal.
#pragma once

#include "state/time_type.h"

#include <chrono>
#include <functional>

namespace auburnhaven::app {

/** When the phases of a planned stop end, from its signal. */
struct StopTimes
{
  state::Duration refuseAt_; ///< New requests are refused from then on.
  state::Duration giveUpAt_; ///< Requests still in flight get an error.
  bool operator==(const StopTimes&) const = default;
};

/**
 * Plans a stop. However short its limit is, requests that were accepted last
 * have half of the time to end. Thread-safe.
 * @param aBalancerLag How long callers still come after readiness fails.
 * @param aLimit Time from the signal to the end of the process; not negative.
 * @return The times.
 */
StopTimes
planStop(state::Duration aBalancerLag, state::Duration aLimit);

/**
 * Waits until times that count from the signal of a planned stop, however long
 * each sleep takes, and records the real duration of each phase. Used by one
 * thread.
 */
class StopTimer
{
public:
  using Sleep =
    std::function<void(state::Duration)>; ///< Sleeps at least so long.

  /**
   * Make it as soon as the signal has come.
   * @param aClock Clock; outlives this object.
   * @param aSleep Sleeps.
   */
  StopTimer(const state::Clock& aClock, Sleep aSleep);

  /** @return Time since the signal. */
  state::Duration elapsed() const { return clock_.now() - startedAt_; }
  /** Sleeps until a time. @param aSinceSignal Time since the signal. */
  void sleepUntil(state::Duration aSinceSignal);
  /**
   * Waits until a condition holds.
   * @param aCondition The condition; asked at least once.
   * @param aSinceSignal Latest time, since the signal.
   * @param aHold How long it must hold.
   * @return Whether it held so long in time.
   */
  bool waitFor(const std::function<bool()>& aCondition,
               state::Duration aSinceSignal,
               state::Duration aHold = {});
  /** Ends a phase. @return Its duration; the next one begins now. */
  state::Duration endPhase();

private:
  const state::Clock& clock_;        ///< Clock.
  const Sleep sleep_;                ///< Sleeps.
  const state::TimePoint startedAt_; ///< When the signal came.
  state::TimePoint phaseAt_;         ///< When the present phase began.
};

} // namespace auburnhaven::app
