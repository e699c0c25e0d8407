// Requests of the load client and how they ended.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace auburnhaven::standins {

using LoadTime = std::chrono::system_clock::time_point; ///< Wall clock, which
                                                        ///< the schedule uses.

/** Kind of a request; each has a route of its own. */
enum class LoadKind : std::uint8_t
{
  kStream,  ///< A stream that may be resumed.
  kLookup,  ///< May run more than once.
  kConfirm, ///< Must not run twice.
};

/** One client attempt. */
struct LoadRequest
{
  LoadKind kind_ = LoadKind::kLookup; ///< Its kind.
  std::string attempt_;               ///< Its identifier.
  std::string model_;                 ///< Model of a stream.
  std::uint32_t events_ = 0;          ///< Events of a stream.
  std::string body_;                  ///< Body.
  std::uint32_t earlier_ = 0;         ///< Earlier attempts of the same request.
  std::size_t daemon_ = 0;            ///< Daemon it was sent to.
  LoadTime sentAt_;                   ///< When its last byte was written.
};

/** How an attempt ended for the client. */
enum class LoadEnd : std::uint8_t
{
  kSuccess,  ///< A whole, correct 2xx answer.
  kRefused,  ///< A status that promises that it never runs.
  kDenied,   ///< Another 3xx or 4xx.
  kFailed,   ///< A whole 5xx that promises nothing.
  kWrong,    ///< Bytes that are not this request's answer.
  kClosed,   ///< The connection ended in order, without a whole answer.
  kReset,    ///< The connection was reset without a whole answer.
  kNoAnswer, ///< The client gave up waiting.
  kBehind,   ///< The answer to the request before it ended the connection.
};

/** Number of values of LoadEnd. */
inline constexpr std::size_t kLoadEnds = 9;

/** An attempt with its end. */
struct LoadOutcome
{
  LoadRequest request_;              ///< The attempt.
  LoadEnd end_ = LoadEnd::kNoAnswer; ///< How it ended.
  LoadTime endedAt_;                 ///< When.
  std::uint32_t status_ = 0;         ///< Status; 0 without a header.
  std::uint32_t events_ = 0;         ///< Events that came.
  std::size_t bytes_ = 0;            ///< Bytes of the answer that came.
  std::string detail_;               ///< What is wrong.
  std::chrono::milliseconds wait_{}; ///< Wait that the daemon asked for.
  bool closes_ = false;              ///< Whether the connection ends with it.
  /** @return Whether no whole answer came. */
  bool isLost() const
  {
    return end_ == LoadEnd::kClosed || end_ == LoadEnd::kReset ||
           end_ == LoadEnd::kNoAnswer || end_ == LoadEnd::kBehind;
  }
};

inline constexpr std::chrono::milliseconds kLoadDeadline(
  8000); ///< Time that a client has for an attempt; the routes' timeout too.

/** @return Name of a kind, which is that of its route. */
std::string_view
nameOf(LoadKind aKind);

/** @return Name of an end. */
std::string_view
nameOf(LoadEnd aEnd);

} // namespace auburnhaven::standins
