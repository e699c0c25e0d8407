// Monotonic time and the clock interface.
#pragma once

#include <chrono>
#include <cstdint>

namespace auburnhaven::state {

using Duration = std::chrono::nanoseconds; ///< A span of time.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock,
                                          Duration>; ///< Monotonic time.
using WallTime =
  std::chrono::time_point<std::chrono::system_clock,
                          std::chrono::milliseconds>; ///< Wall time, only for
                                                      ///< people, schedules and
                                                      ///< retention.

/** @return Whole milliseconds of a duration, rounded towards zero. Thread-safe.
 */
inline std::int64_t
countMs(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

/** Source of time. Implementations are safe to call from any thread. */
class Clock
{
public:
  virtual ~Clock() = default;
  /** @return The monotonic time of this process. */
  virtual TimePoint now() const = 0;
  /** @return The wall clock time, never used to order events of two processes.
   */
  virtual WallTime wallNow() const = 0;
};

} // namespace auburnhaven::state
