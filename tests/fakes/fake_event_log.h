// Log that keeps the events written to it.
#pragma once

#include "state/event_log.h"

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

  std::vector<std::string> events_; ///< "part: event" in order.
};

} // namespace auburnhaven::fakes
