// Clock of the operating system.
#pragma once

#include "state/time_type.h"

#include <ctime>

namespace auburnhaven::transport {

/** The operating system's clocks. Thread-safe. */
class SystemClock : public state::Clock
{
public:
  state::TimePoint now() const override
  {
    // Goes on while the VM is suspended, unlike the steady clock.
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return state::TimePoint(std::chrono::seconds(time.tv_sec) +
                            std::chrono::nanoseconds(time.tv_nsec));
  }
  state::WallTime wallNow() const override
  {
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  }
};

} // namespace auburnhaven::transport
