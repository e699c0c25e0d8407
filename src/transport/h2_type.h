// Limits and events of HTTP/2 sessions.
#pragma once

#include "transport/http_client_type.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace auburnhaven::transport {

using H2StreamId = std::int32_t;         ///< Identifier of a stream.
using H2Fields = std::vector<HttpField>; ///< Header lines in order.

/** Which side of a connection a session is. */
enum class H2Role : std::uint8_t
{
  kClient, ///< Has dialled and opens streams.
  kServer, ///< Has accepted.
};

/** How a stream ended. */
enum class H2Close : std::uint8_t
{
  kWhole,   ///< Both sides ended it.
  kRefused, ///< The other side certainly did not act on it.
  kBroken,  ///< Reset, or the connection broke.
};

/** Limits of a session. */
struct H2Limits
{
  std::uint32_t maxStreams_ = 1000; ///< Open streams from the other side.
  std::uint32_t maxFieldBytes_ = 16 * 1024; ///< Header lines of a stream.
  std::int32_t streamWindow_ = 256 * 1024;  ///< Unconsumed bytes of a stream.
  std::int32_t sessionWindow_ = 4 * 1024 * 1024; ///< Of the whole session.
  std::chrono::milliseconds pingAfter_{ 5000 };  ///< Silence until a ping.
  std::chrono::milliseconds deadAfter_{ 12000 }; ///< Silence until the end.
  bool operator==(const H2Limits&) const = default;
};

/** Takes the events of a session, on its thread. */
class H2Events
{
public:
  virtual ~H2Events() = default;
  /**
   * Header lines arrived: a request, a response or trailers.
   * @param aStream The stream.
   * @param aFields The lines.
   */
  virtual void onFields(H2StreamId aStream, const H2Fields& aFields) = 0;
  /**
   * Data arrived; it counts against the windows until consume().
   * @param aStream The stream.
   * @param aData The data.
   */
  virtual void onData(H2StreamId aStream, std::string_view aData) = 0;
  /** The other side has ended its half. @param aStream The stream. */
  virtual void onEnd(H2StreamId aStream) = 0;
  /**
   * A stream is gone; nothing more comes of it.
   * @param aStream The stream.
   * @param aClose How it ended.
   */
  virtual void onStreamClosed(H2StreamId aStream, H2Close aClose) = 0;
  /** All data queued on a stream was framed. @param aStream The stream. */
  virtual void onDrained(H2StreamId /*aStream*/) {}
  /** The session is gone, after its streams. @param aReason Text for people. */
  virtual void onSessionClosed(const std::string& aReason) = 0;
};

} // namespace auburnhaven::transport
