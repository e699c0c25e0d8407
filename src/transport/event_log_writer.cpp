// Writes log records as JSON lines without ever waiting for the reader.

#include "transport/event_log_writer.h"

#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <unistd.h>

namespace auburnhaven::transport {

EventLogWriter::EventLogWriter(const state::Clock& aClock,
                               int aDescriptor,
                               EventLogLimits aLimits)
  : clock_(aClock)
  , descriptor_(aDescriptor)
  , routine_(aClock, aLimits.routinePerSecond_, aLimits.routinePerSecond_)
  , changes_(aClock, aLimits.changesPerSecond_, aLimits.changesPerSecond_)
{
  const int flags = fcntl(descriptor_, F_GETFL);
  if (flags >= 0) {
    fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
  }
}

std::uint64_t
EventLogWriter::leftOut() const
{
  const std::lock_guard lock(mutex_);
  return leftOut_;
}

void
EventLogWriter::write(state::LogWeight aWeight,
                      std::string_view aPart,
                      std::string_view aEvent,
                      std::initializer_list<state::LogField> aFields)
{
  const std::lock_guard lock(mutex_);
  const bool routine = aWeight == state::LogWeight::kRoutine;
  if (!(routine ? routine_ : changes_).take()) {
    ++leftOut_;
    return;
  }
  nlohmann::ordered_json record;
  record["time_ms"] = clock_.wallNow().time_since_epoch().count();
  record["part"] = aPart;
  record["event"] = aEvent;
  for (const state::LogField& field : aFields) {
    std::visit(
      [&](const auto& aValue) { record[std::string(field.name_)] = aValue; },
      field.value_);
  }
  if (leftOut_ > told_) {
    record["left_out"] = leftOut_ - told_;
    told_ = leftOut_;
  }
  put(record.dump(
        -1, ' ', false, nlohmann::ordered_json::error_handler_t::replace) +
      '\n');
}

void
EventLogWriter::put(const std::string& aLine)
{
  // A line is written whole or left out, but for one that the reader took in
  // part: its rest goes first.
  if (!rest_.empty()) {
    const ssize_t written = ::write(descriptor_, rest_.data(), rest_.size());
    rest_.erase(0, written > 0 ? static_cast<std::size_t>(written) : 0);
  }
  if (!rest_.empty()) {
    ++leftOut_;
    return;
  }
  const ssize_t written = ::write(descriptor_, aLine.data(), aLine.size());
  if (written < 0) {
    ++leftOut_;
  } else if (static_cast<std::size_t>(written) < aLine.size()) {
    rest_ = aLine.substr(static_cast<std::size_t>(written));
  }
}

} // namespace auburnhaven::transport
