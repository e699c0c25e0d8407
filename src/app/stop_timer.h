// Times of a planned stop, measured from its signal.
#pragma once

#include "state/time_type.h"

#include <chrono>
#include <functional>

namespace auburnhaven::app {

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
