// Times of a planned stop, measured from its signal.

#include "app/stop_timer.h"

#include <algorithm>
#include <utility>

namespace auburnhaven::app {

namespace {

constexpr std::chrono::milliseconds kPoll(20); ///< Between two checks.
constexpr state::Duration kEndTime =
  std::chrono::milliseconds(500); ///< For the errors and the end of threads.
constexpr int kEndPart = 4; ///< Of a short limit, a quarter serves for this.

} // namespace

StopTimes
planStop(state::Duration aBalancerLag, state::Duration aLimit)
{
  const state::Duration giveUpAt =
    aLimit - std::min(kEndTime, aLimit / kEndPart);
  return { std::min(aBalancerLag, giveUpAt / 2), giveUpAt };
}

StopTimer::StopTimer(const state::Clock& aClock, Sleep aSleep)
  : clock_(aClock)
  , sleep_(std::move(aSleep))
  , startedAt_(aClock.now())
  , phaseAt_(startedAt_)
{
}

void
StopTimer::sleepUntil(state::Duration aSinceSignal)
{
  for (state::Duration left = aSinceSignal - elapsed(); left.count() > 0;
       left = aSinceSignal - elapsed()) {
    sleep_(left);
  }
}

bool
StopTimer::waitFor(const std::function<bool()>& aCondition,
                   state::Duration aSinceSignal,
                   state::Duration aHold)
{
  state::Duration heldFrom = elapsed();
  for (;;) {
    const bool holds = aCondition();
    const state::Duration now = elapsed();
    if (!holds) {
      heldFrom = now;
    } else if (now - heldFrom >= aHold) {
      return true;
    }
    if (now >= aSinceSignal) {
      return false;
    }
    sleep_(std::min<state::Duration>(kPoll, aSinceSignal - now));
  }
}

state::Duration
StopTimer::endPhase()
{
  const state::TimePoint now = clock_.now();
  return now - std::exchange(phaseAt_, now);
}

} // namespace auburnhaven::app
