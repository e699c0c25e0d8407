// Splits a stream of server-sent events into complete events.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace auburnhaven::transport {

/**
 * Returns only complete events of a stream, so that a stream that breaks in the
 * middle of an event can be resumed from another target. Events whose numeric
 * identifier is not above the last returned one are skipped as duplicates. Not
 * thread-safe.
 */
class EventSplitter
{
public:
  /** @param aLastId Identifier of the event after which the stream starts;
   * empty when it starts with its first event. */
  explicit EventSplitter(const std::string& aLastId = "");
  /** Appends received bytes. @param aData Next bytes of the stream. */
  void add(std::string_view aData) { pending_.append(aData); }
  /**
   * @return The next complete event, with the empty line that ends it; empty
   * when there is none. Valid until the next call of a non-const function.
   */
  std::string_view next();
  /** @return Whether an incomplete event is buffered. */
  bool hasPartialEvent() const { return partialEventBytes() > 0; }
  /** @return Buffered bytes that have not been returned yet. */
  std::size_t partialEventBytes() const
  {
    return pending_.size() - returnedBytes_;
  }
  /** @return Identifier of the last returned event that had one. */
  const std::optional<std::string>& lastId() const { return lastId_; }
  /** @return Complete events found so far, including skipped duplicates. */
  std::uint64_t eventCount() const { return eventCount_; }

private:
  std::size_t findEventEnd(std::size_t aFrom) const;
  bool isNew(std::string_view aEvent);

  std::string pending_; ///< Buffered bytes, starting with the event that
                        ///< next() returned last.
  std::size_t returnedBytes_ = 0; ///< Size of that event.
  std::uint64_t eventCount_ = 0;  ///< Complete events found.
  std::optional<std::string>
    lastId_; ///< Identifier of the last returned event that had one.
  std::optional<std::uint64_t>
    lastNumber_; ///< lastId_ as a number; nothing when it is not numeric.
};

} // namespace auburnhaven::transport
