// Requests, limits and failures of the HTTP client.
#pragma once

#include "state/time_type.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnhaven::transport {

/** One header line of a request that the client sends. */
struct HttpField
{
  std::string name_;  ///< Name.
  std::string value_; ///< Value.
  bool operator==(const HttpField&) const = default;
};

constexpr std::size_t kNoConnectionLimit =
  SIZE_MAX; ///< As many as the client's limits allow.

/** A request that the client sends. */
struct HttpClientRequest
{
  std::string method_ = "GET";     ///< Method in upper case.
  std::string path_;               ///< Path with the query.
  std::vector<HttpField> headers_; ///< Further header lines.
  std::string body_;               ///< Body; its length is sent along.
  bool freshConnection_ =
    false; ///< Whether it must not share a connection with earlier requests;
           ///< takes the place of one that is kept.
  std::size_t keptConnections_ =
    kNoConnectionLimit; ///< Most unused connections to its endpoint that may be
                        ///< kept after it.
  std::optional<state::TimePoint> sendBefore_ =
    std::nullopt; ///< Boot time from which nothing of it may be sent any more,
                  ///< since the right to send it has ended; none for no end.
  bool operator==(const HttpClientRequest&) const = default;
};

/** Time limits of one call. */
struct HttpTimeouts
{
  std::chrono::milliseconds connect_{ 1000 };   ///< For a new connection.
  std::chrono::milliseconds response_{ 10000 }; ///< From the request to the
                                                ///< response header.
  std::chrono::milliseconds idle_{ 10000 }; ///< Between two pieces of a body.
  std::chrono::milliseconds whole_{ 0 }; ///< From the request to the end of the
                                         ///< body; 0 for no limit.
  bool operator==(const HttpTimeouts&) const = default;
};

/** Limits of the connections that a client keeps. */
struct HttpClientLimits
{
  std::size_t idlePerEndpoint_ = 64;               ///< Kept connections.
  std::chrono::milliseconds idleTimeout_{ 30000 }; ///< Longest time unused.
  std::uint32_t maxHeaderBytes_ = 16 * 1024;       ///< Largest response header.
  std::chrono::seconds probeAfter_{
    0
  }; ///< Silence after which TCP probes the peer each second; 0 for never.
  std::size_t maxLineBytes_ =
    std::size_t{ 1024 } * 1024; ///< Longest line of a body.
  bool operator==(const HttpClientLimits&) const = default;
};

/** Why a call has no response. */
enum class HttpFailureKind : std::uint8_t
{
  kNone,      ///< There is a response.
  kConnect,   ///< No connection.
  kClosed,    ///< The connection broke before the whole response header.
  kTimeout,   ///< No response header in time.
  kMalformed, ///< The response is not HTTP, cannot be interpreted or exceeds a
              ///< limit.
  kAborted,   ///< The caller aborted the call.
};

/** Failure of a call before its response. */
struct HttpFailure
{
  HttpFailureKind kind_ = HttpFailureKind::kNone; ///< What happened.
  bool bytesMayHaveArrived_ =
    false; ///< Whether any byte of the request could have reached the target.
  std::string message_; ///< Text for people.
  bool keptConnection_ =
    false; ///< Whether the connection had been used before;
           ///< its target may have closed it meanwhile.
  bool operator==(const HttpFailure&) const = default;
};

/** What reading a response body came to. */
enum class HttpReadStatus : std::uint8_t
{
  kData,            ///< A piece of the body.
  kEnd,             ///< The body has ended and is whole.
  kEndOfConnection, ///< The body, which has no length, has ended with its
                    ///< connection; it is whole if the sender meant that.
  kCutShort,        ///< The connection broke before the end of the body.
  kTimeout,         ///< No further piece in time.
  kTooLong,         ///< A line or body exceeds its limit.
  kPending,         ///< Nothing further has arrived yet.
};

/** A piece of a response body. */
struct HttpPiece
{
  HttpReadStatus status_ = HttpReadStatus::kCutShort; ///< What was read.
  std::string_view data_; ///< The piece, valid until the next read.
  bool operator==(const HttpPiece&) const = default;
};

/** A response body that was read at once. */
struct HttpBody
{
  HttpReadStatus status_ = HttpReadStatus::kCutShort; ///< kEnd when whole.
  std::string data_; ///< The body, or what came of it.
  bool operator==(const HttpBody&) const = default;
};

} // namespace auburnhaven::transport
