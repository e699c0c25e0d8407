// Splits a stream of server-sent events into complete events.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace auburnhaven::transport {

/** How far a caller's stream of events has come, for the target that is to
 * continue it. */
struct StreamPosition
{
  std::string lastId_; ///< Identifier of the last event that the caller has;
                       ///< empty for none.
  std::uint64_t events_ = 0;    ///< Events that the caller has.
  std::uint64_t unitSteps_ = 0; ///< Events whose number is the one before plus
                                ///< one.
  bool hasOtherSteps_ = false; ///< Whether the number of another event was not.
  bool isNumbered_ = true; ///< Whether the last event has a number, so that the
                           ///< next one can be told from a repeated one.
  bool isTorn_ = false;   ///< Whether a target broke off within the next event.
  bool hasBegun_ = false; ///< Whether the caller has the head of the response.
  std::uint32_t status_ = 0; ///< Status code in that head.
  std::string mediaType_;    ///< Media type in that head.
  bool operator==(const StreamPosition&) const = default;
};

/**
 * Returns only complete events of a stream, so that a stream that breaks in the
 * middle of an event can be resumed from another target. Events whose numeric
 * identifier is not above the last returned one are skipped as duplicates. Text
 * that is no event, and an event that cannot be the next one of a resumed
 * stream, end the stream with a fault; so does a target that sends again and
 * again what it has sent before. Not thread-safe.
 */
class EventSplitter
{
public:
  /** @param aPosition What the caller has before the first byte. */
  explicit EventSplitter(StreamPosition aPosition = {});
  /** Appends received bytes. @param aData Next bytes of the stream. */
  void add(std::string_view aData);
  /**
   * @return The next complete event, with the empty line that ends it; empty
   * when there is none. Valid until the next call of a non-const function.
   */
  std::string_view next();
  /** @return Why there are no further events; empty without a fault. */
  const std::string& fault() const { return fault_; }
  /** @return Whether an incomplete event is buffered. */
  bool hasPartialEvent() const { return partialEventBytes() > 0; }
  /** @return Whether the stream goes on beyond the last returned event: part of
   * a later one has arrived, or there is a fault other than repeated events in
   * its place. */
  bool goesOn() const;
  /** @return Whether the stream, if it is whole, ends before the last event
   * that the caller had from another target. */
  bool endsEarly() const;
  /** @return Buffered bytes that have not been returned yet. */
  std::size_t partialEventBytes() const
  {
    return pending_.size() - takenBytes_;
  }
  /** @return What the caller has when it has all returned events. */
  const StreamPosition& position() const { return position_; }
  /** @return Complete events found so far, including skipped duplicates. */
  std::uint64_t eventCount() const { return eventCount_; }
  /** @return Events returned so far, without comments. */
  std::uint64_t newEventCount() const { return newEventCount_; }

private:
  /** What becomes of a complete event. */
  enum class Verdict : std::uint8_t
  {
    kReturn, ///< It is the next event.
    kSkip,   ///< The caller has it, or needs it not.
    kFault,  ///< It ends the stream.
  };

  std::size_t findEventEnd();
  Verdict judge(std::string_view aEvent);
  Verdict judgeWithoutId(std::string_view aEvent);
  Verdict skipRepeated(std::uint64_t aNumber);
  Verdict fail(std::string_view aFault);
  bool isResuming() const;
  bool isGap(std::uint64_t aNumber) const;
  bool isRepeated(std::uint64_t aNumber) const;
  void noteEvent(std::string_view aId, std::optional<std::uint64_t> aNumber);

  std::string pending_;             ///< Received bytes.
  std::size_t takenBytes_ = 0;      ///< Of these, the first ones that belong to
                                    ///< events which were returned or skipped.
  std::size_t searchedBytes_ = 0;   ///< Of these, the first ones that hold no
                                    ///< further end of an event.
  std::uint64_t eventCount_ = 0;    ///< Complete events found.
  std::uint64_t newEventCount_ = 0; ///< Events returned, without comments.
  StreamPosition position_;         ///< What the caller has.
  const bool continues_; ///< Whether another target began the stream.
  std::optional<std::uint64_t>
    lastNumber_; ///< Number of the last event that the caller has; nothing
                 ///< when it is not numeric.
  std::optional<std::uint64_t>
    skippedNumber_;           ///< Largest number of a skipped event.
  std::uint32_t repeats_ = 0; ///< Events that the target had sent before.
  std::string fault_;         ///< Why there are no further events.
};

} // namespace auburnhaven::transport
