// Splits a stream of server-sent events into whole events.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace auburnhaven::transport {

/**
 * Hands out only whole events of a stream, so that a stream that breaks in the
 * middle of an event can go on elsewhere. Events that were handed out before
 * are left out. One thread only.
 */
class EventSplitter
{
public:
  /** Takes bytes of the stream. @param aData The bytes. */
  void add(std::string_view aData) { pending_.append(aData); }
  /**
   * @return The next whole events, one after the other, or empty when there is
   * none; valid until the next call of any function.
   */
  std::string_view next();
  /** Forgets a part of an event, before the stream goes on at another target.
   */
  void discardPartialEvent();
  /** @return Whether a part of an event waits for its rest. */
  bool hasPartialEvent() const { return partialEventBytes() > 0; }
  /** @return Bytes that wait for the rest of their event. */
  std::size_t partialEventBytes() const
  {
    return pending_.size() - returnedBytes_;
  }
  /** @return Identifier of the last event handed out, when it had one. */
  const std::optional<std::string>& lastId() const { return lastId_; }
  /** @return Events that came whole so far, those left out included. */
  std::uint64_t eventCount() const { return eventCount_; }

private:
  std::size_t findEventEnd(std::size_t aFrom) const;
  bool isNew(std::string_view aEvent);

  std::string pending_; ///< Bytes not yet handed out, and those that were last.
  std::size_t returnedBytes_ = 0; ///< Bytes of pending_ that were handed out.
  std::uint64_t eventCount_ = 0;  ///< Events that came whole.
  std::optional<std::string> lastId_;       ///< Last identifier.
  std::optional<std::uint64_t> lastNumber_; ///< The same as a number.
};

} // namespace auburnhaven::transport
