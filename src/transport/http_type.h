// Requests and responses of the HTTP server, free of the library's types.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace auburnhaven::transport {

/** One header line. */
struct HttpHeader
{
  std::string name_;  ///< Name; compared without regard to case.
  std::string value_; ///< Value.
  bool operator==(const HttpHeader&) const = default;
};

/** A request that has been read whole. */
struct HttpRequest
{
  std::string method_;              ///< Method in upper case.
  std::string path_;                ///< Path without the query.
  std::string query_;               ///< Query without the question mark.
  std::vector<HttpHeader> headers_; ///< Header lines in order.
  std::string body_;                ///< Body.

  /**
   * @param aName Name of a header.
   * @return Its first value, or empty.
   */
  std::string_view header(std::string_view aName) const;
  /**
   * @param aName Name of a query parameter.
   * @return Its first value as it stands, or empty.
   */
  std::string_view parameter(std::string_view aName) const;
};

/** A response that is sent whole. */
struct HttpResponse
{
  std::uint32_t status_ = 200;      ///< Status code; a final one of HTTP.
  std::vector<HttpHeader> headers_; ///< Further header lines.
  std::string contentType_ =
    "application/json"; ///< Type of the body; empty when a header states it.
  std::string body_;    ///< Body.
};

/** How the caller's side of a connection ended. */
enum class CallerEnd
{
  kNone,         ///< Not at all.
  kSendingSide,  ///< It sends no more, but may still read.
  kReset,        ///< It closed or reset the connection.
  kWriteError,   ///< A write to it failed.
  kWriteTimeout, ///< It did not read for too long.
  kAbandoned,    ///< The server gave it up.
};

/** @return Name of an end, for logs. Thread-safe. */
std::string_view
nameOf(CallerEnd aEnd);

/** @return Whether such a caller cannot take an answer any more. Thread-safe.
 */
inline bool
isGone(CallerEnd aEnd)
{
  return aEnd != CallerEnd::kNone && aEnd != CallerEnd::kSendingSide;
}

/** Limits of the HTTP server. */
struct HttpServerLimits
{
  std::uint32_t maxHeaderBytes_ = 16 * 1024;        ///< Largest header.
  std::uint64_t maxBodyBytes_ = 4ULL * 1024 * 1024; ///< Largest body.
  std::chrono::milliseconds headerTimeout_{
    10000
  }; ///< From the first byte to the whole header.
  std::chrono::milliseconds bodyTimeout_{
    30000
  }; ///< From the header to the whole body.
  std::chrono::milliseconds idleTimeout_{ 75000 }; ///< Between two requests.
  std::chrono::milliseconds writeTimeout_{
    30000
  }; ///< For one write to a caller.
  std::chrono::milliseconds closeTimeout_{
    10000
  };                                     ///< For a caller to take the last
                                         ///< answer of its connection.
  std::uint32_t maxConnections_ = 20000; ///< Open connections.
};

} // namespace auburnhaven::transport
