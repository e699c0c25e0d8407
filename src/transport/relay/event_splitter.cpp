// Splits a stream of server-sent events into complete events.

#include "transport/relay/event_splitter.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <utility>

namespace auburnhaven::transport {

namespace {

constexpr std::string_view kIdField =
  "id:"; ///< Field with the event identifier.
constexpr std::string_view kHttpVersion =
  "HTTP/1."; ///< Begins the head of a response, and no field.
constexpr std::uint32_t kMaxRepeats =
  64; ///< Events that a target may send once more; one that goes back to an
      ///< earlier event for good sends no others.
constexpr std::size_t kMaxEventEnd =
  3; ///< Bytes of the longest end of an event.
constexpr std::uint64_t kMinUnitSteps =
  2; ///< Steps by one after which a larger one shows that an event is missing.

/** Takes the first line off a text. @return The line without its line feed. */
std::string_view
takeLine(std::string_view& aText)
{
  const std::size_t end = std::min(aText.find('\n'), aText.size());
  const std::string_view line = aText.substr(0, end);
  aText.remove_prefix(std::min(end + 1, aText.size()));
  return line;
}

/** @return Identifier of an event; nothing when it has no such field. */
std::optional<std::string_view>
eventId(std::string_view aEvent)
{
  while (!aEvent.empty()) {
    std::string_view line = takeLine(aEvent);
    if (line.starts_with(kIdField)) {
      line.remove_prefix(kIdField.size());
      const std::size_t first = line.find_first_not_of(' ');
      const std::size_t last = line.find_last_not_of("\r ");
      return first == std::string_view::npos
               ? std::string_view()
               : line.substr(first, last + 1 - first);
    }
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

/** @return Whether a line is empty, apart from its carriage return. */
bool
isBlank(std::string_view aLine)
{
  return aLine.empty() || aLine == "\r";
}

/** @return Whether a line is empty, a comment, or a field with a name. */
bool
isField(std::string_view aLine)
{
  const std::string_view name = aLine.substr(0, aLine.find(':'));
  return isBlank(aLine) ||
         std::all_of(name.begin(), name.end(), [](char aChar) {
           const auto byte = static_cast<unsigned char>(aChar);
           return std::isalnum(byte) != 0 || aChar == '-' || aChar == '_' ||
                  aChar == '\r';
         });
}

/** @return Whether an event has no other lines than comments. */
bool
isComment(std::string_view aEvent)
{
  while (!aEvent.empty()) {
    const std::string_view line = takeLine(aEvent);
    if (!isBlank(line) && !line.starts_with(':')) {
      return false;
    }
  }
  return true;
}

/** @return Whether a text between two empty lines is one event, and not the
 * text of an error, the head of a response, or part of an event that runs into
 * one. */
bool
isEvent(std::string_view aText)
{
  const bool hasId = eventId(aText).has_value();
  const bool returns = aText.substr(0, aText.find('\n')).ends_with('\r');
  while (!aText.empty()) {
    const std::string_view line = takeLine(aText);
    if (line.ends_with('\r') != returns || line.starts_with(kHttpVersion) ||
        (!hasId && !isField(line))) {
      return false;
    }
  }
  return true;
}

} // namespace

EventSplitter::EventSplitter(StreamPosition aPosition)
  : position_(std::move(aPosition))
  , continues_(position_.hasBegun_)
  , lastNumber_(parseNumber(position_.lastId_))
{
}

void
EventSplitter::add(std::string_view aData)
{
  searchedBytes_ -= std::min(searchedBytes_, takenBytes_);
  pending_.erase(0, std::exchange(takenBytes_, 0));
  pending_.append(aData);
}

std::size_t
EventSplitter::findEventEnd()
{
  std::size_t lineEnd =
    pending_.find('\n', std::max(takenBytes_, searchedBytes_));
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
  searchedBytes_ = pending_.size() - std::min(pending_.size(), kMaxEventEnd);
  return std::string::npos;
}

bool
EventSplitter::isResuming() const
{
  return continues_ && newEventCount_ == 0;
}

bool
EventSplitter::isRepeated(std::uint64_t aNumber) const
{
  return lastNumber_ && aNumber <= *lastNumber_;
}

bool
EventSplitter::isGap(std::uint64_t aNumber) const
{
  // Numbers need not be consecutive, so only a change of their steps shows it.
  const bool consecutive =
    !position_.hasOtherSteps_ && position_.unitSteps_ >= kMinUnitSteps;
  return consecutive && lastNumber_ && aNumber != *lastNumber_ + 1;
}

EventSplitter::Verdict
EventSplitter::fail(std::string_view aFault)
{
  fault_ = aFault;
  return Verdict::kFault;
}

EventSplitter::Verdict
EventSplitter::judge(std::string_view aEvent)
{
  if (!isEvent(aEvent)) {
    return fail("stream has text that is no event");
  }
  const std::optional<std::string_view> id = eventId(aEvent);
  if (!id) {
    return judgeWithoutId(aEvent);
  }
  const std::optional<std::uint64_t> number = parseNumber(*id);
  if (number && isRepeated(*number)) {
    return skipRepeated(*number);
  }
  if (isResuming() && !number) {
    return fail("resumed stream has an event without a number");
  }
  if (isResuming() && isGap(*number)) {
    return fail("resumed stream lacks an event");
  }
  noteEvent(*id, number);
  return Verdict::kReturn;
}

EventSplitter::Verdict
EventSplitter::skipRepeated(std::uint64_t aNumber)
{
  // A resumed stream may begin with what the caller has, but only once.
  const bool isRepeat =
    newEventCount_ > 0 || (skippedNumber_ && aNumber <= *skippedNumber_);
  skippedNumber_ = std::max(skippedNumber_.value_or(0), aNumber);
  repeats_ += isRepeat ? 1 : 0;
  return repeats_ > kMaxRepeats ? fail("stream repeats its events")
                                : Verdict::kSkip;
}

EventSplitter::Verdict
EventSplitter::judgeWithoutId(std::string_view aEvent)
{
  const bool comment = isComment(aEvent);
  if (isResuming()) {
    return comment ? Verdict::kSkip
                   : fail("resumed stream has an event without a number");
  }
  position_.hasBegun_ = true;
  if (!comment) {
    ++newEventCount_;
    ++position_.events_;
    position_.isNumbered_ = false;
  }
  return Verdict::kReturn;
}

void
EventSplitter::noteEvent(std::string_view aId,
                         std::optional<std::uint64_t> aNumber)
{
  const bool isFirst = position_.events_ == 0 && position_.lastId_.empty();
  const std::optional<std::uint64_t> before =
    isFirst ? std::optional<std::uint64_t>(0) : lastNumber_;
  if (aNumber && before && *aNumber == *before + 1) {
    ++position_.unitSteps_;
  } else if (!isFirst) {
    position_.hasOtherSteps_ = true;
  }
  ++newEventCount_;
  ++position_.events_;
  position_.hasBegun_ = true;
  position_.isNumbered_ = aNumber.has_value();
  position_.lastId_ = std::string(aId);
  lastNumber_ = aNumber;
}

std::string_view
EventSplitter::next()
{
  while (fault_.empty()) {
    const std::size_t end = findEventEnd();
    if (end == std::string::npos) {
      return {};
    }
    ++eventCount_;
    const std::string_view event =
      std::string_view(pending_).substr(takenBytes_, end - takenBytes_);
    const Verdict verdict = judge(event);
    if (verdict != Verdict::kFault) {
      takenBytes_ = end;
    }
    if (verdict == Verdict::kReturn) {
      return event;
    }
  }
  return {};
}

bool
EventSplitter::goesOn() const
{
  const std::string_view rest = std::string_view(pending_).substr(takenBytes_);
  if (!fault_.empty()) {
    // Events that were there before tell nothing of later ones.
    return repeats_ <= kMaxRepeats;
  }
  if (rest.find_first_not_of("\r\n") == std::string_view::npos) {
    return false;
  }
  // An identifier is known once its line is complete.
  const std::size_t lines = rest.rfind('\n') + 1;
  const std::optional<std::string_view> id = eventId(rest.substr(0, lines));
  const auto number = id ? parseNumber(*id) : std::nullopt;
  return !number || !isRepeated(*number);
}

bool
EventSplitter::endsEarly() const
{
  return newEventCount_ == 0 && skippedNumber_ && lastNumber_ &&
         *skippedNumber_ < *lastNumber_;
}

} // namespace auburnhaven::transport
