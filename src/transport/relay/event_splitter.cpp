// Splits a stream of server-sent events into complete events.

#include "transport/relay/event_splitter.h"

#include <charconv>
#include <utility>

namespace auburnhaven::transport {

namespace {

constexpr std::string_view kIdField =
  "id:"; ///< Field with the event identifier.

/** @return Identifier of an event; nothing when it has no such field. */
std::optional<std::string_view>
eventId(std::string_view aEvent)
{
  std::size_t start = 0;
  while (start < aEvent.size()) {
    const std::size_t end = aEvent.find('\n', start);
    std::string_view line = aEvent.substr(start, end - start);
    if (line.starts_with(kIdField)) {
      line.remove_prefix(kIdField.size());
      const std::size_t first = line.find_first_not_of(' ');
      const std::size_t last = line.find_last_not_of("\r ");
      return first == std::string_view::npos
               ? std::string_view()
               : line.substr(first, last + 1 - first);
    }
    if (end == std::string_view::npos) {
      break;
    }
    start = end + 1;
  }
  return std::nullopt;
}

/** @return A text as a number; nothing when it is not a decimal number. */
std::optional<std::uint64_t>
parseNumber(std::string_view aText)
{
  std::uint64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, number);
  const bool complete = parsed.ec == std::errc() && parsed.ptr == end;
  return complete ? std::optional(number) : std::nullopt;
}

} // namespace

EventSplitter::EventSplitter(StreamPosition aPosition)
  : position_(std::move(aPosition))
  , lastNumber_(parseNumber(position_.lastId_))
{
}

std::size_t
EventSplitter::findEventEnd(std::size_t aFrom) const
{
  std::size_t lineEnd = pending_.find('\n', aFrom);
  while (lineEnd != std::string::npos) {
    std::size_t next = lineEnd + 1;
    if (next < pending_.size() && pending_[next] == '\r') {
      ++next;
    }
    if (next < pending_.size() && pending_[next] == '\n') {
      return next + 1;
    }
    lineEnd = pending_.find('\n', lineEnd + 1);
  }
  return std::string::npos;
}

bool
EventSplitter::isNew(std::string_view aEvent)
{
  const std::optional<std::string_view> id = eventId(aEvent);
  if (!id) {
    return true;
  }
  const std::optional<std::uint64_t> number = parseNumber(*id);
  if (number && lastNumber_ && *number <= *lastNumber_) {
    return false;
  }
  position_.lastId_ = std::string(*id);
  lastNumber_ = number;
  return true;
}

std::string_view
EventSplitter::next()
{
  pending_.erase(0, returnedBytes_);
  returnedBytes_ = 0;
  for (;;) {
    const std::size_t end = findEventEnd(0);
    if (end == std::string::npos) {
      return {};
    }
    ++eventCount_;
    if (isNew(std::string_view(pending_).substr(0, end))) {
      position_.hasBegun_ = true;
      returnedBytes_ = end;
      return std::string_view(pending_).substr(0, end);
    }
    pending_.erase(0, end);
  }
}

} // namespace auburnhaven::transport
