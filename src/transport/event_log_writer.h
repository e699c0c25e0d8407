// Writes log records as JSON lines without ever waiting for the reader.
#pragma once

#include "state/event_log.h"
#include "state/rate_limiter.h"
#include "state/time_type.h"

#include <cstdint>
#include <mutex>
#include <string>

namespace auburnhaven::transport {

/** Bounds of what is written. */
struct EventLogLimits
{
  double routinePerSecond_ = 40;  ///< Records of routine written in a second.
  double changesPerSecond_ = 400; ///< Records of changes written in a second.
  bool operator==(const EventLogLimits&) const = default;
};

/**
 * Writes each record as one line of JSON to a file descriptor. Records beyond
 * the bounds, and those that the reader does not take at once, are left out and
 * counted; the next line that is written tells their number. Thread-safe; never
 * blocks.
 */
class EventLogWriter : public state::EventLog
{
public:
  /**
   * @param aClock Clock; outlives this object.
   * @param aDescriptor Where to write; is made non-blocking.
   * @param aLimits Bounds.
   */
  EventLogWriter(const state::Clock& aClock,
                 int aDescriptor,
                 EventLogLimits aLimits = {});

  void write(state::LogWeight aWeight,
             std::string_view aPart,
             std::string_view aEvent,
             std::initializer_list<state::LogField> aFields) override;
  /** @return Records left out since the start. */
  std::uint64_t leftOut() const;

private:
  void put(const std::string& aLine);

  const state::Clock& clock_;  ///< Clock.
  const int descriptor_;       ///< Where to write.
  mutable std::mutex mutex_;   ///< Guards the following members.
  state::RateLimiter routine_; ///< Records of routine that may be written.
  state::RateLimiter changes_; ///< Records of changes that may be written.
  std::uint64_t leftOut_ = 0;  ///< Records left out.
  std::uint64_t told_ = 0;     ///< Records left out as told by a line.
  std::string rest_;           ///< Rest of a line that was taken in part.
};

} // namespace auburnhaven::transport
