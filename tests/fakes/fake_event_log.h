// Log that keeps the events written to it.
#pragma once

#include "state/event_log.h"

#include <algorithm>
#include <string>
#include <vector>

namespace auburnhaven::fakes {

/** Keeps the events written to it, without their values. Not thread-safe. */
class FakeEventLog : public state::EventLog
{
public:
  void write(state::LogWeight /*aWeight*/,
             std::string_view aPart,
             std::string_view aEvent,
             std::initializer_list<state::LogField> /*aFields*/) override
  {
    events_.push_back(std::string(aPart) + ": " + std::string(aEvent));
  }

  /** @return Number of events that read "part: event". */
  std::size_t count(const std::string& aEvent) const
  {
    return static_cast<std::size_t>(
      std::count(events_.begin(), events_.end(), aEvent));
  }

  std::vector<std::string> events_; ///< "part: event" in order.
};

} // namespace auburnhaven::fakes
