// Clock that a test advances manually.
#pragma once

#include "state/time_type.h"

namespace auburnhaven::fakes {

/** Manually advanced clock. Not thread-safe. */
class FakeClock : public state::Clock
{
public:
  state::TimePoint now() const override { return now_; }
  state::WallTime wallNow() const override { return wallNow_; }

  /** @param aStep Time by which both clocks advance. */
  void advance(state::Duration aStep)
  {
    now_ += aStep;
    wallNow_ += std::chrono::duration_cast<std::chrono::milliseconds>(aStep);
  }

private:
  state::TimePoint now_{ std::chrono::hours(1) };         ///< Monotonic time.
  state::WallTime wallNow_{ std::chrono::hours(480000) }; ///< Wall time.
};

} // namespace auburnhaven::fakes
